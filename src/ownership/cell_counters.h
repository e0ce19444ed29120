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
  /// The standby became primary by itself.
  std::uint64_t takeovers = 0;
  /// Became primary of an abandoned cell.
  std::uint64_t claims = 0;
  /// Wrote the first row of a cell.
  std::uint64_t creations = 0;
  /// Ceased to be primary.
  std::uint64_t step_downs = 0;
  /// Passed the cell to the standby at shutdown.
  std::uint64_t hand_overs = 0;
  /// Changes of owners that took effect.
  std::uint64_t owner_changes = 0;
  /// Of these: in effect before they were stored.
  std::uint64_t changes_ahead_of_store = 0;
  /// Promises not to act on older rows.
  std::uint64_t excluded_by_promise = 0;
  /// Instances gone by the platform's list.
  std::uint64_t excluded_by_list = 0;
  /// Instances without contact for the isolation budget.
  std::uint64_t excluded_by_budget = 0;
  /// Stored changes of the standby.
  std::uint64_t standby_replacements = 0;
  /// Servers removed because they did not respond.
  std::uint64_t servers_lost = 0;
  /// Servers that became owners of keys.
  std::uint64_t servers_joined = 0;
  /// Orders that a server accepted.
  std::uint64_t grants_accepted = 0;
  /// Orders that a server refused.
  std::uint64_t grants_refused = 0;
  /// Writes refused: another revision is stored.
  std::uint64_t store_conflicts = 0;
  /// Store requests without a usable answer.
  std::uint64_t store_failures = 0;
  /// Writes with a lost answer that a later reply showed to be stored.
  std::uint64_t unknown_writes_resolved = 0;
  /// First store successes after a failure.
  std::uint64_t reconciliations = 0;
  /// Store replies with an older or no row.
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
