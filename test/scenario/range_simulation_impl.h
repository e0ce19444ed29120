/// \file
/// Defines what moves in the virtual world of key ranges: its store, instances
/// and servers, their messages and faults, and the checks. Private to
/// RangeSimulation.

#ifndef CHERVILMUX_TEST_SCENARIO_RANGE_SIMULATION_IMPL_H_
#define CHERVILMUX_TEST_SCENARIO_RANGE_SIMULATION_IMPL_H_

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "range_simulation.h"

namespace chervilmux::scenario {
namespace world {

inline constexpr kernel::Instant kStart =
    kernel::Instant(kernel::seconds(1000));
/// Keys are watched in the groups to whose borders all moves keep.
inline constexpr std::uint32_t kWatchedStep = ranges::kKeysPerBucket;
inline constexpr std::uint32_t kWatchedKeys = ranges::kKeyCount / kWatchedStep;
inline constexpr kernel::Duration kTick = kernel::milliseconds(20);

struct Hold {
  std::uint64_t fence = 0;
  kernel::Instant until = kernel::kNever;
};

struct Server {
  std::string id;
  std::uint64_t life = 1;
  bool up = true;
  bool draining = false;
  bool listed = true;
  double clock_rate = 1.0;  ///< Below 1: its clock is slow.
  std::vector<Hold> holds = std::vector<Hold>(kWatchedKeys);
  std::vector<std::uint64_t> seen = std::vector<std::uint64_t>(kWatchedKeys);
};

struct Instance {
  std::string name;
  std::uint64_t life = 1;
  bool up = true;
  bool led = false;
  kernel::Instant frozen_until = kernel::kNever;
  kernel::Instant store_cut_until = kernel::kNever;
  std::map<unsigned, kernel::Instant> server_cut_until;
  std::unique_ptr<ranges::RangeGrantor> grantor;
};

struct Event {
  kernel::Instant at;
  std::uint64_t order;
  std::function<void()> action;
  bool operator>(const Event& other) const {
    return std::pair(this->at, this->order) > std::pair(other.at, other.order);
  }
};

}  // namespace world

class RangeSimulation::Impl {
 public:
  using Duration = kernel::Duration;
  using Instant = kernel::Instant;
  using Key = ranges::Key;
  using milliseconds = kernel::milliseconds;
  using seconds = kernel::seconds;
  using Event = world::Event;
  using Hold = world::Hold;
  using Instance = world::Instance;
  using Server = world::Server;

  explicit Impl(const RangeSimulationOptions& options)
      : options(options), random(options.seed), now(world::kStart) {
    for (unsigned i = 0; i < options.servers; ++i) {
      Server& server = this->servers.emplace_back();
      server.id = "server-" + std::to_string(i);
      server.clock_rate = i % 2 == 0 ? 1.0 : 0.98;
    }
    for (unsigned i = 0; i < options.instances; ++i) {
      Instance& instance = this->instances.emplace_back();
      instance.name = "instance-" + std::to_string(i);
      this->StartInstance(i);
    }
  }

  void StartInstance(unsigned index) {
    Instance& instance = this->instances[index];
    instance.up = true;
    instance.grantor = std::make_unique<ranges::RangeGrantor>(
        "service", instance.name, 0.1 + 0.3 * index, this->options.timing);
    instance.grantor->Enlist(instance.life);
    instance.grantor->OnInstanceEnded(
        [this](std::string_view name, std::uint64_t life) {
          return std::ranges::any_of(this->instances, [&](const Instance& i) {
            return i.name == name && i.up && i.life > life;
          });
        });
    this->TellServers(instance);
  }

  void Schedule(Duration delay, std::function<void()> action) {
    this->events.push(
        {this->now + delay, ++this->last_event, std::move(action)});
  }

  double Chance() {
    return std::uniform_real_distribution<double>(0, 1)(this->random);
  }
  std::uint64_t Pick(std::uint64_t count) { return this->random() % count; }
  Duration OneWay() {
    return Duration(500 + static_cast<std::int64_t>(this->Pick(3000)));
  }

