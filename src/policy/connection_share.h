/// \file
/// Defines how many idle connections to one backend server an instance keeps.
///
/// A server limits its connections from all instances together. Instances stay
/// below the limit without exchanging messages: each keeps at most its share,
/// and where that is less than one connection, it keeps one for a part of the
/// time.

#ifndef CHERVILMUX_POLICY_CONNECTION_SHARE_H_
#define CHERVILMUX_POLICY_CONNECTION_SHARE_H_

#include <cstddef>

namespace chervilmux::policy {

struct ConnectionShare {
  std::size_t max_idle = 0;     ///< Idle connections to one server.
  double idle_time_factor = 1;  ///< Of the time that the server allows.
};

/// The share of one of `instances` instances in the `max_connections` of a
/// server; 0 means that the server has no limit.
ConnectionShare ShareOfConnections(unsigned max_connections,
                                   std::size_t instances);

}  // namespace chervilmux::policy

#endif  // CHERVILMUX_POLICY_CONNECTION_SHARE_H_
