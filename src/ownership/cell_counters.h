/// \file
/// Defines the counters of cell ownership and the table of their names.

#ifndef CHERVILMUX_OWNERSHIP_CELL_COUNTERS_H_
#define CHERVILMUX_OWNERSHIP_CELL_COUNTERS_H_

#include <cstdint>
#include <span>
#include <string_view>

namespace chervilmux::ownership {

/// Number of events of each kind. They are exposed as metrics, and tests use
/// them to check that a schedule caused the intended events.
struct CellCounters {
  std::uint64_t takeovers = 0;
  std::uint64_t claims = 0;
  std::uint64_t creations = 0;
  std::uint64_t step_downs = 0;
  std::uint64_t hand_overs = 0;
  std::uint64_t owner_changes = 0;
  std::uint64_t changes_ahead_of_store = 0;
  std::uint64_t excluded_by_promise = 0;
  std::uint64_t excluded_by_list = 0;
  std::uint64_t excluded_by_budget = 0;
  std::uint64_t standby_replacements = 0;
  std::uint64_t servers_lost = 0;
  std::uint64_t servers_joined = 0;
  std::uint64_t grants_accepted = 0;
  std::uint64_t grants_refused = 0;
  std::uint64_t store_conflicts = 0;
  std::uint64_t store_failures = 0;
  std::uint64_t unknown_writes_resolved = 0;
  std::uint64_t reconciliations = 0;
  std::uint64_t regressions_refused = 0;
};

/// A counter and its name in metrics and reports.
struct CellCounterField {
  std::string_view name;
  std::uint64_t CellCounters::*member;
};

/// Returns all counters, in the order of their declaration.
std::span<const CellCounterField> CellCounterFields();

/// Adds each counter of `more` to `sum`.
void AddCounters(CellCounters& sum, const CellCounters& more);

}  // namespace chervilmux::ownership

#endif  // CHERVILMUX_OWNERSHIP_CELL_COUNTERS_H_