  RangeSimulationResult Run() {
    this->PlanFaults();
    const Instant end = world::kStart + this->options.length;
    this->Schedule(Duration(0), [this] { this->Tick(); });
    while (!this->events.empty() && this->events.top().at < end) {
      const Event event = this->events.top();
      this->events.pop();
      this->now = event.at;
      event.action();
    }
    const double watched =
        static_cast<double>(this->watched_ticks) * world::kWatchedKeys;
    this->result.owned_share =
        watched > 0 ? static_cast<double>(this->owned_ticks) / watched : 0;
    return this->result;
  }

  void PlanFaults() {
    const auto span = static_cast<std::uint64_t>(this->options.length.count());
    for (unsigned i = 0; i < this->options.faults; ++i) {
      const Duration at(static_cast<std::int64_t>(this->Pick(span)));
      this->Schedule(at, [this] { this->RandomFault(); });
    }
  }

  void RandomFault() {
    const auto length = milliseconds(500 + this->Pick(9000));
    const auto instance = static_cast<unsigned>(
        this->Chance() < 0.5 ? this->Leader().value_or(0)
                             : this->Pick(this->instances.size()));
    const auto server = static_cast<unsigned>(this->Pick(this->servers.size()));
    switch (this->Pick(10)) {
      case 0:
        this->CutServer(instance, server, length);
        break;
      case 1:
        for (unsigned i = 0; i < this->servers.size(); ++i) {
          if (this->Chance() < 0.4) this->CutServer(instance, i, length);
        }
        this->CutStore(instance, length);
        break;
      case 2:
        this->CutStore(instance, length);
        break;
      case 3:
        this->store_down_until = this->now + length;
        break;
      case 4:
        this->KillInstance(instance, length / 3);
        break;
      case 5:
        this->instances[instance].frozen_until = this->now + length;
        break;
      case 6:
        this->CrashServer(server, length / 2);
        break;
      case 7:
        this->servers[server].draining = !this->servers[server].draining;
        this->TellAllServers();
        break;
      case 8:
        this->late_until = this->now + length;
        break;
      default:
        this->servers[server].listed = !this->servers[server].listed;
        this->TellAllServers();
        break;
    }
  }

  // Faults.

  void CutServer(unsigned instance, unsigned server, Duration length) {
    this->instances[instance].server_cut_until[server] = this->now + length;
  }
  void CutStore(unsigned instance, Duration length) {
    this->instances[instance].store_cut_until = this->now + length;
  }
  void KillInstance(unsigned index, Duration down) {
    Instance& instance = this->instances[index];
    if (!instance.up) return;
    instance.up = false;
    instance.life += 1;
    this->Schedule(down, [this, index] { this->StartInstance(index); });
  }
  void CrashServer(unsigned index, Duration down) {
    Server& server = this->servers[index];
    if (!server.up) return;
    server.up = false;
    // Its row runs out after some heartbeats.
    this->Schedule(seconds(2), [this, index] {
      if (this->servers[index].up) return;
      this->servers[index].listed = false;
      this->TellAllServers();
    });
    this->Schedule(down, [this, index] {
      Server& restarted = this->servers[index];
      restarted.up = true;
      restarted.listed = true;
      restarted.life += 1;
      restarted.holds.assign(world::kWatchedKeys, Hold());
      restarted.seen.assign(world::kWatchedKeys, 0);
      this->TellAllServers();
    });
  }

  // What instances hear.

  void TellServers(Instance& instance) {
    std::vector<model::BackendServer> listed;
    for (const auto& server : this->servers) {
      if (!server.listed) continue;
      model::BackendServer& entry = listed.emplace_back();
      entry.id = server.id;
      entry.service = "service";
      entry.address = {"127.0.0.1", 1};
      entry.slots = 4;
      entry.life = server.life;
      entry.draining = server.draining;
    }
    instance.grantor->OnServers(listed, this->now);
  }
  void TellAllServers() {
    for (auto& instance : this->instances) {
      if (instance.up) this->TellServers(instance);
    }
  }

  bool Runs(const Instance& instance) const {
    return instance.up && this->now >= instance.frozen_until;
  }

