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
  /// Period of the orders to a server that owns or will own keys.
  kernel::Duration renew_period = kernel::milliseconds(150);
  /// Validity of a grant.
  kernel::Duration lease = kernel::milliseconds(600);
  /// Time without a reply after which a server counts as unreachable.
  kernel::Duration server_lost_after = kernel::milliseconds(400);
  /// Period of the orders to a server that owns no keys.
  kernel::Duration probe_period = kernel::milliseconds(200);
  /// How long a server must accept orders before it owns keys again.
  kernel::Duration rejoin_after = kernel::milliseconds(1000);
  /// Minimum time from one store request of a primary or standby to its next
  /// periodic one or to the retry of a failed one.
  kernel::Duration min_store_request_interval = kernel::milliseconds(300);
  /// Minimum time between reads of the stored cell row by an instance that is
  /// neither primary nor standby.
  kernel::Duration non_member_read_interval = kernel::seconds(1);
  /// Time after which a store request without a reply counts as failed.
  kernel::Duration store_timeout = kernel::seconds(2);
  /// How long a primary or standby may act while it has contact with neither
  /// the other of the two nor the store. It then stops by its own clock.
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
  /// A change of owners takes effect only after no other instance can act on an
  /// older version of the cell row.
  bool wait_for_other_instances = true;
  /// A change of owners takes effect only after the servers that lose keys have
  /// stopped serving them.
  bool wait_for_server_stop = true;
  /// A primary or standby stops once it has had no contact for the isolation
  /// budget.
  bool check_authority = true;
  /// After a write whose answer was lost, the stored row is read to learn
  /// whether the write took effect.
  bool resolve_unknown_writes = true;
};

}  // namespace chervilmux::ownership

#endif  // CHERVILMUX_OWNERSHIP_CELL_TIMING_H_
