/// \file
/// Defines what the dispatcher keeps of each request in progress and of each
/// service. Private to the dispatcher.

#ifndef CHERVILMUX_DISPATCH_DISPATCHER_STATE_H_
#define CHERVILMUX_DISPATCH_DISPATCHER_STATE_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "dispatch/dispatcher.h"

namespace chervilmux::dispatch {

/// A caller whom we cannot serve before we know the configuration or a server.
inline constexpr kernel::Duration kNotReadyWait = kernel::milliseconds(250);

struct Dispatcher::ServiceState {
  explicit ServiceState(const std::string& failure_domain)
      : loads(failure_domain), budget(0, 0) {}

  policy::ServerLoads loads;
  policy::RetryBudget budget;
  policy::CompletionRate rate;
  std::optional<ranges::RangeTable> owners;
  std::vector<std::uint64_t> waiting;  ///< Jobs, the most urgent first.
};

struct Dispatcher::Job {
  std::uint64_t id = 0;
  net::RequestRef ref;
  net::HttpRequest request;
  RequestMetadata metadata;
  /// Keeps `route` alive when a new configuration comes.
  std::shared_ptr<const model::Configuration> config;
  const model::Route* route = nullptr;
  std::string service;
  bool keyed = false;
  kernel::Instant arrived;
  kernel::Instant deadline;
  kernel::Instant urgent_at;  ///< Orders the waiting requests.
  kernel::Instant place_after = kernel::kNever;
  kernel::Instant wait_until = kernel::kNever;  ///< While it waits.
  std::vector<std::string> tried;               ///< Servers it was sent to.
  /// Fencing token of the owner that last said that it does not own the key.
  std::optional<std::uint64_t> disowned_fence;
  unsigned failed_connects = 0;
  unsigned possible_runs = 0;  ///< Servers that may have run it.
  bool caller_left = false;
  bool waits = false;
  std::optional<net::TransferId> transfer;
  std::string server_id;
  std::uint64_t owner_fence = 0;  ///< With a key: of the last owner chosen.
  net::Address server_address;
  kernel::Instant sent_at;
};

}  // namespace chervilmux::dispatch

#endif  // CHERVILMUX_DISPATCH_DISPATCHER_STATE_H_
