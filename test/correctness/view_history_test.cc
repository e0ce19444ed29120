// Guards against whole views of owners that go to every instance while changes
// are on their way: at 295 instances they filled the leader's link.

#include "node/view_history.h"

#include <doctest/doctest.h>

#include "ranges/load_map.h"
#include "ranges/range_grantor.h"

namespace chervilmux::node {

using kernel::Instant;
using kernel::milliseconds;

TEST_CASE("the changes of owners that all instances should have heard") {
  ViewHistory history;
  const Instant now(kernel::seconds(100));
  CHECK(history.HeardByAll(now) == ViewVersion());
  history.Add({3, 1}, now);
  CHECK(history.HeardByAll(now + milliseconds(399)) == ViewVersion());
  history.Add({3, 2}, now + milliseconds(300));
  history.Add({3, 3}, now + milliseconds(350));
  CHECK(history.HeardByAll(now + milliseconds(400)) == ViewVersion(3, 1));
  CHECK(history.HeardByAll(now + milliseconds(720)) == ViewVersion(3, 2));
  CHECK(history.HeardByAll(now + kernel::seconds(9)) == ViewVersion(3, 3));
  SUBCASE("take little memory where nobody asks") {
    for (std::uint64_t i = 0; i < 1000; ++i)
      history.Add({4, i}, now + kernel::seconds(10 + static_cast<int>(i)));
    CHECK(history.Size() <= 3);
  }
}

TEST_CASE("counts of keys that are reported on through another instance") {
  ranges::LoadCounter reader;
  reader.CountRequest(5);
  const std::vector<ranges::BucketCount> reported = {
      {0, 7}, {3, 2}, {60000, 1}, {4, 0}};
  reader.Add(reported);
  const auto counts = reader.TakeCounts();
  REQUIRE(counts.size() == 2);
  CHECK(counts[0].bucket == 0);
  CHECK(counts[0].requests == 8);
  CHECK(counts[1].bucket == 3);
  CHECK(reader.TakeCounts().empty());
}

TEST_CASE("a follower that hears of the leader through another instance") {
  ranges::RangeGrantor grantor("ledger", "a", 0, {});
  const Instant now(kernel::seconds(100));
  grantor.OnLeaderHeardOf(now);
  CHECK(grantor.HasLeaderContact(now + milliseconds(1400)));
  CHECK_FALSE(grantor.HasLeaderContact(now + milliseconds(1500)));
  WHEN("older hearsay arrives later") {
    grantor.OnLeaderHeardOf(now - milliseconds(500));
    THEN("it changes nothing") { CHECK(grantor.LastLeaderContact() == now); }
  }
  WHEN("the leader itself is heard") {
    grantor.OnLeaderContact({}, now + milliseconds(100));
    THEN("its silence is noticed sooner") {
      CHECK_FALSE(grantor.HasLeaderContact(now + milliseconds(1000)));
    }
  }
}

}  // namespace chervilmux::node
