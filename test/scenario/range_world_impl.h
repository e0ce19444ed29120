/// \file
/// Defines the implementation of RangeSimulation: its store, instances and
/// servers, their messages and faults, and the checks.

#ifndef CHERVILMUX_TEST_SCENARIO_RANGE_WORLD_IMPL_H_
#define CHERVILMUX_TEST_SCENARIO_RANGE_WORLD_IMPL_H_

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

#include "range_world.h"

namespace chervilmux::scenario {
namespace simulated {

inline constexpr kernel::Instant kStart =
    kernel::Instant(kernel::seconds(1000));
/// Holders are checked by group of keys: all moves end at the borders of
/// groups.
inline constexpr std::uint32_t kKeysPerGroup = ranges::kKeysPerBucket;
inline constexpr std::uint32_t kGroupCount = ranges::kKeyCount / kKeysPerGroup;
inline constexpr kernel::Duration kTick = kernel::milliseconds(20);

/// A grant that a server holds for one group of keys.
struct HeldGrant {
  std::uint64_t fence = 0;
  kernel::Instant until = kernel::kNever;
};

struct Server {
  std::string id;
  std::uint64_t life = 1;
  std::uint64_t listed_life = 1;  ///< The last one that the store knows.
  bool up = true;
  bool draining = false;
  bool listed = true;
  double clock_rate = 1.0;  ///< Below 1: its clock is slow.
  /// By group of keys.
  std::vector<HeldGrant> grants = std::vector<HeldGrant>(kGroupCount);
  /// The highest fencing token seen, by group of keys.
  std::vector<std::uint64_t> highest_fences =
      std::vector<std::uint64_t>(kGroupCount);
};

struct Instance {
  std::string name;
  std::uint64_t life = 1;
  bool up = true;
  bool was_leader = false;  ///< At its last tick.
  kernel::Instant paused_until = kernel::kNever;
  kernel::Instant store_cut_until = kernel::kNever;
  std::map<unsigned, kernel::Instant> server_cut_until;
  std::unique_ptr<ranges::RangeGrantor> grantor;
  ranges::RangeTable heard;   ///< The newest table that a leader published.
  bool list_changed = false;  ///< Since it was last told the list of servers.
};

/// Lease row and table row by the era in which they are written.
using RowsByEra = std::map<std::uint64_t, ranges::GrantorRows>;

/// The store's content after a change.
struct StoreCopy {
  kernel::Instant at;
  RowsByEra rows;
  std::uint64_t version = 0;
  std::vector<model::BackendServer> servers;
};

/// The highest token with which any server took a group of keys.
struct TakenToken {
  std::uint64_t fence = 0;
  unsigned server = 0;
};

struct Event {
  kernel::Instant at;
  std::uint64_t sequence;
  std::function<void()> action;
  bool operator>(const Event& other) const {
    return std::pair(this->at, this->sequence) >
           std::pair(other.at, other.sequence);
  }
};

}  // namespace simulated

class RangeSimulation::Impl {
 public:
  using Duration = kernel::Duration;
  using Instant = kernel::Instant;
  using Key = ranges::Key;
  using milliseconds = kernel::milliseconds;
  using seconds = kernel::seconds;
  using Event = simulated::Event;
  using HeldGrant = simulated::HeldGrant;
  using Instance = simulated::Instance;
  using Server = simulated::Server;
  using StoreCopy = simulated::StoreCopy;
  using TakenToken = simulated::TakenToken;

