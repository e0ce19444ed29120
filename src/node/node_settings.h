/// \file
/// Defines the settings of one instance on a platform with a metadata store.

#ifndef CHERVILMUX_NODE_NODE_SETTINGS_H_
#define CHERVILMUX_NODE_NODE_SETTINGS_H_

#include <cstddef>
#include <string>
#include <vector>

#include "kernel/time.h"
#include "net/address.h"

namespace chervilmux::node {

struct NodeSettings {
  std::string name;
  std::string failure_domain;
  net::Address caller_address;
  net::Address readiness_address;
  net::Address peer_address;
  net::Address metrics_address;
  net::Address store_address;
  std::vector<net::Address> seeds;  ///< Peer addresses that may be stale.
  /// Bounds on requests sent to a second server, over all instances.
  double retry_ratio = 0.2;
  double retry_slack = 50;
  double processor_share = 1;              ///< Cores that this process may use.
  std::size_t memory_bytes = 256U << 20U;  ///< Limit of this process.
  std::size_t max_descriptors = 4096;  ///< Files and sockets of this process.
  kernel::Duration longest_hold = kernel::seconds(10);  ///< Of a grant.
  /// From when the operator's order to evacuate a failure domain is stored
  /// until nothing may be sent there; zero: such orders are not followed.
  kernel::Duration evacuation_bound{0};
  /// A cold server gets at most its rate times the factor, plus the slack, in
  /// any second, from all instances together. A factor of 0: not limited.
  double cold_rate_factor = 0;
  double cold_rate_slack = 0;
  /// From the stop signal until the process is killed.
  kernel::Duration stop_grace = kernel::seconds(6);

  bool operator==(const NodeSettings&) const = default;
};

}  // namespace chervilmux::node

#endif  // CHERVILMUX_NODE_NODE_SETTINGS_H_
