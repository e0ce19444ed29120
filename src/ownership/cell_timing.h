/// \file
/// Defines the time constants of cell ownership and the safety rules.

#ifndef CHERVILMUX_OWNERSHIP_CELL_TIMING_H_
#define CHERVILMUX_OWNERSHIP_CELL_TIMING_H_

#include "kernel/time.h"

namespace chervilmux::ownership {

/// Time constants of one cell; the same on all instances.
struct CellTiming {
  kernel::Duration ping_period = kernel::milliseconds(100);
  kernel::Duration suspect_after = kernel::milliseconds(350);
  kernel::Duration renew_period = kernel::milliseconds(150);
  kernel::Duration lease = kernel::milliseconds(600);
  kernel::Duration server_lost_after = kernel::milliseconds(400);
  kernel::Duration probe_period = kernel::milliseconds(200);
  kernel::Duration rejoin_after = kernel::milliseconds(1000);
  kernel::Duration store_period = kernel::milliseconds(300);
  kernel::Duration orphan_read_period = kernel::seconds(1);
  kernel::Duration store_timeout = kernel::seconds(2);
  kernel::Duration isolation_budget = kernel::seconds(7200);
  kernel::Duration list_lag = kernel::seconds(2);
  kernel::Duration max_request_time = kernel::seconds(10);
  /// Upper bound of the relative rate difference of any two clocks, in parts
  /// per million.
  std::int64_t drift_ppm = 1000;

  /// The longest that `duration` on another clock can take on ours.
  kernel::Duration Stretch(kernel::Duration duration) const {
    return duration + duration * this->drift_ppm / 1'000'000 +
           kernel::Duration(1);
  }

  /// The shortest that `duration` on another clock can take on ours.
  kernel::Duration Shrink(kernel::Duration duration) const {
    return duration - duration * this->drift_ppm / 1'000'000 -
           kernel::Duration(1);
  }
};

/// The rules that keep ownership exclusive. All are on in every program; tests
/// switch one off to show that its check notices.
struct SafetyRules {
  bool wait_for_other_instances = true;
  bool wait_for_server_stop = true;
  bool check_authority = true;
  bool resolve_unknown_writes = true;
};

}  // namespace chervilmux::ownership

#endif  // CHERVILMUX_OWNERSHIP_CELL_TIMING_H_
