/// \file
/// Defines the exclusion book: which other instances can still act on an older
/// row of a cell, and since when each one surely cannot.
///
/// An instance is cleared by its promise (an echo of the row), by the
/// platform's list naming it gone for longer than the list's lag, or by having
/// been without contact for the isolation budget. All grants that a cleared
/// instance ever issued lapse within one lease after the clearing.

#ifndef CHERVILMUX_OWNERSHIP_EXCLUSION_TRACKER_H_
#define CHERVILMUX_OWNERSHIP_EXCLUSION_TRACKER_H_

#include <cstdint>
#include <map>
#include <span>

#include "kernel/time.h"
#include "ownership/cell_events.h"
#include "ownership/cell_timing.h"

namespace chervilmux::ownership {

class ExclusionTracker {
 public:
  struct Counters {
    std::uint64_t by_promise = 0;
    std::uint64_t by_list = 0;
    std::uint64_t by_budget = 0;
  };

  explicit ExclusionTracker(const CellTiming& timing) : timing(timing) {}

  /// Starts to follow `instance` as one that may act on older rows.
  /// `counterpart_is_self`: its only counterpart is this instance, so it runs
  /// out of contact once the store holds a row that drops it.
  void Follow(const InstanceId& instance, bool counterpart_is_self);

  /// Forgets everything, when leadership starts anew.
  void Clear() { this->others.clear(); }

  /// `instance` promised not to act on rows older than `version`; its grants
  /// may be live for `grants_valid_for` more, by its own clock.
  void OnPromise(const InstanceId& instance, RowVersion version,
                 kernel::Duration grants_valid_for, kernel::Instant now);

  /// The store holds a row in which `instance` has no part.
  void OnDropStored(const InstanceId& instance, kernel::Instant now);

  /// Applies the list and the isolation budget.
  void Update(const Membership& membership, kernel::Instant now);

  /// Whether `instance` promised not to act on rows older than `version`.
  bool Promised(const InstanceId& instance, RowVersion version) const;

  /// Whether `instance` cannot act on rows older than `version`.
  bool Cleared(const InstanceId& instance, RowVersion version) const;

  /// Whether `instance` is excluded for good, by list or budget.
  bool Excluded(const InstanceId& instance) const;

  /// Whether also every grant that `instance` gave under rows older than
  /// `version` has lapsed, and `extra` has passed since.
  bool GrantsLapsed(const InstanceId& instance, RowVersion version,
                    kernel::Duration extra, kernel::Instant now) const;

  const Counters& Count() const { return this->counters; }

 private:
  struct Other {
    bool counterpart_is_self = false;
    bool excluded = false;
    RowVersion promised;
    /// When the grants given before the last rise of `promised` are over. An
    /// earlier promise does not count: the instance may have led since.
    kernel::Instant promise_lapses_at = kernel::kNever;
    kernel::Instant drop_stored_at = kernel::kNever;
    kernel::Instant excluded_at = kernel::kNever;
  };

  void Exclude(Other& other, std::uint64_t& counter, kernel::Instant now);

  CellTiming timing;
  std::map<InstanceId, Other> others;
  Counters counters;
};

/// Whether the list has named `instance` gone for longer than its lag.
bool ListedGoneForLag(const Membership& membership, const InstanceId& instance,
                      kernel::Duration lag, kernel::Instant now);

}  // namespace chervilmux::ownership

#endif  // CHERVILMUX_OWNERSHIP_EXCLUSION_TRACKER_H_
