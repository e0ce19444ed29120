#include "routing/router_task.h"

#include <algorithm>
#include <random>
#include <utility>

#include "backend/server_protocol.h"
#include "observe/log.h"
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
    case ErrorKind::kNoManifest:
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
      view(std::make_shared<View>()),
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

void RouterTask::CallerGone(std::string request_id) {
  this->Post([this, request_id = std::move(request_id)] {
    const auto found = this->job_of_request.find(request_id);
    if (found == this->job_of_request.end()) return;
    Job* job = this->Find(found->second);
    this->Finish(*job, {Fail(ErrorKind::kCallerGone, "caller gone"), "", {}});
  });
}

void RouterTask::SetView(std::shared_ptr<const View> next) {
  this->Post([this, next = std::move(next)]() mutable {
    this->view = std::move(next);
    this->DropLostRequests();
    this->DropOutServers();
    this->RerouteStaleRelays();
    this->AdmitHeld();
    this->ReportMoving();
  });
}

void RouterTask::AskSpellings(
    std::function<void(std::vector<config::SpellingCount>)> done) {
  this->Post(
      [this, done = std::move(done)] { done(this->spellings.Ranked()); });
}

void RouterTask::WhenIdle(std::function<void()> done) {
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
    if (job.deadline == kernel::kNever) {
      job.deadline = job.arrived_at + config::Service().default_timeout;
    }
    this->FailAttempt(job, {ErrorKind::kNoManifest, "no manifest yet"});
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
  job.cell = CellOf(job.key_hash, service);
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
    const policy::Attempt attempt{error.kind, job.attempt, job.idempotent,
                                  job.deadline};
    const auto delay = policy::RetryDelay(attempt, RandomUnit(), now);
    const bool paid =
        delay && (!LoadsServer(error.kind) || this->retry_budget.Take());
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
    this->QueueOf(job.cell, job.server).Drop(job.id);
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
      if (job->service.empty()) {
        this->LookUp(*job);
      } else {
        this->Route(*job);
      }
      continue;
    }
    const bool started =
        job->state == JobState::kSent || job->state == JobState::kRelayed;
    const ErrorKind kind =
        started ? ErrorKind::kDeadlineExceeded : ErrorKind::kDeadlineTooShort;
    this->Finish(*job, {Fail(kind, "deadline passed"), "", {}});
  }
  for (auto& [key, queue] : this->queues) {
    for (const auto& refused : queue.TakeExpired(now)) {
      Job* job = this->Find(refused.id);
      if (job == nullptr) continue;
      job->state = JobState::kBackoff;
      this->FailAttempt(*job, {refused.kind, "would finish too late"});
    }
  }
  std::vector<QueueKey> waiting;
  for (const auto& [key, queue] : this->queues) {
    if (queue.Waiting() > 0) waiting.push_back(key);
  }
  for (const auto& key : waiting) this->Pump(key);
  this->AdmitHeld();
  this->metrics.Count("chervilmux_jobs").SetTo(this->jobs.size());
  if (this->jobs.empty() && !this->when_idle.empty()) {
    const auto watchers = std::exchange(this->when_idle, {});
    for (const auto& done : watchers) done();
  }
}

// --- At the primary ----------------------------------------------------------

const LedCellView* RouterTask::Led(const std::string& cell) const {
  const auto found = this->view->led.find(cell);
  return found == this->view->led.end() ? nullptr : &found->second;
}

policy::ServerQueue& RouterTask::QueueOf(const std::string& cell,
                                         const std::string& server) {
  const auto [entry, added] = this->queues.try_emplace(
      QueueKey{cell, server},
      policy::QueueLimits{1, this->limits.max_waiting_per_server});
  const LedCellView* led = this->Led(cell);
  if (led == nullptr) return entry->second;
  const auto known = led->servers.find(server);
  if (known != led->servers.end()) {
    entry->second.SetLimits(
        {known->second.slots, this->limits.max_waiting_per_server});
  }
  return entry->second;
}

void RouterTask::Hold(Job& job, ErrorKind why) {
  if (job.state != JobState::kHeld) {
    this->metrics.CountError("chervilmux_held_total", why);
  }
  job.state = JobState::kHeld;
}

