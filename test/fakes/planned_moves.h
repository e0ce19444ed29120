/// \file
/// Defines helpers that make key ranges and apply the moves of a plan to them,
/// as if each move completed at once.

#ifndef CHERVILMUX_TEST_FAKES_PLANNED_MOVES_H_
#define CHERVILMUX_TEST_FAKES_PLANNED_MOVES_H_

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "ranges/range_planner.h"

namespace chervilmux::fakes {

/// Keys [first, last], owned by `owner`.
inline ranges::PlannerRange OwnedRange(std::uint32_t first, std::uint32_t last,
                                       std::string owner) {
  ranges::PlannerRange range;
  range.first = static_cast<ranges::Key>(first);
  range.last = static_cast<ranges::Key>(last);
  range.owner = std::move(owner);
  return range;
}

/// The ranges after `move`; ranges that it covers in part are split.
inline std::vector<ranges::PlannerRange> ApplyMove(
    const std::vector<ranges::PlannerRange>& current,
    const ranges::PlannedMove& move) {
  std::vector<ranges::PlannerRange> next;
  for (const auto& range : current) {
    if (range.last < move.first || range.first > move.last) {
      next.push_back(range);
      continue;
    }
    if (range.first < move.first) {
      next.push_back(OwnedRange(range.first, move.first - 1U, range.owner));
    }
    next.push_back(OwnedRange(std::max(range.first, move.first),
                              std::min(range.last, move.last), move.target));
    if (range.last > move.last) {
      next.push_back(OwnedRange(move.last + 1U, range.last, range.owner));
    }
  }
  return next;
}

}  // namespace chervilmux::fakes

#endif  // CHERVILMUX_TEST_FAKES_PLANNED_MOVES_H_
