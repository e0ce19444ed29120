/// \file
/// Defines the configuration that operators put in force: routes, services and
/// the limits on callers. Plain values; an adapter fills them in.

#ifndef CHERVILMUX_MODEL_CONFIGURATION_H_
#define CHERVILMUX_MODEL_CONFIGURATION_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "kernel/time.h"

namespace chervilmux::model {

/// One service among which a route's requests are divided.
struct RoutePart {
  std::string service;
  double weight = 1;  ///< Share relative to the other parts; above zero.
};

/// Requests of one host whose path begins with one prefix.
struct Route {
  std::string name;
  std::string host;
  std::string prefix;  ///< Begins and ends with a slash.
  bool idempotent = false;
  unsigned max_attempts = 1;  ///< Backend servers that one request may reach.
  kernel::Duration timeout = kernel::seconds(1);  ///< Operator's upper bound.
  kernel::Duration latency_objective =
      kernel::seconds(1);  ///< Full value until then.
  unsigned priority = 0;   ///< 0 is the most urgent.
  std::vector<RoutePart> parts;
};

struct Service {
  std::string name;
  std::string health_path;
  unsigned max_connections = 0;  ///< Per backend server, from all instances.
  bool keyed = false;            ///< Backend servers own ranges of keys.
  kernel::Duration warm_up = kernel::seconds(0);  ///< Of keys without handover.
};

/// What a caller may send, and how slowly.
struct CallerLimits {
  std::size_t max_head_bytes = 16U << 10U;
  std::size_t max_body_bytes = 64U << 20U;
  kernel::Duration head_timeout = kernel::seconds(3);
  kernel::Duration idle_timeout = kernel::seconds(15);
};

struct Configuration {
  std::uint64_t version = 0;
  std::vector<Route> routes;
  std::map<std::string, Service, std::less<>> services;
  CallerLimits limits;
};

}  // namespace chervilmux::model

#endif  // CHERVILMUX_MODEL_CONFIGURATION_H_
