/// \file
/// Defines the planner that chooses which backend server gets which key range.
///
/// Ranges without an owner and ranges of leaving servers are distributed by
/// load, new servers are filled, and load beyond the fair share of a server
/// moves to the least loaded one. Requests for moved keys pause briefly, so the
/// planner uses hysteresis, moves the fewest keys that carry the load, and
/// bounds the share of the keys that move at the same time. The number of moves
/// at once is in proportion to the number of servers, so that the time to
/// spread the keys does not depend on it.

#ifndef CHERVILMUX_RANGES_RANGE_PLANNER_H_
#define CHERVILMUX_RANGES_RANGE_PLANNER_H_

#include <cstddef>
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
  /// Below this mean rate per server, in requests per second, the load is too
  /// small for balancing decisions, and all keys count the same.
  double min_load_per_server = 2;
  /// So many moves may be in progress at once at any number of servers; at many
  /// servers it is a share of their number.
  std::size_t min_moves_at_once = 4;
  /// Moves of earlier plans that have not ended.
  std::size_t moves_in_progress = 0;
};

/// Returns the moves that give an owner to each range that has none or whose
/// owner is leaving. The moves cover all keys of these ranges, and each move
/// lies within one range. Returns nothing if `servers` is empty.
std::vector<PlannedMove> PlanRequiredMoves(
    std::span<const PlannerRange> ranges,
    std::span<const PlannerServer> servers, const LoadMap& load);

struct BalancingPlan {
  std::vector<PlannedMove> moves;
  /// Further moves have to wait until some of those in progress have ended.
  bool limited = false;
};

/// Returns the moves that even out the load.
BalancingPlan PlanBalancingMoves(std::span<const PlannerRange> ranges,
                                 std::span<const PlannerServer> servers,
                                 const LoadMap& load,
                                 const PlannerOptions& options = {});

}  // namespace chervilmux::ranges

#endif  // CHERVILMUX_RANGES_RANGE_PLANNER_H_
