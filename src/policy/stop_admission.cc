#include "policy/stop_admission.h"

#include <algorithm>

namespace chervilmux::policy {
namespace {

using kernel::Duration;

/// A request takes at most this many mean service times, but for a few.
constexpr int kServiceTimesOfSlowRequest = 3;
/// More time for a request that no caller can repeat once it has been cut off.
constexpr int kFactorUnlessIdempotent = 2;

}  // namespace

bool FinishesBeforeStop(const StopRequest& request, Duration stop_left) {
  const Duration usual =
      std::max<Duration>(request.latency_objective,
                         kServiceTimesOfSlowRequest * request.service_time);
  const Duration needed =
      request.idempotent ? usual : kFactorUnlessIdempotent * usual;
  return std::min(needed, request.time_left) <= stop_left;
}

}  // namespace chervilmux::policy
