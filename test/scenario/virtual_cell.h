/// \file
/// Defines a cell in virtual time: a few CellMachines, stand-ins for their
/// servers, the store and the platform's list, and a network that delays, cuts
/// and loses.
///
/// One thread, one seed, no real clock: the same inputs give the same history.
/// The history is judged while it runs; see Violations().

#ifndef CHERVILMUX_TEST_SCENARIO_VIRTUAL_CELL_H_
#define CHERVILMUX_TEST_SCENARIO_VIRTUAL_CELL_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "kernel/time.h"
#include "ownership/cell_machine.h"
#include "ownership/placement.h"
#include "server_grants.h"

namespace chervilmux::scenario {

struct VirtualCellConfig {
  std::size_t instances = 3;
  std::size_t servers = 3;
  bool servers_check_tokens = true;
  std::uint64_t seed = 1;
  ownership::CellTiming timing;
  ownership::SafetyRules rules;
};

/// Timing with an isolation budget and a request bound short enough for tests.
ownership::CellTiming TestTiming();

enum class StoreMode : std::uint8_t {
  kUp,
  kDown,          ///< Refuses everything.
  kSilent,        ///< Takes nothing in and answers nothing.
  kLosesAnswers,  ///< Carries writes out, but answers no write.
  kSlow,          ///< Answers after 100 to 900 ms.
};

class VirtualCell {
 public:
  explicit VirtualCell(const VirtualCellConfig& config);

  /// Runs the cell for `duration` of virtual time.
  void Run(kernel::Duration duration);

  // --- Faults. Nodes are numbered: instances, then servers, then the store.
  void KillInstance(std::size_t instance);
  void RestartInstance(std::size_t instance);
  void PauseInstance(std::size_t instance);
  void ResumeInstance(std::size_t instance);
  void StopInstance(std::size_t instance);  ///< Planned stop.
  void KillServer(std::size_t server);
  void RestartServer(std::size_t server);
  void PauseServer(std::size_t server);
  void ResumeServer(std::size_t server);
  void SetLeaving(std::size_t server, bool leaving);
  void SetWeight(std::size_t server, double weight);
  void Pin(std::size_t key, std::size_t server);
  void SetStore(StoreMode mode) { this->store_mode = mode; }
  /// Turns the store's content back to what it was at its first write.
  void RollBackStore();
  void Cut(std::size_t from, std::size_t to) { this->cuts.insert({from, to}); }
  void CutBoth(std::size_t left, std::size_t right);
  void Heal() { this->cuts.clear(); }
  /// Ends every fault: all instances and servers run, all links work.
  void EndFaults();

  std::size_t StoreNode() const {
    return this->config.instances + this->config.servers;
  }
  std::size_t ServerNode(std::size_t server) const {
    return this->config.instances + server;
  }

  // --- What can be seen.
  const std::vector<std::string>& Violations() const {
    return this->violations;
  }
  /// Index of the instance that leads under the highest term, if any.
  std::optional<std::size_t> Leader() const;
  /// Whether the leader may send for `key` now, and to which server.
  std::optional<std::size_t> ServingOwner(std::size_t key) const;
  /// Number of keys that somebody may send for now.
  std::size_t ServedKeys() const;
  std::size_t KeyCount() const { return this->keys.size(); }
  /// Longest time that each key went without being served, since ResetGaps().
  std::vector<kernel::Duration> LongestGaps() const;
  void ResetGaps();
  ownership::CellCounters Counters() const;
  const ownership::CellMachine& Machine(std::size_t instance) const {
    return *this->instances[instance].machine;
  }
  std::uint64_t StoreReads() const { return this->store_reads; }
  std::uint64_t StoreWrites() const { return this->store_writes; }
  /// What every node believes now, for the report of a failed history.
  std::string Describe() const;
  /// Version of the row that the store holds.
  ownership::RowVersion StoredVersion() const;

 private:
  using Instant = kernel::Instant;

