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
  /// The standby became primary because it received no pings from the primary.
  std::uint64_t takeovers = 0;
  /// An instance became primary of a cell whose primary is gone.
  std::uint64_t claims = 0;
  /// An instance stored the first row of a cell.
  std::uint64_t creations = 0;
  /// A primary gave up its role.
  std::uint64_t step_downs = 0;
  /// A primary that shuts down made the standby primary.
  std::uint64_t hand_overs = 0;
  /// A change of key owners took effect.
  std::uint64_t owner_changes = 0;
  /// Changes of owners that took effect before the store held their row.
  std::uint64_t changes_ahead_of_store = 0;
  /// An instance promised not to act on older rows.
  std::uint64_t excluded_by_promise = 0;
  /// Instances excluded because the platform's list of instances reports them
  /// as gone.
  std::uint64_t excluded_by_list = 0;
  /// Instances excluded because they were isolated for longer than the allowed
  /// time, the isolation budget.
  std::uint64_t excluded_by_budget = 0;
  /// A stored row replaced or removed the standby.
  std::uint64_t standby_replacements = 0;
  /// A server lost its keys because it did not respond.
  std::uint64_t servers_lost = 0;
  /// A server became eligible to own keys.
  std::uint64_t servers_joined = 0;
  /// A server accepted an order, which may be a grant or a revocation.
  std::uint64_t grants_accepted = 0;
  /// A server refused an order.
  std::uint64_t grants_refused = 0;
  /// The store refused a write because the row had changed.
  std::uint64_t store_conflicts = 0;
  /// A store request failed or got no reply in time.
  std::uint64_t store_failures = 0;
  /// A read showed that a write whose answer was lost took effect.
  std::uint64_t unknown_writes_resolved = 0;
  /// A store request succeeded after the previous one had failed.
  std::uint64_t reconciliations = 0;
  /// Store replies ignored because they show an older revision.
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
