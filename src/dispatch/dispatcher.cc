#include "dispatch/dispatcher.h"

#include <algorithm>
#include <utility>

#include "dispatch/dispatcher_state.h"
#include "policy/connection_share.h"
#include "policy/queue_admission.h"
#include "policy/stop_admission.h"

namespace chervilmux::dispatch {
namespace {

using kernel::Duration;
using kernel::ErrorKind;
using kernel::Instant;
using kernel::milliseconds;

/// Share of the configured retry limits that is used. Instances count retries
/// independently, so the rest is a margin for the sum over all instances.
constexpr double kRetryBudgetShare = 0.8;
/// Number of instances that is assumed until the real number is known.
constexpr std::size_t kAssumedInstances = 12;
/// Maximum wait for a free server, as a share of the latency objective.
constexpr double kMaxWaitShare = 0.4;
/// Requests that a server queues for each slot when it is full.
constexpr int kQueuedPerSlot = 4;
/// Retry-After delay for a request whose key has no usable owner.
constexpr Duration kNoOwnerRetryAfter = milliseconds(300);
/// The same while this instance stops: others serve the request at once.
constexpr Duration kStoppingRetryAfter = milliseconds(10);

/// Maximum time for which a request of `route` waits for a free server.
Duration MaxWait(const model::Route& route) {
  return kernel::ToDuration(route.latency_objective * kMaxWaitShare);
}

std::string_view PathOf(std::string_view target) {
  return target.substr(0, target.find('?'));
}

}  // namespace

/// What to do with a request: send it to a server, queue it or refuse it.
struct Dispatcher::DispatchDecision {
  enum class Kind : std::uint8_t { kSend, kQueue, kRefuse };
  Kind kind = Kind::kQueue;
  std::string server_id;
  ErrorKind refusal = ErrorKind::kNoOwner;
  std::string why;
  Duration retry_after = kNoOwnerRetryAfter;
  /// What a server said that withholds the request from it.
  std::optional<policy::NoticeKind> withheld_by;
  /// The servers in question want no requests for so long; zero otherwise.
  Duration back_off_left{0};