  explicit Impl(const RangeSimulationOptions& options)
      : options(options), random(options.seed), now(simulated::kStart) {
    for (unsigned i = 0; i < options.servers; ++i) {
      Server& server = this->servers.emplace_back();
      server.id = "server-" + std::to_string(i);
      server.clock_rate = i % 2 == 0 ? 1.0 : 0.98;
      server.listed = i < options.listed_at_start;
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
    instance.heard = ranges::RangeTable();
    instance.grantor = std::make_unique<ranges::RangeGrantor>(
        "service", instance.name, 0.1 + 0.3 * index, this->options.timing);
    instance.grantor->EnableLeadership(instance.life);
    instance.grantor->SetOrderWaitLookup(
        [this] { return this->options.assumed_order_wait; });
    instance.grantor->SetInstanceEndedCheck(
        [this](std::string_view name, std::uint64_t life) {
          return std::ranges::any_of(this->instances, [&](const Instance& i) {
            return i.name == name && i.up && i.life > life;
          });
        });
    this->UpdateServerList(instance);
  }

  void Schedule(Duration delay, std::function<void()> action) {
    this->events.push(
        {this->now + delay, ++this->last_sequence, std::move(action)});
  }

  /// Uniform in [0, 1).
  double RandomFraction() {
    return std::uniform_real_distribution<double>(0, 1)(this->random);
  }
  /// Uniform in [0, count).
  std::uint64_t RandomBelow(std::uint64_t count) {
    return this->random() % count;
  }
  /// Time that a message takes in one direction.
  Duration RandomNetworkDelay() {
    return Duration(500 + static_cast<std::int64_t>(this->RandomBelow(3000)));
  }

  RangeSimulationResult Run() {
    this->ScheduleFaults();
    const Instant end = simulated::kStart + this->options.length;
    this->Schedule(Duration(0), [this] { this->Tick(); });
    while (!this->events.empty() && this->events.top().at < end) {
      const Event event = this->events.top();
      this->events.pop();
      this->now = event.at;
      event.action();
    }
    const double group_ticks =
        static_cast<double>(this->counted_ticks) * simulated::kGroupCount;
    this->result.owned_share =
        group_ticks > 0
            ? static_cast<double>(this->owned_group_ticks) / group_ticks
            : 0;
    return this->result;
  }

  void ScheduleFaults() {
    const auto span = static_cast<std::uint64_t>(this->options.length.count());
    for (unsigned i = 0; i < this->options.faults; ++i) {
      const Duration at(static_cast<std::int64_t>(this->RandomBelow(span)));
      this->Schedule(at, [this] { this->ApplyRandomFault(); });
    }
    for (unsigned i = 0; i < this->options.notices; ++i) {
      const Duration at(static_cast<std::int64_t>(this->RandomBelow(span)));
      this->Schedule(at, [this] {
        const Server& server =
            this->servers[this->RandomBelow(this->servers.size())];
        this->TellDraining(server.id, server.life + this->RandomBelow(2));
        this->TellBackOff(
            this->servers[this->RandomBelow(this->servers.size())],
            milliseconds(this->RandomBelow(9000)));
      });
    }
    for (unsigned i = 0; i < this->options.restores; ++i) {
      const Duration at(static_cast<std::int64_t>(this->RandomBelow(span)));
      this->Schedule(at, [this] { this->RestoreAtRandom(); });
    }
  }

  /// The store returns from a copy after an outage, in half of the cases beside
  /// another fault.
  void RestoreAtRandom() {
    const Duration away = milliseconds(this->RandomBelow(4000));
    const Duration age = milliseconds(this->RandomBelow(12000));
    this->store_down_until = std::max(this->store_down_until, this->now + away);
    if (this->RandomFraction() < 0.5) this->ApplyRandomFault();
    this->Schedule(away, [this, away, age] { this->RestoreStore(away + age); });
  }

  void ApplyRandomFault() {
    const auto length = milliseconds(500 + this->RandomBelow(9000));
    const auto instance =
        static_cast<unsigned>(this->RandomFraction() < 0.5
                                  ? this->Leader().value_or(0)
                                  : this->RandomBelow(this->instances.size()));
    const auto server =
        static_cast<unsigned>(this->RandomBelow(this->servers.size()));
    switch (this->RandomBelow(10)) {
      case 0:
        this->CutServerLink(instance, server, length);
        break;
      case 1:
        for (unsigned i = 0; i < this->servers.size(); ++i) {
          if (this->RandomFraction() < 0.4)
            this->CutServerLink(instance, i, length);
        }
        this->CutStoreLink(instance, length);
        break;
      case 2:
        this->CutStoreLink(instance, length);
        break;
      case 3:
        this->store_down_until = this->now + length;
        break;
      case 4:
        this->KillInstance(instance, length / 3);
        break;
      case 5:
        this->instances[instance].paused_until = this->now + length;
        break;
      case 6:
        this->CrashServer(server, length / 2);
        break;
      case 7:
        this->servers[server].draining = !this->servers[server].draining;
        this->UpdateAllServerLists();
        break;
      case 8:
        this->delay_orders_until = this->now + length;
        break;
      default:
        this->servers[server].listed = !this->servers[server].listed;
        this->UpdateAllServerLists();
        break;
    }
  }

  void TellDraining(const std::string& server, std::uint64_t life) {
    for (auto& instance : this->instances) {
      if (!instance.up || !instance.grantor->Leads()) continue;
      instance.grantor->OnServerDraining(server, life, this->now);
    }
  }

  void TellBackOff(const Server& server, Duration length) {
    for (auto& instance : this->instances) {
      if (!instance.up || !instance.grantor->Leads()) continue;
      instance.grantor->OnServerBackOff(server.id, server.life,
                                        this->now + length, this->now);
    }
  }

  // Faults.

  void CutServerLink(unsigned instance, unsigned server, Duration length) {
    this->instances[instance].server_cut_until[server] = this->now + length;
  }
  void CutStoreLink(unsigned instance, Duration length) {
    this->instances[instance].store_cut_until = this->now + length;
  }
  void KillInstance(unsigned index, Duration down) {
    Instance& instance = this->instances[index];
    if (!instance.up) return;
    instance.up = false;
    instance.life += 1;
    this->Schedule(down, [this, index] { this->StartInstance(index); });
  }
  void StopInstance(unsigned index, Duration grace, Duration down) {
    Instance& instance = this->instances[index];
    if (!instance.up) return;
    instance.grantor->Resign();
    this->Schedule(grace, [this, index, down, life = instance.life] {
      if (this->instances[index].life == life) this->KillInstance(index, down);
    });
  }
  void CrashServer(unsigned index, Duration down) {
    Server& server = this->servers[index];
    if (!server.up) return;
    server.up = false;
    // Its row expires after it has missed some heartbeats.
    this->Schedule(seconds(2), [this, index] {
      if (this->servers[index].up) return;
      this->servers[index].listed = false;
      this->UpdateAllServerLists();
    });
    this->Schedule(down, [this, index] {
      Server& restarted = this->servers[index];
      restarted.up = true;
      restarted.life += 1;
      restarted.grants.assign(simulated::kGroupCount, HeldGrant());
      restarted.highest_fences.assign(simulated::kGroupCount, 0);
      this->Schedule(this->RandomReportDelay(),
                     [this, index, life = restarted.life] {
                       if (this->servers[index].life == life)
                         this->ReportServer(index);
                     });
    });
  }
  Duration RandomReportDelay() {
    if (this->options.report_delay.count() == 0) return Duration(0);
    return std::chrono::duration_cast<Duration>(this->options.report_delay *
                                                this->RandomFraction());
  }
  /// The store lists the server as it runs now.
  void ReportServer(unsigned index) {
    Server& server = this->servers[index];
    if (!server.up) return;
    server.listed = true;
    server.listed_life = server.life;
    this->UpdateAllServerLists();
  }

  /// The store loses what it acknowledged within `age`. Each server writes its
  /// entry again within two seconds.
  void RestoreStore(Duration age) {
    const auto older = std::ranges::find_if(
        this->copies.rbegin(), this->copies.rend(),
        [this, age](const StoreCopy& c) { return c.at <= this->now - age; });
    const StoreCopy copy = older == this->copies.rend() ? StoreCopy() : *older;
    this->rows = copy.rows;
    this->store_version = copy.version;
    this->era += 1;
    this->result.restores += 1;
    this->restored_list = copy.servers;
    this->UpdateAllServerLists();
    const std::uint64_t restore = this->result.restores;
    this->Schedule(milliseconds(this->RandomBelow(2000)), [this, restore] {
      if (this->result.restores != restore) return;
      this->restored_list.reset();
      this->UpdateAllServerLists();
    });
    this->SaveCopy();
  }

  void SaveCopy() {
    this->copies.push_back(
        {this->now, this->rows, this->store_version, this->ServerEntries()});
  }

  // The lists of servers that instances receive.

  /// An instance that is cut off from the store learns of changes afterwards.
  void UpdateServerList(Instance& instance) {
    instance.list_changed = this->now < instance.store_cut_until;
    if (instance.list_changed) return;
    instance.grantor->OnServerList(
        this->restored_list.value_or(this->ServerEntries()), this->now);
  }
  std::vector<model::BackendServer> ServerEntries() const {
    std::vector<model::BackendServer> listed;
    for (const auto& server : this->servers) {
      if (!server.listed) continue;
      model::BackendServer& entry = listed.emplace_back();
      entry.id = server.id;
      entry.service = "service";
      entry.address = {"127.0.0.1", 1};
      entry.slots = 4;
      entry.life = server.listed_life;
      entry.draining = server.draining;
    }
    return listed;
  }
  void UpdateAllServerLists() {
    this->SaveCopy();
    for (auto& instance : this->instances) {
      if (instance.up) this->UpdateServerList(instance);
    }
  }

  bool IsRunning(const Instance& instance) const {
    return instance.up && this->now >= instance.paused_until;
  }

  void Tick() {
    this->Schedule(simulated::kTick, [this] { this->Tick(); });
    for (unsigned i = 0; i < this->instances.size(); ++i) {
      if (!this->IsRunning(this->instances[i])) continue;
      this->TickInstance(i);
    }
    this->PublishLeaderTables();
    this->CheckHolders();
  }

  void TickInstance(unsigned index) {
    Instance& instance = this->instances[index];
    if (instance.list_changed) this->UpdateServerList(instance);
    if (!this->load_per_tick.empty() && instance.grantor->Leads()) {
      instance.grantor->OnLoadReport(this->load_per_tick);
    }
    if (instance.grantor->Leads()) this->ReportRandomLoad(*instance.grantor);
    const auto actions = instance.grantor->Tick(this->now);
    const bool leads = instance.grantor->Leads();
    if (leads && !instance.was_leader) this->result.takeovers += 1;
    instance.was_leader = leads;
    if (actions.write) this->WriteRows(index, *actions.write);
    if (actions.read) this->ReadRows(index);
    for (const auto& order : actions.orders) this->SendOrder(index, order);
  }

  /// Reports the requests of one tick, for random keys.
  void ReportRandomLoad(ranges::RangeGrantor& grantor) {
    if (this->random_load_per_second <= 0) return;
    std::poisson_distribution<unsigned> count(
        this->random_load_per_second * kernel::ToSeconds(simulated::kTick));
    for (unsigned left = count(this->random); left > 0; --left) {
      const ranges::BucketCount request{
          static_cast<std::uint16_t>(this->RandomBelow(ranges::kBucketCount)),
          1};
      grantor.OnLoadReport({&request, 1});
    }
  }

  /// Sends the leader's table to the other instances. Links between instances
  /// are not simulated: an instance that cannot reach the store is cut off from
  /// the other instances as well.
  void PublishLeaderTables() {
    for (auto& leader : this->instances) {
      if (!this->IsRunning(leader) ||
          !leader.grantor->MayChangeOwners(this->now) ||
          this->now < leader.store_cut_until) {
        continue;
      }
      for (auto& other : this->instances) {
        if (&other == &leader || !this->IsRunning(other)) continue;
        if (this->now < other.store_cut_until) continue;
        const ranges::RangeTable& published = leader.grantor->PublishedTable();
        if (other.heard.IsNewerThan(published)) continue;
        other.heard = published;
        other.grantor->OnLeaderContact(published, this->now);
      }
    }
  }

  // The store.

  bool StoreReachable(const Instance& instance) const {
    return this->now >= this->store_down_until &&
           this->now >= instance.store_cut_until;
  }

  /// Runs `action` if the instance is still in the incarnation `life`; after
  /// the pause if it is paused.
  void Deliver(unsigned index, std::uint64_t life,
               std::function<void()> action) {
    Instance& instance = this->instances[index];
    if (!instance.up || instance.life != life) return;
    if (this->now < instance.paused_until) {
      this->Schedule(instance.paused_until - this->now + Duration(1),
                     [this, index, life, action = std::move(action)] {
                       this->Deliver(index, life, action);
                     });
      return;
    }
    action();
  }

  void WriteRows(unsigned index, const ranges::GrantorActions::Write& write);

  store::StoreStatus ApplyWrite(const ranges::GrantorActions::Write& write);

  void ReadRows(unsigned index);

  /// What the instance reads: the rows of this era, or the newest table of an
  /// earlier one that the store holds or that it has heard.
  ranges::GrantorRows RowsAsRead(const Instance& instance) const;

  std::uint64_t EraInAnswers() const {
    return this->options.hide_era ? 0 : this->era;
  }

  // Orders to servers.

  unsigned ServerIndex(const std::string& id) const {
    return static_cast<unsigned>(std::stoul(id.substr(id.find('-') + 1)));
  }

  void ScheduleReply(unsigned index, std::uint64_t life, Duration delay,
                     ranges::OrderReply reply);

  void SendOrder(unsigned index, const ranges::RangeOrder& order);
  void QueueOrder(unsigned index, const ranges::RangeOrder& order,
                  unsigned target);

  /// Executes an order at the server `target`; `elapsed` of the time that it
  /// grants has already passed.
  ranges::OrderOutcome ExecuteOrder(const ranges::RangeOrder& order,
                                    unsigned target,
                                    Duration elapsed = Duration(0));

  // Checks.

  /// Checks that no other server has seen as high a token for this group of
  /// keys.
  void CheckFence(const ranges::RangeOrder& order, unsigned target,
                  std::uint32_t group);

  /// Checks that no other server, also one that has stopped, took this group of
  /// keys with the same or a higher token.
  void CheckTakenToken(const ranges::RangeOrder& order, unsigned target,
                       std::uint32_t group);

  /// Checks that each group of keys has at most one holder.
  void CheckHolders();

  void RecordViolation(std::uint32_t group, const std::string& what,
                       const std::string& server,
                       const std::string& other_server);

  std::optional<unsigned> Leader() const {
    for (unsigned i = 0; i < this->instances.size(); ++i) {
      const Instance& instance = this->instances[i];
      if (instance.up && instance.grantor->MayChangeOwners(this->now)) return i;
    }
    return std::nullopt;
  }

  std::uint32_t HeldKeyCount(const Server& server) const {
    const auto held_groups = std::ranges::count_if(
        server.grants,
        [this](const HeldGrant& grant) { return grant.until > this->now; });
    return server.up ? static_cast<std::uint32_t>(held_groups) *
                           simulated::kKeysPerGroup
                     : 0;
  }

  RangeSimulationOptions options;
  std::mt19937_64 random;
  Instant now;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events;
  std::uint64_t last_sequence = 0;
  std::vector<Server> servers;
  /// Indices of the servers that may hold a group of keys.
  std::vector<std::vector<unsigned>> holders_by_group =
      std::vector<std::vector<unsigned>>(simulated::kGroupCount);
  std::vector<Instance> instances;
  simulated::RowsByEra rows;
  std::uint64_t store_version = 0;
  std::uint64_t era = 1;
  std::vector<StoreCopy> copies;  ///< Oldest first.
  /// Entries of servers that came back with the copy, until they are written
  /// again.
  std::optional<std::vector<model::BackendServer>> restored_list;
  std::vector<TakenToken> taken_tokens =
      std::vector<TakenToken>(simulated::kGroupCount);
  Instant store_down_until = kernel::kNever;
  Instant delay_orders_until = kernel::kNever;
  std::vector<ranges::BucketCount> load_per_tick;  ///< Requests by bucket.
  double random_load_per_second = 0;
  RangeSimulationResult result;
  std::uint64_t counted_ticks = 0;
  std::uint64_t owned_group_ticks = 0;
};

}  // namespace chervilmux::scenario

#endif  // CHERVILMUX_TEST_SCENARIO_RANGE_WORLD_IMPL_H_
