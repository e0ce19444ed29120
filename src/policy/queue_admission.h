/// \file
/// Defines whether a request that finds no free backend server may wait for
/// one, judged by its latency objective as well as by its deadline.
///
/// It matters when requests come faster than the servers complete them. An
/// answer that misses the objective is of little use, so that a request that is
/// bound to be late waits only while nothing waits that can be in time.

#ifndef CHERVILMUX_POLICY_QUEUE_ADMISSION_H_
#define CHERVILMUX_POLICY_QUEUE_ADMISSION_H_

#include <cstdint>

#include "kernel/time.h"
#include "policy/admission.h"

namespace chervilmux::policy {

enum class QueuePlace : std::uint8_t {
  kInTime,       ///< It is expected to meet its objective.
  kLeftOver,     ///< It is expected to meet its deadline only.
  kWaitTooLong,  ///< Refused: it would wait too long.
  kLate,         ///< Refused: it would be late, and others can be in time.
};

/// A request that finds no free server.
struct QueueCandidate {
  kernel::Duration objective_left;  ///< Negative once it has passed.
  kernel::Duration deadline_left;
  /// Whether a request that can meet its objective waits for the same servers.
  bool in_time_waits = false;
};

/// `queue` counts the requests that are at least as urgent as the candidate:
/// others do not delay it.
QueuePlace PlaceInQueue(const QueueState& queue,
                        const QueueCandidate& candidate);

}  // namespace chervilmux::policy

#endif  // CHERVILMUX_POLICY_QUEUE_ADMISSION_H_
