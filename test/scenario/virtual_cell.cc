#include "virtual_cell.h"

#include <algorithm>
#include <utility>

namespace chervilmux::scenario {
namespace {

using kernel::Duration;
using kernel::milliseconds;
using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)

constexpr Duration kStep = 5ms;
constexpr Duration kTickPeriod = 20ms;
constexpr std::size_t kKeys = 24;
constexpr Duration kFailureDetectionTime = 1s;
constexpr Duration kRefusalDelay = 5ms;

Duration Scaled(Duration duration, std::int64_t ppm) {
  return duration + duration * ppm / 1'000'000;
}

}  // namespace

ownership::CellTiming TestTiming() {
  ownership::CellTiming timing;
  timing.isolation_budget = 4s;
  timing.max_request_time = 1s;
  timing.list_lag = 1s;
  timing.store_timeout = 1s;
  return timing;
}

VirtualCell::VirtualCell(const VirtualCellConfig& config)
    : config(config), random(config.seed) {
  for (std::size_t i = 0; i < config.instances; ++i) {
    Instance instance;
    instance.id = {"i" + std::to_string(i), 1};
    instance.clock_offset = milliseconds(this->RandomBelow(1'000'000));
    instance.clock_ppm =
        static_cast<std::int64_t>(this->RandomBelow(900)) - 450;
    instance.next_tick = this->now + milliseconds(this->RandomBelow(20));
    this->instances.push_back(std::move(instance));
  }
  for (std::size_t i = 0; i < config.servers; ++i) {
    Server server;
    server.name = "s" + std::to_string(i);
    server.clock_offset = milliseconds(this->RandomBelow(1'000'000));
    server.clock_ppm = static_cast<std::int64_t>(this->RandomBelow(900)) - 450;
    server.grants =
        std::make_unique<fakes::ServerGrants>(1, config.servers_check_tokens);
    this->servers.push_back(std::move(server));
  }
  for (std::size_t i = 0; i < kKeys; ++i) {
    this->keys.push_back(ownership::HashKey("key" + std::to_string(i)));
  }
  this->ResetGaps();
  for (std::size_t i = 0; i < config.instances; ++i) this->StartMachine(i);
}

// --- Time and delivery -------------------------------------------------------

std::uint64_t VirtualCell::RandomBelow(std::uint64_t limit) {
  return this->random() % limit;
}

kernel::Instant VirtualCell::LocalTime(const Instance& instance) const {
  return Instant(instance.clock_offset +
                 Scaled(this->now.time_since_epoch(), instance.clock_ppm));
}

std::int64_t VirtualCell::ServerClockUs(const Server& server) const {
  return (server.clock_offset +
          Scaled(this->now.time_since_epoch(), server.clock_ppm))
      .count();
}

void VirtualCell::Schedule(Duration delay, std::function<void()> action) {
  this->events.emplace(this->now + delay, std::move(action));
}

Duration VirtualCell::RandomNetworkDelay() {
  // One message in 200 is slow.
  if (this->RandomBelow(200) == 0)
    return milliseconds(20 + this->RandomBelow(800));
  return Duration(200 + this->RandomBelow(2000));
}

bool VirtualCell::IsCut(std::size_t from, std::size_t to) const {
  return this->cuts.contains({from, to});
}

void VirtualCell::CutBothWays(std::size_t left, std::size_t right) {
  this->CutLink(left, right);
  this->CutLink(right, left);
}

void VirtualCell::SendToInstance(std::size_t from, std::size_t to,
                                 std::function<void()> action) {
  if (this->IsCut(from, to)) return;
  const std::uint64_t life = this->instances[to].id.incarnation;
  this->Schedule(this->RandomNetworkDelay(),
                 [this, to, life, action = std::move(action)]() mutable {
                   Instance& target = this->instances[to];
                   if (!target.alive || target.id.incarnation != life) return;
                   if (target.paused) {
                     target.backlog.push_back(std::move(action));
                   } else {
                     action();
                   }
                 });
}

void VirtualCell::SendToServer(std::size_t from, std::size_t server,
                               std::function<void()> action) {
  if (this->IsCut(from, this->ServerNode(server))) return;
  this->Schedule(this->RandomNetworkDelay(),
                 [this, server, action = std::move(action)]() mutable {
                   Server& target = this->servers[server];
                   if (!target.alive) return;
                   if (target.paused) {
                     target.backlog.push_back(std::move(action));
                   } else {
                     action();
                   }
                 });
}

