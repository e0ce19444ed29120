/// \file
/// Defines when a request that finds no free backend server is queued, when it
/// is refused, and which Retry-After delay its caller gets.
///
/// Admission control handles overload: bursts, callers that retry immediately,
/// and the loss of some of a service's servers. A request that cannot be
/// answered before its deadline is refused early, so that its caller can use
/// the remaining time.

#ifndef CHERVILMUX_POLICY_ADMISSION_H_
#define CHERVILMUX_POLICY_ADMISSION_H_

#include <cstddef>
#include <optional>

#include "kernel/time.h"

namespace chervilmux::policy {

/// Estimates the rate at which attempts of one service end at this instance.
class CompletionRate {
 public:
  void OnCompletion(kernel::Instant now);

  /// Recent completions per second; 0 when unknown.
  double PerSecond(kernel::Instant now) const;

 private:
  double rate = 0;
  std::size_t completions_in_window = 0;
  kernel::Instant window_start = kernel::kNever;
};

/// State of the queue that a request would join.
struct QueueState {
  std::size_t requests_ahead = 0;  ///< Queued requests that are sent earlier.
  /// Rate at which the queue drains; 0 when unknown.
  double completions_per_second = 0;
  kernel::Duration service_time;  ///< Expected time of the request at a server.
  kernel::Duration max_wait;      ///< Maximum time in the queue.
};

/// Expected time until a server is free for a request that has
/// `state.requests_ahead` queued requests before it.
kernel::Duration ExpectedWait(const QueueState& state);

/// Whether to queue a request that has `time_left` until its deadline: its
/// expected wait is at most `state.max_wait`, and it can finish in time.
bool ShouldQueue(const QueueState& state, kernel::Duration time_left);

/// The delay after which a refused caller should retry. `random` in [0, 1) adds
/// jitter, so that callers that were refused together do not retry together.
kernel::Duration RetryAfter(kernel::Duration expected_wait, double random);

/// The same for a caller whose server wants no requests for `rest`: at least
/// `rest`, and callers do not return in one instant.
kernel::Duration RetryAfterBackOff(kernel::Duration rest, double random);

}  // namespace chervilmux::policy

#endif  // CHERVILMUX_POLICY_ADMISSION_H_
