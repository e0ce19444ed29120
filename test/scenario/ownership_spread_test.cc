// Guards against the failure that the time until each backend server holds its
// share of the keys grows with the number of servers. Plays RangeGrantor in
// virtual time with 30, 100 and 300 servers.

#include <doctest/doctest.h>

#include <algorithm>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "range_world.h"

namespace chervilmux::scenario {
namespace {

using kernel::Duration;
using kernel::milliseconds;
using kernel::seconds;
using kernel::ToSeconds;

/// A server that joins must get requests within this time: 2.5 s until its
/// registration counts, and 2 s.
constexpr double kMaxSpreadS = 4.5;
/// Longest time that a lost server's keys stay granted to it, and 1 s.
constexpr double kMaxRefillS = 5.0 * 1.02 + 0.15 + 1.0;
/// Growth of a time from one number of servers to three times as many; times
/// below `kShortSpreadS` count as that.
constexpr double kMaxGrowth = 1.5;
constexpr double kShortSpreadS = 1;
constexpr Duration kSamplePeriod = milliseconds(100);
constexpr double kRequestsPerServerAndSecond = 12;

struct Size {
  unsigned servers;
  unsigned instances;
};
const std::vector<Size> kSizes = {{30, 8}, {100, 80}, {300, 300}};

/// One run: servers join or are lost, and the keys spread.
class SpreadRun {
 public:
  SpreadRun(const Size& size, unsigned listed_at_start)
      : size(size), simulation(Options(size, listed_at_start)) {}

  void ScheduleJoin(Duration at, unsigned server) {
    this->simulation.Schedule(
        at, [this, server] { this->simulation.ListServer(server); });
  }
  void ScheduleLoss(Duration at, unsigned server) {
    this->simulation.Schedule(at, [this, server] {
      this->simulation.CrashServer(server, seconds(1000));
      this->is_lost[server] = true;
    });
  }
  void ScheduleLoad(Duration at) {
    this->simulation.Schedule(at, [this] {
      this->simulation.SetRandomLoad(kRequestsPerServerAndSecond *
                                     this->size.servers);
    });
  }

  /// Returns the seconds from `from` until `is_reached` first holds, if it does
  /// before the run ends.
  std::optional<double> SecondsUntil(Duration from,
                                     const std::function<bool()>& is_reached) {
    std::optional<double> reached;
    for (Duration at = from; at < kLength; at += kSamplePeriod) {
      this->simulation.Schedule(at, [&, at] {
        if (!reached && is_reached()) reached = ToSeconds(at - from);
      });
    }
    const auto result = this->simulation.Run();
    CHECK(result.violations.empty());
    this->commits = result.moves;
    return reached;
  }

  /// Whether each server holds between half of its fair share and twice as much
  /// as it.
  bool IsEven() const {
    const auto remaining =
        static_cast<double>(std::ranges::count(this->is_lost, false));
    const double fair = ranges::kKeyCount / remaining;
    for (unsigned i = 0; i < this->size.servers; ++i) {
      if (this->is_lost[i]) continue;
      const double held = this->simulation.HeldKeyCount(i);
      if (held < fair / 2 || held > fair * 2) return false;
    }
    return true;
  }
  bool AllKeysOwned() const {
    return this->simulation.OwnedKeyCount() == ranges::kKeyCount;
  }

  std::uint64_t commits = 0;  ///< Changes of owners in the store.

 private:
  static constexpr Duration kLength = seconds(40);

  static RangeSimulationOptions Options(const Size& size,
                                        unsigned listed_at_start) {
    RangeSimulationOptions options;
    options.faults = 0;
    options.lose_store_answers = false;
    options.length = kLength;
    options.servers = size.servers;
    options.instances = size.instances;
    options.listed_at_start = listed_at_start;
    return options;
  }

  Size size;
  std::vector<bool> is_lost = std::vector<bool>(this->size.servers);
  RangeSimulation simulation;
};

/// Seconds until the keys are even when all servers register one after the
/// other within `kJoinTime` of the start, counted from the last one.
double SpreadFromEmptyTable(const Size& size) {
  constexpr Duration kJoinTime = seconds(3);
  SpreadRun run(size, 2);
  for (unsigned i = 2; i < size.servers; ++i)
    run.ScheduleJoin(kJoinTime * i / size.servers, i);
  run.ScheduleLoad(seconds(8));
  const auto spread = run.SecondsUntil(kJoinTime, [&] { return run.IsEven(); });
  MESSAGE(size.servers, " servers, empty table: ", spread.value_or(-1), " s, ",
          run.commits, " commits");
  return spread.value_or(1000);
}

double SpreadAfterJoin(const Size& size) {
  const unsigned before = size.servers * 10 / 13;
  SpreadRun run(size, before);
  run.ScheduleLoad(seconds(1));
  constexpr Duration kJoinAt = seconds(20);
  for (unsigned i = before; i < size.servers; ++i) run.ScheduleJoin(kJoinAt, i);
  const auto spread = run.SecondsUntil(kJoinAt, [&] { return run.IsEven(); });
  MESSAGE(size.servers, " servers, three tenths join: ", spread.value_or(-1),
          " s, ", run.commits, " commits");
  return spread.value_or(1000);
}

struct Refill {
  double owned = 1000;
  double even = 1000;
};

Refill RefillAfterLoss(const Size& size) {
  Refill refill;
  constexpr Duration kLossAt = seconds(25);
  const auto run_until = [&](bool even) {
    SpreadRun run(size, size.servers);
    run.ScheduleLoad(seconds(1));
    for (unsigned i = 0; i < size.servers / 10; ++i)
      run.ScheduleLoss(kLossAt, i);
    return run
        .SecondsUntil(kLossAt + milliseconds(100),
                      [&] {
                        return even ? run.IsEven() && run.AllKeysOwned()
                                    : run.AllKeysOwned();
                      })
        .value_or(1000);
  };
  refill.owned = run_until(false);
  refill.even = run_until(true);
  MESSAGE(size.servers, " servers, a tenth lost: owned after ", refill.owned,
          " s, even after ", refill.even, " s");
  return refill;
}

}  // namespace

TEST_CASE("the time to spread the keys does not grow with the servers") {
  std::vector<double> times;
  SUBCASE("from an empty table while the servers register") {
    for (const auto& size : kSizes) times.push_back(SpreadFromEmptyTable(size));
  }
  SUBCASE("after three tenths of the servers have joined") {
    for (const auto& size : kSizes) times.push_back(SpreadAfterJoin(size));
  }
  for (std::size_t i = 0; i < times.size(); ++i) {
    CAPTURE(kSizes[i].servers);
    CHECK(times[i] <= kMaxSpreadS);
    if (i > 0) {
      CHECK(times[i] <= kMaxGrowth * std::max(times[i - 1], kShortSpreadS));
    }
  }
}

TEST_CASE("the keys of lost servers spread at once over the others") {
  for (const auto& size : kSizes) {
    CAPTURE(size.servers);
    const Refill refill = RefillAfterLoss(size);
    CHECK(refill.owned <= kMaxRefillS);
    CHECK(refill.even <= kMaxRefillS + kMaxSpreadS);
  }
}

}  // namespace chervilmux::scenario