void RouterTask::Admit(Job& job) {
  const LedCellView* led = this->Led(job.cell);
  if (led == nullptr) {
    job.state = JobState::kBackoff;
    this->FailAttempt(job, {ErrorKind::kNotPrimary, "leadership moved"});
    return;
  }
  const std::string owner(led->serving->OwnerOf(job.key_hash));
  const bool moves = led->next && led->next->OwnerOf(job.key_hash) != owner;
  if (owner.empty() || moves) {
    this->Hold(job, moves ? ErrorKind::kOwnershipMoving : ErrorKind::kNoOwner);
    return;
  }
  const auto server = led->servers.find(owner);
  if (server == led->servers.end() ||
      server->second.send_until <= kernel::Now()) {
    this->Hold(job, ErrorKind::kRightLapsed);
    return;
  }
  job.server = owner;
  const auto refused =
      this->QueueOf(job.cell, owner)
          .Offer({job.id, job.key_hash, job.deadline, job.retried},
                 kernel::Now());
  if (refused) {
    job.state = JobState::kBackoff;
    this->FailAttempt(job, {*refused, "refused by admission"});
    return;
  }
  job.state = JobState::kQueued;
  this->Pump({job.cell, owner});
}

void RouterTask::AdmitHeld() {
  std::vector<std::uint64_t> held;
  for (const auto& [id, job] : this->jobs) {
    if (job->state == JobState::kHeld) held.push_back(id);
  }
  std::ranges::sort(held);
  for (const std::uint64_t id : held) {
    Job* job = this->Find(id);
    if (job != nullptr) this->Admit(*job);
  }
}

void RouterTask::Pump(const QueueKey& key) {
  while (true) {
    policy::ServerQueue& queue = this->QueueOf(key.cell, key.server);
    const auto id = queue.Next(kernel::Now());
    if (!id) return;
    Job* job = this->Find(*id);
    if (job == nullptr) kernel::InternalError("queued job does not exist");
    this->SendToServer(*job);
  }
}

void RouterTask::SendToServer(Job& job) {
  const LedCellView* led = this->Led(job.cell);
  const Instant now = kernel::Now();
  // Ownership may have changed while the job waited: look once more,
  // immediately before the first byte leaves.
  const bool still_owner =
      led != nullptr && led->serving->OwnerOf(job.key_hash) == job.server &&
      (!led->next || led->next->OwnerOf(job.key_hash) == job.server);
  const ServerView* server = nullptr;
  if (still_owner) {
    const auto found = led->servers.find(job.server);
    if (found != led->servers.end()) server = &found->second;
  }
  if (server == nullptr || server->send_until <= now) {
    this->QueueOf(job.cell, job.server).OnFailed(job.key_hash);
    this->Hold(job, ErrorKind::kRightLapsed);
    return;
  }
  backend::RequestStamp stamp;
  stamp.cell = job.cell;
  stamp.token = server->token;
  stamp.request_id = job.request_id;
  stamp.remaining = job.deadline - now;
  net::TransferOptions options;
  options.deadline = job.deadline;
  options.max_answer_bytes = this->limits.max_answer_bytes;
  options.may_repeat = job.idempotent;
  job.state = JobState::kSent;
  job.sent_at = now;
  job.sent_version = led->serving_version;
  const std::uint64_t id = job.id;
  job.transfer = this->servers.Start(
      backend::BuildRequest(server->address, job.request, stamp), options,
      [this, id](net::TransferResult result) {
        this->OnServerAnswer(id, std::move(result));
      });
}

void RouterTask::OnServerAnswer(std::uint64_t id, net::TransferResult result) {
  Job* job = this->Find(id);
  if (job == nullptr || job->state != JobState::kSent) return;
  const QueueKey key{job->cell, job->server};
  policy::ServerQueue& queue = this->QueueOf(key.cell, key.server);
  job->transfer = 0;
  job->state = JobState::kBackoff;
  auto answer = backend::ReadAnswer(std::move(result), job->request_id);
  this->metrics.Time("chervilmux_server_seconds")
      .Observe(kernel::Now() - job->sent_at);
  if (answer) {
    queue.OnDone(job->key_hash, kernel::Now() - job->sent_at);
    Reply reply{std::move(answer), job->server, job->sent_version};
    this->Finish(*job, std::move(reply));
  } else {
    const Error error = answer.error();
    if (error.kind == ErrorKind::kServerShed) {
      queue.OnShed(job->key_hash);
    } else {
      queue.OnFailed(job->key_hash);
      const bool may_run =
          kernel::TraitsOf(error.kind).outcome == kernel::Outcome::kUnknown;
      if (may_run) this->Abandon(*job);
    }
    this->FailAttempt(*job, error);
  }
  this->Pump(key);
  this->ReportMoving();
}

void RouterTask::Requeue(const QueueKey& key) {
  const auto queue = this->queues.find(key);
  if (queue == this->queues.end()) return;
  for (const std::uint64_t id : queue->second.TakeAll()) {
    Job* job = this->Find(id);
    if (job == nullptr) continue;
    job->state = JobState::kBackoff;
    this->Route(*job);
  }
}

