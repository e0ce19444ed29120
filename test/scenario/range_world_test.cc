// Guards the ownership of key ranges under faults. Failures: two servers hold
// the same key at the same time, or keys stay without an owner. Random
// histories search for the first; single scenarios check how long each fault
// lasts for callers.

#include "range_world.h"

#include <doctest/doctest.h>

#include <cstdlib>
#include <string>

namespace chervilmux::scenario {
namespace {

using kernel::milliseconds;
using kernel::seconds;

std::string JoinLines(const std::vector<std::string>& lines) {
  std::string text;
  for (const auto& line : lines) text += line + "\n";
  return text;
}

RangeSimulationOptions WithoutRandomFaults() {
  RangeSimulationOptions options;
  options.faults = 0;
  options.length = seconds(40);
  return options;
}

std::uint64_t FromEnvironment(const char* name, std::uint64_t default_value) {
  const char* text = std::getenv(name);
  return text == nullptr ? default_value : std::strtoull(text, nullptr, 10);
}

/// Number of histories to search; a long search sets it in the environment.
std::uint64_t HistoryCount() {
  constexpr std::uint64_t kDefaultCount = 60;
  return FromEnvironment("CHERVILMUX_HISTORIES", kDefaultCount);
}

std::uint64_t FirstSeed() {
  return FromEnvironment("CHERVILMUX_FIRST_SEED", 1);
}

}  // namespace

// Failure: some combination of partitions, restarts, pauses, slow clocks and
// late messages gives a key to a server while another one still holds it.
TEST_CASE("no key has two holders in any random history") {
  const std::uint64_t count = HistoryCount();
  std::uint64_t takeovers = 0;
  std::uint64_t moves = 0;
  const std::uint64_t first = FirstSeed();
  for (std::uint64_t seed = first; seed < first + count; ++seed) {
    CAPTURE(seed);
    RangeSimulationOptions options;
    options.seed = seed;
    const auto result = RangeSimulation(options).Run();
    INFO(JoinLines(result.violations));
    REQUIRE(result.violations.empty());
    takeovers += result.takeovers;
    moves += result.moves;
  }
  // Histories without take-overs and moves would not exercise the protection.
  CHECK(takeovers > 2 * count);
  CHECK(moves > 5 * count);
}

// Failure: an order waits at a full owner when a partition cuts that off, and
// is executed after its sender has given it up: the reset does not arrive. Seen
// on a day of a site with 87 instances.
TEST_CASE("no key has two holders while orders wait at full servers") {
  RangeSimulationOptions options = WithoutRandomFaults();
  options.order_wait = milliseconds(2000);
  const auto count_violations = [&options] {
    std::size_t violations = 0;
    for (std::uint64_t seed = 1; seed <= HistoryCount(); ++seed) {
      options.seed = seed;
      RangeSimulation simulation(options);
      simulation.Schedule(seconds(10), [&] {
        for (unsigned i = 0; i < options.instances; ++i)
          simulation.CutServerLink(i, 1, seconds(14));
      });
      simulation.Schedule(seconds(12), [&] { simulation.UnlistServer(1); });
      violations += simulation.Run().violations.size();
    }
    return violations;
  };
  SUBCASE("that leaders allow for") {
    options.assumed_order_wait = options.order_wait;
    CHECK(count_violations() == 0);
  }
  SUBCASE("and the search finds it when leaders do not") {
    CHECK(count_violations() > 0);
  }
}

// Failure: the checks of the simulation overlook a violation. Each section
// disables one protection and expects that the search finds a violation.
TEST_CASE("the search finds a violation when a protection is disabled") {
  SUBCASE("orders that timed out reach their server after a partition") {
    bool found = false;
    for (std::uint64_t seed = 1; seed <= 200 && !found; ++seed) {
      RangeSimulationOptions options;
      options.seed = seed;
      options.deliver_abandoned_orders = true;
      found = !RangeSimulation(options).Run().violations.empty();
    }
    CHECK(found);
  }
  SUBCASE("an order without an answer is treated as not sent") {
    bool found = false;
    for (std::uint64_t seed = 1; seed <= 200 && !found; ++seed) {
      RangeSimulationOptions options;
      options.seed = seed;
      options.deliver_abandoned_orders = true;
      options.treat_no_answer_as_not_sent = true;
      found = !RangeSimulation(options).Run().violations.empty();
    }
    CHECK(found);
  }
  SUBCASE("grants last longer than a new leader waits for them") {
    bool found = false;
    for (std::uint64_t seed = 1; seed <= 200 && !found; ++seed) {
      RangeSimulationOptions options;
      options.seed = seed;
      options.timing.clock_drift_factor = 0.5;
      options.timing.network_margin = milliseconds(0);
      found = !RangeSimulation(options).Run().violations.empty();
    }
    CHECK(found);
  }
}

// Failure: keys stay without an owner when servers start, drain or restart, or
// when the load changes, although store and instances work.
TEST_CASE("all keys keep an owner without faults of store or instances") {
  GIVEN("three instances and five servers") {
    RangeSimulation simulation(WithoutRandomFaults());
    THEN("all keys get an owner within two seconds and keep one") {
      std::uint32_t owned_at_2s = 0;
      simulation.Schedule(seconds(2),
                          [&] { owned_at_2s = simulation.OwnedKeyCount(); });
      const auto result = simulation.Run();
      CHECK(owned_at_2s == ranges::kKeyCount);
      CHECK(result.owned_share > 0.999);
      CHECK(JoinLines(result.violations).empty());
    }
  }
  GIVEN("a draining server") {
    RangeSimulation simulation(WithoutRandomFaults());
    std::uint32_t held = 1;
    simulation.Schedule(seconds(10), [&] { simulation.DrainServer(2); });
    simulation.Schedule(milliseconds(11500),
                        [&] { held = simulation.HeldKeyCount(2); });
    THEN("it holds no keys after 1.5 s") {
      const auto result = simulation.Run();
      CHECK(held == 0);
      CHECK(result.owned_share > 0.99);
      CHECK(JoinLines(result.violations).empty());
    }
  }
  GIVEN("a server that restarts with the same id") {
    RangeSimulation simulation(WithoutRandomFaults());
    std::uint32_t held = 0;
    simulation.Schedule(seconds(10),
                        [&] { simulation.CrashServer(1, milliseconds(900)); });
    simulation.Schedule(milliseconds(12500),
                        [&] { held = simulation.HeldKeyCount(1); });
    THEN("its new incarnation receives keys") {
      const auto result = simulation.Run();
      CHECK(held > 0);
      CHECK(JoinLines(result.violations).empty());
    }
  }
  GIVEN("keys that become hot") {
    RangeSimulation simulation(WithoutRandomFaults());
    unsigned holders = 0;
    simulation.Schedule(seconds(10),
                        [&] { simulation.SetKeyLoad(20000, 20199, 600); });
    simulation.Schedule(seconds(16), [&] {
      for (unsigned i = 0; i < 5; ++i)
        holders += simulation.HeldKeyCount(i) > 0 ? 1 : 0;
    });
    THEN("keys move, and every server still holds some") {
      const auto result = simulation.Run();
      CHECK(holders == 5);
      CHECK(result.moves >= 2);
      CHECK(JoinLines(result.violations).empty());
    }
  }
}

// Failure: keys lose their owners because grants expire while the store or the
// leading instance is unavailable, or a new leader grants keys that are still
// held.
TEST_CASE("keys keep their owners while the store or the leader is lost") {
  GIVEN("a store that is down for nine seconds") {
    RangeSimulation simulation(WithoutRandomFaults());
    simulation.Schedule(seconds(10), [&] { simulation.StopStore(seconds(9)); });
    THEN("no key loses its owner") {
      const auto result = simulation.Run();
      CHECK(result.owned_share > 0.999);
      CHECK(JoinLines(result.violations).empty());
    }
  }
  GIVEN("a leader that cannot reach the store") {
    RangeSimulation simulation(WithoutRandomFaults());
    std::optional<unsigned> before;
    std::optional<unsigned> after;
    simulation.Schedule(seconds(10), [&] {
      before = simulation.Leader();
      simulation.CutStoreLink(before.value_or(0), seconds(15));
    });
    simulation.Schedule(seconds(17), [&] { after = simulation.Leader(); });
    THEN("another instance leads within 7 s, and no key loses its owner") {
      const auto result = simulation.Run();
      REQUIRE(before);
      REQUIRE(after);
      CHECK(*before != *after);
      CHECK(result.owned_share > 0.999);
      CHECK(JoinLines(result.violations).empty());
    }
  }
  GIVEN("a leader that is lost for 25 s") {
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
      CAPTURE(seed);
      RangeSimulationOptions options = WithoutRandomFaults();
      options.seed = seed;
      RangeSimulation simulation(options);
      simulation.Schedule(seconds(10), [&] {
        simulation.KillInstance(simulation.Leader().value_or(0), seconds(25));
      });
      // The next leader renews all grants before the first one expires.
      CHECK(simulation.Run().owned_share > 0.999);
    }
  }
  GIVEN("a leader and a server that are lost at the same time") {
    RangeSimulation simulation(WithoutRandomFaults());
    simulation.Schedule(seconds(10), [&] {
      simulation.KillInstance(simulation.Leader().value_or(0), seconds(3));
      simulation.CrashServer(1, seconds(25));
    });
    std::uint32_t owned = 0;
    simulation.Schedule(seconds(32),
                        [&] { owned = simulation.OwnedKeyCount(); });
    THEN("other servers receive the keys of the lost server") {
      const auto result = simulation.Run();
      CHECK(owned == ranges::kKeyCount);
      CHECK(JoinLines(result.violations).empty());
    }
  }
  GIVEN("a leader that is paused for eight seconds") {
    RangeSimulation simulation(WithoutRandomFaults());
    simulation.Schedule(seconds(10), [&] {
      simulation.PauseInstance(simulation.Leader().value_or(0), seconds(8));
    });
    THEN("another instance leads, and no key has two holders") {
      const auto result = simulation.Run();
      CHECK(result.owned_share > 0.99);
      CHECK(JoinLines(result.violations).empty());
    }
  }
}

}  // namespace chervilmux::scenario
