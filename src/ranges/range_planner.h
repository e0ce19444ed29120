/// \file
/// Defines the planner that chooses which backend server gets which key range.
///
/// Ranges without an owner and ranges of leaving servers are distributed by
/// load, new servers are filled, and load beyond the fair share of a server
/// moves to the least loaded one. Requests for moved keys pause briefly, so the
/// planner uses hysteresis and moves the fewest keys that carry the load.

#ifndef CHERVILMUX_RANGES_RANGE_PLANNER_H_
#define CHERVILMUX_RANGES_RANGE_PLANNER_H_

#include <cstdint>
#include <span>
#include <string>
#include <vector>

#include "ranges/load_map.h"
#include "ranges/range_table.h"

namespace chervilmux::ranges {

/// A server that may receive keys.
struct PlannerServer {
  std::string id;
  std::string failure_domain;
  /// Slots times relative speed; compared only with other servers.
  double capacity = 1;
};

/// A key range and its owner, as input of the planner.
struct PlannerRange {
  Key first = 0;
  Key last = 0;
  /// Empty if there is no owner.
  std::string owner;
  /// The owner is leaving or has left.
  bool must_move = false;
  /// The owner can be asked to release the range now.
  bool can_move = true;
};

/// Moves the keys [first, last] to the server `target`.
struct PlannedMove {
  Key first = 0;
  Key last = 0;
  std::string target;
  bool operator==(const PlannedMove&) const = default;
};

struct PlannerOptions {
  /// A server is overloaded if its load per capacity exceeds the mean by this
  /// factor.
  double overload_ratio = 1.3;
  /// Below this total rate, in requests per second, the load is too small for
  /// balancing decisions.
  double min_total_load = 8;
  /// Limit on the balancing moves in one plan.
  unsigned max_balancing_moves = 4;
};

/// Returns the moves that give an owner to each range that has none or whose
/// owner is leaving. The moves cover all keys of these ranges, and each move
/// lies within one range. Returns nothing if `servers` is empty.
std::vector<PlannedMove> PlanRequiredMoves(
    std::span<const PlannerRange> ranges,
    std::span<const PlannerServer> servers, const LoadMap& load);

/// Returns the moves that even out the load.
std::vector<PlannedMove> PlanBalancingMoves(
    std::span<const PlannerRange> ranges,
    std::span<const PlannerServer> servers, const LoadMap& load,
    const PlannerOptions& options = {});

}  // namespace chervilmux::ranges

#endif  // CHERVILMUX_RANGES_RANGE_PLANNER_H_