void VirtualCell::Run(Duration duration) {
  const Instant end = this->now + duration;
  while (this->now < end) {
    const Instant step_end = this->now + kStep;
    while (!this->events.empty() && this->events.begin()->first <= step_end) {
      auto first = this->events.extract(this->events.begin());
      this->now = std::max(this->now, first.key());
      first.mapped()();
    }
    this->now = step_end;
    for (std::size_t i = 0; i < this->instances.size(); ++i) {
      Instance& instance = this->instances[i];
      if (!instance.alive || instance.paused) continue;
      if (this->now < instance.next_tick) continue;
      instance.next_tick = this->now + kTickPeriod;
      this->Tick(i);
    }
    this->CheckInvariants();
  }
}

// --- Faults ------------------------------------------------------------------

void VirtualCell::StartMachine(std::size_t i) {
  Instance& instance = this->instances[i];
  instance.machine = std::make_unique<ownership::CellMachine>(
      instance.id, this->config.timing, this->config.rules);
}

void VirtualCell::KillInstance(std::size_t i) {
  Instance& instance = this->instances[i];
  if (!instance.alive) return;
  instance.alive = false;
  instance.paused = false;
  instance.backlog.clear();
  instance.killed_at = this->now;
  ownership::AddCounters(this->retired_counters, instance.machine->Counters());
  // The instance list of the platform shows the end with a delay.
  const ownership::InstanceId id = instance.id;
  this->Schedule(milliseconds(this->RandomBelow(900)), [this, id] {
    this->listed_gone.push_back({id.name, id.incarnation, kernel::kNever});
  });
}

void VirtualCell::RestartInstance(std::size_t i) {
  Instance& instance = this->instances[i];
  if (instance.alive) this->KillInstance(i);
  instance.alive = true;
  instance.stopping = false;
  instance.gone.clear();
  instance.id.incarnation += 1;
  this->StartMachine(i);
}

void VirtualCell::PauseInstance(std::size_t i) {
  if (this->instances[i].alive) this->instances[i].paused = true;
}

void VirtualCell::ResumeInstance(std::size_t i) {
  Instance& instance = this->instances[i];
  if (!instance.paused) return;
  instance.paused = false;
  const auto backlog = std::exchange(instance.backlog, {});
  // Actions held back by the pause run first, before the next tick checks any
  // timer.
  for (const auto& action : backlog) action();
}

void VirtualCell::StopInstance(std::size_t i) {
  Instance& instance = this->instances[i];
  if (!instance.alive) return;
  instance.stopping = true;
  instance.machine->BeginStop();
}

void VirtualCell::KillServer(std::size_t i) {
  this->servers[i].alive = false;
  this->servers[i].paused = false;
  this->servers[i].backlog.clear();
  this->servers[i].grants = std::make_unique<fakes::ServerGrants>(
      0, this->config.servers_check_tokens);
}

void VirtualCell::RestartServer(std::size_t i) {
  this->KillServer(i);
  Server& server = this->servers[i];
  server.alive = true;
  server.incarnation += 1;
  server.grants = std::make_unique<fakes::ServerGrants>(
      server.incarnation, this->config.servers_check_tokens);
  server.clock_offset = milliseconds(this->RandomBelow(1'000'000));
}

void VirtualCell::PauseServer(std::size_t i) {
  if (this->servers[i].alive) this->servers[i].paused = true;
}

void VirtualCell::ResumeServer(std::size_t i) {
  Server& server = this->servers[i];
  if (!server.paused) return;
  server.paused = false;
  const auto backlog = std::exchange(server.backlog, {});
  for (const auto& action : backlog) action();
}

void VirtualCell::SetLeaving(std::size_t i, bool leaving) {
  this->servers[i].leaving = leaving;
}

void VirtualCell::SetWeight(std::size_t i, double weight) {
  this->servers[i].weight = weight;
}

void VirtualCell::PinKey(std::size_t key, std::size_t server) {
  this->pins[this->keys[key]] = this->servers[server].name;
}

void VirtualCell::RollBackStore() { this->stored = this->first_stored; }

void VirtualCell::EndFaults() {
  this->RestoreLinks();
  this->store_mode = StoreMode::kUp;
  for (std::size_t i = 0; i < this->instances.size(); ++i) {
    this->ResumeInstance(i);
    if (!this->instances[i].alive || this->instances[i].stopping) {
      this->RestartInstance(i);
    }
  }
  for (std::size_t i = 0; i < this->servers.size(); ++i) {
    this->ResumeServer(i);
    this->SetLeaving(i, false);
    if (!this->servers[i].alive) this->RestartServer(i);
  }
}

// --- Instances ---------------------------------------------------------------

ownership::Membership VirtualCell::MembershipOf(std::size_t i) const {
  ownership::Membership result;
  for (std::size_t j = 0; j < this->instances.size(); ++j) {
    const Instance& other = this->instances[j];
    const bool considered_live =
        other.alive || this->now < other.killed_at + kFailureDetectionTime;
    if (other.stopping) result.leaving.push_back(other.id);
    if (!considered_live || other.stopping || this->IsCut(j, i)) continue;
    result.candidates.push_back(other.id);
  }
  result.gone = this->instances[i].gone;
  return result;
}

