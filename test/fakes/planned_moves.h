/// \file
/// Defines how tests carry out the moves of a plan at once and whole.

#ifndef CHERVILMUX_TEST_FAKES_PLANNED_MOVES_H_
#define CHERVILMUX_TEST_FAKES_PLANNED_MOVES_H_

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "ranges/range_planner.h"

namespace chervilmux::fakes {

inline ranges::PlannerRange Owned(std::uint32_t first, std::uint32_t last,
                                  std::string owner) {
  ranges::PlannerRange range;
  range.first = static_cast<ranges::Key>(first);
  range.last = static_cast<ranges::Key>(last);
  range.owner = std::move(owner);
  return range;
}

/// The ranges after `move`.
inline std::vector<ranges::PlannerRange> CarryOut(
    const std::vector<ranges::PlannerRange>& owned,
    const ranges::PlannedMove& move) {
  std::vector<ranges::PlannerRange> next;
  for (const auto& range : owned) {
    if (range.last < move.first || range.first > move.last) {
      next.push_back(range);
      continue;
    }
    if (range.first < move.first) {
      next.push_back(Owned(range.first, move.first - 1U, range.owner));
    }
    next.push_back(Owned(std::max(range.first, move.first),
                         std::min(range.last, move.last), move.target));
    if (range.last > move.last) {
      next.push_back(Owned(move.last + 1U, range.last, range.owner));
    }
  }
  return next;
}

}  // namespace chervilmux::fakes

#endif  // CHERVILMUX_TEST_FAKES_PLANNED_MOVES_H_
