/// \file
/// Defines ExclusionTracker, which records which other instances can still act
/// on an older version of a cell row (the record that names the primary, the
/// standby and the servers of a cell), and since when the others cannot.
///
/// An instance can no longer act on older rows in one of these cases:
///
/// - Promise: it answered a newer row with an echo message, by which it
///   promises never to act on an older row.
/// - List: the platform's list of instances has reported it as gone for longer
///   than the lag of that list.
/// - Budget: it has had no contact for the isolation budget, the time after
///   which an instance without contact stops by its own clock.
///
/// All grants that it issued expire within one lease after that.

#ifndef CHERVILMUX_OWNERSHIP_EXCLUSION_BOOK_H_
#define CHERVILMUX_OWNERSHIP_EXCLUSION_BOOK_H_

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
    /// Promises of instances not to act on older rows.
    std::uint64_t by_promise = 0;
    /// Instances excluded because the platform's list reports them as gone.
    std::uint64_t by_list = 0;
    /// Instances excluded because they were isolated for longer than the
    /// isolation budget.
    std::uint64_t by_budget = 0;
  };

  explicit ExclusionTracker(const CellTiming& timing) : timing(timing) {}

  /// Starts to track `instance` as one that may act on older rows.
  /// `counterpart_is_self`: `instance` and this instance are the primary and
  /// standby of one row, so `instance` loses all contact once the store holds a
  /// row that does not name it.
  void Track(const InstanceId& instance, bool counterpart_is_self);

  /// Removes all instances. Called when this instance becomes primary.
  void Clear() { this->tracked_instances.clear(); }

  /// Records that `instance` promised not to act on rows older than `version`.
  /// Its grants may be valid for another `grants_valid_for` on its own clock.
  void OnPromise(const InstanceId& instance, RowVersion version,
                 kernel::Duration grants_valid_for, kernel::Instant now);

  /// Records that the store holds a row in which `instance` is neither primary
  /// nor standby.
  void OnRemovalStored(const InstanceId& instance, kernel::Instant now);

  /// Excludes instances that the platform's list of instances has reported as
  /// gone for longer than its lag, or whose isolation budget has ended.
  void Update(const Membership& membership, kernel::Instant now);

  /// Returns whether `instance` promised not to act on rows older than
  /// `version`.
  bool HasPromised(const InstanceId& instance, RowVersion version) const;

  /// Returns whether `instance` cannot act on rows older than `version`, by its
  /// promise or by exclusion.
  bool CannotUseRowsBefore(const InstanceId& instance,
                           RowVersion version) const;

  /// Returns whether `instance` is permanently excluded, by the platform's list
  /// of instances or by the isolation budget.
  bool IsExcluded(const InstanceId& instance) const;

  /// Returns whether `instance` cannot act on rows older than `version`, all
  /// grants that it issued under such rows have expired, and `margin` has
  /// passed since.
  bool GrantsExpired(const InstanceId& instance, RowVersion version,
                     kernel::Duration margin, kernel::Instant now) const;

  const Counters& GetCounters() const { return this->counters; }

 private:
  struct TrackedInstance {
    bool counterpart_is_self = false;
    bool excluded = false;
    RowVersion promised_version;
    /// When the grants issued before the last increase of `promised_version`
    /// expire. Earlier promises do not count: the instance may have been
    /// primary since.
    kernel::Instant promised_grants_expire_at = kernel::kNever;
    kernel::Instant removal_stored_at = kernel::kNever;
    kernel::Instant excluded_at = kernel::kNever;
  };

  void Exclude(TrackedInstance& tracked, std::uint64_t& counter,
               kernel::Instant now);

  CellTiming timing;
  std::map<InstanceId, TrackedInstance> tracked_instances;
  Counters counters;
};

/// Returns whether the platform's list of instances has reported `instance` as
/// gone for longer than `lag`.
bool IsGoneBeyondListLag(const Membership& membership,
                         const InstanceId& instance, kernel::Duration lag,
                         kernel::Instant now);

}  // namespace chervilmux::ownership

#endif  // CHERVILMUX_OWNERSHIP_EXCLUSION_BOOK_H_
