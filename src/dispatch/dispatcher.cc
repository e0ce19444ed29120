#include "dispatch/dispatcher.h"

#include <algorithm>
#include <utility>

#include "dispatch/dispatcher_state.h"

namespace chervilmux::dispatch {
namespace {

using kernel::Duration;
using kernel::ErrorKind;
using kernel::Instant;
using kernel::milliseconds;

/// Share of the allowed repeats that is used: instances count apart.
constexpr double kBudgetShare = 0.8;
/// Assumed until the number of instances is known.
constexpr std::size_t kAssumedInstances = 12;
/// Share of the objective that a request may wait for a free server.
constexpr double kWaitShare = 0.4;
/// A caller whose key has no owner comes back after this.
constexpr Duration kNoOwnerWait = milliseconds(300);

std::string_view PathOf(std::string_view target) {
  return target.substr(0, target.find('?'));
}

}  // namespace

/// Where a request goes: a server, the queue, or nowhere.
struct Dispatcher::Placement {
  enum class Kind : std::uint8_t { kServer, kWait, kRefuse };
  Kind kind = Kind::kWait;
  std::string server_id;
  ErrorKind refusal = ErrorKind::kNoOwner;
  std::string why;
  Duration retry_after = kNoOwnerWait;

  static Placement To(std::string id) {
    Placement placement;
    placement.kind = Kind::kServer;
    placement.server_id = std::move(id);
    return placement;
  }
  static Placement No(ErrorKind kind, std::string why,
                      Duration wait = kNoOwnerWait) {
    Placement placement;
    placement.kind = Kind::kRefuse;
    placement.refusal = kind;
    placement.why = std::move(why);
    placement.retry_after = wait;
    return placement;
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

double Dispatcher::Random() {
  return std::uniform_real_distribution<double>(0, 1)(this->random);
}

policy::RetryBudget Dispatcher::FreshBudget() const {
  return policy::RetryBudget(this->settings.retry_ratio * kBudgetShare,
                             this->settings.retry_slack * kBudgetShare /
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
    state->budget = this->FreshBudget();
  }
}

Dispatcher::ServiceState& Dispatcher::StateOf(const std::string& service) {
  auto& state = this->services[service];
  if (!state) {
    state = std::make_unique<ServiceState>(this->settings.failure_domain);
    state->budget = this->FreshBudget();
  }
  return *state;
}

void Dispatcher::SetConfiguration(
    std::shared_ptr<const model::Configuration> new_config) {
  this->config = new_config;
  this->routes = std::make_unique<routing::RouteTable>(std::move(new_config));
}

void Dispatcher::SetServers(ServerDirectory new_directory,
                            Instant unchanged_until) {
  const Instant now = kernel::Now();
  this->directory = std::move(new_directory);
  this->by_id.clear();
  for (const auto& [service, servers] : this->directory) {
    for (const auto& server : servers) this->by_id[server.id] = &server;
    this->StateOf(service).loads.Update(servers, unchanged_until, now);
  }
  for (auto& [name, state] : this->services) {
    if (!this->directory.contains(name))
      state->loads.Update({}, unchanged_until, now);
    this->PlaceWaiting(*state, now);
  }
}

void Dispatcher::SetOwners(const ranges::RangeTable& table) {
  ServiceState& state = this->StateOf(table.service);
  state.owners = table;
  for (const std::uint64_t id : state.waiting) {
    this->jobs.at(id)->place_after = kernel::kNever;
  }
  this->PlaceWaiting(state, kernel::Now());
}

void Dispatcher::SetInstanceCount(std::size_t count) {
  if (count == 0 || count == this->instance_count) return;
  this->instance_count = count;
  for (auto& [name, state] : this->services) {
    state->budget.SetCapacity(this->settings.retry_slack * kBudgetShare /
                              static_cast<double>(count));
  }
}

double Dispatcher::RelativeSpeed(const std::string& service,
                                 std::string_view id) {
  return this->StateOf(service).loads.RelativeSpeed(id, kernel::Now());
}

std::vector<policy::ServerView> Dispatcher::ServerViews(
    const std::string& service) {
  return this->StateOf(service).loads.Views(kernel::Now());
}

Dispatcher::Job* Dispatcher::Accept(const net::RequestRef& ref,
                                    net::HttpRequest request) {
  const Instant now = kernel::Now();
  auto owned = std::make_unique<Job>();
  Job& job = *owned;
  job.id = ++this->last_job_id;
  job.ref = ref;
  job.request = std::move(request);
  job.arrived = now;
  job.deadline = now + kernel::seconds(1);
  this->by_ref[ref] = job.id;
  this->jobs[job.id] = std::move(owned);

  auto metadata = this->wire.DecodeMetadata(job.request);
  if (!metadata) {
    this->Refuse(job, metadata.error().kind, metadata.error().detail, {});
    return nullptr;
  }
  job.metadata = std::move(metadata.value());
  if (!this->routes) {
    this->Refuse(job, ErrorKind::kNoManifest, "no configuration known yet",
                 kNotReadyWait);
    return nullptr;
  }
  job.route = this->routes->Find(net::FindHeader(job.request.headers, "host"),
                                 PathOf(job.request.url));
  if (job.route == nullptr) {
    const bool sure = this->config_is_current;
    this->Refuse(job,
                 sure ? ErrorKind::kUnknownService : ErrorKind::kNoManifest,
                 "no route for this host and path", kNotReadyWait);
    return nullptr;
  }
  job.config = this->config;
  job.service = this->routes->SelectService(*job.route);
  const Duration timeout = std::min(
      job.metadata.timeout.value_or(job.route->timeout), job.route->timeout);
  job.deadline = now + timeout;
  // A less urgent kind is treated as if it had arrived later by a part of its
  // objective, so that it is delayed but never starved.
  constexpr double kPriorityDelay = 0.5;
  const double delay = 1 + kPriorityDelay * job.route->priority;
  job.urgent_at = now + std::chrono::duration_cast<Duration>(
                            job.route->latency_objective * delay);
  const auto service = job.config->services.find(job.service);
  job.keyed = service != job.config->services.end() && service->second.keyed;
  if (job.keyed && !job.metadata.key) {
    this->Refuse(job, ErrorKind::kBadRequest, "the service needs a key", {});
    return nullptr;
  }
  return &job;
}

void Dispatcher::OnRequest(const net::RequestRef& ref,
                           net::HttpRequest request) {
  Job* job = this->Accept(ref, std::move(request));
  if (job == nullptr) return;
  ServiceState& state = this->StateOf(job->service);
  state.budget.OnFirstAttempt();
  if (job->keyed && this->on_key_used) {
    this->on_key_used(job->service, *job->metadata.key);
  }
  this->Place(*job, kernel::Now());
}

void Dispatcher::Place(Job& job, Instant now) {
  ServiceState& state = this->StateOf(job.service);
  Placement placement = this->FindServer(job, state, now);
  switch (placement.kind) {
    case Placement::Kind::kServer:
      this->Send(job, state, placement.server_id, now);
      return;
    case Placement::Kind::kWait:
      this->Wait(job, state, now);
      return;
    case Placement::Kind::kRefuse:
      this->Refuse(job, placement.refusal, placement.why,
                   placement.retry_after);
      return;
  }
}

Dispatcher::Placement Dispatcher::FindServer(Job& job, ServiceState& state,
                                             Instant now) {
  if (job.keyed) return this->FindOwner(job, state, now);
  if (state.loads.Slots(now) == 0) {
    return Placement::No(ErrorKind::kServerConnect, "no usable backend server",
                         kNotReadyWait);
  }
  // Requests that wait go first.
  const bool first = state.waiting.empty() || job.waits;
  const auto chosen =
      first ? state.loads.ChooseServer(job.tried, now,
                                       [this] { return this->Random(); })
            : std::nullopt;
  return chosen ? Placement::To(*chosen) : Placement();
}

Dispatcher::Placement Dispatcher::FindOwner(Job& job, ServiceState& state,
                                            Instant now) {
  if (now < job.place_after) return {};
  const auto* range =
      state.owners ? state.owners->Find(*job.metadata.key) : nullptr;
  if (range == nullptr || range->owner.empty()) {
    return Placement::No(ErrorKind::kNoOwner, "no backend server owns the key");
  }
  if (range->moving) {
    const bool long_wait = job.waits && now >= job.wait_until;
    return long_wait ? Placement::No(ErrorKind::kOwnershipMoving,
                                     "the key is still moving")
                     : Placement();
  }
  // The same grant would be disowned again, or its address is another server's.
  if (job.disowned_fence == range->fence) {
    return Placement::No(ErrorKind::kServerFenced,
                         "the key's owner says that it does not own it");
  }
  const auto listed = this->by_id.find(range->owner);
  if (listed == this->by_id.end()) {
    return Placement::No(ErrorKind::kNoOwner,
                         "the key's owner has left the list");
  }
  // An owner that drains goes on while its keys move.
  if (state.loads.MaxDrainingTime(range->owner, now) >
      model::kLeavingServerGracePeriod) {
    return Placement::No(ErrorKind::kNoOwner,
                         "the key's owner is leaving, its keys have not moved");
  }
  if (state.loads.IsEjected(range->owner, now)) {
    return Placement::No(ErrorKind::kServerConnect,
                         "the key's owner cannot be reached");
  }
  if (!state.loads.HasCapacity(range->owner, now)) return {};
  job.owner_fence = range->fence;
  return Placement::To(range->owner);
}

void Dispatcher::Wait(Job& job, ServiceState& state, Instant now) {
  if (job.waits) return;
  policy::QueueState queue;
  queue.service_time = state.loads.WorkTime();
  queue.requests_ahead = state.waiting.size();
  queue.completions_per_second = state.rate.PerSecond(now);
  if (job.keyed) {
    const auto* range =
        state.owners ? state.owners->Find(*job.metadata.key) : nullptr;
    const std::string owner = range == nullptr ? "" : range->owner;
    queue.requests_ahead = static_cast<std::size_t>(
        std::ranges::count_if(state.waiting, [&](std::uint64_t id) {
          const auto* other =
              state.owners->Find(*this->jobs.at(id)->metadata.key);
          return other->owner == owner;
        }));
    // The answers of one instance tell too little of a server that many ask.
    queue.completions_per_second = state.loads.MaxThroughput(owner, now);
  }
  queue.max_wait = std::chrono::duration_cast<Duration>(
      job.route->latency_objective * kWaitShare);
  if (!policy::ShouldQueue(queue, job.deadline - now)) {
    this->Refuse(job, ErrorKind::kQueueFull, "the wait would be too long",
                 policy::ExpectedWait(queue));
    return;
  }
  job.waits = true;
  job.wait_until = now + queue.max_wait;
  const auto place = std::ranges::upper_bound(
      state.waiting, job.urgent_at, {},
      [this](std::uint64_t id) { return this->jobs.at(id)->urgent_at; });
  state.waiting.insert(place, job.id);
}

void Dispatcher::PlaceWaiting(ServiceState& state, Instant now) {
  const std::vector<std::uint64_t> waiting = state.waiting;
  for (const std::uint64_t id : waiting) {
    const auto found = this->jobs.find(id);
    if (found == this->jobs.end()) continue;
    Job& job = *found->second;
    const Placement placement = this->FindServer(job, state, now);
    if (placement.kind == Placement::Kind::kWait) {
      if (now >= std::min(job.wait_until, job.deadline)) {
        this->Refuse(job, ErrorKind::kDeadlineTooShort,
                     "no server became free in time", state.loads.WorkTime());
      } else if (!job.keyed) {
        return;  // All servers are full, for the others too.
      }
      continue;
    }
    std::erase(state.waiting, id);
    job.waits = false;
    if (placement.kind == Placement::Kind::kServer) {
      this->Send(job, state, placement.server_id, now);
    } else {
      this->Refuse(job, placement.refusal, placement.why,
                   placement.retry_after);
    }
  }
}

void Dispatcher::Send(Job& job, ServiceState& state,
                      const std::string& server_id, Instant now) {
  const auto found = this->by_id.find(server_id);
  if (found == this->by_id.end()) {
    this->Refuse(job, ErrorKind::kInternal, "chosen server is not listed", {});
    return;
  }
  const model::BackendServer& server = *found->second;
  state.loads.OnSent(server_id);
  job.server_id = server_id;
  job.server_address = server.address;
  job.sent_at = now;
  net::Exchange exchange;
  exchange.address = server.address;
  exchange.request =
      this->wire.MakeServerRequest(job.request, server, job.deadline - now);
  exchange.deadline = job.deadline;
  exchange.may_repeat = job.route->idempotent;
  exchange.belongs = [this,
                      id = job.metadata.id](const net::HttpAnswer& answer) {
    return this->wire.MatchesRequest(answer, id);
  };
  exchange.done = [this, id = job.id](net::TransferResult result) {
    this->OnTransfer(id, std::move(result));
  };
  job.transfer = this->links.Start(std::move(exchange));
}

void Dispatcher::DispatchWaitingRequests(Instant now) {
  for (auto& [name, state] : this->services) {
    if (!state->waiting.empty()) this->PlaceWaiting(*state, now);
  }
}

}  // namespace chervilmux::dispatch
