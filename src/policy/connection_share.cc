#include "policy/connection_share.h"

#include <algorithm>
#include <limits>

namespace chervilmux::policy {
namespace {

/// Share of a server's connections that may be idle. The rest is for requests
/// in progress.
constexpr double kIdleShare = 0.6;

}  // namespace

ConnectionShare ShareOfConnections(unsigned max_connections,
                                   std::size_t instances) {
  if (max_connections == 0) return {std::numeric_limits<std::size_t>::max(), 1};
  const double share = kIdleShare * max_connections /
                       static_cast<double>(std::max<std::size_t>(1, instances));
  return {std::max<std::size_t>(1, static_cast<std::size_t>(share)),
          std::min(1.0, share)};
}

}  // namespace chervilmux::policy
