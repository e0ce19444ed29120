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
constexpr Duration kBelievedLiveFor = 1s;
constexpr Duration kRefusalDelay = 5ms;

Duration Scaled(Duration duration, std::int64_t ppm) {
  return duration + duration * ppm / 1'000'000;
}

}  // namespace

ownership::CellTiming TestTiming() {
  ownership::CellTiming timing;
  timing.isolation_budget = 4s;
  timing.max_request = 1s;
  timing.list_lag = 1s;
  timing.store_timeout = 1s;
  return timing;
}

VirtualCell::VirtualCell(const VirtualCellConfig& config)
    : config(config), random(config.seed) {
  for (std::size_t i = 0; i < config.instances; ++i) {
    Instance instance;
    instance.id = {"i" + std::to_string(i), 1};
    instance.clock_offset = milliseconds(this->Random(1'000'000));
    instance.clock_ppm = static_cast<std::int64_t>(this->Random(900)) - 450;
    instance.next_tick = this->now + milliseconds(this->Random(20));
    this->instances.push_back(std::move(instance));
  }
  for (std::size_t i = 0; i < config.servers; ++i) {
    Server server;
    server.name = "s" + std::to_string(i);
    server.clock_offset = milliseconds(this->Random(1'000'000));
    server.clock_ppm = static_cast<std::int64_t>(this->Random(900)) - 450;
    server.keeper =
        std::make_unique<fakes::ServerGrants>(1, config.servers_check_tokens);
    this->servers.push_back(std::move(server));
  }
  for (std::size_t i = 0; i < kKeys; ++i) {
    this->keys.push_back(ownership::HashKey("key" + std::to_string(i)));
  }
  this->ResetGaps();
  for (std::size_t i = 0; i < config.instances; ++i) this->MakeMachine(i);
}

// --- Time and delivery -------------------------------------------------------

std::uint64_t VirtualCell::Random(std::uint64_t below) {
  return this->random() % below;
}

kernel::Instant VirtualCell::Local(const Instance& instance) const {
  return Instant(instance.clock_offset +
                 Scaled(this->now.time_since_epoch(), instance.clock_ppm));
}

std::int64_t VirtualCell::ServerClock(const Server& server) const {
  return (server.clock_offset +
          Scaled(this->now.time_since_epoch(), server.clock_ppm))
      .count();
}

void VirtualCell::After(Duration delay, std::function<void()> action) {
  this->events.emplace(this->now + delay, std::move(action));
}

Duration VirtualCell::NetworkDelay() {
  // Mostly quick; now and then a message lingers.
  if (this->Random(200) == 0) return milliseconds(20 + this->Random(800));
  return Duration(200 + this->Random(2000));
}

bool VirtualCell::IsCut(std::size_t from, std::size_t to) const {
  return this->cuts.contains({from, to});
}

void VirtualCell::CutBoth(std::size_t left, std::size_t right) {
  this->Cut(left, right);
  this->Cut(right, left);
}

