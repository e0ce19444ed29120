#include "node/caller_limits.h"

#include <cstddef>

namespace chervilmux::node {
namespace {

/// Share of the descriptors that callers may use. The others are for servers,
/// which bound their connections themselves, peers, the store and files.
constexpr double kCallersShareOfDescriptors = 0.6;

/// Callers' connections stay open for this much longer than callers may leave
/// them idle: a caller counts from when an answer has reached it, and its next
/// request takes time too.
constexpr kernel::Duration kIdleSlack = kernel::seconds(5);

/// Share of the memory that answers may use which callers do not take: as much
/// as unfinished answers of servers, so that one alone is never cut off.
constexpr double kUnsentShareOfMemory = 0.25;

/// Shares of the memory that requests may use, until what the process holds at
/// rest is known.
constexpr double kRequestsShareOfMemory = 0.2;
constexpr double kRequestAloneShareOfMemory = 0.5;

}  // namespace

net::FrontLimits CallerFrontLimits(const model::CallerLimits& told,
                                   const NodeSettings& settings) {
  net::FrontLimits limits;
  limits.read = {told.max_head_bytes, told.max_body_bytes};
  limits.request_timeout = told.head_timeout;
  limits.idle_timeout = told.idle_timeout + kIdleSlack;
  limits.max_connections =
      static_cast<std::size_t>(kCallersShareOfDescriptors *
                               static_cast<double>(settings.max_descriptors));
  const auto memory = static_cast<double>(settings.memory_bytes);
  limits.max_unsent_bytes =
      static_cast<std::size_t>(kUnsentShareOfMemory * memory);
  limits.max_request_bytes =
      static_cast<std::size_t>(kRequestsShareOfMemory * memory);
  limits.max_request_bytes_alone =
      static_cast<std::size_t>(kRequestAloneShareOfMemory * memory);
  return limits;
}

}  // namespace chervilmux::node
