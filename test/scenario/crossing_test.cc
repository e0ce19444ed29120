// Guards the choice of servers against two failures: callers are served too
// late, or more requests than necessary are sent to another failure domain.

#include <doctest/doctest.h>

#include "load_simulation.h"

namespace chervilmux::scenario {

// Failure: with a low cross-domain penalty, small differences in load send
// requests to another failure domain although the local servers would answer
// within the latency objective. One failure domain has few servers for its
// callers.
TEST_CASE("a request leaves its failure domain only when it would be late") {
  LoadWorld world;
  // Each domain has a third of the callers, but the third one has less than a
  // third of the servers.
  world.servers = {5, 5, 3};
  world.instances_per_domain = 3;
  SUBCASE("at low load") { world.share_of_slots = 0.45; }
  SUBCASE("at normal load") { world.share_of_slots = 0.6; }
  SUBCASE("when the servers of the smallest failure domain are full") {
    world.share_of_slots = 0.75;
  }
  const LoadCounts after = LoadSimulation(world).Run();
  // Earlier value, which did not take the latency objective into account.
  world.tuning.cross_domain_penalty = 0.6;
  const LoadCounts before = LoadSimulation(world).Run();
  CAPTURE(before.Share(&LoadCounts::in_time));
  CAPTURE(before.Share(&LoadCounts::cross_domain));
  // Fewer requests leave their failure domain, and as many are served in time.
  CHECK(after.Share(&LoadCounts::cross_domain) <
        0.7 * before.Share(&LoadCounts::cross_domain));
  CHECK(after.Share(&LoadCounts::in_time) >
        before.Share(&LoadCounts::in_time) - 0.01);
}

}  // namespace chervilmux::scenario
