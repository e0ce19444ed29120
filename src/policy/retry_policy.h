/// \file
/// Defines when this system retries a request by itself.
///
/// A request is retried only if its last attempt is known not to have run, or
/// if the request is idempotent and the answer was lost. Its deadline must
/// leave time for the retry. A retry budget limits the total, so that retries
/// do not amplify an overload.

#ifndef CHERVILMUX_POLICY_RETRY_POLICY_H_
#define CHERVILMUX_POLICY_RETRY_POLICY_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "kernel/error.h"
#include "kernel/time.h"

namespace chervilmux::policy {

/// Whether a request of `method` may run twice without harm: HTTP defines the
/// method as idempotent, or the manifest lists it in `declared_methods`.
bool IsIdempotent(std::string_view method,
                  const std::vector<std::string>& declared_methods);

/// A token bucket that limits retries: each first attempt adds
/// `tokens_per_request`, each retry removes one token.
///
/// Many instances share one limit, so that the capacity of each can be less
/// than one token. Its bucket then holds one all the same, but over a window it
/// grants no more than `capacity` and what the first attempts of that window
/// have added.
class RetryBudget {
 public:
  RetryBudget(double tokens_per_request, double capacity);
  void OnFirstAttempt(kernel::Instant now);
  /// Removes one token; returns false when less than one is left.
  bool TryConsume(kernel::Instant now);

  /// Changes the bucket's capacity. An increase adds the difference as tokens;
  /// a decrease removes the tokens above the new capacity.
  void SetCapacity(double new_capacity);

 private:
  /// What happened in one second.
  struct Period {
    std::uint64_t first_attempts = 0;
    std::uint64_t retries = 0;
  };
  /// The window of ten seconds and the second before it, so that retries count
  /// for longer.
  static constexpr int kPeriods = 11;

  void Advance(kernel::Instant now);
  double MaxLevel() const;
  bool FitsWindow() const;

  double tokens_per_request;
  double capacity;
  double level;                          ///< Number of tokens in the bucket.
  std::array<Period, kPeriods> periods;  ///< The newest first.
  kernel::Instant period_end = kernel::kNever;
};

/// A failed attempt, as input to the decision to retry.
struct FailedAttempt {
  kernel::ErrorKind failure = kernel::ErrorKind::kInternal;
  unsigned attempt_number = 1;  ///< 1 for the request's first.
  bool idempotent = false;
  kernel::Instant deadline;
};

/// The delay before the next attempt; nothing when the request must not be
/// retried. `random` in [0, 1) adds jitter, so that requests that failed
/// together are not retried together.
std::optional<kernel::Duration> RetryDelay(const FailedAttempt& attempt,
                                           double random, kernel::Instant now);

}  // namespace chervilmux::policy

#endif  // CHERVILMUX_POLICY_RETRY_POLICY_H_