  void Tick() {
    this->Schedule(world::kTick, [this] { this->Tick(); });
    for (unsigned i = 0; i < this->instances.size(); ++i) {
      if (!this->Runs(this->instances[i])) continue;
      this->TickInstance(i);
    }
    this->Gossip();
    this->Check();
  }

  void TickInstance(unsigned index) {
    Instance& instance = this->instances[index];
    if (!this->heat.empty() && instance.grantor->Leads()) {
      instance.grantor->OnLoad(this->heat);
    }
    const auto actions = instance.grantor->Tick(this->now);
    const bool leads = instance.grantor->Leads();
    if (leads && !instance.led) this->result.takeovers += 1;
    instance.led = leads;
    if (actions.write) this->Write(index, *actions.write);
    if (actions.read) this->Read(index);
    for (const auto& order : actions.orders) this->Send(index, order);
  }

  /// The leader is heard by all that are not cut off from the store, as a
  /// stand-in for the instances' own network.
  void Gossip() {
    for (auto& leader : this->instances) {
      if (!this->Runs(leader) || !leader.grantor->LeadsFully(this->now) ||
          this->now < leader.store_cut_until) {
        continue;
      }
      for (auto& other : this->instances) {
        if (&other == &leader || !this->Runs(other)) continue;
        if (this->now < other.store_cut_until) continue;
        other.grantor->OnLeader(leader.grantor->View(), this->now);
      }
    }
  }

  // The store.

  bool StoreReachable(const Instance& instance) const {
    return this->now >= this->store_down_until &&
           this->now >= instance.store_cut_until;
  }

  /// Runs `action` on the instance if it is still the same process; later if
  /// it is frozen.
  void Deliver(unsigned index, std::uint64_t life,
               std::function<void()> action) {
    Instance& instance = this->instances[index];
    if (!instance.up || instance.life != life) return;
    if (this->now < instance.frozen_until) {
      this->Schedule(instance.frozen_until - this->now + Duration(1),
                     [this, index, life, action = std::move(action)] {
                       this->Deliver(index, life, action);
                     });
      return;
    }
    action();
  }

  void Write(unsigned index, const ranges::GrantorActions::Write& write);

  store::StoreStatus Perform(const ranges::GrantorActions::Write& write);

  void Read(unsigned index);

  // Orders to servers.

  unsigned IndexOf(const std::string& id) const {
    return static_cast<unsigned>(std::stoul(id.substr(id.find('-') + 1)));
  }

  void Reply(unsigned index, std::uint64_t life, Duration delay,
             ranges::OrderReply reply);

  void Send(unsigned index, const ranges::RangeOrder& order);

  ranges::OrderEnd Arrive(const ranges::RangeOrder& order, unsigned target,
                          Duration already_over = Duration(0));

  // The judge.

  void CheckFence(const ranges::RangeOrder& order, unsigned target,
                  std::uint32_t watched);

  void Check();

  void Violation(std::uint32_t watched, const std::string& what,
                 const std::string& one, const std::string& other);

  std::optional<unsigned> Leader() const {
    for (unsigned i = 0; i < this->instances.size(); ++i) {
      const Instance& instance = this->instances[i];
      if (instance.up && instance.grantor->LeadsFully(this->now)) return i;
    }
    return std::nullopt;
  }

  std::uint32_t KeysOf(const Server& server) const {
    const auto held = std::ranges::count_if(
        server.holds,
        [this](const Hold& hold) { return hold.until > this->now; });
    return server.up ? static_cast<std::uint32_t>(held) * world::kWatchedStep
                     : 0;
  }

  RangeSimulationOptions options;
  std::mt19937_64 random;
  Instant now;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events;
  std::uint64_t last_event = 0;
  std::vector<Server> servers;
  std::vector<Instance> instances;
  ranges::GrantorRows rows;
  std::uint64_t store_version = 0;
  Instant store_down_until = kernel::kNever;
  Instant late_until = kernel::kNever;
  std::vector<ranges::BucketCount> heat;
  RangeSimulationResult result;
  std::uint64_t watched_ticks = 0;
  std::uint64_t owned_ticks = 0;
};

}  // namespace chervilmux::scenario

#endif  // CHERVILMUX_TEST_SCENARIO_RANGE_SIMULATION_IMPL_H_
