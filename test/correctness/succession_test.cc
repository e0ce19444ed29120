// Guards against instances that stop one after the other and leave nobody who
// renews the grants of owners.

#include "node/succession.h"

#include <doctest/doctest.h>

#include <vector>

namespace chervilmux::node {

using kernel::milliseconds;

TEST_CASE("a leader that stops") {
  Succession succession;
  std::mt19937_64 random(20261205);
  kernel::Instant now = kernel::Now();
  const std::vector<std::string> others = {"a", "b"};
  REQUIRE(succession.IsDue(now));
  const auto asked = succession.BeginRound(others, now, random);
  CHECK(asked == others);
  CHECK_FALSE(succession.IsDue(now));
  WHEN("several agree") {
    succession.OnReply("a", SuccessionReply{true, 0.1}, now);
    CHECK_FALSE(succession.Successor().has_value());
    succession.OnReply("b", SuccessionReply{true, 0.5}, now);
    THEN("the one with the most processor time leads") {
      CHECK(succession.Successor() == "b");
      CHECK_FALSE(succession.IsDue(now + kernel::seconds(1)));
    }
  }
  WHEN("all that were asked stop too, or are silent") {
    succession.OnReply("a", SuccessionReply{false, 0.1}, now);
    succession.OnReply("b", std::nullopt, now);
    THEN("it asks again after a while") {
      CHECK_FALSE(succession.Successor().has_value());
      CHECK_FALSE(succession.IsDue(now));
      CHECK(succession.IsDue(now + milliseconds(400)));
    }
  }
  WHEN("an instance that was not asked replies") {
    succession.OnReply("c", SuccessionReply{true, 4}, now);
    succession.OnReply("a", std::nullopt, now);
    succession.OnReply("b", std::nullopt, now);
    THEN("it is not chosen") {
      CHECK_FALSE(succession.Successor().has_value());
    }
  }
}

TEST_CASE("messages about the succession") {
  const auto request = DecodeSuccession(EncodeSuccession({"ledger", true}));
  REQUIRE(request);
  CHECK(request.value().service == "ledger");
  CHECK(request.value().lease_is_free);
  const auto reply = DecodeSuccessionReply(EncodeSuccessionReply({true, 0.5}));
  REQUIRE(reply);
  CHECK(reply.value().agrees);
  CHECK(reply.value().processor_share == 0.5);
  SUBCASE("that are malformed are refused") {
    for (const char* text : {"", "[]", "{}", R"({"service":1})",
                             R"({"service":"a","lease_is_free":"yes"})"}) {
      CHECK_FALSE(DecodeSuccession(text));
      CHECK_FALSE(DecodeSuccessionReply(text));
    }
  }
}

}  // namespace chervilmux::node
