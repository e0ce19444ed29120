/// \file
/// Defines when refused callers are asked to return: one after the other, at
/// the pace at which room becomes free, so that they don't return together only
/// to be refused again.

#ifndef CHERVILMUX_POLICY_RETURN_TIMES_H_
#define CHERVILMUX_POLICY_RETURN_TIMES_H_

#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "kernel/time.h"

namespace chervilmux::policy {

/// What is known of the servers that had no room for a request.
struct RoomForecast {
  /// Until the requests that wait now have been sent.
  kernel::Duration until_room{0};
  /// Requests per second for which there is room at this instance; 0 when
  /// unknown.
  double requests_per_second = 0;
  /// Until the deadline, if the caller has told it.
  std::optional<kernel::Duration> caller_time_left;
};

/// The return times of one service's callers, by owner of keys; "" without
/// keys.
class ReturnTimes {
 public:
  /// The Retry-After delay of one more refused caller. `random` in [0, 1).
  kernel::Duration Next(std::string_view owner, const RoomForecast &forecast,
                        double random, kernel::Instant now);

 private:
  /// When the next caller can return, where that is in the future.
  std::map<std::string, kernel::Instant, std::less<>> next_by_owner;
  kernel::Instant next_cleanup = kernel::kNever;
};

}  // namespace chervilmux::policy

#endif  // CHERVILMUX_POLICY_RETURN_TIMES_H_
