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

/// Period of the checks for due retries, passed deadlines, and queued or
/// deferred requests that can proceed.
constexpr kernel::Duration kTickPeriod = kernel::milliseconds(5);
/// Maximum number of different unknown service names that are counted.
constexpr std::size_t kMaxUnknownSpellings = 512;
/// Maximum number of similar service names in the error for an unknown one.
constexpr std::size_t kMaxSuggestions = 3;
/// Retries that each first attempt adds to the retry budget.
constexpr double kRetriesPerRequest = 0.1;
/// Maximum number of retries that the retry budget accumulates.
constexpr double kRetryBudgetCapacity = 100;
/// How long after a request's deadline its reply may still arrive. The primary
/// needs this time to report why the request failed.
constexpr kernel::Duration kReplyGrace = kernel::milliseconds(100);

/// Whether a retry after an error of this kind adds load to a backend server.
bool RetryLoadsServer(ErrorKind kind) {
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

double RandomFraction() {
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
      relay_endpoint(*this, {[this](net::LinkId link, std::string_view bytes) {
                               this->OnFrame(link, bytes);
                             },
                             [this](net::LinkId link, bool nothing_sent) {
                               this->OnLinkClosed(link, nothing_sent);
                             }}),
      retry_budget(kRetriesPerRequest, kRetryBudgetCapacity),
      unknown_spellings(kMaxUnknownSpellings) {
  this->Every(kTickPeriod, [this] { this->Tick(); });
}

RouterTask::~RouterTask() { this->Stop(); }

kernel::Result<void> RouterTask::Listen(const net::Address& address) {
  return this->relay_endpoint.Listen(address);
}

// --- Messages ----------------------------------------------------------------

void RouterTask::Submit(CallerRequest request) {
  this->Post([this, request = std::move(request)]() mutable {
    this->Accept(std::move(request));
  });
}

void RouterTask::OnCallerDisconnected(std::string request_id) {
  this->Post([this, request_id = std::move(request_id)] {
    const auto found = this->job_by_request_id.find(request_id);
    if (found == this->job_by_request_id.end()) return;
    Job* job = this->FindJob(found->second);
    const bool was_sent_on =
        job->state == JobState::kSent || job->state == JobState::kRelayed;
    // A request that is not idempotent is not cancelled after it was sent,
    // because it could be left partly executed.
    if (was_sent_on && !job->idempotent) return;
    this->FinishJob(
        *job, {Fail(ErrorKind::kCallerGone, "caller gone: connection closed"),
               "",
               {}});
  });
}

void RouterTask::SetRoutingView(std::shared_ptr<const RoutingView> next_view) {
  this->Post([this, next_view = std::move(next_view)]() mutable {
    this->view = std::move(next_view);
    this->FailJobsAtLostServers();
    this->RerouteStaleQueues();
    this->RerouteStaleRelays();
    this->AdmitDeferredJobs();
    this->ReportRequestsForMovingKeys();
  });
}

void RouterTask::RequestUnknownSpellings(
    std::function<void(std::vector<config::SpellingCount>)> done) {
  this->Post([this, done = std::move(done)] {
    done(this->unknown_spellings.Ranked());
  });
}

void RouterTask::NotifyWhenIdle(std::function<void()> done) {
  this->Post([this, done = std::move(done)]() mutable {
    this->idle_handlers.push_back(std::move(done));
  });
}

// --- Handling of a job -------------------------------------------------------

Job* RouterTask::FindJob(std::uint64_t id) {
  const auto found = this->jobs.find(id);
  return found == this->jobs.end() ? nullptr : found->second.get();
}

void RouterTask::Accept(CallerRequest request) {
  auto owned_job = std::make_unique<Job>();
  Job& job = *owned_job;
  job.id = ++this->last_id;
  job.request_id = std::move(request.request_id);
  job.request = std::move(request.request);
  job.arrived_at = request.arrived_at;
  job.deadline = request.deadline;
  job.reply = std::move(request.reply);
  this->jobs.emplace(job.id, std::move(owned_job));
  this->job_by_request_id[job.request_id] = job.id;
  this->retry_budget.OnFirstAttempt(kernel::Now());
  if (this->jobs.size() > this->limits.max_jobs) {
    this->FinishJob(
        job,
        {Fail(ErrorKind::kQueueFull, "too many unfinished requests"), "", {}});
    return;
  }
  this->ResolveService(job);
}

void RouterTask::ResolveService(Job& job) {
  auto path = ParseRequestPath(job.request.url);
  if (!path) {
    this->FinishJob(job, {path.error(), "", {}});
    return;
  }
  if (!this->view->manifest) {
    // The time until the manifest arrives is unknown, so the caller decides
    // whether to retry.
    this->FinishJob(
        job,
        {Fail(ErrorKind::kNoManifest, "no manifest received yet"), "", {}});
    return;
  }
  const config::ActiveManifest& active = *this->view->manifest;
  const std::string_view name = active.names.Find(path.value().service);
  if (name.empty()) {
    this->unknown_spellings.Note(path.value().service);
    const auto suggestions =
        active.names.Suggest(path.value().service, kMaxSuggestions);
    this->FinishJob(job,
                    {Fail(ErrorKind::kUnknownService,
                          "no service '" + path.value().service +
                              "'; similar names: " + JoinNames(suggestions)),
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
  const Instant latest_deadline = job.arrived_at + service.max_timeout;
  if (job.deadline == kernel::kNever) {
    job.deadline = job.arrived_at + service.default_timeout;
  }
  job.deadline = std::min(job.deadline, latest_deadline);
  this->RouteJob(job);
}

void RouterTask::RouteJob(Job& job) {
  if (this->FindLedCell(job.cell) != nullptr) {
    this->AdmitJob(job);
    return;
  }
  if (job.from_relay) {
    this->FailAttempt(
        job, {ErrorKind::kNotPrimary, "this instance is not the primary"});
    return;
  }
  const auto leader = this->view->leader_by_cell.find(job.cell);
  if (leader == this->view->leader_by_cell.end()) {
    this->FailAttempt(
        job, {ErrorKind::kNoPrimary, "no primary of the cell is known"});
    return;
  }
  this->RelayToPrimary(job, leader->second);
}

void RouterTask::FailAttempt(Job& job, Error error) {
  const Instant now = kernel::Now();
  if (kernel::TraitsOf(error.kind).outcome == kernel::Outcome::kUnknown) {
    job.possibly_run = true;
  }
  if (!job.from_relay) {
    const policy::FailedAttempt attempt{error.kind, job.attempt, job.idempotent,
                                        job.deadline};
    const auto delay = policy::RetryDelay(attempt, RandomFraction(), now);
    const bool may_retry = delay && (!RetryLoadsServer(error.kind) ||
                                     this->retry_budget.TryConsume(now));
    if (may_retry) {
      this->metrics.CountError("chervilmux_retries_total", error.kind);
      job.state = JobState::kBackoff;
      job.retry_at = now + *delay;
      job.attempt += 1;
      job.retried = true;
      return;
    }
    if (delay) {
      this->metrics.CountError("chervilmux_retries_refused_total",
                               ErrorKind::kRetryBudgetExhausted);
    }
  }
  this->FinishJob(job, {Fail(error.kind, std::move(error.detail)), "", {}});
}

void RouterTask::FinishJob(Job& job, Reply reply) {
  const bool claims_not_run =
      !reply.answer && kernel::TraitsOf(reply.answer.error().kind).outcome ==
                           kernel::Outcome::kNotRun;
  if (claims_not_run && job.possibly_run) {
    reply.answer =
        Fail(ErrorKind::kDeadlineExceeded,
             "an earlier attempt may have run; the last attempt failed: " +
                 reply.answer.error().detail);
  }
  if (job.state == JobState::kSent) {
    this->QueueForServer(job.cell, job.server).OnFailed(job.key_hash);
    this->RecordAbandoned(job);
    job.state = JobState::kBackoff;
    this->CancelAtServer(job);
    this->servers.Cancel(std::exchange(job.transfer, 0));
  } else if (job.state == JobState::kQueued) {
    this->QueueForServer(job.cell, job.server).Remove(job.id);
  } else if (job.state == JobState::kRelayed) {
    this->CancelRelay(job);
  }
  if (!job.from_relay) {
    this->job_by_request_id.erase(job.request_id);
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
  std::erase_if(this->abandoned_requests, [&](const AbandonedRequest& request) {
    return now >= request.deadline;
  });
  std::vector<std::uint64_t> due_job_ids;
  for (const auto& [id, job] : this->jobs) {
    const bool retry_is_due =
        job->state == JobState::kBackoff && now >= job->retry_at;
    // Time at which the job fails if it has no reply.
    const Instant last =
        job->state == JobState::kRelayed || job->state == JobState::kSent
            ? job->deadline + kReplyGrace
            : job->deadline;
    if (retry_is_due || now >= last) due_job_ids.push_back(id);
  }
  for (const std::uint64_t id : due_job_ids) {
    Job* job = this->FindJob(id);
    if (job == nullptr) continue;
    if (job->state == JobState::kBackoff && now < job->deadline) {
      this->RouteJob(*job);
      continue;
    }
    const bool started =
        job->state == JobState::kSent || job->state == JobState::kRelayed;
    const ErrorKind kind =
        started ? ErrorKind::kDeadlineExceeded : ErrorKind::kDeadlineTooShort;
    this->FinishJob(*job, {Fail(kind, "deadline passed"), "", {}});
  }
  for (auto& [key, queue] : this->queues) {
    for (const auto& refused : queue.PopExpired(now)) {
      Job* job = this->FindJob(refused.id);
      if (job == nullptr) continue;
      job->state = JobState::kBackoff;
      this->FailAttempt(*job,
                        {refused.kind, "cannot finish before the deadline"});
    }
  }
  std::vector<QueueKey> waiting;
  for (const auto& [key, queue] : this->queues) {
    if (queue.WaitingCount() > 0) waiting.push_back(key);
  }
  for (const auto& key : waiting) this->SendQueuedJobs(key);
  this->AdmitDeferredJobs();
  this->metrics.Count("chervilmux_jobs").SetTo(this->jobs.size());
  if (this->jobs.empty() && !this->idle_handlers.empty()) {
    const auto handlers = std::exchange(this->idle_handlers, {});
    for (const auto& done : handlers) done();
  }
}

}  // namespace chervilmux::routing
