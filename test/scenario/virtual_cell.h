/// \file
/// Defines a simulated cell in virtual time: the CellMachines of a few
/// instances, simulated servers, store and instance list of the platform, and a
/// network that delays and loses messages and whose links can be cut.
///
/// The simulation uses one thread, one seed and no real clock, so the same
/// inputs give the same history. It checks the invariants while it runs:
/// Violations().

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

#include "grant_keeper.h"
#include "kernel/time.h"
#include "ownership/cell_machine.h"
#include "ownership/placement.h"

namespace chervilmux::scenario {

struct VirtualCellConfig {
  std::size_t instances = 3;
  std::size_t servers = 3;
  bool servers_check_tokens = true;
  std::uint64_t seed = 1;
  ownership::CellTiming timing;
  ownership::SafetyRules rules;
};

/// Timing with an isolation budget and a maximum request time that are short
/// enough for tests.
ownership::CellTiming TestTiming();

enum class StoreMode : std::uint8_t {
  kUp,
  kDown,          ///< Refuses every call.
  kSilent,        ///< Executes nothing and answers nothing.
  kLosesAnswers,  ///< Executes writes, but does not answer them.
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
  void PinKey(std::size_t key, std::size_t server);
  void SetStoreMode(StoreMode mode) { this->store_mode = mode; }
  /// Resets the content of the store to that of its first write.
  void RollBackStore();
  void CutLink(std::size_t from, std::size_t to) {
    this->cuts.insert({from, to});
  }
  void CutBothWays(std::size_t left, std::size_t right);
  void RestoreLinks() { this->cuts.clear(); }
  /// Ends all faults: instances, servers, store and links work again.
  void EndFaults();

  std::size_t StoreNode() const {
    return this->config.instances + this->config.servers;
  }
  std::size_t ServerNode(std::size_t server) const {
    return this->config.instances + server;
  }

  // --- Observed state.
  const std::vector<std::string>& Violations() const {
    return this->violations;
  }
  /// Index of the running leader with the newest row, if any.
  std::optional<std::size_t> Leader() const;
  /// Index of the server to which a leader may send requests for `key` now, if
  /// any.
  std::optional<std::size_t> ServingOwner(std::size_t key) const;
  /// Number of keys for which some leader may send requests now.
  std::size_t ServedKeys() const;
  std::size_t KeyCount() const { return this->keys.size(); }
  /// The longest time that each key was unserved since ResetGaps().
  std::vector<kernel::Duration> LongestGaps() const;
  void ResetGaps();
  ownership::CellCounters Counters() const;
  const ownership::CellMachine& Machine(std::size_t instance) const {
    return *this->instances[instance].machine;
  }
  std::uint64_t StoreReads() const { return this->store_reads; }
  std::uint64_t StoreWrites() const { return this->store_writes; }
  /// State of all nodes as text, for the report of a failed history.
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
    Instant killed_at = kernel::kNever;          ///< Global time.
    std::vector<std::function<void()>> backlog;  ///< Received in a pause.
    /// Ended incarnations, as it last read the instance list.
    std::vector<ownership::GoneInstance> gone;
    Instant next_tick;
  };

  struct Server {
    std::string name;
    std::uint64_t incarnation = 1;
    std::unique_ptr<fakes::ServerGrants> grants;
    kernel::Duration clock_offset{0};
    std::int64_t clock_ppm = 0;
    bool alive = true;
    bool paused = false;
    bool leaving = false;
    double weight = 1;
    std::vector<std::function<void()>> backlog;  ///< Received in a pause.
    ownership::RowVersion version;  ///< Of the last accepted order.
    ownership::RowVersion serving;
  };

  struct StoredRow {
    std::uint64_t revision = 0;
    std::string text;
  };

  // Time and delivery.
  Instant LocalTime(const Instance& instance) const;
  std::int64_t ServerClockUs(const Server& server) const;
  void Schedule(kernel::Duration delay, std::function<void()> action);
  void SendToInstance(std::size_t from, std::size_t to,
                      std::function<void()> action);
  void SendToServer(std::size_t from, std::size_t server,
                    std::function<void()> action);
  kernel::Duration RandomNetworkDelay();
  bool IsCut(std::size_t from, std::size_t to) const;
  std::uint64_t RandomBelow(std::uint64_t limit);

  // Instances.
  void StartMachine(std::size_t instance);
  void Tick(std::size_t instance);
  void PerformActions(std::size_t instance, const ownership::Actions& actions);
  void PerformAction(std::size_t instance, const ownership::ReadRow& action);
  void PerformAction(std::size_t instance, const ownership::WriteRow& action);
  void PerformAction(std::size_t instance,
                     const ownership::SendPeerMessage& action);
  void PerformAction(std::size_t instance,
                     const ownership::SendGrantOrder& action);
  void ReadInstanceList(std::size_t instance);
  ownership::Membership MembershipOf(std::size_t instance) const;
  std::vector<ownership::DesiredServer> DesiredServers() const;
  void SendRandomRequest(std::size_t instance);
  void ReportRequestsForMovingKeys(std::size_t instance);

  // Store.
  void CallStore(std::size_t instance,
                 std::function<ownership::StoreReply()> execute, bool is_write,
                 std::uint64_t request);
  ownership::StoreReply WriteToStore(const ownership::WriteRow& action);

  // Checks.
  void RecordRow(const ownership::CellRow& row);
  void CheckInvariants();
  void CheckGrants();
  void MeasureGaps();
  /// Executes a request for `key` at `server` and checks that no newer owner
  /// has executed one before.
  void ExecuteRequest(std::size_t key, std::size_t server,
                      ownership::RowVersion version);
  void RecordViolation(const std::string& description);
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
  std::vector<ownership::GoneInstance> listed_gone;
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
