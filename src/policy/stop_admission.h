/// \file
/// Defines which requests an instance still sends to a server while it stops.
///
/// A planned stop has a fixed end, at which requests that are out at servers
/// are cut off and their callers can't know whether they ran. Stop admission
/// answers the load of a rolling restart: requests that arrive between the stop
/// signal and the end. One that may not finish in time is refused as not run,
/// so that another instance serves it.

#ifndef CHERVILMUX_POLICY_STOP_ADMISSION_H_
#define CHERVILMUX_POLICY_STOP_ADMISSION_H_

#include "kernel/time.h"

namespace chervilmux::policy {

/// What stop admission depends on. All times count from now.
struct StopRequest {
  kernel::Duration latency_objective;
  kernel::Duration time_left;  ///< Until the caller's deadline.
  /// Mean time of a request at a server of the service.
  kernel::Duration service_time;
  bool idempotent = false;
};

/// Whether a request is almost certain to finish before the instance ends in
/// `stop_left`: it has as much time as its caller allows, or several times as
/// much as it usually takes.
bool FinishesBeforeStop(const StopRequest& request, kernel::Duration stop_left);

}  // namespace chervilmux::policy

#endif  // CHERVILMUX_POLICY_STOP_ADMISSION_H_
