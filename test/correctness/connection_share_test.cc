// Guards against the failure that the idle connections of many instances exceed
// a server's limit, so that it resets new connections.

#include "policy/connection_share.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <cstddef>
#include <random>
#include <vector>

namespace chervilmux::policy {
namespace {

/// Largest number of idle connections to one server, which gets `per_second`
/// requests from random instances.
double MostIdle(unsigned max_connections, std::size_t instances,
                double per_second) {
  constexpr double kAllowedIdleS = 9.5;
  constexpr double kRunS = 60;
  const auto share = ShareOfConnections(max_connections, instances);
  std::mt19937_64 random(20261204);
  std::exponential_distribution<double> gap(per_second);
  std::uniform_int_distribution<std::size_t> any(0, instances - 1);
  std::vector<std::vector<double>> idle_until(instances);
  std::size_t most = 0;
  double now = 0;
  while (now < kRunS) {
    std::size_t open = 0;
    for (auto& connections : idle_until) {
      std::erase_if(connections, [now](double until) { return until <= now; });
      open += connections.size();
    }
    most = std::max(most, open);
    auto& own = idle_until[any(random)];
    // A request that finds no idle connection leaves one more behind.
    if (!own.empty() && now > kRunS / 2) own.pop_back();
    own.push_back(now + kAllowedIdleS * share.idle_time_factor);
    if (own.size() > share.max_idle) own.erase(own.begin());
    now += gap(random);
  }
  return static_cast<double>(most);
}

}  // namespace

TEST_CASE("the idle connections of all instances stay below a server's limit") {
  constexpr unsigned kMaxConnections = 110;
  constexpr double kRequestsPerSecond = 20;
  for (const std::size_t instances : {8U, 80U, 300U, 3000U}) {
    CAPTURE(instances);
    CHECK(MostIdle(kMaxConnections, instances, kRequestsPerSecond) <
          0.8 * kMaxConnections);
  }
}

TEST_CASE("an instance keeps its connections to a server without a limit") {
  const auto share = ShareOfConnections(0, 300);
  CHECK(share.max_idle > 1000);
  CHECK(share.idle_time_factor == 1);
}

}  // namespace chervilmux::policy
