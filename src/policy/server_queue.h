/// \file
/// Defines the admission queue of one backend server: how many requests run at
/// once, which requests wait, and which are refused early.
///
/// The queue does no I/O and reads no clock. Requests wait in order of their
/// deadlines. A request that cannot finish by its deadline is refused
/// immediately, while its caller still has time to react. A key may use at
/// most half of the concurrency limit while other keys wait, otherwise all but
/// one slot of it, and always at least one slot, so that a hot key does not
/// starve the other keys of its server. The concurrency limit starts at one
/// after a cold start, rises with answers and, slowly, while none comes, and is
/// reduced when the server sheds a request.

#ifndef CHERVILMUX_POLICY_SERVER_QUEUE_H_
#define CHERVILMUX_POLICY_SERVER_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "kernel/error.h"
#include "kernel/time.h"

namespace chervilmux::policy {

struct QueueLimits {
  unsigned slots = 1;            ///< Requests that the server runs at once.
  std::size_t max_waiting = 64;  ///< Requests in the queue.
};

/// The properties of a request that admission depends on.
struct QueuedRequest {
  std::uint64_t id = 0;
  std::uint64_t key_hash = 0;
  kernel::Instant deadline;
  bool retried = false;  ///< A retry; queued as if due earlier.
};

struct RefusedRequest {
  std::uint64_t id = 0;
  kernel::ErrorKind kind = kernel::ErrorKind::kQueueFull;
};

class ServerQueue {
 public:
  explicit ServerQueue(const QueueLimits& limits);

  void SetLimits(const QueueLimits& limits);

  /// Adds a request to the queue, or returns the reason for refusing it.
  std::optional<kernel::ErrorKind> TryEnqueue(const QueuedRequest& request,
                                              kernel::Instant now);

  /// Removes the next request to send from the queue and counts it as in
  /// flight; nothing while the concurrency limit or the key limits forbid it.
  std::optional<std::uint64_t> PopNext(kernel::Instant now);

  /// Removes the requests that can no longer finish by their deadline.
  std::vector<RefusedRequest> PopExpired(kernel::Instant now);

  /// Removes all waiting requests and returns their ids.
  std::vector<std::uint64_t> PopAll();

  /// Removes a waiting request, for example because its caller disconnected.
  /// Returns whether the request was in the queue.
  bool Remove(std::uint64_t id);

  /// Records that the server answered a request `latency` after it was sent.
  void OnAnswered(std::uint64_t key_hash, kernel::Duration latency);

  /// Records that the server shed a request.
  void OnShed(std::uint64_t key_hash);

  /// Records that a request in flight ended without a usable latency sample.
  void OnFailed(std::uint64_t key_hash);

  /// Sets the concurrency limit to one, for a server that is new or did not
  /// answer for some time.
  void ResetConcurrency();

  std::size_t WaitingCount() const { return this->waiting.size(); }
  unsigned InFlight() const { return this->in_flight; }
  double ConcurrencyLimit() const { return this->concurrency_limit; }

 private:
  using WaitingQueue = std::multimap<kernel::Instant, QueuedRequest>;

  kernel::Duration ExpectedWait(kernel::Instant deadline) const;
  /// As PopNext(), under the concurrency limit as it is.
  std::optional<std::uint64_t> PopAllowed(kernel::Instant now);
  unsigned MaxSlotsForKey(std::uint64_t key_hash) const;
  bool OtherKeysWaiting(std::uint64_t key_hash) const;
  void FinishRequest(std::uint64_t key_hash);
  void EraseWaiting(WaitingQueue::iterator position);

  QueueLimits limits;
  double concurrency_limit = 1;
  kernel::Instant next_probe_at = kernel::kNever;
  double service_time_us = 0;  ///< Moving average; 0 before the first answer.
  unsigned in_flight = 0;
  WaitingQueue waiting;
  std::unordered_map<std::uint64_t, std::size_t> waiting_of_key;
  std::unordered_map<std::uint64_t, unsigned> in_flight_of_key;
};

}  // namespace chervilmux::policy

#endif  // CHERVILMUX_POLICY_SERVER_QUEUE_H_
