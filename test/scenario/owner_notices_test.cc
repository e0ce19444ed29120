// Guards against the failure that the leader leaves keys where instances know
// that they cannot be served, because only the list of servers counts for it.

#include <doctest/doctest.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "range_world.h"

namespace chervilmux::scenario {
namespace {

using kernel::milliseconds;
using kernel::seconds;

constexpr unsigned kServer = 2;

RangeSimulationOptions CalmWorld() {
  RangeSimulationOptions options;
  options.faults = 0;
  options.length = seconds(40);
  return options;
}

}  // namespace

TEST_CASE("keys of a server leave it when the leader hears that it drains") {
  RangeSimulation simulation(CalmWorld());
  std::map<std::string, std::uint32_t> held;
  const auto note_held = [&](kernel::Duration at, const std::string& name) {
    simulation.Schedule(
        at, [&, name] { held[name] = simulation.HeldKeyCount(kServer); });
  };
  note_held(milliseconds(9900), "before");
  GIVEN("a notice of the run that is listed") {
    simulation.Schedule(seconds(10),
                        [&] { simulation.TellDraining(kServer, 1); });
    note_held(milliseconds(11500), "told");
    WHEN("the list goes on to say that the server is ready") {
      simulation.Schedule(seconds(12), [&] { simulation.ListServer(kServer); });
      note_held(seconds(30), "listed");
      THEN("it holds none after 1.5 s and gets none again") {
        const auto result = simulation.Run();
        CHECK(held["before"] > 0);
        CHECK(held["told"] == 0);
        CHECK(held["listed"] == 0);
        CHECK(result.owned_share > 0.99);
        CHECK(result.violations.empty());
      }
    }
    WHEN("the list lacks the server for two minutes") {
      auto options = CalmWorld();
      options.length = seconds(200);
      RangeSimulation longer(options);
      longer.Schedule(seconds(10), [&] { longer.TellDraining(kServer, 1); });
      longer.Schedule(seconds(12), [&] { longer.UnlistServer(kServer); });
      longer.Schedule(seconds(132), [&] { longer.ListServer(kServer); });
      std::uint32_t held_at_end = 1;
      longer.Schedule(seconds(190),
                      [&] { held_at_end = longer.HeldKeyCount(kServer); });
      THEN("it still gets none") {
        CHECK(longer.Run().violations.empty());
        CHECK(held_at_end == 0);
      }
    }
    WHEN("the server has started again") {
      simulation.Schedule(seconds(13), [&] {
        simulation.CrashServer(kServer, milliseconds(900));
      });
      note_held(seconds(30), "restarted");
      THEN("the next run gets keys") {
        CHECK(simulation.Run().violations.empty());
        CHECK(held["told"] == 0);
        CHECK(held["restarted"] > 0);
      }
    }
  }
  GIVEN("a notice of the run before the one that is listed") {
    simulation.Schedule(seconds(5), [&] {
      simulation.CrashServer(kServer, milliseconds(900));
    });
    simulation.Schedule(seconds(20),
                        [&] { simulation.TellDraining(kServer, 1); });
    note_held(milliseconds(19900), "before the notice");
    note_held(seconds(30), "after the notice");
    THEN("it keeps its keys") {
      CHECK(simulation.Run().violations.empty());
      CHECK(held["before the notice"] > 0);
      CHECK(held["after the notice"] == held["before the notice"]);
    }
  }
  GIVEN("a notice of a run that the leader's list does not have yet") {
    simulation.Schedule(seconds(10),
                        [&] { simulation.TellDraining(kServer, 2); });
    note_held(seconds(12), "first run");
    simulation.Schedule(seconds(13), [&] {
      simulation.CrashServer(kServer, milliseconds(900));
    });
    note_held(seconds(30), "second run");
    THEN("it counts from when that run is listed") {
      CHECK(simulation.Run().violations.empty());
      CHECK(held["first run"] == held["before"]);
      CHECK(held["second run"] == 0);
    }
  }
  // Failure: keys are released that no other server can be granted, because
  // the store has just gone away.
  THEN("they stay while the store is away and move when it is back") {
    for (const unsigned since_ms : {20U, 200U, 600U, 1100U, 1600U}) {
      CAPTURE(since_ms);
      RangeSimulation world(CalmWorld());
      std::uint32_t before = 0;
      std::uint32_t away = 0;
      std::uint32_t back = 1;
      std::uint32_t owned = 0;
      world.Schedule(seconds(10), [&] {
        before = world.HeldKeyCount(kServer);
        world.StopStore(seconds(4));
      });
      world.Schedule(seconds(10) + milliseconds(since_ms),
                     [&] { world.TellDraining(kServer, 1); });
      world.Schedule(milliseconds(13900), [&] {
        owned = world.OwnedKeyCount();
        away = world.HeldKeyCount(kServer);
      });
      world.Schedule(seconds(17), [&] { back = world.HeldKeyCount(kServer); });
      CHECK(world.Run().violations.empty());
      CHECK(before > 0);
      CHECK(away == before);
      CHECK(owned == ranges::kKeyCount);
      CHECK(back == 0);
    }
  }
}

// Failure: the planner gives keys to a server that wants no requests.
TEST_CASE("a server that backs off gets no new keys until the end") {
  constexpr auto kBackOff = seconds(8);
  GIVEN("a server that joins and backs off at once") {
    auto options = CalmWorld();
    options.listed_at_start = options.servers - 1;
    const unsigned joining = options.servers - 1;
    RangeSimulation simulation(options);
    std::uint32_t held_before_end = 1;
    std::uint32_t held_after_end = 0;
    simulation.Schedule(seconds(10), [&] {
      simulation.ListServer(joining);
      simulation.TellBackOff(joining, kBackOff);
    });
    simulation.Schedule(seconds(17), [&] {
      held_before_end = simulation.HeldKeyCount(joining);
    });
    simulation.Schedule(seconds(30), [&] {
      held_after_end = simulation.HeldKeyCount(joining);
    });
    THEN("it gets its share after the end") {
      CHECK(simulation.Run().violations.empty());
      CHECK(held_before_end == 0);
      CHECK(held_after_end > ranges::kKeyCount / (2 * options.servers));
    }
  }
  GIVEN("an owner that backs off while another one drains") {
    RangeSimulation simulation(CalmWorld());
    std::uint32_t before = 0;
    std::uint32_t during = 0;
    std::uint32_t owned = 0;
    simulation.Schedule(seconds(10), [&] {
      before = simulation.HeldKeyCount(1);
      simulation.TellBackOff(1, kBackOff);
      simulation.DrainServer(kServer);
    });
    simulation.Schedule(seconds(14), [&] {
      during = simulation.HeldKeyCount(1);
      owned = simulation.OwnedKeyCount();
    });
    THEN("it keeps its keys and gets none of those") {
      CHECK(simulation.Run().violations.empty());
      CHECK(before > 0);
      CHECK(during == before);
      CHECK(owned == ranges::kKeyCount);
    }
  }
  GIVEN("servers that all back off") {
    RangeSimulation simulation(CalmWorld());
    std::uint32_t owned = 0;
    simulation.Schedule(seconds(10), [&] {
      for (unsigned i = 0; i < CalmWorld().servers; ++i)
        simulation.TellBackOff(i, kBackOff);
      simulation.CrashServer(kServer, seconds(20));
    });
    simulation.Schedule(seconds(17),
                        [&] { owned = simulation.OwnedKeyCount(); });
    THEN("keys without an owner still get one") {
      CHECK(simulation.Run().violations.empty());
      CHECK(owned == ranges::kKeyCount);
    }
  }
}

// Failure: a move that a notice causes gives a key to a server while another
// one still holds it.
TEST_CASE("no key has two holders in any random history with notices") {
  constexpr std::uint64_t kHistories = 40;
  std::uint64_t moves = 0;
  for (std::uint64_t seed = 1; seed <= kHistories; ++seed) {
    CAPTURE(seed);
    RangeSimulationOptions options;
    options.seed = seed;
    options.notices = 4;
    options.restores = seed % 3;
    const auto result = RangeSimulation(options).Run();
    REQUIRE(result.violations.empty());
    moves += result.moves;
  }
  CHECK(moves > 5 * kHistories);
}

TEST_CASE("a notice is news once for each run of a listed server") {
  ranges::RangeGrantor grantor("service", "instance", 0);
  model::BackendServer server;
  server.id = "a";
  server.life = 2;
  const kernel::Instant now{seconds(10)};
  grantor.OnServerList(std::vector{server}, now);
  CHECK_FALSE(grantor.OnServerDraining("unknown", 2, now));
  CHECK_FALSE(grantor.OnServerDraining("a", 1, now));
  CHECK(grantor.OnServerDraining("a", 2, now));
  CHECK_FALSE(grantor.OnServerDraining("a", 2, now));
  CHECK(grantor.OnServerDraining("a", 3, now));
  CHECK_FALSE(grantor.OnServerDraining("a", 2, now));
}

}  // namespace chervilmux::scenario