void RouterTask::DropOutServers() {
  std::vector<QueueKey> stale;
  for (const auto& [key, queue] : this->queues) {
    const LedCellView* led = this->Led(key.cell);
    if (led == nullptr) {
      stale.push_back(key);
      continue;
    }
    const auto server = led->servers.find(key.server);
    const bool in = server != led->servers.end() && server->second.in;
    if (!in || led->next) stale.push_back(key);
  }
  for (const auto& key : stale) this->Requeue(key);
}

void RouterTask::DropLostRequests() {
  // No answer is to be expected from a server that was set aside as lost.
  std::vector<std::uint64_t> lost;
  for (const auto& [id, job] : this->jobs) {
    if (job->state != JobState::kSent) continue;
    const LedCellView* led = this->Led(job->cell);
    if (led == nullptr) continue;
    const auto server = led->servers.find(job->server);
    if (server != led->servers.end() && server->second.lost) lost.push_back(id);
  }
  for (const std::uint64_t id : lost) {
    Job* job = this->Find(id);
    if (job == nullptr) continue;
    this->QueueOf(job->cell, job->server).OnFailed(job->key_hash);
    this->Abandon(*job);
    job->state = JobState::kBackoff;
    this->servers.Cancel(std::exchange(job->transfer, 0));
    this->FailAttempt(*job, {ErrorKind::kServerSilent, "server was lost"});
  }
}

void RouterTask::ReportMoving() {
  if (!this->moving) return;
  std::map<std::pair<std::string, std::string>, std::size_t> counts;
  for (const auto& [cell, led] : this->view->led) {
    if (!led.next) continue;
    for (const auto& [server, entry] : led.servers) counts[{cell, server}] = 0;
  }
  if (counts.empty()) return;
  for (const auto& [id, job] : this->jobs) {
    if (job->state != JobState::kSent) continue;
    const LedCellView* led = this->Led(job->cell);
    if (led == nullptr || !led->next) continue;
    if (led->next->OwnerOf(job->key_hash) == job->server) continue;
    counts[{job->cell, job->server}] += 1;
  }
  for (const auto& request : this->abandoned) {
    const LedCellView* led = this->Led(request.place.cell);
    if (led == nullptr || !led->next) continue;
    if (led->next->OwnerOf(request.key_hash) == request.place.server) continue;
    counts[{request.place.cell, request.place.server}] += 1;
  }
  for (const auto& [place, count] : counts) {
    this->moving(place.first, this->view->led.at(place.first).version,
                 place.second, count);
  }
}

void RouterTask::Abandon(const Job& job) {
  this->abandoned.push_back(
      {{job.cell, job.server}, job.key_hash, job.deadline});
}

void RouterTask::CancelAtServer(const Job& job) {
  const LedCellView* led = this->Led(job.cell);
  if (led == nullptr) return;
  const auto server = led->servers.find(job.server);
  if (server == led->servers.end()) return;
  net::TransferOptions options;
  options.deadline = kernel::Now() + kernel::seconds(1);
  this->servers.Start(
      backend::BuildCancel(server->second.address, job.request_id), options,
      [](const net::TransferResult&) {});
}

// --- Between instances -------------------------------------------------------

void RouterTask::Relay(Job& job, const membership::CellLeader& leader) {
  auto& link = this->links[leader.peer_address];
  if (link == 0) link = this->relay.Connect(leader.peer_address);
  RelayRequest frame;
  frame.id = ++this->last_id;
  frame.request_id = job.request_id;
  frame.service = job.service;
  frame.cell = job.cell;
  frame.key_hash = job.key_hash;
  frame.remaining = job.deadline - kernel::Now();
  frame.idempotent = job.idempotent;
  frame.retried = job.retried;
  frame.request = job.request;
  if (!this->relay.Send(link, Encode(frame))) {
    job.state = JobState::kBackoff;
    this->FailAttempt(job, {ErrorKind::kPrimaryUnreachable, "link is full"});
    return;
  }
  job.state = JobState::kRelayed;
  job.link = link;
  job.relay_id = frame.id;
  job.relay_address = leader.peer_address;
  job.relay_term = leader.term;
  this->job_of_relay[frame.id] = job.id;
  this->metrics.Count("chervilmux_relayed_total").Add();
}

