/// \file
/// Defines which ranges should go to which backend server.
///
/// Answers servers that come and go, and keys that become hot: ranges without
/// an owner and those of leaving servers are dealt out by load, new servers are
/// filled, and load beyond a server's fair share moves to the least loaded one.
/// Each move costs the moved keys a short pause, so the plan has hysteresis and
/// moves the fewest keys that carry the load.

#ifndef CHERVILMUX_RANGES_RANGE_PLANNER_H_
#define CHERVILMUX_RANGES_RANGE_PLANNER_H_

#include <cstdint>
#include <span>
#include <string>
#include <vector>

#include "ranges/load_map.h"
#include "ranges/range_table.h"

namespace chervilmux::ranges {

/// A server that may get keys.
struct PlannerServer {
  std::string id;
  std::string failure_domain;
  double capacity = 1;  ///< Relative to the others; slots times speed.
};

/// One range as the plan sees it.
struct PlannerRange {
  Key first = 0;
  Key last = 0;
  std::string owner;       ///< Empty: nobody holds it.
  bool must_move = false;  ///< Its owner is leaving or gone.
  bool can_move = true;    ///< Its owner can be asked to let go now.
};

struct PlannedMove {
  Key first = 0;
  Key last = 0;
  std::string target;
  bool operator==(const PlannedMove&) const = default;
};

struct PlannerTuning {
  /// A server is relieved when its load per capacity is this many times the
  /// mean.
  double relieve_above = 1.3;
  /// Below so many requests a second over all servers load says nothing.
  double least_load = 8;
  /// Moves for balance in one plan.
  unsigned most_balance_moves = 4;
};

/// Moves that give each range that needs one an owner. All keys end in whole
/// ranges of `ranges`.
std::vector<PlannedMove> PlanRequiredMoves(
    std::span<const PlannerRange> ranges,
    std::span<const PlannerServer> servers, const LoadMap& load);

/// Moves that even out the load.
std::vector<PlannedMove> PlanBalancingMoves(
    std::span<const PlannerRange> ranges,
    std::span<const PlannerServer> servers, const LoadMap& load,
    const PlannerTuning& tuning = {});

}  // namespace chervilmux::ranges

#endif  // CHERVILMUX_RANGES_RANGE_PLANNER_H_
