/// \file
/// Defines a simulation that drives RangeGrantor under faults. It contains a
/// store, instances, and backend servers that hold key ranges under grants, and
/// injects delays, lost messages, partitions, late orders, restarts, slow
/// clocks and a store that returns from an older copy, all from one seed. It
/// checks that no two running servers ever hold the same key and that fencing
/// tokens only rise.

#ifndef CHERVILMUX_TEST_SCENARIO_RANGE_WORLD_H_
#define CHERVILMUX_TEST_SCENARIO_RANGE_WORLD_H_

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
  /// The store lists the first so many of the servers when the run starts.
  unsigned listed_at_start = ~0U;
  kernel::Duration length = kernel::seconds(60);
  unsigned faults = 12;  ///< Number of random faults.
  /// Times that the store returns from an older copy of itself.
  unsigned restores = 0;
  /// Some answers of the store to writes are lost or a second late.
  bool lose_store_answers = true;
  /// Longest time from the start of a server to its first report to the store,
  /// which lists the run before until then.
  kernel::Duration report_delay{0};
  /// Share of the orders into a cut for which no connection opens, so that they
  /// are known not to be sent.
  double unsent_in_cuts = 0;
  /// Longest time for which an order waits at a server that is full.
  kernel::Duration order_wait{0};
  /// The same as leaders assume it.
  kernel::Duration assumed_order_wait{0};
  /// Times that the leader hears that a server has said that it drains.
  unsigned notices = 0;
  // Each of these disables one protection, to show that the checks then find a
  // violation.
  /// Orders held up by a partition arrive after their sender has timed out.
  bool deliver_abandoned_orders = false;
  /// An order without an answer counts as never sent.
  bool treat_no_answer_as_not_sent = false;
  /// The store does not tell its era.
  bool hide_era = false;
  ranges::GrantorTiming timing;
};

struct RangeSimulationResult {
  std::vector<std::string> violations;
  std::uint64_t grants = 0;
  std::uint64_t moves = 0;
  std::uint64_t takeovers = 0;
  std::uint64_t restores = 0;
  /// Share of keys that had an owner, averaged over the time from 5 s on.
  double owned_share = 0;
};

class RangeSimulation {
 public:
  explicit RangeSimulation(const RangeSimulationOptions& options);
  ~RangeSimulation();
  RangeSimulation(const RangeSimulation&) = delete;
  RangeSimulation& operator=(const RangeSimulation&) = delete;

  RangeSimulationResult Run();

  /// Runs `action` at time `at` after the start. May be called before and
  /// during Run(); the functions below cause faults when `action` calls them.
  void Schedule(kernel::Duration at, std::function<void()> action);
  void CutServerLink(unsigned instance, unsigned server,
                     kernel::Duration length);
  void CutStoreLink(unsigned instance, kernel::Duration length);
  void StopStore(kernel::Duration length);
  /// The store returns from a copy of itself that is `age` old.
  void RestoreStore(kernel::Duration age);
  void KillInstance(unsigned instance, kernel::Duration down);
  /// Stops the instance in order: it resigns and ends when `grace` is over.
  void StopInstance(unsigned instance, kernel::Duration grace,
                    kernel::Duration down);
  void PauseInstance(unsigned instance, kernel::Duration length);
  void CrashServer(unsigned server, kernel::Duration down);
  void DrainServer(unsigned server);
  void UnlistServer(unsigned server);
  void ListServer(unsigned server);
  /// The leader hears that the run `life` of a server has said that it drains.
  void TellDraining(unsigned server, std::uint64_t life);
  /// The leader hears that a server wants no requests for `length`.
  void TellBackOff(unsigned server, kernel::Duration length);
  void DelayOrders(kernel::Duration length);
  /// From now on keys [first, last] together get `per_second` requests.
  void SetKeyLoad(ranges::Key first, ranges::Key last, double per_second);

  /// From now on keys chosen at random get `per_second` requests together.
  void SetRandomLoad(double per_second);

  /// Index of the instance that leads and may change owners, if there is one.
  std::optional<unsigned> Leader() const;
  /// Number of keys that running servers hold now.
  std::uint32_t OwnedKeyCount() const;
  std::uint32_t HeldKeyCount(unsigned server) const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace chervilmux::scenario

#endif  // CHERVILMUX_TEST_SCENARIO_RANGE_WORLD_H_
