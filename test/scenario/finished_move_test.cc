// Guards against the failure that a completed move of keys is lost with the
// primary that completed it: the standby then leaves the moved keys unserved
// until the store is back. It happens when the store is down, so that only the
// standby can know of the move.

#include <doctest/doctest.h>

#include <cstdint>

#include "virtual_cell.h"

namespace chervilmux::scenario {
namespace {

using kernel::milliseconds;

constexpr kernel::Duration kStep = milliseconds(5);

/// Runs until every key is served, for 20 s at most.
bool RunUntilServed(VirtualCell& cell) {
  constexpr int kSteps = 4000;
  for (int i = 0; i < kSteps; ++i) {
    if (cell.ServedKeys() == cell.KeyCount()) return true;
    cell.Run(kStep);
  }
  return false;
}

// The store is down, a server is lost, and its keys are moved; then the primary
// is lost. The servers check no tokens, so safety rests on the instances alone.
TEST_CASE("moved keys stay served when store and primary are lost") {
  VirtualCellConfig config;
  config.servers_check_tokens = false;
  config.timing = TestTiming();
  config.timing.isolation_budget = kernel::seconds(7200);
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    CAPTURE(seed);
    config.seed = seed;
    VirtualCell cell(config);
    cell.Run(milliseconds(2000));
    cell.SetStoreMode(StoreMode::kDown);
    cell.Run(milliseconds(1000));
    cell.KillServer(seed % config.servers);
    cell.Run(milliseconds(500));
    REQUIRE(RunUntilServed(cell));
    // After one round trip the standby knows that the move has completed.
    cell.Run(kStep);
    cell.KillInstance(cell.Leader().value());
    cell.Run(milliseconds(1000));
    CHECK(RunUntilServed(cell));
    CHECK(cell.Violations().empty());
  }
}

}  // namespace
}  // namespace chervilmux::scenario
