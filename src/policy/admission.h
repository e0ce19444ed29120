/// \file
/// Defines when a request that finds no free server waits, when it is refused,
/// and when its caller should come back.
///
/// Answers more load than the servers can carry: bursts, callers that repeat at
/// once, and the loss of part of a service. A request that cannot be answered
/// in time is refused while its caller can still use the time that is left.

#ifndef CHERVILMUX_POLICY_ADMISSION_H_
#define CHERVILMUX_POLICY_ADMISSION_H_

#include <cstddef>
#include <optional>

#include "kernel/time.h"

namespace chervilmux::policy {

/// Follows how fast this instance gets requests of one service done.
class CompletionRate {
 public:
  void OnCompletion(kernel::Instant now);

  /// Requests per second that were done lately; 0 when unknown.
  double PerSecond(kernel::Instant now) const;

 private:
  double rate = 0;
  std::size_t done_in_window = 0;
  kernel::Instant window_start = kernel::kNever;
};

/// What is known when a request has to wait.
struct QueueState {
  std::size_t requests_ahead = 0;  ///< Waiting requests that go first.
  double completions_per_second =
      0;  ///< Rate at which the queue is served; 0: unknown.
  kernel::Duration service_time;  ///< Time that the request takes at a server.
  kernel::Duration max_wait;      ///< The request may wait for so long.
};

/// Time until a server is free for a request behind `state.ahead` others.
kernel::Duration ExpectedWait(const QueueState& state);

/// Whether a request with `left` until its deadline should wait at all.
bool ShouldQueue(const QueueState& state, kernel::Duration left);

/// When a refused caller should come back. `random` in [0, 1) spreads callers
/// that were refused together.
kernel::Duration RetryAfter(kernel::Duration expected_wait, double random);

}  // namespace chervilmux::policy

#endif  // CHERVILMUX_POLICY_ADMISSION_H_
