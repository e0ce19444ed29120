/// \file
/// Defines when this system repeats a request by itself.
///
/// A request is repeated only when its last attempt surely was not run, or when
/// it is idempotent and the answer was lost; only while its deadline allows;
/// and only out of a budget, so that retries cannot multiply an overload.

#ifndef CHERVILMUX_POLICY_RETRY_POLICY_H_
#define CHERVILMUX_POLICY_RETRY_POLICY_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "kernel/error.h"
#include "kernel/time.h"

namespace chervilmux::policy {

/// Whether a request of `method` may be executed twice without harm: by HTTP's
/// own definition or because the manifest says so.
bool IsIdempotent(std::string_view method,
                  const std::vector<std::string>& declared);

/// A bucket of retries: each first attempt adds a part of one, each retry
/// takes one.
class RetryBudget {
 public:
  RetryBudget(double per_request, double capacity);
  void OnFirstAttempt();
  bool TryConsume();

  /// Changes the bucket's size: a larger one gains the difference, a smaller
  /// one loses what is beyond it.
  void SetCapacity(double new_capacity);

 private:
  double per_request;
  double capacity;
  double level;
};

/// What is known about the failed attempt.
struct FailedAttempt {
  kernel::ErrorKind failure = kernel::ErrorKind::kInternal;
  unsigned number = 1;  ///< Counts from one.
  bool idempotent = false;
  kernel::Instant deadline;
};

/// How long to wait before the next attempt; nothing when there is none.
/// `random` in [0, 1) spreads the retries of many requests.
std::optional<kernel::Duration> RetryDelay(const FailedAttempt& attempt,
                                           double random, kernel::Instant now);

}  // namespace chervilmux::policy

#endif  // CHERVILMUX_POLICY_RETRY_POLICY_H_