  static DispatchDecision SendTo(std::string id) {
    DispatchDecision decision;
    decision.kind = Kind::kSend;
    decision.server_id = std::move(id);
    return decision;
  }
  static DispatchDecision BackOff(std::string why, Duration left) {
    auto decision = RefuseWith(ErrorKind::kServerShed, std::move(why));
    decision.withheld_by = policy::NoticeKind::kBackOff;
    decision.back_off_left = left;
    return decision;
  }
  static DispatchDecision RefuseWith(ErrorKind kind, std::string why,
                                     Duration wait = kNoOwnerRetryAfter) {
    DispatchDecision decision;
    decision.kind = Kind::kRefuse;
    decision.refusal = kind;
    decision.why = std::move(why);
    decision.retry_after = wait;
    return decision;
  }
};

Dispatcher::Dispatcher(const kernel::Registry& registry,
                       DispatcherSettings settings)
    : metrics(registry.Find<observe::Metrics>("metrics")),
      wire(registry.Find<WireProtocol>("wire")),
      links(registry.Find<net::ServerLinks>("server_links")),
      settings(std::move(settings)),
      instance_count(kAssumedInstances),
      random(std::random_device{}()) {}

Dispatcher::~Dispatcher() = default;

double Dispatcher::RandomUnit() {
  return std::uniform_real_distribution<double>(0, 1)(this->random);
}

policy::RetryBudget Dispatcher::MakeRetryBudget() const {
  return policy::RetryBudget(this->settings.retry_ratio * kRetryBudgetShare,
                             this->settings.retry_slack * kRetryBudgetShare /
                                 static_cast<double>(this->instance_count));
}

void Dispatcher::SetRetryLimits(double ratio, double slack) {
  if (ratio == this->settings.retry_ratio &&
      slack == this->settings.retry_slack) {
    return;
  }
  this->settings.retry_ratio = ratio;
  this->settings.retry_slack = slack;
  for (auto& [name, state] : this->services) {
    state->budget = this->MakeRetryBudget();
  }
}

Dispatcher::ServiceState& Dispatcher::GetOrCreateServiceState(
    const std::string& service) {
  auto& state = this->services[service];
  if (!state) {
    state = std::make_unique<ServiceState>(this->settings.failure_domain);
    state->budget = this->MakeRetryBudget();
    state->loads.SetInstances(this->instance_count, this->random());
    state->loads.SetSubsetPosition(this->subset_position);
    state->loads.SetEvacuation(this->evacuation, kernel::Now());
    state->loads.SetColdLimit(this->ColdLimitOf(service));
    state->loads.SetColdSenders(this->self, this->instance_names);
  }
  return *state;
}

void Dispatcher::SetConfiguration(
    std::shared_ptr<const model::Configuration> new_config) {
  this->config = new_config;
  for (auto& [name, state] : this->services)
    state->loads.SetColdLimit(this->ColdLimitOf(name));
  this->routes = std::make_unique<routing::RouteTable>(std::move(new_config));
}

policy::ColdLimit Dispatcher::ColdLimitOf(const std::string& service) const {
  policy::ColdLimit limit;
  if (!this->config || this->settings.cold_rate_factor <= 0) return limit;
  const auto found = this->config->services.find(service);
  if (found == this->config->services.end() || found->second.cold_rate <= 0)
    return limit;
  limit.requests_per_second =
      found->second.cold_rate * this->settings.cold_rate_factor +
      this->settings.cold_rate_slack;
  limit.cold_time = found->second.cold_time;
  return limit;
}

void Dispatcher::SetColdLimits(double rate_factor, double rate_slack) {
  this->settings.cold_rate_factor = rate_factor;
  this->settings.cold_rate_slack = rate_slack;
  for (auto& [name, state] : this->services)
    state->loads.SetColdLimit(this->ColdLimitOf(name));
}

void Dispatcher::SetInstanceNames(std::string new_self,
                                  policy::InstanceNames by_domain) {
  this->self = std::move(new_self);
  this->instance_names = std::move(by_domain);
  for (auto& [name, state] : this->services)
    state->loads.SetColdSenders(this->self, this->instance_names);
}

bool Dispatcher::IsCold(const std::string& service, std::string_view id) {
  return this->GetOrCreateServiceState(service).loads.IsCold(id, kernel::Now());
}

std::size_t Dispatcher::ColdCount() const {
  std::size_t count = 0;
  for (const auto& [name, state] : this->services)
    count += state->loads.ColdCount(kernel::Now());
  return count;
}

void Dispatcher::SetServers(ServerDirectory new_directory,
                            Instant unchanged_until) {
  const Instant now = kernel::Now();
  this->directory = std::move(new_directory);
  this->servers_by_id.clear();
  for (const auto& [service, servers] : this->directory) {
    for (const auto& server : servers) this->servers_by_id[server.id] = &server;
    this->GetOrCreateServiceState(service).loads.Update(servers,
                                                        unchanged_until, now);
  }
  for (auto& [name, state] : this->services) {
    if (!this->directory.contains(name))
      state->loads.Update({}, unchanged_until, now);
    this->DispatchQueue(*state, now);
  }
}

void Dispatcher::SetOwners(const ranges::RangeTable& table) {
  ServiceState& state = this->GetOrCreateServiceState(table.service);
  state.owners = table;
  for (const std::uint64_t id : state.waiting.Ids()) {
    Job& job = *this->jobs.at(id);
    job.dispatch_after = kernel::kNever;
    state.waiting.Move(id, OwnerOf(job, state), NotBefore(job, state));
  }
  this->DispatchQueue(state, kernel::Now());
}

void Dispatcher::SetEvacuation(const policy::Evacuation& new_evacuation) {
  this->evacuation = new_evacuation;
  for (auto& [name, state] : this->services) {
    state->loads.SetEvacuation(new_evacuation, kernel::Now());
    this->DispatchQueue(*state, kernel::Now());
  }
}

void Dispatcher::SetInstanceCount(std::size_t count) {
  if (count == 0 || count == this->instance_count) return;
  this->instance_count = count;
  for (auto& [name, state] : this->services) {
    state->loads.SetInstances(count, this->random());
    state->budget.SetCapacity(this->settings.retry_slack * kRetryBudgetShare /
                              static_cast<double>(count));
  }
}

void Dispatcher::SetSubsetPosition(const policy::SubsetPosition& position) {
  this->subset_position = position;
  for (auto& [name, state] : this->services)
    state->loads.SetSubsetPosition(position);
}

double Dispatcher::RelativeSpeed(const std::string& service,
                                 std::string_view id) {
  return this->GetOrCreateServiceState(service).loads.RelativeSpeed(
      id, kernel::Now());
}

Duration Dispatcher::LongestQueueTime(const std::string& service) {
  return kQueuedPerSlot *
         this->GetOrCreateServiceState(service).loads.MeanServiceTime();
}

std::size_t Dispatcher::WaitingCount(const std::string& service) const {
  const auto found = this->services.find(service);
  return found == this->services.end() ? 0 : found->second->waiting.Size();
}

std::vector<policy::ServerView> Dispatcher::ServerViews(
    const std::string& service) {
  return this->GetOrCreateServiceState(service).loads.ServerViews(
      kernel::Now());
}

Dispatcher::Job* Dispatcher::Accept(const net::RequestRef& ref,
                                    net::HttpRequest request) {
  const Instant now = kernel::Now();
  auto new_job = std::make_unique<Job>();
  Job& job = *new_job;
  job.id = ++this->last_job_id;
  job.ref = ref;
  job.request = std::move(request);
  job.arrived_at = now;
  job.deadline = now + kernel::seconds(1);
  this->job_ids_by_ref[ref] = job.id;
  this->jobs[job.id] = std::move(new_job);

  auto metadata = this->wire.DecodeMetadata(job.request);
  if (!metadata) {
    this->Refuse(job, metadata.error().kind, metadata.error().detail, {});
    return nullptr;
  }
  job.metadata = std::move(metadata.value());
  if (!this->routes) {
    this->Refuse(job, ErrorKind::kNoManifest, "no configuration received yet",
                 kNotReadyRetryAfter);
    return nullptr;
  }
  job.route = this->routes->Find(net::FindHeader(job.request.headers, "host"),
                                 PathOf(job.request.url));
  if (job.route == nullptr) {
    const bool config_is_newest =
        this->config_is_current && !this->config->lacks_routes;
    this->Refuse(
        job,
        config_is_newest ? ErrorKind::kUnknownService : ErrorKind::kNoManifest,
        "no route matches the host and path", kNotReadyRetryAfter);
    return nullptr;
  }
  job.config = this->config;
  job.service = this->routes->SelectService(*job.route);
  const Duration timeout = std::min(
      job.metadata.timeout.value_or(job.route->timeout), job.route->timeout);
  job.deadline = now + timeout;
  job.objective = now + job.route->latency_objective;
  const auto service = job.config->services.find(job.service);
  job.keyed = service != job.config->services.end() && service->second.keyed;
  if (job.keyed && !job.metadata.key) {
    this->Refuse(job, ErrorKind::kBadRequest,
                 "the service requires a key, the request has none", {});
    return nullptr;
  }
  return &job;
}

void Dispatcher::OnRequest(const net::RequestRef& ref,
                           net::HttpRequest request) {
  Job* job = this->Accept(ref, std::move(request));
  if (job == nullptr) return;
  const Instant now = kernel::Now();
  ServiceState& state = this->GetOrCreateServiceState(job->service);
  if (this->loop_lag.Refuses(job->route->latency_objective, now)) {
    this->CountQueueRefusal(*job, "behind");
    this->Refuse(*job, ErrorKind::kQueueFull, "this instance is behind",
                 this->loop_lag.Behind(now));
    return;
  }
  state.budget.OnFirstAttempt(now);
  if (job->keyed && this->on_key_used) {
    this->on_key_used(job->service, *job->metadata.key);
  }
  this->Dispatch(*job, now);
}

void Dispatcher::Dispatch(Job& job, Instant now) {
  ServiceState& state = this->GetOrCreateServiceState(job.service);
  DispatchDecision decision = this->FindServer(job, state, now);
  switch (decision.kind) {
    case DispatchDecision::Kind::kSend:
      this->Send(job, state, decision.server_id, now);
      return;
    case DispatchDecision::Kind::kQueue:
      this->Enqueue(job, state, now);
      return;
    case DispatchDecision::Kind::kRefuse:
      this->Refuse(job, decision);
      return;
  }
}

void Dispatcher::Refuse(Job& job, const DispatchDecision& decision) {
  if (decision.withheld_by) this->CountWithheld(job, *decision.withheld_by);
  if (decision.back_off_left.count() > 0) {
    this->RefuseUntil(job, decision.refusal, decision.why,
                      decision.back_off_left);
    return;
  }
  this->Refuse(job, decision.refusal, decision.why, decision.retry_after);
}

Dispatcher::DispatchDecision Dispatcher::FindServer(Job& job,
                                                    ServiceState& state,
                                                    Instant now) {
  if (!this->FinishesBeforeStop(job, state, now)) {
    return DispatchDecision::RefuseWith(
        ErrorKind::kStopping, "this instance may end before the request does",
        kStoppingRetryAfter);
  }
  if (job.keyed) return this->FindOwner(job, state, now);
  if (!state.loads.HasUsableServer(now)) {
    if (const auto left = state.loads.ShortestBackOffLeft(now)) {
      return DispatchDecision::BackOff(
          "no backend server of the service wants requests now", *left);
    }
    auto refusal = DispatchDecision::RefuseWith(
        ErrorKind::kServerConnect, "the service has no usable backend server",
        kNotReadyRetryAfter);
    if (const auto notice = state.loads.NewestNotice(now))
      refusal.withheld_by = notice->kind;
    return refusal;
  }
  // `first` is whether no other request goes first: a new request is not sent
  // before requests that already wait.
  const bool first = state.waiting.Empty() || job.is_waiting;
  const auto chosen_server_id =
      first ? state.loads.ChooseServer(job.tried_servers, now,
                                       [this] { return this->RandomUnit(); })
            : std::nullopt;
  return chosen_server_id ? DispatchDecision::SendTo(*chosen_server_id)
                          : DispatchDecision();
}

Dispatcher::DispatchDecision Dispatcher::FindOwner(Job& job,
                                                   ServiceState& state,
                                                   Instant now) {
  if (now < job.dispatch_after) return {};
  const auto* range =
      state.owners ? state.owners->Find(*job.metadata.key) : nullptr;
  if (range == nullptr || range->owner.empty()) {
    return DispatchDecision::RefuseWith(ErrorKind::kNoOwner,
                                        "no backend server owns the key");
  }
  if (range->moving) {
    const bool wait_expired = job.is_waiting && now >= job.wait_deadline;
    return wait_expired
               ? DispatchDecision::RefuseWith(
                     ErrorKind::kOwnershipMoving,
                     "the key's ownership is still moving to another server")
               : DispatchDecision();
  }
  // The owner would reject a request under the same grant again, or its address
  // now belongs to another server.
  if (job.rejected_fence == range->fence) {
    return DispatchDecision::RefuseWith(ErrorKind::kServerFenced,
                                        "the key's owner rejected the key");
  }
  const auto listed_owner = this->servers_by_id.find(range->owner);
  if (listed_owner == this->servers_by_id.end()) {
    return DispatchDecision::RefuseWith(
        ErrorKind::kNoOwner,
        "the key's owner is no longer a registered server");
  }
  // A draining owner still serves its keys until they have moved.
  const auto drain_deadline = state.loads.DrainDeadline(range->owner);
  if (drain_deadline && now > *drain_deadline) {
    auto refusal = DispatchDecision::RefuseWith(
        ErrorKind::kNoOwner,
        "the key's owner is draining and its keys have not moved in time");
    if (state.loads.FindNotice(range->owner, true, now))
      refusal.withheld_by = policy::NoticeKind::kDraining;
    return refusal;
  }
  const Duration back_off_left = state.loads.BackOffLeft(range->owner, now);
  if (back_off_left.count() > 0) {
    return DispatchDecision::BackOff("the key's owner wants no requests now",
                                     back_off_left);
  }
  if (state.loads.IsEjected(range->owner, now)) {
    return DispatchDecision::RefuseWith(
        ErrorKind::kServerConnect,
        "the key's owner is ejected after failed attempts");
  }
  const Instant cold_until = state.loads.NextSendToOwner(range->owner, now);
  if (cold_until > now) {
    return DispatchDecision::RefuseWith(
        ErrorKind::kQueueFull, "the key's owner is cold", cold_until - now);
  }
  const Duration full_for = state.loads.FullFor(range->owner, now);
  const Instant wait_deadline =
      job.is_waiting ? job.wait_deadline : now + MaxWait(*job.route);
  if (now + full_for > wait_deadline) {
    return DispatchDecision::RefuseWith(ErrorKind::kQueueFull,
                                        "the key's owner is full", full_for);
  }
  const bool others_wait =
      !job.is_waiting && state.waiting.Next(range->owner, now).has_value();
  if (others_wait || !state.loads.HasCapacity(range->owner, now)) return {};
  job.owner_fence = range->fence;
  return DispatchDecision::SendTo(range->owner);
}

std::string Dispatcher::OwnerOf(const Job& job, const ServiceState& state) {
  if (!job.keyed || !state.owners) return "";
  const auto* range = state.owners->Find(*job.metadata.key);
  return range == nullptr ? "" : range->owner;
}

Instant Dispatcher::NotBefore(const Job& job, const ServiceState& state) {
  if (!job.keyed || !state.owners) return kernel::kNever;
  const auto* range = state.owners->Find(*job.metadata.key);
  const bool is_moving = range != nullptr && range->moving;
  // Whoever owns a moving key next is told by the next table of owners.
  return is_moving ? Instant::max() : job.dispatch_after;
}

void Dispatcher::Enqueue(Job& job, ServiceState& state, Instant now) {
  if (job.is_waiting) return;
  policy::WaitingRequest request;
  request.id = job.id;
  request.owner = OwnerOf(job, state);
  request.priority = job.route->priority;
  policy::QueueState queue;
  queue.service_time = state.loads.MeanServiceTime();
  queue.requests_ahead =
      state.waiting.CountAhead(request.owner, request.priority);
  // The completions that one instance observes are only a part of the
  // throughput of a server that serves many instances.
  queue.completions_per_second =
      job.keyed ? state.loads.MaxThroughput(request.owner, now)
                : state.rate.PerSecond(now);
  queue.max_wait = MaxWait(*job.route);
  const policy::QueueCandidate candidate{
      job.objective - now, job.deadline - now,
      state.waiting.HasInTime(request.owner, now)};
  switch (policy::PlaceInQueue(queue, candidate)) {
    case policy::QueuePlace::kWaitTooLong:
      this->CountQueueRefusal(job, "wait");
      this->Refuse(job, ErrorKind::kQueueFull,
                   "the expected wait for a server is too long",
                   policy::ExpectedWait(queue));
      return;
    case policy::QueuePlace::kLate:
      this->CountQueueRefusal(job, "late");
      this->Refuse(job, ErrorKind::kQueueFull,
                   "the answer would miss its latency objective while requests "
                   "wait that can meet theirs",
                   policy::ExpectedWait(queue));
      return;
    case policy::QueuePlace::kInTime:
    case policy::QueuePlace::kLeftOver:
      break;
  }
  job.is_waiting = true;
  job.wait_deadline = now + queue.max_wait;
  request.in_time_until = job.objective - queue.service_time;
  request.give_up_at = std::min(job.wait_deadline, job.deadline);
  request.not_before = NotBefore(job, state);
  state.waiting.Insert(std::move(request));
}

/// Returns whether the request no longer waits.
bool Dispatcher::DispatchWaiting(Job& job, ServiceState& state, Instant now) {
  const DispatchDecision decision = this->FindServer(job, state, now);
  if (decision.kind == DispatchDecision::Kind::kQueue) return false;
  state.waiting.Remove(job.id);
  job.is_waiting = false;
  if (decision.kind == DispatchDecision::Kind::kSend) {
    this->Send(job, state, decision.server_id, now);
  } else {
    this->Refuse(job, decision);
  }
  return true;
}

/// A refusal can end connections, whose requests leave the queue meanwhile, so
/// that each step asks the queue anew.
void Dispatcher::DispatchQueue(ServiceState& state, Instant now) {
  if (this->stop_end) this->RefuseAfterStop(state, now);
  for (const std::string& owner : state.waiting.Owners()) {
    while (const auto id = state.waiting.Next(owner, now)) {
      if (!this->DispatchWaiting(*this->jobs.at(*id), state, now)) break;
    }
    const Instant full_until = now + state.loads.FullFor(owner, now);
    while (const auto id = state.waiting.NextToGiveUp(owner, full_until)) {
      if (!this->DispatchWaiting(*this->jobs.at(*id), state, now)) break;
    }
  }
  while (const auto id = state.waiting.NextExpired(now)) {
    Job& job = *this->jobs.at(*id);
    if (this->DispatchWaiting(job, state, now)) continue;
    this->CountQueueRefusal(job, "expired");
    this->Refuse(job, ErrorKind::kDeadlineTooShort,
                 "no server became free within the allowed wait",
                 state.loads.MeanServiceTime());
  }
}

void Dispatcher::RefuseAfterStop(ServiceState& state, Instant now) {
  for (const std::uint64_t id : state.waiting.Ids()) {
    const auto found = this->jobs.find(id);
    if (found == this->jobs.end() || !found->second->is_waiting) continue;
    if (!this->FinishesBeforeStop(*found->second, state, now))
      this->DispatchWaiting(*found->second, state, now);
  }
}

void Dispatcher::Send(Job& job, ServiceState& state,
                      const std::string& server_id, Instant now) {
  const auto found = this->servers_by_id.find(server_id);
  if (found == this->servers_by_id.end()) {
    this->Refuse(job, ErrorKind::kInternal,
                 "the chosen server is not in the directory", {});
    return;
  }
  const model::BackendServer& server = *found->second;
  state.loads.OnSent(server_id, now);
  job.server_id = server_id;
  job.server_life = server.life;
  job.server_address = server.address;
  job.sent_at = now;
  net::Exchange exchange;
  exchange.address = server.address;
  exchange.request = this->wire.MakeServerRequest(
      job.request, server, this->ServerDeadline(job) - now);
  exchange.deadline = this->ServerDeadline(job);
  exchange.may_repeat = job.route->idempotent;
  // A server may write an earlier answer once more on a kept connection. Only
  // an id that the connection has not carried yet tells the answers apart.
  exchange.fresh_connection =
      job.metadata.id.empty() ||
      std::ranges::find(job.tried_addresses, server.address) !=
          job.tried_addresses.end();
  const auto service = job.config->services.find(job.service);
  if (service != job.config->services.end()) {
    const auto share = policy::ShareOfConnections(
        service->second.max_connections, this->instance_count);
    exchange.max_idle = share.max_idle;
    exchange.idle_time_factor = share.idle_time_factor;
  }
  exchange.is_wanted = [this, ref = job.ref] {
    return !this->front->HasCallerLeft(ref);
  };
  exchange.renew = [this, id = job.id, server] {
    const Job& waiting = *this->jobs.at(id);
    return this->wire.MakeServerRequest(
        waiting.request, server, this->ServerDeadline(waiting) - kernel::Now());
  };
  exchange.may_send = [this, &state, keyed = job.keyed,
                       run = policy::ServerRun{server_id, server.life}] {
    return state.loads.MaySend(run, keyed, kernel::Now());
  };
  exchange.belongs = [this,
                      id = job.metadata.id](const net::HttpAnswer& answer) {
    return this->wire.MatchesRequest(answer, id);
  };
  exchange.done = [this, id = job.id](net::TransferResult result) {
    this->OnTransfer(id, std::move(result));
  };
  job.transfer = this->links.Start(std::move(exchange));
}

bool Dispatcher::FinishesBeforeStop(const Job& job, const ServiceState& state,
                                    Instant now) const {
  if (!this->stop_end) return true;
  policy::StopRequest request;
  request.latency_objective = job.route->latency_objective;
  request.time_left = job.deadline - now;
  request.service_time = state.loads.MeanServiceTime();
  request.idempotent = job.route->idempotent;
  return policy::FinishesBeforeStop(request, *this->stop_end - now);
}

Instant Dispatcher::ServerDeadline(const Job& job) const {
  return std::min(job.deadline, this->stop_end.value_or(job.deadline));
}

void Dispatcher::DispatchWaitingRequests(Instant now) {
  this->loop_lag.OnTick(now);
  for (auto& [name, state] : this->services) {
    if (!state->waiting.Empty()) this->DispatchQueue(*state, now);
  }
}

}  // namespace chervilmux::dispatch
