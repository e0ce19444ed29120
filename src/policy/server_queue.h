/// \file
/// Defines admission for one backend server: how many requests run at once,
/// which waits and which is refused early.
///
/// Pure logic. Requests wait in the order of their deadlines. One that cannot
/// be finished by its deadline is refused at once, while that refusal is still
/// useful to its caller. One key may use at most its share of the slots while
/// other keys wait, so that a hot key leaves the other keys of its server
/// unharmed. The concurrency starts low after a cold start and falls when the
/// server sheds.

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
  unsigned slots = 1;            ///< Requests the server runs at once.
  std::size_t max_waiting = 64;  ///< Requests waiting here.
};

/// A request as admission sees it.
struct QueuedRequest {
  std::uint64_t id = 0;
  std::uint64_t key_hash = 0;
  kernel::Instant deadline;
  bool retried = false;  ///< Already refused elsewhere: goes first.
};

struct RefusedRequest {
  std::uint64_t id = 0;
  kernel::ErrorKind kind = kernel::ErrorKind::kQueueFull;
};

class ServerQueue {
 public:
  explicit ServerQueue(const QueueLimits& limits);

  void SetLimits(const QueueLimits& limits);

  /// Takes a request in. Returns why it is refused, if it is.
  std::optional<kernel::ErrorKind> TryEnqueue(const QueuedRequest& item,
                                              kernel::Instant now);

  /// The next request to send, if the server may take one now.
  std::optional<std::uint64_t> PopNext(kernel::Instant now);

  /// Requests that can no longer meet their deadline; they leave the queue.
  std::vector<RefusedRequest> PopExpired(kernel::Instant now);

  /// Every waiting request; they leave the queue.
  std::vector<std::uint64_t> PopAll();

  /// Drops a waiting request whose caller has gone. Returns whether it waited.
  bool Remove(std::uint64_t id);

  /// A request sent earlier ended after `took`.
  void OnAnswered(std::uint64_t key_hash, kernel::Duration took);

  /// A request sent earlier was shed by the server.
  void OnShed(std::uint64_t key_hash);

  /// A request sent earlier ended without telling anything about speed.
  void OnFailed(std::uint64_t key_hash);

  /// The server is new or was silent: begin with one request at a time.
  void ResetConcurrency();

  std::size_t WaitingCount() const { return this->waiting.size(); }
  unsigned InFlight() const { return this->in_flight; }
  double ConcurrencyLimit() const { return this->concurrency; }

 private:
  using WaitingQueue = std::multimap<kernel::Instant, QueuedRequest>;

  kernel::Duration ExpectedWait(kernel::Instant deadline) const;
  unsigned KeyShare(std::uint64_t key_hash) const;
  bool OthersWait(std::uint64_t key_hash) const;
  void End(std::uint64_t key_hash);
  void Forget(WaitingQueue::iterator position);

  QueueLimits limits;
  double concurrency = 1;
  double service_time_us = 0;  ///< Moving average; 0 while unknown.
  unsigned in_flight = 0;
  WaitingQueue waiting;
  std::unordered_map<std::uint64_t, std::size_t> waiting_of_key;
  std::unordered_map<std::uint64_t, unsigned> in_flight_of_key;
};

}  // namespace chervilmux::policy

#endif  // CHERVILMUX_POLICY_SERVER_QUEUE_H_
