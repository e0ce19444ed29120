/// \file
/// Defines the configuration that operators deploy: routes, services and the
/// limits on callers. These types do not depend on a configuration format.

#ifndef CHERVILMUX_MODEL_CONFIGURATION_H_
#define CHERVILMUX_MODEL_CONFIGURATION_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "kernel/time.h"

namespace chervilmux::model {

/// One of the services among which a route divides its requests. `part` has
/// this meaning wherever it refers to a route.
struct RoutePart {
  std::string service;
  /// Share of the route's requests, relative to the weights of the route's
  /// other services; above 0.
  double weight = 1;
};

/// A route: requests for one host whose path begins with a prefix.
struct Route {
  std::string name;
  std::string host;
  /// Begins and ends with a slash.
  std::string prefix;
  bool idempotent = false;
  /// Maximum number of backend servers tried for one request.
  unsigned max_attempts = 1;
  /// Maximum time for a request, set by the operator.
  kernel::Duration timeout = kernel::seconds(1);
  /// Time within which an answer should arrive; a later answer has less value.
  kernel::Duration latency_objective = kernel::seconds(1);
  /// 0 is the most urgent. Requests with a larger number wait longer for a
  /// server.
  unsigned priority = 0;
  /// The services among which the route divides its requests.
  std::vector<RoutePart> parts;
};

struct Service {
  std::string name;
  std::string health_path;
  /// Limit per backend server, over all instances together.
  unsigned max_connections = 0;
  /// Whether requests carry keys, each of which one backend server owns.
  bool keyed = false;
  /// Warm-up time of keys that a server gets without handover data.
  kernel::Duration warm_up = kernel::seconds(0);
  /// How long a backend server is cold after its start.
  kernel::Duration cold_time = kernel::seconds(0);
  /// Requests per second that a cold server bears; 0: not limited.
  double cold_rate = 0;
};

/// Limits on the size of requests and on how slowly a caller may send them.
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
  /// Entries that could not be used, each with the reason. They are not part of
  /// the configuration; the others are in force without them.
  std::vector<std::string> unusable_entries;
  /// Whether some of them are routes, so that a path without a route may have
  /// one that could not be read.
  bool lacks_routes = false;
};

}  // namespace chervilmux::model

#endif  // CHERVILMUX_MODEL_CONFIGURATION_H_