void VirtualCell::ReadInstanceList(std::size_t i) {
  // The platform also serves the instance list: it is unavailable with the
  // store.
  const bool unavailable = this->store_mode == StoreMode::kDown ||
                           this->store_mode == StoreMode::kSilent ||
                           this->IsCut(this->StoreNode(), i) ||
                           this->IsCut(i, this->StoreNode());
  if (unavailable) return;
  Instance& instance = this->instances[i];
  for (std::size_t k = instance.gone.size(); k < this->listed_gone.size();
       ++k) {
    instance.gone.push_back(this->listed_gone[k]);
    instance.gone.back().since = this->LocalTime(instance);
  }
}

std::vector<ownership::DesiredServer> VirtualCell::DesiredServers() const {
  std::vector<ownership::DesiredServer> desired;
  for (const auto& server : this->servers) {
    desired.push_back({server.name, server.weight, server.leaving});
  }
  return desired;
}

void VirtualCell::Tick(std::size_t i) {
  Instance& instance = this->instances[i];
  const Instant local = this->LocalTime(instance);
  this->ReadInstanceList(i);
  instance.machine->OnMembership(this->MembershipOf(i), local);
  instance.machine->OnDesiredServers(this->DesiredServers());
  instance.machine->OnDesiredOverrides(this->pins);
  this->ReportRequestsForMovingKeys(i);
  ownership::Actions actions;
  instance.machine->OnTick(local, actions);
  this->PerformActions(i, actions);
  this->SendRandomRequest(i);
}

void VirtualCell::PerformActions(std::size_t i,
                                 const ownership::Actions& actions) {
  const ownership::CellMachine& machine = *this->instances[i].machine;
  if (machine.HasRow()) {
    this->RecordRow(machine.NewestRow());
    this->RecordRow(machine.ServingRow());
  }
  for (const auto& action : actions) {
    std::visit([&](const auto& each) { this->PerformAction(i, each); }, action);
  }
}

void VirtualCell::PerformAction(std::size_t i,
                                const ownership::ReadRow& action) {
  this->CallStore(
      i,
      [this] {
        this->store_reads += 1;
        ownership::StoreReply reply;
        reply.status = ownership::StoreReply::Status::kAbsent;
        if (this->stored.revision == 0) return reply;
        reply.status = ownership::StoreReply::Status::kRow;
        reply.revision = this->stored.revision;
        reply.row = ownership::DecodeRow(this->stored.text).value();
        return reply;
      },
      false, action.request);
}

void VirtualCell::PerformAction(std::size_t i,
                                const ownership::WriteRow& action) {
  this->CallStore(
      i, [this, action] { return this->WriteToStore(action); }, true,
      action.request);
}

ownership::StoreReply VirtualCell::WriteToStore(
    const ownership::WriteRow& action) {
  this->store_writes += 1;
  ownership::StoreReply reply;
  if (this->stored.revision != action.expected_revision) {
    reply.status = ownership::StoreReply::Status::kConflict;
    reply.revision = this->stored.revision;
    if (this->stored.revision > 0) {
      reply.row = ownership::DecodeRow(this->stored.text).value();
    }
    return reply;
  }
  this->stored = {action.expected_revision + 1,
                  ownership::EncodeRow(action.row)};
  if (this->first_stored.revision == 0) this->first_stored = this->stored;
  reply.status = ownership::StoreReply::Status::kWritten;
  reply.revision = this->stored.revision;
  return reply;
}

void VirtualCell::CallStore(std::size_t i,
                            std::function<ownership::StoreReply()> execute,
                            bool is_write, std::uint64_t request) {
  const std::size_t node = this->StoreNode();
  if (this->IsCut(i, node) || this->store_mode == StoreMode::kSilent) return;
  const auto answer = [this, i, node, request](ownership::StoreReply reply) {
    reply.request = request;
    this->SendToInstance(node, i, [this, i, reply] {
      ownership::Actions actions;
      Instance& instance = this->instances[i];
      instance.machine->OnStoreReply(reply, this->LocalTime(instance), actions);
      this->PerformActions(i, actions);
    });
  };
  if (this->store_mode == StoreMode::kDown) {
    this->Schedule(kRefusalDelay, [answer] { answer({}); });
    return;
  }
  Duration delay = this->RandomNetworkDelay();
  if (this->store_mode == StoreMode::kSlow) {
    delay += milliseconds(100 + this->RandomBelow(800));
  }
  const bool lost = is_write && this->store_mode == StoreMode::kLosesAnswers;
  this->Schedule(delay, [execute = std::move(execute), answer, lost] {
    const ownership::StoreReply reply = execute();
    if (!lost) answer(reply);
  });
}

