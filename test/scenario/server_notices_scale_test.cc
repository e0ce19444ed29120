// Guards what servers and callers get while many servers leave or ask for quiet
// at once, with many instances, also while the store is away and instances
// restart. Failures: servers get requests that they asked not to get, before
// the end of their quiet or in a burst after it; instances together repeat more
// requests than the limits allow; callers are told to return too early.

#include <doctest/doctest.h>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "notice_world.h"

namespace chervilmux::scenario {
namespace {

struct Size {
  unsigned servers;
  unsigned instances;
  std::vector<std::uint64_t> seeds;
};
const std::vector<Size> kSizes = {{30, 8, {1, 2, 3}}, {100, 80, {1}}};

/// Targets. The rules of the users allow two requests within the quiet.
constexpr std::size_t kMostWithinQuiet = 1;
constexpr double kMostReturnedPerSlot = 1;

/// A trial with 30 servers and 8 instances, to be played with a protection
/// turned off.
NoticeTrial Unprotected(std::size_t number, bool keyed) {
  return MakeNoticeTrial(number, 30, 8, keyed, 1);
}
constexpr std::size_t kQuiet = 1;
constexpr std::size_t kBothStoreAway = 2;

}  // namespace

TEST_CASE("many servers that leave or want quiet at once") {
  bool keyed = false;
  SUBCASE("of a service without keys") {}
  SUBCASE("of a service with keys") { keyed = true; }
  for (const auto& size : kSizes) {
    for (const std::uint64_t seed : size.seeds) {
      for (std::size_t i = 0; i < kNoticeTrialCount; ++i) {
        const NoticeTrial trial =
            MakeNoticeTrial(i, size.servers, size.instances, keyed, seed);
        const NoticeCounts counts = PlayNotices(trial);
        MESSAGE(trial.name, ", ", size.servers, " servers, ", size.instances,
                " instances, seed ", seed, ": served ",
                counts.ServedFirstShare(), " at first, ", counts.ServedShare(),
                " in the end, repeats ", counts.RepeatsPerRequest(),
                ", per slot after quiet ", counts.most_after_quiet_per_slot);
        CAPTURE(trial.name);
        CAPTURE(size.servers);
        CAPTURE(seed);
        CHECK((trial.leaving_share == 0 || counts.drain_notices > 0));
        CHECK((trial.quiet_share == 0 || counts.back_off_notices > 0));
        CHECK(counts.past_drain_bound == 0);
        CHECK((keyed || counts.sent_to_leaving == 0));
        CHECK(counts.most_within_quiet <= kMostWithinQuiet);
        CHECK(counts.repeats_over_limit <= 0);
        CHECK(counts.told_too_early == 0);
        CHECK(counts.most_returned_per_slot <= kMostReturnedPerSlot);
        // Most instances of a large site were never turned away and send what
        // they always sent.
        CHECK(counts.most_after_quiet_per_slot <=
              std::max(kMostReturnedPerSlot, counts.most_before_per_slot));
      }
    }
  }
}

TEST_CASE("a service all of whose servers want quiet tells callers when") {
  NoticeTrial trial = Unprotected(kQuiet, false);
  trial.quiet_share = 1;
  const NoticeCounts counts = PlayNotices(trial);
  CHECK(counts.told > 0);
  CHECK(counts.told_too_early == 0);
  CHECK(counts.most_within_quiet <= kMostWithinQuiet);
  CHECK(counts.repeats_over_limit <= 0);
}

// The checks above would find what each protection prevents.
TEST_CASE("without its protection") {
  SUBCASE("a server that leaves gets requests past its bound") {
    for (const bool keyed : {false, true}) {
      NoticeTrial trial = Unprotected(kBothStoreAway, keyed);
      trial.heeds_draining = false;
      CHECK(PlayNotices(trial).past_drain_bound > 0);
    }
  }
  SUBCASE("a server that wants quiet gets none") {
    for (const bool keyed : {false, true}) {
      NoticeTrial trial = Unprotected(kQuiet, keyed);
      trial.heeds_back_off = false;
      CHECK(PlayNotices(trial).most_within_quiet > 2);
    }
  }
  SUBCASE("a server with keys gets a burst after its quiet") {
    NoticeTrial trial = Unprotected(kQuiet, true);
    trial.spreads_probes = false;
    CHECK(PlayNotices(trial).most_returned_per_slot > kMostReturnedPerSlot);
  }
  SUBCASE("callers are told to return too early") {
    NoticeTrial trial = Unprotected(kQuiet, true);
    trial.tells_rest = false;
    CHECK(PlayNotices(trial).told_too_early > 0);
  }
  SUBCASE("servers get more repeats than the limits allow") {
    NoticeTrial trial = Unprotected(kQuiet, false);
    trial.quiet_share = 0.8;
    trial.heeds_back_off = false;
    CHECK(PlayNotices(trial).repeats_over_limit <= 0);
    trial.limits_repeats = false;
    CHECK(PlayNotices(trial).repeats_over_limit > 0);
  }
}

}  // namespace chervilmux::scenario
