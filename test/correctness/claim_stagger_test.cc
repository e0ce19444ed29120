// Guards against the failure that an instance with little processor time leads
// although others have much more, and renews grants too late.

#include "node/claim_stagger.h"

#include <doctest/doctest.h>

#include <initializer_list>

namespace chervilmux::node {

TEST_CASE("an instance with more processor time claims a lease earlier") {
  constexpr double kAlmostOne = 0.999;
  SUBCASE("whatever the random numbers, if it has five times as much") {
    CHECK(ClaimStagger(0.5, kAlmostOne) < ClaimStagger(0.1, 0));
    CHECK(ClaimStagger(1, kAlmostOne) < ClaimStagger(0.2, 0));
  }
  SUBCASE("equal instances are separated by the random number") {
    CHECK(ClaimStagger(0.2, 0) < ClaimStagger(0.2, 0.5));
  }
  SUBCASE("each delay is a share of the longest one") {
    for (const double share : {0.01, 0.1, 1.0, 8.0}) {
      CHECK(ClaimStagger(share, 0) >= 0);
      CHECK(ClaimStagger(share, kAlmostOne) < 1);
    }
  }
}

}  // namespace chervilmux::node
