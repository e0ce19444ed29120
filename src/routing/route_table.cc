#include "routing/route_table.h"

#include <algorithm>
#include <utility>

namespace chervilmux::routing {

std::size_t WeightedRoundRobin::SelectPart(
    const std::vector<model::RoutePart>& parts) {
  double total = 0;
  std::size_t best = 0;
  for (std::size_t i = 0; i < parts.size(); ++i) {
    this->accumulated_weights[i] += parts[i].weight;
    total += parts[i].weight;
    if (this->accumulated_weights[i] > this->accumulated_weights[best])
      best = i;
  }
  this->accumulated_weights[best] -= total;
  return best;
}

std::string NormalizeHost(std::string_view header) {
  std::string name(header.substr(0, header.rfind(':')));
  std::ranges::transform(name, name.begin(), [](char c) {
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
  });
  return name;
}

RouteTable::RouteTable(std::shared_ptr<const model::Configuration> config)
    : config(std::move(config)) {
  for (const auto& route : this->config->routes) {
    this->routes_by_host[NormalizeHost(route.host)].push_back(&route);
    this->round_robin_by_route.emplace(&route, WeightedRoundRobin(route.parts));
  }
  for (auto& [host, routes] : this->routes_by_host) {
    std::ranges::stable_sort(
        routes, std::greater<>(),
        [](const model::Route* route) { return route->prefix.size(); });
  }
}

const model::Route* RouteTable::Find(std::string_view host,
                                     std::string_view path) const {
  const auto routes = this->routes_by_host.find(NormalizeHost(host));
  if (routes == this->routes_by_host.end()) return nullptr;
  const auto found =
      std::ranges::find_if(routes->second, [path](const model::Route* route) {
        return path.starts_with(route->prefix);
      });
  return found == routes->second.end() ? nullptr : *found;
}

const std::string& RouteTable::SelectService(const model::Route& route) {
  auto& round_robin = this->round_robin_by_route.at(&route);
  return route.parts[round_robin.SelectPart(route.parts)].service;
}

}  // namespace chervilmux::routing
