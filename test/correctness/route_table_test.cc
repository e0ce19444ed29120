// Which route and which service a request gets.

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

TEST_CASE("a table of three routes") {
  auto config = std::make_shared<model::Configuration>();
  config->routes = {MakeRoute("one.example", "/a/", {{"short", 1}}),
                    MakeRoute("one.example", "/a/b/", {{"long", 1}}),
                    MakeRoute("two.example", "/", {{"x", 9}, {"y", 1}})};
  RouteTable table(config);
  SUBCASE("the longest prefix of the host wins") {
    REQUIRE(table.Find("one.example", "/a/b/c") != nullptr);
    CHECK(table.Find("one.example", "/a/b/c")->parts[0].service == "long");
    CHECK(table.Find("one.example", "/a/bc")->parts[0].service == "short");
  }
  SUBCASE("hosts are compared without case and port") {
    CHECK(table.Find("ONE.example:8080", "/a/") != nullptr);
  }
  SUBCASE("a path outside of all prefixes has no route") {
    CHECK(table.Find("one.example", "/b/") == nullptr);
    CHECK(table.Find("three.example", "/a/") == nullptr);
  }
  SUBCASE("parts get their shares exactly, also over short spans") {
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
