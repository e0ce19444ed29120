/// \file
/// A virtual world for RangeGrantor: a store, instances and backend servers
/// that hold key ranges under leases, with delays, losses, partitions, late
/// orders, restarts and slow clocks, all from one seed. It checks that no two
/// servers that are up ever hold one key, and that fencing tokens rise.

#ifndef CHERVILMUX_TEST_SCENARIO_RANGE_SIMULATION_H_
#define CHERVILMUX_TEST_SCENARIO_RANGE_SIMULATION_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "ranges/range_grantor.h"

namespace chervilmux::scenario {

struct RangeSimulationOptions {
  std::uint64_t seed = 1;
  unsigned instances = 3;
  unsigned servers = 5;
  kernel::Duration length = kernel::seconds(60);
  unsigned faults = 12;
  /// Undoes one protection, to show that the checks find what it prevents.
  bool deliver_abandoned_orders = false;
  bool free_on_refused_connection = false;
  ranges::GrantorTiming timing;
};

struct RangeSimulationResult {
  std::vector<std::string> violations;
  std::uint64_t grants = 0;
  std::uint64_t moves = 0;
  std::uint64_t takeovers = 0;
  double owned_share = 0;  ///< Of keys and time, after the first second.
};

class RangeSimulation {
 public:
  explicit RangeSimulation(const RangeSimulationOptions& options);
  ~RangeSimulation();
  RangeSimulation(const RangeSimulation&) = delete;
  RangeSimulation& operator=(const RangeSimulation&) = delete;

  RangeSimulationResult Run();

  /// Scripted faults, before or while it runs: `action` happens at `at` after
  /// the start.
  void At(kernel::Duration at, std::function<void()> action);
  void CutServer(unsigned instance, unsigned server, kernel::Duration length);
  void CutStore(unsigned instance, kernel::Duration length);
  void StopStore(kernel::Duration length);
  void KillInstance(unsigned instance, kernel::Duration down);
  void FreezeInstance(unsigned instance, kernel::Duration length);
  void CrashServer(unsigned server, kernel::Duration down);
  void DrainServer(unsigned server);
  void UnlistServer(unsigned server);
  void LateOrders(kernel::Duration length);
  void HeatKeys(ranges::Key first, ranges::Key last, double per_second);

  /// The leader's index, if there is one.
  std::optional<unsigned> Leader() const;
  /// Keys that some server holds now.
  std::uint32_t OwnedKeys() const;
  std::uint32_t KeysOf(unsigned server) const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace chervilmux::scenario

#endif  // CHERVILMUX_TEST_SCENARIO_RANGE_SIMULATION_H_
