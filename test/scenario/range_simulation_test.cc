// Who holds which keys, under faults: generated histories and single stories.

#include "range_simulation.h"

#include <doctest/doctest.h>

#include <cstdlib>
#include <string>

namespace chervilmux::scenario {
namespace {

using kernel::milliseconds;
using kernel::seconds;

std::string Joined(const std::vector<std::string>& lines) {
  std::string text;
  for (const auto& line : lines) text += line + "\n";
  return text;
}

RangeSimulationOptions Calm() {
  RangeSimulationOptions options;
  options.faults = 0;
  options.length = seconds(40);
  return options;
}

std::uint64_t FromEnvironment(const char* name, std::uint64_t otherwise) {
  const char* text = std::getenv(name);
  return text == nullptr ? otherwise : std::strtoull(text, nullptr, 10);
}

/// Histories to search; the environment sets more for a long search.
std::uint64_t HistoryCount() {
  constexpr std::uint64_t kInCi = 60;
  return FromEnvironment("CHERVILMUX_HISTORIES", kInCi);
}

std::uint64_t FirstSeed() {
  return FromEnvironment("CHERVILMUX_FIRST_SEED", 1);
}

}  // namespace

TEST_CASE("generated histories of key ranges: no key has two holders") {
  const std::uint64_t count = HistoryCount();
  std::uint64_t takeovers = 0;
  std::uint64_t moves = 0;
  const std::uint64_t first = FirstSeed();
  for (std::uint64_t seed = first; seed < first + count; ++seed) {
    CAPTURE(seed);
    RangeSimulationOptions options;
    options.seed = seed;
    const auto result = RangeSimulation(options).Run();
    INFO(Joined(result.violations));
    REQUIRE(result.violations.empty());
    takeovers += result.takeovers;
    moves += result.moves;
  }
  // A search in which nothing happens proves nothing.
  CHECK(takeovers > 2 * count);
  CHECK(moves > 5 * count);
}

TEST_CASE("the search finds what each protection prevents") {
  SUBCASE("abandoned orders that reach the server when a cut heals") {
    bool found = false;
    for (std::uint64_t seed = 1; seed <= 200 && !found; ++seed) {
      RangeSimulationOptions options;
      options.seed = seed;
      options.deliver_abandoned_orders = true;
      found = !RangeSimulation(options).Run().violations.empty();
    }
    CHECK(found);
  }
  SUBCASE("an unanswered order that is taken as not asked") {
    bool found = false;
    for (std::uint64_t seed = 1; seed <= 200 && !found; ++seed) {
      RangeSimulationOptions options;
      options.seed = seed;
      options.deliver_abandoned_orders = true;
      options.free_on_refused_connection = true;
      found = !RangeSimulation(options).Run().violations.empty();
    }
    CHECK(found);
  }
  SUBCASE("a leader that renews for longer than its successor waits") {
    bool found = false;
    for (std::uint64_t seed = 1; seed <= 200 && !found; ++seed) {
      RangeSimulationOptions options;
      options.seed = seed;
      options.timing.clock_slack = 0.5;
      options.timing.margin = milliseconds(0);
      found = !RangeSimulation(options).Run().violations.empty();
    }
    CHECK(found);
  }
}

TEST_CASE("owners on an ordinary day") {
  GIVEN("three instances and five servers") {
    RangeSimulation world(Calm());
    THEN("all keys are owned within two seconds and stay owned") {
      std::uint32_t early = 0;
      world.At(seconds(2), [&] { early = world.OwnedKeys(); });
      const auto result = world.Run();
      CHECK(early == ranges::kKeyCount);
      CHECK(result.owned_share > 0.999);
      CHECK(Joined(result.violations).empty());
    }
  }
  GIVEN("a server that drains") {
    RangeSimulation world(Calm());
    std::uint32_t left = 1;
    world.At(seconds(10), [&] { world.DrainServer(2); });
    world.At(milliseconds(11500), [&] { left = world.KeysOf(2); });
    THEN("it holds nothing 1.5 s later") {
      const auto result = world.Run();
      CHECK(left == 0);
      CHECK(result.owned_share > 0.99);
      CHECK(Joined(result.violations).empty());
    }
  }
  GIVEN("a server that restarts under its id") {
    RangeSimulation world(Calm());
    std::uint32_t again = 0;
    world.At(seconds(10), [&] { world.CrashServer(1, milliseconds(900)); });
    world.At(milliseconds(12500), [&] { again = world.KeysOf(1); });
    THEN("its new life gets keys again") {
      const auto result = world.Run();
      CHECK(again > 0);
      CHECK(Joined(result.violations).empty());
    }
  }
  GIVEN("keys that become hot") {
    RangeSimulation world(Calm());
    unsigned holders = 0;
    world.At(seconds(10), [&] { world.HeatKeys(20000, 20199, 600); });
    world.At(seconds(16), [&] {
      for (unsigned i = 0; i < 5; ++i) holders += world.KeysOf(i) > 0 ? 1 : 0;
    });
    THEN("no server is left without keys") {
      const auto result = world.Run();
      CHECK(holders == 5);
      CHECK(result.moves >= 2);
      CHECK(Joined(result.violations).empty());
    }
  }
}

TEST_CASE("owners while the store or the leader is away") {
  GIVEN("a store that is down for nine seconds") {
    RangeSimulation world(Calm());
    world.At(seconds(10), [&] { world.StopStore(seconds(9)); });
    THEN("no key loses its owner") {
      const auto result = world.Run();
      CHECK(result.owned_share > 0.999);
      CHECK(Joined(result.violations).empty());
    }
  }
  GIVEN("a leader that the store turns away") {
    RangeSimulation world(Calm());
    std::optional<unsigned> before;
    std::optional<unsigned> after;
    world.At(seconds(10), [&] {
      before = world.Leader();
      world.CutStore(before.value_or(0), seconds(15));
    });
    world.At(seconds(17), [&] { after = world.Leader(); });
    THEN("another one leads within seven seconds, and no key loses its owner") {
      const auto result = world.Run();
      REQUIRE(before);
      REQUIRE(after);
      CHECK(*before != *after);
      CHECK(result.owned_share > 0.999);
      CHECK(Joined(result.violations).empty());
    }
  }
  GIVEN("a leader that is lost for good") {
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
      CAPTURE(seed);
      RangeSimulationOptions options = Calm();
      options.seed = seed;
      RangeSimulation world(options);
      world.At(seconds(10), [&] {
        world.KillInstance(world.Leader().value_or(0), seconds(25));
      });
      // Its successor renews all grants before the first one runs out.
      CHECK(world.Run().owned_share > 0.999);
    }
  }
  GIVEN("a leader that is killed and a server that crashes with it") {
    RangeSimulation world(Calm());
    world.At(seconds(10), [&] {
      world.KillInstance(world.Leader().value_or(0), seconds(3));
      world.CrashServer(1, seconds(25));
    });
    std::uint32_t owned = 0;
    world.At(seconds(32), [&] { owned = world.OwnedKeys(); });
    THEN("its keys are served by others in the end") {
      const auto result = world.Run();
      CHECK(owned == ranges::kKeyCount);
      CHECK(Joined(result.violations).empty());
    }
  }
  GIVEN("a leader that freezes for eight seconds") {
    RangeSimulation world(Calm());
    world.At(seconds(10), [&] {
      world.FreezeInstance(world.Leader().value_or(0), seconds(8));
    });
    THEN("others take over without a second holder") {
      const auto result = world.Run();
      CHECK(result.owned_share > 0.99);
      CHECK(Joined(result.violations).empty());
    }
  }
}

}  // namespace chervilmux::scenario
