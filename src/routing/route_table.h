/// \file
/// Defines the route table of one configuration: the route of a request, and
/// the service among the route's parts.

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

/// Deals the requests of one route out to its parts. Smooth weighted round
/// robin keeps the shares exact over short spans, which random choice does not.
class PartRotation {
 public:
  explicit PartRotation(const std::vector<model::RoutePart>& parts)
      : credits(parts.size(), 0) {}

  /// Index of the part that gets the next request.
  std::size_t Next(const std::vector<model::RoutePart>& parts);

 private:
  std::vector<double> credits;
};

class RouteTable {
 public:
  explicit RouteTable(std::shared_ptr<const model::Configuration> config);

  /// The route with the longest prefix that begins `path` (without its query)
  /// among those of `host`; nullptr when there is none.
  const model::Route* Find(std::string_view host, std::string_view path) const;

  /// The service that gets the next request of `route`.
  const std::string& SelectService(const model::Route& route);

  const model::Configuration& Config() const { return *this->config; }

 private:
  std::shared_ptr<const model::Configuration> config;
  /// Routes of a host, longest prefix first.
  std::map<std::string, std::vector<const model::Route*>, std::less<>> by_host;
  std::map<const model::Route*, PartRotation> rotations;
};

/// The host of a Host header: lower case, without its port.
std::string HostName(std::string_view header);

}  // namespace chervilmux::routing

#endif  // CHERVILMUX_ROUTING_ROUTE_TABLE_H_
