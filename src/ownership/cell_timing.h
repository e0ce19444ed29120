/// \file
/// Defines the time constants and the safety rules of cell ownership.

#ifndef CHERVILMUX_OWNERSHIP_CELL_TIMING_H_
#define CHERVILMUX_OWNERSHIP_CELL_TIMING_H_

#include "kernel/time.h"

namespace chervilmux::ownership {

/// Time constants of one cell. All instances use the same values.
struct CellTiming {
  /// Period of a primary's pings to the standby and to former members.
  kernel::Duration ping_period = kernel::milliseconds(100);
  /// Silence of the primary after which the standby takes over.
  kernel::Duration suspect_after = kernel::milliseconds(350);
  /// Interval between grant orders to a server that owns or will own keys.
  kernel::Duration renew_period = kernel::milliseconds(150);
  /// Validity of a grant.
  kernel::Duration lease = kernel::milliseconds(600);
  /// Time without a reply after which a server counts as unreachable.
  kernel::Duration server_lost_after = kernel::milliseconds(400);
  /// Interval between grant orders to a server that owns no keys; they grant
  /// nothing and only check that it responds.
  kernel::Duration probe_period = kernel::milliseconds(200);
  /// How long a server must accept grant orders before it owns keys again.
  kernel::Duration rejoin_after = kernel::milliseconds(1000);
  /// Minimum time from one store request of a primary or standby to its next
  /// periodic one or to the retry of a failed one.
  kernel::Duration min_store_request_interval = kernel::milliseconds(300);
  /// Minimum time from one store request to the next read of the stored cell
  /// row, for an instance that is neither primary nor standby of the cell.
  kernel::Duration non_member_read_interval = kernel::seconds(1);
  /// Time after which a store request without a reply counts as failed.
  kernel::Duration store_timeout = kernel::seconds(2);
  /// How long a primary or standby may act in that role after its last contact
  /// with the store or with the other of primary and standby. It then stops
  /// acting, by its own clock and without a message.
  kernel::Duration isolation_budget = kernel::seconds(7200);
  /// Maximum delay of the platform's list of instances.
  kernel::Duration list_lag = kernel::seconds(2);
  /// Maximum duration of a request at a server.
  kernel::Duration max_request_time = kernel::seconds(10);
  /// Upper bound of the relative difference in rate between any two clocks, in
  /// parts per million.
  std::int64_t drift_ppm = 1000;

  /// Returns the longest time that this clock can measure while another clock
  /// measures `duration`.
  kernel::Duration AddDriftMargin(kernel::Duration duration) const {
    return duration + duration * this->drift_ppm / 1'000'000 +
           kernel::Duration(1);
  }

  /// Returns the shortest time that this clock can measure while another clock
  /// measures `duration`.
  kernel::Duration SubtractDriftMargin(kernel::Duration duration) const {
    return duration - duration * this->drift_ppm / 1'000'000 -
           kernel::Duration(1);
  }
};

/// The rules that keep ownership exclusive. Every program enables all of them;
/// a test disables one to show that its checks detect the violation.
struct SafetyRules {
  /// The primary waits with a change of key owners until no other instance can
  /// act on an older version of the cell row; only then does the change take
  /// effect.
  bool wait_for_other_instances = true;
  /// A change of owners takes effect only after the servers that lose keys have
  /// stopped serving them.
  bool wait_for_server_stop = true;
  /// A primary or standby checks its authority before it acts in its role and
  /// stops when the authority has ended. Authority is the permission to act as
  /// primary or standby; it ends when the instance has had no contact with the
  /// store or with the other of primary and standby for `isolation_budget`.
  bool check_authority = true;
  /// After a write whose answer was lost, the stored row is read to learn
  /// whether the write took effect.
  bool resolve_unknown_writes = true;
};

}  // namespace chervilmux::ownership

#endif  // CHERVILMUX_OWNERSHIP_CELL_TIMING_H_
