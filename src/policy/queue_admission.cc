#include "policy/queue_admission.h"

namespace chervilmux::policy {

QueuePlace PlaceInQueue(const QueueState& queue,
                        const QueueCandidate& candidate) {
  if (!ShouldQueue(queue, candidate.deadline_left))
    return QueuePlace::kWaitTooLong;
  const kernel::Duration end = ExpectedWait(queue) + queue.service_time;
  if (end <= candidate.objective_left) return QueuePlace::kInTime;
  return candidate.in_time_waits ? QueuePlace::kLate : QueuePlace::kLeftOver;
}

}  // namespace chervilmux::policy
