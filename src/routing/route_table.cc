#include "routing/route_table.h"

#include <algorithm>
#include <utility>

namespace chervilmux::routing {

std::size_t PartRotation::Next(const std::vector<model::RoutePart>& parts) {
  double total = 0;
  std::size_t best = 0;
  for (std::size_t i = 0; i < parts.size(); ++i) {
    this->credits[i] += parts[i].weight;
    total += parts[i].weight;
    if (this->credits[i] > this->credits[best]) best = i;
  }
  this->credits[best] -= total;
  return best;
}

std::string HostName(std::string_view header) {
  std::string name(header.substr(0, header.rfind(':')));
  std::ranges::transform(name, name.begin(), [](char c) {
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
  });
  return name;
}

RouteTable::RouteTable(std::shared_ptr<const model::Configuration> config)
    : config(std::move(config)) {
  for (const auto& route : this->config->routes) {
    this->by_host[HostName(route.host)].push_back(&route);
    this->rotations.emplace(&route, PartRotation(route.parts));
  }
  for (auto& [host, routes] : this->by_host) {
    std::ranges::stable_sort(
        routes, std::greater<>(),
        [](const model::Route* route) { return route->prefix.size(); });
  }
}

const model::Route* RouteTable::Find(std::string_view host,
                                     std::string_view path) const {
  const auto routes = this->by_host.find(HostName(host));
  if (routes == this->by_host.end()) return nullptr;
  const auto found =
      std::ranges::find_if(routes->second, [path](const model::Route* route) {
        return path.starts_with(route->prefix);
      });
  return found == routes->second.end() ? nullptr : *found;
}

const std::string& RouteTable::SelectService(const model::Route& route) {
  auto& rotation = this->rotations.at(&route);
  return route.parts[rotation.Next(route.parts)].service;
}

}  // namespace chervilmux::routing
