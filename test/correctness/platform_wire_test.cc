// Guards the reading of what servers state in their answers. Failures: a server
// that leaves is not understood, or a garbled value takes a server out of use.

#include "platform_wire.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

namespace chervilmux::platform {
namespace {

dispatch::AnswerInfo Classify(std::uint16_t status, net::Headers headers) {
  net::HttpAnswer answer;
  answer.status = status;
  answer.headers = std::move(headers);
  return PlatformWire().ClassifyAnswer(answer);
}

}  // namespace

// Failure: a garbled value takes a healthy server out of use, or hides that
// one leaves.
TEST_CASE("an answer states that its server leaves") {
  const auto classify = [](const std::vector<std::string>& values) {
    net::Headers headers;
    for (const auto& value : values) {
      headers.push_back({"server-leaving", value});
    }
    return Classify(200, headers);
  };
  SUBCASE("with the value 1 alone, or among others") {
    for (const auto& values : std::vector<std::vector<std::string>>{
             {"1"}, {" 1 "}, {"1", "1"}, {"0", "1"}, {"1, 1"}, {"x,1"}}) {
      CHECK(classify(values).draining);
    }
    CHECK(classify({"1", "1"}).unreadable.empty());
  }
  SUBCASE("not with 0, and not without the header") {
    CHECK_FALSE(classify({"0"}).draining);
    CHECK_FALSE(classify({}).draining);
    CHECK(classify({"0"}).unreadable.empty());
    CHECK(classify({}).unreadable.empty());
  }
  SUBCASE("not with a value that is neither, which is told") {
    for (const char* value : {"", "2", "true", "yes", "-1", "01", "1.0"}) {
      const auto info = classify({value});
      CHECK_FALSE(info.draining);
      CHECK(info.unreadable == std::string("Server-Leaving: ") + value);
    }
  }
  SUBCASE("also when the answer is a failure or states that nothing ran") {
    CHECK(Classify(500, {{"Server-Leaving", "1"}}).draining);
    CHECK(Classify(503, {{"Not-Executed", "1"}, {"Server-Leaving", "1"}})
              .draining);
  }
  SUBCASE("not when another server may have answered") {
    CHECK_FALSE(Classify(421, {{"Server-Leaving", "1"}}).draining);
  }
  SUBCASE("and the caller does not see it") {
    net::HttpAnswer answer;
    answer.headers = {{"Server-Leaving", "1"}, {"Content-Type", "a/b"}};
    CHECK(PlatformWire().MakeCallerAnswer(answer).headers ==
          net::Headers{{"Content-Type", "a/b"}});
  }
}

}  // namespace chervilmux::platform