void RouterTask::OnFrame(net::LinkId link, std::string_view bytes) {
  auto decoded = Decode(bytes);
  if (!decoded) {
    this->metrics.CountError("chervilmux_messages_refused_total",
                             decoded.error().kind);
    this->relay.Close(link);
    return;
  }
  RelayFrame frame = std::move(decoded).value();
  if (auto* request = std::get_if<RelayRequest>(&frame)) {
    this->OnRelayRequest(link, std::move(*request));
  } else if (auto* reply = std::get_if<RelayReply>(&frame)) {
    this->OnRelayReply(link, std::move(*reply));
  } else {
    this->OnRelayCancel(link, std::get<RelayCancel>(frame).id);
  }
}

void RouterTask::OnRelayRequest(net::LinkId link, RelayRequest frame) {
  const Instant now = kernel::Now();
  auto owned = std::make_unique<Job>();
  Job& job = *owned;
  job.id = ++this->last_id;
  job.request_id = frame.request_id;
  job.request = std::move(frame.request);
  job.service = std::move(frame.service);
  job.cell = std::move(frame.cell);
  job.key_hash = frame.key_hash;
  job.arrived_at = now;
  job.deadline = now + frame.remaining;
  job.idempotent = frame.idempotent;
  job.from_relay = true;
  job.retried = frame.retried;
  const std::uint64_t remote_id = frame.id;
  const std::uint64_t id = job.id;
  this->relayed_in[{link, remote_id}] = id;
  job.reply = [this, link, remote_id,
               request_id = std::move(frame.request_id)](Reply reply) {
    this->relayed_in.erase({link, remote_id});
    this->relay.Send(
        link, Encode(RelayReply{remote_id, request_id, std::move(reply)}));
  };
  this->jobs.emplace(id, std::move(owned));
  this->Route(job);
}

void RouterTask::OnRelayReply(net::LinkId link, RelayReply frame) {
  // An attempt that was given up has left this table: its reply is late.
  const auto relayed = this->job_of_relay.extract(frame.id);
  Job* job = relayed ? this->Find(relayed.mapped()) : nullptr;
  const bool expected = job != nullptr && job->state == JobState::kRelayed &&
                        job->link == link &&
                        job->request_id == frame.request_id;
  if (!expected) {
    this->metrics.Count("chervilmux_late_replies_total").Add();
    return;
  }
  job->state = JobState::kBackoff;
  if (frame.reply.answer) {
    this->Finish(*job, std::move(frame.reply));
    return;
  }
  this->FailAttempt(*job, frame.reply.answer.error());
}

void RouterTask::OnRelayCancel(net::LinkId link, std::uint64_t id) {
  const auto found = this->relayed_in.find({link, id});
  if (found == this->relayed_in.end()) return;
  Job* job = this->Find(found->second);
  if (job == nullptr) return;
  this->Finish(*job, {Fail(ErrorKind::kCallerGone, "cancelled"), "", {}});
}

void RouterTask::OnLinkClosed(net::LinkId link, bool nothing_sent) {
  std::erase_if(this->links,
                [&](const auto& entry) { return entry.second == link; });
  std::vector<std::uint64_t> lost;
  for (const auto& [id, job] : this->jobs) {
    if (job->state == JobState::kRelayed && job->link == link) {
      lost.push_back(id);
    }
  }
  for (const std::uint64_t id : lost) {
    Job* job = this->Find(id);
    if (job == nullptr) continue;
    this->job_of_relay.erase(job->relay_id);
    job->state = JobState::kBackoff;
    const ErrorKind kind =
        nothing_sent ? ErrorKind::kPrimaryUnreachable : ErrorKind::kRelayLost;
    this->FailAttempt(*job, {kind, "relay link closed"});
  }
}

void RouterTask::CancelRelay(Job& job) {
  this->job_of_relay.erase(job.relay_id);
  this->relay.Send(job.link, Encode(RelayCancel{job.relay_id}));
}

void RouterTask::RerouteStaleRelays() {
  // A newer leader is known: the old one will not answer idempotent requests
  // any sooner than the new one.
  std::vector<std::uint64_t> stale;
  for (const auto& [id, job] : this->jobs) {
    if (job->state != JobState::kRelayed || !job->idempotent) continue;
    const auto leader = this->view->leaders.find(job->cell);
    const bool led_here = this->Led(job->cell) != nullptr;
    const bool newer = leader != this->view->leaders.end() &&
                       leader->second.term > job->relay_term &&
                       leader->second.peer_address != job->relay_address;
    if (led_here || newer) stale.push_back(id);
  }
  for (const std::uint64_t id : stale) {
    Job* job = this->Find(id);
    if (job == nullptr) continue;
    this->CancelRelay(*job);
    job->state = JobState::kBackoff;
    job->possibly_run = true;
    this->metrics.Count("chervilmux_rerouted_total").Add();
    this->Route(*job);
  }
}

}  // namespace chervilmux::routing
