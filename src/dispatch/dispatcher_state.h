/// \file
/// Defines the dispatcher's state for each request in progress and for each
/// service. Only the dispatcher's own source files include it.

#ifndef CHERVILMUX_DISPATCH_DISPATCHER_STATE_H_
#define CHERVILMUX_DISPATCH_DISPATCHER_STATE_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "dispatch/dispatcher.h"
#include "policy/return_times.h"
#include "policy/service_queue.h"

namespace chervilmux::dispatch {

/// Retry-After delay while the configuration or a usable server is missing.
inline constexpr kernel::Duration kNotReadyRetryAfter =
    kernel::milliseconds(250);

struct Dispatcher::ServiceState {
  explicit ServiceState(const std::string& failure_domain)
      : loads(failure_domain), budget(0, 0) {}

  policy::ServerLoads loads;
  policy::RetryBudget budget;
  policy::CompletionRate rate;
  std::optional<ranges::RangeTable> owners;
  policy::ServiceQueue waiting;
  policy::ReturnTimes return_times;
};

struct Dispatcher::Job {
  std::uint64_t id = 0;
  net::RequestRef ref;
  net::HttpRequest request;
  RequestMetadata metadata;
  /// Keeps `route` valid after a newer configuration has replaced this one.
  std::shared_ptr<const model::Configuration> config;
  const model::Route* route = nullptr;
  std::string service;
  bool keyed = false;
  kernel::Instant arrived_at;
  kernel::Instant deadline;
  /// When its answer should have arrived; a later one has less value.
  kernel::Instant objective;
  /// The request is not sent before this time; kNever means no restriction.
  kernel::Instant dispatch_after = kernel::kNever;
  /// The request is refused if it still waits at this time.
  kernel::Instant wait_deadline = kernel::kNever;
  /// Servers to which the request was sent.
  std::vector<std::string> tried_servers;
  /// Where they were; another server may have taken an address over.
  std::vector<net::Address> tried_addresses;
  /// Fencing token of the grant whose owner last rejected the key.
  std::optional<std::uint64_t> rejected_fence;
  unsigned failed_connects = 0;
  unsigned possible_runs = 0;  ///< Attempts that may have run.
  bool caller_disconnected = false;
  bool is_waiting = false;
  std::optional<net::TransferId> transfer;
  std::string server_id;
  std::uint64_t server_life = 0;
  /// Fencing token of the owner that was last chosen for the key.
  std::uint64_t owner_fence = 0;
  net::Address server_address;
  kernel::Instant sent_at;
};

}  // namespace chervilmux::dispatch

#endif  // CHERVILMUX_DISPATCH_DISPATCHER_STATE_H_