  struct Instance {
    ownership::InstanceId id;
    std::unique_ptr<ownership::CellMachine> machine;
    kernel::Duration clock_offset{0};
    std::int64_t clock_ppm = 0;
    bool alive = true;
    bool paused = false;
    bool stopping = false;
    Instant killed_at = kernel::kNever;  ///< Global time.
    std::vector<std::function<void()>> backlog;
    std::vector<ownership::ListedGone> gone;  ///< As it last read the list.
    Instant next_tick;
  };

  struct Server {
    std::string name;
    std::uint64_t incarnation = 1;
    std::unique_ptr<fakes::ServerGrants> keeper;
    kernel::Duration clock_offset{0};
    std::int64_t clock_ppm = 0;
    bool alive = true;
    bool frozen = false;
    bool leaving = false;
    double weight = 1;
    std::vector<std::function<void()>> backlog;
    ownership::RowVersion version;  ///< Of the last accepted order.
    ownership::RowVersion serving;
  };

  struct StoredRow {
    std::uint64_t revision = 0;
    std::string text;
  };

  // Time and delivery.
  Instant Local(const Instance& instance) const;
  std::int64_t ServerClock(const Server& server) const;
  void After(kernel::Duration delay, std::function<void()> action);
  void ToInstance(std::size_t from, std::size_t to,
                  std::function<void()> action);
  void ToServer(std::size_t from, std::size_t server,
                std::function<void()> action);
  kernel::Duration NetworkDelay();
  bool IsCut(std::size_t from, std::size_t to) const;
  std::uint64_t Random(std::uint64_t below);

  // Instances.
  void MakeMachine(std::size_t instance);
  void Tick(std::size_t instance);
  void Perform(std::size_t instance, const ownership::Actions& actions);
  void Do(std::size_t instance, const ownership::ReadRow& action);
  void Do(std::size_t instance, const ownership::WriteRow& action);
  void Do(std::size_t instance, const ownership::SendPeer& action);
  void Do(std::size_t instance, const ownership::SendGrant& action);
  void ReadList(std::size_t instance);
  ownership::Neighbourhood NeighbourhoodOf(std::size_t instance) const;
  std::vector<ownership::DesiredServer> Desired() const;
  void SendRequests(std::size_t instance);
  void ReportMoving(std::size_t instance);

  // Store.
  void AtStore(std::size_t instance,
               std::function<ownership::StoreReply()> serve, bool is_write,
               std::uint64_t request);
  ownership::StoreReply Write(const ownership::WriteRow& action);

  // Judging.
  void NoteRow(const ownership::CellRow& row);
  void Judge();
  void JudgeGrants();
  void JudgeGaps();
  void Execute(std::size_t key, std::size_t server,
               ownership::RowVersion version);
  void Violate(const std::string& what);
  const ownership::Placement* PlacementOf(ownership::RowVersion version) const;

  VirtualCellConfig config;
  std::mt19937_64 random;
  Instant now{};
  std::multimap<Instant, std::function<void()>> events;
  std::vector<Instance> instances;
  std::vector<Server> servers;
  std::vector<std::uint64_t> keys;
  std::map<std::uint64_t, std::string> pins;
  std::set<std::pair<std::size_t, std::size_t>> cuts;
  StoreMode store_mode = StoreMode::kUp;
  StoredRow stored;
  StoredRow first_stored;
  std::uint64_t store_reads = 0;
  std::uint64_t store_writes = 0;
  std::vector<ownership::ListedGone> listed_gone;
  std::map<ownership::RowVersion, ownership::CellRow> rows;
  std::map<ownership::RowVersion, ownership::Placement> placements;
  struct Execution {
    std::size_t server = 0;
    ownership::RowVersion version;
  };
  std::map<std::size_t, Execution> last_execution;
  std::map<std::pair<std::size_t, std::size_t>, std::map<std::size_t, int>>
      in_flight;  ///< (instance, server) -> key -> count.
  std::vector<Instant> served_at;
  std::vector<kernel::Duration> longest_gap;
  std::vector<std::string> violations;
  ownership::CellCounters retired_counters;
};

}  // namespace chervilmux::scenario

#endif  // CHERVILMUX_TEST_SCENARIO_VIRTUAL_CELL_H_
