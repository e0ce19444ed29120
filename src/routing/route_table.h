/// \file
/// Defines the route table of one configuration: it finds the route of a
/// request by host and path prefix and selects one of the route's services.

#ifndef CHERVILMUX_ROUTING_ROUTE_TABLE_H_
#define CHERVILMUX_ROUTING_ROUTE_TABLE_H_

#include <cstddef>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "model/configuration.h"

namespace chervilmux::routing {

/// Distributes the requests of one route over its parts (the services among
/// which the route divides its requests) by weight. Uses smooth
/// weighted round robin because it keeps the shares exact over a few requests,
/// which random selection does not.
class WeightedRoundRobin {
 public:
  explicit WeightedRoundRobin(const std::vector<model::RoutePart>& parts)
      : accumulated_weights(parts.size(), 0) {}

  /// Returns the index of the part that gets the next request.
  std::size_t SelectPart(const std::vector<model::RoutePart>& parts);

 private:
  /// By part: the weight of the part, added for each request, less the total
  /// weight of all parts for each request that the part received. The part with
  /// the highest value receives the next request.
  std::vector<double> accumulated_weights;
};

class RouteTable {
 public:
  explicit RouteTable(std::shared_ptr<const model::Configuration> config);

  /// Returns the route of `host` with the longest prefix that `path` starts
  /// with, or nullptr if no route matches. `path` must not contain a query.
  const model::Route* Find(std::string_view host, std::string_view path) const;

  /// Returns the service that gets the next request of `route`.
  const std::string& SelectService(const model::Route& route);

  const model::Configuration& Config() const { return *this->config; }

 private:
  std::shared_ptr<const model::Configuration> config;
  /// The routes of each host, longest prefix first.
  std::map<std::string, std::vector<const model::Route*>, std::less<>>
      routes_by_host;
  std::map<const model::Route*, WeightedRoundRobin> round_robin_by_route;
};

/// Returns the host name of a Host header in lower case and without the port.
std::string NormalizeHost(std::string_view header);

}  // namespace chervilmux::routing

#endif  // CHERVILMUX_ROUTING_ROUTE_TABLE_H_
