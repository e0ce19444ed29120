// Guards against requests that an instance takes while it stops and cannot
// finish: they were cut off at the end of the grace.

#include "policy/stop_admission.h"

#include <doctest/doctest.h>

namespace chervilmux::policy {

using kernel::milliseconds;
using kernel::seconds;

TEST_CASE("an instance that stops") {
  StopRequest request;
  request.latency_objective = milliseconds(600);
  request.time_left = seconds(4);
  request.service_time = milliseconds(100);
  GIVEN("a request that may be repeated") {
    request.idempotent = true;
    CHECK(FinishesBeforeStop(request, seconds(1)));
    CHECK_FALSE(FinishesBeforeStop(request, milliseconds(500)));
    WHEN("servers have become slow") {
      request.service_time = milliseconds(500);
      THEN("it has to have more time left") {
        CHECK_FALSE(FinishesBeforeStop(request, seconds(1)));
        CHECK(FinishesBeforeStop(request, seconds(2)));
      }
    }
  }
  GIVEN("a request that may not be repeated") {
    THEN("it is taken only with twice the time") {
      CHECK_FALSE(FinishesBeforeStop(request, seconds(1)));
      CHECK(FinishesBeforeStop(request, seconds(2)));
    }
  }
  GIVEN("a caller that gives up before the stop ends") {
    request.time_left = milliseconds(200);
    THEN("the stop changes nothing for it") {
      CHECK(FinishesBeforeStop(request, milliseconds(250)));
    }
  }
  GIVEN("an end that has passed") {
    CHECK_FALSE(FinishesBeforeStop(request, milliseconds(-1)));
  }
}

}  // namespace chervilmux::policy
