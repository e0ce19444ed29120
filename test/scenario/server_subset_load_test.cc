// Guards services without keys against what many instances and many servers do
// to each other: every request opens a connection, and no instance knows how
// full a server is.

#include <doctest/doctest.h>

#include <utility>

#include "load_simulation.h"

namespace chervilmux::scenario {

TEST_CASE("many instances send to many servers of a service without keys") {
  LoadWorld world;
  world.mean_service_time_s = 0.8;
  world.latency_objective_s = 2.4;
  world.run_s = 30;
  world.counted_from_s = 5;
  world.uneven_instances = true;
  world.seed = 20261205;
  MESSAGE("seed " << world.seed);
  for (const auto& counts :
       {std::pair{29, 62}, std::pair{59, 57}, std::pair{100, 100}}) {
    world.instances_per_domain = counts.first;
    world.servers = {counts.second};
    for (const double share : {0.65, 0.85}) {
      world.share_of_slots = share;
      world.uses_subsets = false;
      const LoadCounts all = LoadSimulation(world).Run();
      world.uses_subsets = true;
      const LoadCounts subset = LoadSimulation(world).Run();
      const auto change = [&](double LoadCounts::*count) {
        return std::to_string(all.Share(count)) + " -> " +
               std::to_string(subset.Share(count));
      };
      MESSAGE(counts.first << " instances, " << counts.second << " servers, "
                           << share << " of the slots: connections a request "
                           << change(&LoadCounts::connections) << ", in time "
                           << change(&LoadCounts::in_time)
                           << ", no recent news "
                           << change(&LoadCounts::without_news));
      CHECK(subset.connections < all.connections / 2);
      CHECK(subset.without_news < all.without_news);
      CHECK(subset.refused == 0);
      // Callers are served as well or better.
      CHECK(subset.Share(&LoadCounts::in_time) >
            all.Share(&LoadCounts::in_time) - 0.005);
    }
  }
}

}  // namespace chervilmux::scenario
