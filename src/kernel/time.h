/// \file
/// Defines the monotonic time types that all decision logic uses.
///
/// Decision logic never reads a clock: every call takes `now`. Only the tasks
/// that own sockets call Now(). Wall-clock time appears in logs alone, because
/// it may step backwards.

#ifndef CHERVILMUX_KERNEL_TIME_H_
#define CHERVILMUX_KERNEL_TIME_H_

#include <time.h>

#include <algorithm>
#include <chrono>
#include <cstdint>

#include "kernel/saturate.h"

namespace chervilmux::kernel {

using Duration = std::chrono::microseconds;
using Instant = std::chrono::time_point<std::chrono::steady_clock, Duration>;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// An instant before every other one; stands for "never happened".
inline constexpr Instant kNever = Instant::min();

/// Reads the machine's monotonic clock, which counts the time that the machine
/// was suspended: leases of others went on meanwhile.
inline Instant Now() {
  timespec time{};
  clock_gettime(CLOCK_BOOTTIME, &time);
  return Instant(seconds(time.tv_sec) + Duration(time.tv_nsec / 1000));
}

/// Whole milliseconds in `duration`, rounded down.
constexpr std::int64_t ToMs(Duration duration) {
  return std::chrono::duration_cast<milliseconds>(duration).count();
}

/// Seconds as a number, for rates and averages.
inline double ToSeconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

/// A century. Longer durations from outside are cut to it, so that their sum
/// with any time of the clock is one.
inline constexpr Duration kLongestDuration = std::chrono::hours(24) * 365 * 100;

/// `duration` rounded towards zero and cut to kLongestDuration, either way.
template <typename Period>
Duration ToDuration(std::chrono::duration<double, Period> duration) {
  const std::chrono::duration<double, Duration::period> exact = duration;
  return std::clamp(Duration(SaturateTo<Duration::rep>(exact.count())),
                    -kLongestDuration, kLongestDuration);
}

/// The inverse of ToSeconds(), rounded and cut like ToDuration().
inline Duration FromSeconds(double seconds) {
  return ToDuration(std::chrono::duration<double>(seconds));
}

/// Microseconds since the clock's own epoch, for messages.
inline std::int64_t ToWire(Instant instant) {
  return instant.time_since_epoch().count();
}

/// The inverse of ToWire().
inline Instant FromWire(std::int64_t micros) {
  return Instant(Duration(micros));
}

}  // namespace chervilmux::kernel

#endif  // CHERVILMUX_KERNEL_TIME_H_
