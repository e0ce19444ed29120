#include "policy/return_times.h"

#include <algorithm>

namespace chervilmux::policy {
namespace {

using kernel::Duration;
using kernel::FromSeconds;
using kernel::Instant;
using kernel::milliseconds;
using kernel::ToSeconds;

/// A few round trips to callers.
constexpr Duration kMinReturn = milliseconds(50);
/// The header has milliseconds, and 0 stands for no delay that is told.
constexpr Duration kLeastReturn = milliseconds(1);
/// A short overload turns no caller away for longer.
constexpr Duration kMaxReturn = milliseconds(1000);
/// Callers wait for at most this part of the time that they have left.
constexpr int kPartsOfTimeLeft = 3;
/// How often owners without recent refusals are forgotten.
constexpr Duration kCleanupPeriod = kernel::seconds(10);

}  // namespace

Duration ReturnTimes::Next(std::string_view owner, const RoomForecast &forecast,
                           double random, Instant now) {
  if (now >= this->next_cleanup) {
    std::erase_if(this->next_by_owner,
                  [now](const auto &entry) { return entry.second <= now; });
    this->next_cleanup = now + kCleanupPeriod;
  }
  Duration least = kMinReturn;
  Duration longest = kMaxReturn;
  Duration room = std::min<Duration>(forecast.until_room, kMaxReturn);
  if (forecast.caller_time_left) {
    const Duration patience = std::max<Duration>(
        *forecast.caller_time_left / kPartsOfTimeLeft, kLeastReturn);
    // A caller for whom the room comes too late is told the truth.
    if (patience >= room) {
      least = std::min(least, patience);
      longest = std::min(longest, patience);
    }
  }
  room = std::max(room, least);
  const Instant earliest = now + room;
  const Instant latest = now + longest;
  const Duration gap =
      forecast.requests_per_second > 0
          ? std::min(FromSeconds(1 / forecast.requests_per_second), longest)
          : room;
  const auto known = this->next_by_owner.find(owner);
  const Instant turn = known == this->next_by_owner.end()
                           ? earliest
                           : std::max(earliest, known->second);
  if (turn + gap > latest) {
    // More callers than there is room for until then.
    return room + FromSeconds(ToSeconds(longest - room) * random);
  }
  this->next_by_owner[std::string(owner)] = turn + gap;
  return turn - now + FromSeconds(ToSeconds(gap) * random);
}

}  // namespace chervilmux::policy