void VirtualCell::ToInstance(std::size_t from, std::size_t to,
                             std::function<void()> action) {
  if (this->IsCut(from, to)) return;
  const std::uint64_t life = this->instances[to].id.incarnation;
  this->After(this->NetworkDelay(),
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

void VirtualCell::ToServer(std::size_t from, std::size_t server,
                           std::function<void()> action) {
  if (this->IsCut(from, this->ServerNode(server))) return;
  this->After(this->NetworkDelay(),
              [this, server, action = std::move(action)]() mutable {
                Server& target = this->servers[server];
                if (!target.alive) return;
                if (target.frozen) {
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
    this->Judge();
  }
}

// --- Faults ------------------------------------------------------------------

void VirtualCell::MakeMachine(std::size_t i) {
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
  // The platform's list notices within its lag.
  const ownership::InstanceId id = instance.id;
  this->After(milliseconds(this->Random(900)), [this, id] {
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
  this->MakeMachine(i);
}

void VirtualCell::PauseInstance(std::size_t i) {
  if (this->instances[i].alive) this->instances[i].paused = true;
}

void VirtualCell::ResumeInstance(std::size_t i) {
  Instance& instance = this->instances[i];
  if (!instance.paused) return;
  instance.paused = false;
  const auto backlog = std::exchange(instance.backlog, {});
  // What was about to be sent when the pause began is sent first, unchecked
  // timers come after.
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
  this->servers[i].frozen = false;
  this->servers[i].backlog.clear();
  this->servers[i].keeper = std::make_unique<fakes::ServerGrants>(
      0, this->config.servers_check_tokens);
}

void VirtualCell::RestartServer(std::size_t i) {
  this->KillServer(i);
  Server& server = this->servers[i];
  server.alive = true;
  server.incarnation += 1;
  server.keeper = std::make_unique<fakes::ServerGrants>(
      server.incarnation, this->config.servers_check_tokens);
  server.clock_offset = milliseconds(this->Random(1'000'000));
}

void VirtualCell::PauseServer(std::size_t i) {
  if (this->servers[i].alive) this->servers[i].frozen = true;
}

void VirtualCell::ResumeServer(std::size_t i) {
  Server& server = this->servers[i];
  if (!server.frozen) return;
  server.frozen = false;
  const auto backlog = std::exchange(server.backlog, {});
  for (const auto& action : backlog) action();
}

void VirtualCell::SetLeaving(std::size_t i, bool leaving) {
  this->servers[i].leaving = leaving;
}

void VirtualCell::SetWeight(std::size_t i, double weight) {
  this->servers[i].weight = weight;
}

void VirtualCell::Pin(std::size_t key, std::size_t server) {
  this->pins[this->keys[key]] = this->servers[server].name;
}

void VirtualCell::RollBackStore() { this->stored = this->first_stored; }

void VirtualCell::EndFaults() {
  this->Heal();
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

ownership::Neighbourhood VirtualCell::NeighbourhoodOf(std::size_t i) const {
  ownership::Neighbourhood result;
  for (std::size_t j = 0; j < this->instances.size(); ++j) {
    const Instance& other = this->instances[j];
    const bool believed =
        other.alive || this->now < other.killed_at + kBelievedLiveFor;
    if (other.stopping) result.leaving.push_back(other.id);
    if (!believed || other.stopping || this->IsCut(j, i)) continue;
    result.candidates.push_back(other.id);
  }
  result.gone = this->instances[i].gone;
  return result;
}

void VirtualCell::ReadList(std::size_t i) {
  // The list is the platform's too: it is away when the store is.
  const bool away = this->store_mode == StoreMode::kDown ||
                    this->store_mode == StoreMode::kSilent ||
                    this->IsCut(this->StoreNode(), i) ||
                    this->IsCut(i, this->StoreNode());
  if (away) return;
  Instance& instance = this->instances[i];
  for (std::size_t k = instance.gone.size(); k < this->listed_gone.size();
       ++k) {
    instance.gone.push_back(this->listed_gone[k]);
    instance.gone.back().since = this->Local(instance);
  }
}

std::vector<ownership::DesiredServer> VirtualCell::Desired() const {
  std::vector<ownership::DesiredServer> desired;
  for (const auto& server : this->servers) {
    desired.push_back({server.name, server.weight, server.leaving});
  }
  return desired;
}

void VirtualCell::Tick(std::size_t i) {
  Instance& instance = this->instances[i];
  const Instant local = this->Local(instance);
  this->ReadList(i);
  instance.machine->OnNeighbourhood(this->NeighbourhoodOf(i), local);
  instance.machine->OnDesiredServers(this->Desired());
  instance.machine->OnOverrides(this->pins);
  this->ReportMoving(i);
  ownership::Actions actions;
  instance.machine->OnTick(local, actions);
  this->Perform(i, actions);
  this->SendRequests(i);
}

void VirtualCell::Perform(std::size_t i, const ownership::Actions& actions) {
  const ownership::CellMachine& machine = *this->instances[i].machine;
  if (machine.HasRow()) {
    this->NoteRow(machine.Newest());
    this->NoteRow(machine.Serving());
  }
  for (const auto& action : actions) {
    std::visit([&](const auto& one) { this->Do(i, one); }, action);
  }
}

void VirtualCell::Do(std::size_t i, const ownership::ReadRow& action) {
  this->AtStore(
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

void VirtualCell::Do(std::size_t i, const ownership::WriteRow& action) {
  this->AtStore(
      i, [this, action] { return this->Write(action); }, true, action.request);
}

ownership::StoreReply VirtualCell::Write(const ownership::WriteRow& action) {
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

void VirtualCell::AtStore(std::size_t i,
                          std::function<ownership::StoreReply()> serve,
                          bool is_write, std::uint64_t request) {
  const std::size_t node = this->StoreNode();
  if (this->IsCut(i, node) || this->store_mode == StoreMode::kSilent) return;
  const auto answer = [this, i, node, request](ownership::StoreReply reply) {
    reply.request = request;
    this->ToInstance(node, i, [this, i, reply] {
      ownership::Actions actions;
      Instance& instance = this->instances[i];
      instance.machine->OnStore(reply, this->Local(instance), actions);
      this->Perform(i, actions);
    });
  };
  if (this->store_mode == StoreMode::kDown) {
    this->After(kRefusalDelay, [answer] { answer({}); });
    return;
  }
  Duration delay = this->NetworkDelay();
  if (this->store_mode == StoreMode::kSlow) {
    delay += milliseconds(100 + this->Random(800));
  }
  const bool lost = is_write && this->store_mode == StoreMode::kLosesAnswers;
  this->After(delay, [serve = std::move(serve), answer, lost] {
    const ownership::StoreReply reply = serve();
    if (!lost) answer(reply);
  });
}

void VirtualCell::Do(std::size_t i, const ownership::SendPeer& action) {
  if (action.message.row) this->NoteRow(*action.message.row);
  if (action.message.serving) this->NoteRow(*action.message.serving);
  for (std::size_t to = 0; to < this->instances.size(); ++to) {
    if (this->instances[to].id.name != action.to.name) continue;
    this->ToInstance(i, to, [this, to, message = action.message] {
      ownership::Actions actions;
      Instance& instance = this->instances[to];
      instance.machine->OnPeer(message, this->Local(instance), actions);
      this->Perform(to, actions);
    });
  }
}

void VirtualCell::Do(std::size_t i, const ownership::SendGrant& action) {
  const auto found =
      std::ranges::find(this->servers, action.server, &Server::name);
  const auto s = static_cast<std::size_t>(found - this->servers.begin());
  const Instant ordered_at = this->Local(this->instances[i]);
  this->ToServer(i, s, [this, i, s, ordered_at, order = action.order] {
    Server& server = this->servers[s];
    ownership::GrantReply reply =
        server.keeper->HandleOrder("cell", order, this->ServerClock(server));
    if (reply.accepted) {
      server.version = order.version;
      server.serving = order.serving;
    }
    reply.server = server.name;
    reply.ordered_at = ordered_at;
    this->ToInstance(this->ServerNode(s), i, [this, i, reply] {
      ownership::Actions actions;
      Instance& instance = this->instances[i];
      instance.machine->OnGrant(reply, this->Local(instance), actions);
      this->Perform(i, actions);
    });
  });
}

void VirtualCell::SendRequests(std::size_t i) {
  const Instance& instance = this->instances[i];
  const ownership::CellMachine& machine = *instance.machine;
  if (machine.CurrentRole() != ownership::CellMachine::Role::kLeader) return;
  const ownership::Placement serving(machine.Serving());
  const ownership::Placement newest(machine.Newest());
  const std::size_t key = this->Random(this->keys.size());
  const std::string owner(serving.OwnerOf(this->keys[key]));
  if (owner.empty() || newest.OwnerOf(this->keys[key]) != owner) return;
  const Instant local = this->Local(instance);
  if (machine.SendUntil(owner) <= local) return;
  const auto found = std::ranges::find(this->servers, owner, &Server::name);
  const auto s = static_cast<std::size_t>(found - this->servers.begin());
  const ownership::Token token = machine.TokenFor(owner);
  const ownership::RowVersion version = machine.Serving().version;
  const Instant sent = this->now;
  const Duration bound = this->config.timing.max_request;
  this->in_flight[{i, s}][key] += 1;
  const auto finish = [this, i, s, key] { this->in_flight[{i, s}][key] -= 1; };
  const bool checks = this->config.servers_check_tokens;
  auto ended = std::make_shared<bool>(false);
  const auto end_once = [ended, finish] {
    if (!std::exchange(*ended, true)) finish();
  };
  this->ToServer(i, s, [this, s, key, token, version, sent, bound, end_once] {
    Server& server = this->servers[s];
    // A request carries its deadline; no server starts one after it.
    if (this->now >= sent + bound) return;
    const bool runs =
        server.keeper->MayRun("cell", token, this->ServerClock(server));
    if (runs) this->Execute(key, s, version);
    this->After(this->NetworkDelay(), end_once);
  });
  // Without an answer the sender counts it until its deadline; where servers
  // check tokens it may give up sooner.
  this->After(checks ? milliseconds(1 + this->Random(30)) : bound, end_once);
}

void VirtualCell::ReportMoving(std::size_t i) {
  ownership::CellMachine& machine = *this->instances[i].machine;
  if (!machine.Moving()) return;
  const ownership::Placement newest(machine.Newest());
  for (std::size_t s = 0; s < this->servers.size(); ++s) {
    std::size_t count = 0;
    for (const auto& [key, running] : this->in_flight[{i, s}]) {
      const bool moves =
          newest.OwnerOf(this->keys[key]) != this->servers[s].name;
      if (moves && running > 0) count += 1;
    }
    machine.OnMovingInFlight(this->servers[s].name, count);
  }
}

}  // namespace chervilmux::scenario
