#include "routing/router_task.h"

#include <algorithm>
#include <random>
#include <utility>

#include "routing/cell_id.h"
#include "routing/request_path.h"

namespace chervilmux::routing {
namespace {

using kernel::Error;
using kernel::ErrorKind;
using kernel::Fail;
using kernel::Instant;

constexpr kernel::Duration kTickPeriod = kernel::milliseconds(5);
constexpr std::size_t kSpellingCapacity = 512;
constexpr std::size_t kSuggestions = 3;
constexpr double kRetriesPerRequest = 0.1;
constexpr double kRetryBurst = 100;
/// How much longer than the request's own deadline a relayed reply may take:
/// the primary needs that time to say why it gave up.
constexpr kernel::Duration kRelayGrace = kernel::milliseconds(100);

/// Whether a retry of this failure puts load on a backend server.
bool LoadsServer(ErrorKind kind) {
  switch (kind) {
    case ErrorKind::kNoPrimary:
    case ErrorKind::kPrimaryUnreachable:
    case ErrorKind::kNotPrimary:
    case ErrorKind::kOwnershipMoving:
    case ErrorKind::kStopping:
      return false;
    default:
      return true;
  }
}

double RandomUnit() {
  static thread_local std::minstd_rand engine{std::random_device{}()};
  return std::uniform_real_distribution<double>(0, 1)(engine);
}

std::string JoinNames(const std::vector<std::string>& names) {
  std::string joined;
  for (const auto& name : names) {
    if (!joined.empty()) joined += ", ";
    joined += name;
  }
  return joined;
}

}  // namespace

RouterTask::RouterTask(const kernel::Registry& registry,
                       const RouterLimits& limits)
    : limits(limits),
      metrics(registry.Find<observe::Metrics>("metrics")),
      view(std::make_shared<RoutingView>()),
      servers(*this, limits.max_connections_per_server),
      relay(*this, {[this](net::LinkId link, std::string_view bytes) {
                      this->OnFrame(link, bytes);
                    },
                    [this](net::LinkId link, bool nothing_sent) {
                      this->OnLinkClosed(link, nothing_sent);
                    }}),
      retry_budget(kRetriesPerRequest, kRetryBurst),
      spellings(kSpellingCapacity) {
  this->Every(kTickPeriod, [this] { this->Tick(); });
}

RouterTask::~RouterTask() { this->Stop(); }

kernel::Result<void> RouterTask::Listen(const net::Address& address) {
  return this->relay.Listen(address);
}

// --- Messages ----------------------------------------------------------------

void RouterTask::Submit(CallerRequest request) {
  this->Post([this, request = std::move(request)]() mutable {
    this->Accept(std::move(request));
  });
}

void RouterTask::OnCallerDisconnected(std::string request_id) {
  this->Post([this, request_id = std::move(request_id)] {
    const auto found = this->job_of_request.find(request_id);
    if (found == this->job_of_request.end()) return;
    Job* job = this->Find(found->second);
    const bool with_server =
        job->state == JobState::kSent || job->state == JobState::kRelayed;
    // Work that must not be repeated is not cut off halfway.
    if (with_server && !job->idempotent) return;
    this->Finish(*job, {Fail(ErrorKind::kCallerGone, "caller gone"), "", {}});
  });
}

void RouterTask::SetRoutingView(std::shared_ptr<const RoutingView> next) {
  this->Post([this, next = std::move(next)]() mutable {
    this->view = std::move(next);
    this->DropLostRequests();
    this->DropOutServers();
    this->RerouteStaleRelays();
    this->AdmitHeld();
    this->ReportMoving();
  });
}

void RouterTask::RequestUnknownSpellings(
    std::function<void(std::vector<config::SpellingCount>)> done) {
  this->Post(
      [this, done = std::move(done)] { done(this->spellings.Ranked()); });
}

void RouterTask::NotifyWhenIdle(std::function<void()> done) {
  this->Post([this, done = std::move(done)]() mutable {
    this->when_idle.push_back(std::move(done));
  });
}

// --- Life of a job -----------------------------------------------------------

Job* RouterTask::Find(std::uint64_t id) {
  const auto found = this->jobs.find(id);
  return found == this->jobs.end() ? nullptr : found->second.get();
}

void RouterTask::Accept(CallerRequest request) {
  auto owned = std::make_unique<Job>();
  Job& job = *owned;
  job.id = ++this->last_id;
  job.request_id = std::move(request.request_id);
  job.request = std::move(request.request);
  job.arrived_at = request.arrived_at;
  job.deadline = request.deadline;
  job.reply = std::move(request.reply);
  this->jobs.emplace(job.id, std::move(owned));
  this->job_of_request[job.request_id] = job.id;
  this->retry_budget.OnFirstAttempt();
  if (this->jobs.size() > this->limits.max_jobs) {
    this->Finish(job,
                 {Fail(ErrorKind::kQueueFull, "too many requests"), "", {}});
    return;
  }
  this->LookUp(job);
}

void RouterTask::LookUp(Job& job) {
  auto path = ParseRequestPath(job.request.url);
  if (!path) {
    this->Finish(job, {path.error(), "", {}});
    return;
  }
  if (!this->view->manifest) {
    // Nobody knows when one will come: its caller decides whether to wait.
    this->Finish(job,
                 {Fail(ErrorKind::kNoManifest, "no manifest yet"), "", {}});
    return;
  }
  const config::ActiveManifest& active = *this->view->manifest;
  const std::string_view name = active.names.Find(path.value().service);
  if (name.empty()) {
    this->spellings.Note(path.value().service);
    const auto nearest =
        active.names.Suggest(path.value().service, kSuggestions);
    this->Finish(job, {Fail(ErrorKind::kUnknownService,
                            "no service '" + path.value().service +
                                "'; known and near: " + JoinNames(nearest)),
                       "",
                       {}});
    return;
  }
  const config::Service& service = *active.manifest.Find(name);
  job.service = service.name;
  job.key_hash = ownership::HashKey(path.value().key);
  job.cell = CellNameForKey(job.key_hash, service);
  job.idempotent =
      policy::IsIdempotent(job.request.method, service.idempotent_methods);
  const Instant latest = job.arrived_at + service.max_timeout;
  if (job.deadline == kernel::kNever) {
    job.deadline = job.arrived_at + service.default_timeout;
  }
  job.deadline = std::min(job.deadline, latest);
  this->Route(job);
}

void RouterTask::Route(Job& job) {
  if (this->Led(job.cell) != nullptr) {
    this->Admit(job);
    return;
  }
  if (job.from_relay) {
    this->FailAttempt(job, {ErrorKind::kNotPrimary, "not the primary here"});
    return;
  }
  const auto leader = this->view->leaders.find(job.cell);
  if (leader == this->view->leaders.end()) {
    this->FailAttempt(job, {ErrorKind::kNoPrimary, "no primary known"});
    return;
  }
  this->Relay(job, leader->second);
}

void RouterTask::FailAttempt(Job& job, Error error) {
  const Instant now = kernel::Now();
  if (kernel::TraitsOf(error.kind).outcome == kernel::Outcome::kUnknown) {
    job.possibly_run = true;
  }
  if (!job.from_relay) {
    const policy::FailedAttempt attempt{error.kind, job.attempt, job.idempotent,
                                        job.deadline};
    const auto delay = policy::RetryDelay(attempt, RandomUnit(), now);
    const bool paid =
        delay && (!LoadsServer(error.kind) || this->retry_budget.TryConsume());
    if (paid) {
      this->metrics.CountError("chervilmux_retries_total", error.kind);
      job.state = JobState::kBackoff;
      job.resume_at = now + *delay;
      job.attempt += 1;
      job.retried = true;
      return;
    }
    if (delay) {
      this->metrics.CountError("chervilmux_retries_refused_total",
                               ErrorKind::kRetryBudgetExhausted);
    }
  }
  this->Finish(job, {Fail(error.kind, std::move(error.detail)), "", {}});
}

void RouterTask::Finish(Job& job, Reply reply) {
  const bool claims_not_run =
      !reply.answer && kernel::TraitsOf(reply.answer.error().kind).outcome ==
                           kernel::Outcome::kNotRun;
  if (claims_not_run && job.possibly_run) {
    reply.answer = Fail(ErrorKind::kDeadlineExceeded,
                        "an earlier attempt may have run; the last one: " +
                            reply.answer.error().detail);
  }
  if (job.state == JobState::kSent) {
    this->QueueOf(job.cell, job.server).OnFailed(job.key_hash);
    this->Abandon(job);
    job.state = JobState::kBackoff;
    this->CancelAtServer(job);
    this->servers.Cancel(std::exchange(job.transfer, 0));
  } else if (job.state == JobState::kQueued) {
    this->QueueOf(job.cell, job.server).Remove(job.id);
  } else if (job.state == JobState::kRelayed) {
    this->CancelRelay(job);
  }
  if (!job.from_relay) {
    this->job_of_request.erase(job.request_id);
    if (reply.answer) {
      this->metrics
          .Count("chervilmux_requests_total",
                 observe::Label("outcome", "answered"))
          .Add();
      this->metrics.Time("chervilmux_request_seconds")
          .Observe(kernel::Now() - job.arrived_at);
    } else {
      const ErrorKind kind = reply.answer.error().kind;
      const auto outcome = kernel::TraitsOf(kind).outcome;
      this->metrics
          .Count("chervilmux_requests_total",
                 observe::Label("outcome", kernel::NameOf(outcome)))
          .Add();
      this->metrics.CountError("chervilmux_refusals_total", kind);
    }
  }
  const ReplyHandler handler = std::move(job.reply);
  this->jobs.erase(job.id);
  handler(std::move(reply));
}

void RouterTask::Tick() {
  const Instant now = kernel::Now();
  std::erase_if(this->abandoned, [&](const AbandonedRequest& request) {
    return now >= request.deadline;
  });
  std::vector<std::uint64_t> due;
  for (const auto& [id, job] : this->jobs) {
    const bool resumes =
        job->state == JobState::kBackoff && now >= job->resume_at;
    const Instant last =
        job->state == JobState::kRelayed || job->state == JobState::kSent
            ? job->deadline + kRelayGrace
            : job->deadline;
    if (resumes || now >= last) due.push_back(id);
  }
  for (const std::uint64_t id : due) {
    Job* job = this->Find(id);
    if (job == nullptr) continue;
    if (job->state == JobState::kBackoff && now < job->deadline) {
      this->Route(*job);
      continue;
    }
    const bool started =
        job->state == JobState::kSent || job->state == JobState::kRelayed;
    const ErrorKind kind =
        started ? ErrorKind::kDeadlineExceeded : ErrorKind::kDeadlineTooShort;
    this->Finish(*job, {Fail(kind, "deadline passed"), "", {}});
  }
  for (auto& [key, queue] : this->queues) {
    for (const auto& refused : queue.PopExpired(now)) {
      Job* job = this->Find(refused.id);
      if (job == nullptr) continue;
      job->state = JobState::kBackoff;
      this->FailAttempt(*job, {refused.kind, "would finish too late"});
    }
  }
  std::vector<QueueKey> waiting;
  for (const auto& [key, queue] : this->queues) {
    if (queue.WaitingCount() > 0) waiting.push_back(key);
  }
  for (const auto& key : waiting) this->Pump(key);
  this->AdmitHeld();
  this->metrics.Count("chervilmux_jobs").SetTo(this->jobs.size());
  if (this->jobs.empty() && !this->when_idle.empty()) {
    const auto watchers = std::exchange(this->when_idle, {});
    for (const auto& done : watchers) done();
  }
}

}  // namespace chervilmux::routing
