// Guards routing by host and path prefix, and the split of a route among
// services. Failures: a request reaches a service of another route, or the
// services of a route do not get their configured shares.

#include "routing/route_table.h"

#include <doctest/doctest.h>

#include <map>

namespace chervilmux::routing {
namespace {

model::Route MakeRoute(std::string host, std::string prefix,
                       std::vector<model::RoutePart> parts) {
  model::Route route;
  route.name = host + prefix;
  route.host = std::move(host);
  route.prefix = std::move(prefix);
  route.parts = std::move(parts);
  return route;
}

}  // namespace

// Failure: a shorter prefix or another host matches, or a share is only right
// on average over many requests.
TEST_CASE("requests are routed by host and longest prefix") {
  auto config = std::make_shared<model::Configuration>();
  config->routes = {MakeRoute("one.example", "/a/", {{"short", 1}}),
                    MakeRoute("one.example", "/a/b/", {{"long", 1}}),
                    MakeRoute("two.example", "/", {{"x", 9}, {"y", 1}})};
  RouteTable table(config);
  SUBCASE("the longest matching prefix of the host is used") {
    REQUIRE(table.Find("one.example", "/a/b/c") != nullptr);
    CHECK(table.Find("one.example", "/a/b/c")->parts[0].service == "long");
    CHECK(table.Find("one.example", "/a/bc")->parts[0].service == "short");
  }
  SUBCASE("host names are compared without case and port") {
    CHECK(table.Find("ONE.example:8080", "/a/") != nullptr);
  }
  SUBCASE("a request that matches no host or prefix has no route") {
    CHECK(table.Find("one.example", "/b/") == nullptr);
    CHECK(table.Find("three.example", "/a/") == nullptr);
  }
  SUBCASE("each ten requests are split exactly by weight") {
    const auto* route = table.Find("two.example", "/any");
    REQUIRE(route != nullptr);
    for (int round = 0; round < 5; ++round) {
      std::map<std::string, int> shares;
      for (int i = 0; i < 10; ++i) shares[table.SelectService(*route)] += 1;
      CHECK(shares["x"] == 9);
      CHECK(shares["y"] == 1);
    }
  }
}

}  // namespace chervilmux::routing