void VirtualCell::PerformAction(std::size_t i,
                                const ownership::SendPeerMessage& action) {
  if (action.message.row) this->RecordRow(*action.message.row);
  if (action.message.serving) this->RecordRow(*action.message.serving);
  for (std::size_t to = 0; to < this->instances.size(); ++to) {
    if (this->instances[to].id.name != action.to.name) continue;
    this->SendToInstance(i, to, [this, to, message = action.message] {
      ownership::Actions actions;
      Instance& instance = this->instances[to];
      instance.machine->OnPeerMessage(message, this->LocalTime(instance),
                                      actions);
      this->PerformActions(to, actions);
    });
  }
}

void VirtualCell::PerformAction(std::size_t i,
                                const ownership::SendGrantOrder& action) {
  const auto found =
      std::ranges::find(this->servers, action.server, &Server::name);
  const auto s = static_cast<std::size_t>(found - this->servers.begin());
  const Instant ordered_at = this->LocalTime(this->instances[i]);
  this->SendToServer(i, s, [this, i, s, ordered_at, order = action.order] {
    Server& server = this->servers[s];
    ownership::GrantReply reply =
        server.grants->HandleOrder("cell", order, this->ServerClockUs(server));
    if (reply.accepted) {
      server.version = order.version;
      server.serving = order.serving;
    }
    reply.server = server.name;
    reply.ordered_at = ordered_at;
    this->SendToInstance(this->ServerNode(s), i, [this, i, reply] {
      ownership::Actions actions;
      Instance& instance = this->instances[i];
      instance.machine->OnGrantReply(reply, this->LocalTime(instance), actions);
      this->PerformActions(i, actions);
    });
  });
}

void VirtualCell::SendRandomRequest(std::size_t i) {
  const Instance& instance = this->instances[i];
  const ownership::CellMachine& machine = *instance.machine;
  if (machine.CurrentRole() != ownership::CellMachine::Role::kPrimary) return;
  const ownership::Placement serving(machine.ServingRow());
  const ownership::Placement newest(machine.NewestRow());
  const std::size_t key = this->RandomBelow(this->keys.size());
  const std::string owner(serving.OwnerOf(this->keys[key]));
  if (owner.empty() || newest.OwnerOf(this->keys[key]) != owner) return;
  const Instant local = this->LocalTime(instance);
  if (machine.MaySendUntil(owner) <= local) return;
  const auto found = std::ranges::find(this->servers, owner, &Server::name);
  const auto s = static_cast<std::size_t>(found - this->servers.begin());
  const ownership::Token token = machine.TokenFor(owner);
  const ownership::RowVersion version = machine.ServingRow().version;
  const Instant sent = this->now;
  const Duration bound = this->config.timing.max_request_time;
  this->in_flight[{i, s}][key] += 1;
  const auto finish = [this, i, s, key] { this->in_flight[{i, s}][key] -= 1; };
  const bool tokens_checked = this->config.servers_check_tokens;
  auto finished = std::make_shared<bool>(false);
  const auto finish_once = [finished, finish] {
    if (!std::exchange(*finished, true)) finish();
  };
  this->SendToServer(
      i, s, [this, s, key, token, version, sent, bound, finish_once] {
        Server& server = this->servers[s];
        // A request carries its deadline; a server starts none after its
        // deadline.
        if (this->now >= sent + bound) return;
        const bool runs =
            server.grants->MayRun("cell", token, this->ServerClockUs(server));
        if (runs) this->ExecuteRequest(key, s, version);
        this->Schedule(this->RandomNetworkDelay(), finish_once);
      });
  // Without an answer the sender counts the request as running until its
  // deadline. If servers check tokens, the sender may stop counting it earlier.
  this->Schedule(
      tokens_checked ? milliseconds(1 + this->RandomBelow(30)) : bound,
      finish_once);
}

void VirtualCell::ReportRequestsForMovingKeys(std::size_t i) {
  ownership::CellMachine& machine = *this->instances[i].machine;
  if (!machine.IsChangingOwners()) return;
  const ownership::Placement newest(machine.NewestRow());
  for (std::size_t s = 0; s < this->servers.size(); ++s) {
    std::size_t count = 0;
    for (const auto& [key, running] : this->in_flight[{i, s}]) {
      const bool moves =
          newest.OwnerOf(this->keys[key]) != this->servers[s].name;
      if (moves && running > 0) count += 1;
    }
    machine.OnMovingRequestCount(this->servers[s].name, count);
  }
}

}  // namespace chervilmux::scenario
