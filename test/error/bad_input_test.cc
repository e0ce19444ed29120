// User errors: each gets a message that says what to do, and no input crashes.

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <string>
#include <vector>

#include "config/manifest.h"
#include "config/manifest_keeper.h"
#include "kernel/json.h"
#include "membership/heartbeat.h"
#include "net/address.h"
#include "observe/log.h"
#include "ownership/row.h"
#include "routing/relay_message.h"
#include "routing/request_path.h"

namespace chervilmux {
namespace {

std::string Manifest(const std::string& service_fields, int revision = 1) {
  return "{\"revision\": " + std::to_string(revision) +
         ",\n \"services\": [\n  {\"name\": \"rozpis\",\n   " + service_fields +
         "}\n ]}";
}

const char* const kGoodFields =
    "\"failure_domains\": [\"kolin\"],\n   \"servers\": []";

TEST_CASE("a bad manifest is refused with its line and field") {
  struct Bad {
    std::string text;
    unsigned line;
    std::string part;
  };
  const Bad cases[] = {
      {"{", 1, "not JSON"},
      {"[]", 1, "must be an object"},
      {Manifest("\"servers\": []"), 3, "failure_domains"},
      {Manifest("\"failure_domains\": [\"kolin\"],\n \"servers\": [{\"name\": "
                "\"a\", \"failure_domain\": \"praha\", \"address\": "
                "\"1.2.3.4:5\"}]"),
       5, "failure domains"},
      {Manifest("\"failure_domains\": [\"kolin\"],\n \"servers\": [{\"name\": "
                "\"a\", \"failure_domain\": \"kolin\", \"address\": "
                "\"db.example:5\"}]"),
       5, "not an IP number"},
      {Manifest(std::string(kGoodFields) + ",\n \"colour\": 1"), 6,
       "not a known field"},
      {Manifest(std::string(kGoodFields) + ",\n \"shards\": -4"), 6,
       "whole number"},
  };
  for (const auto& bad : cases) {
    CAPTURE(bad.text);
    std::vector<config::ManifestProblem> problems;
    CHECK(!config::ParseManifest(bad.text, problems));
    REQUIRE(!problems.empty());
    CHECK(problems[0].line == bad.line);
    CHECK(problems[0].ToString().find(bad.part) != std::string::npos);
  }
}

TEST_CASE("a manifest in force never reverts") {
  config::ManifestKeeper keeper;
  REQUIRE(keeper.Offer(Manifest(kGoodFields, 5)) ==
          config::OfferResult::kAdopted);
  SUBCASE("an older one is refused") {
    CHECK(keeper.Offer(Manifest(kGoodFields, 4)) ==
          config::OfferResult::kRegressed);
  }
  SUBCASE("a bad one is refused") {
    CHECK(keeper.Offer("{\"revision\": 9}") == config::OfferResult::kInvalid);
  }
  SUBCASE("one that would move keys between cells is refused") {
    CHECK(keeper.Offer(Manifest(std::string(kGoodFields) + ", \"shards\": 7",
                                6)) == config::OfferResult::kInvalid);
  }
  CHECK(keeper.Revision() == 5);
}

TEST_CASE("no bytes from the network crash a decoder") {
  CHECK(rc::check("any bytes", [](const std::string& bytes) {
    (void)membership::Decode(bytes);
    (void)routing::Decode(bytes);
    (void)ownership::DecodeRow(bytes);
    (void)routing::ParseRequestPath("/" + bytes);
    (void)net::ParseAddress(bytes);
  }));
  CHECK(rc::check("a damaged message", [](std::uint16_t at, std::uint8_t to) {
    membership::Heartbeat beat;
    beat.from = {"entry", 3};
    beat.leads = {{"rozpis@kolin", 7}};
    std::string bytes = membership::Encode(beat);
    bytes[at % bytes.size()] = static_cast<char>(to);
    (void)membership::Decode(bytes);
    routing::RelayRequest request;
    request.request.headers = {{"a", "b"}};
    bytes = routing::Encode(request);
    bytes[at % bytes.size()] = static_cast<char>(to);
    (void)routing::Decode(bytes);
  }));
}

TEST_CASE("messages arrive as they were sent") {
  routing::RelayReply reply;
  reply.id = 9;
  reply.request_id = "r";
  reply.reply.answer =
      net::HttpAnswer{201, {{"A", "b"}}, std::string("x\0y", 3)};
  reply.reply.server = "s";
  reply.reply.epoch = {3, 4};
  auto decoded = routing::Decode(routing::Encode(reply));
  REQUIRE(decoded);
  const auto& back = std::get<routing::RelayReply>(decoded.value());
  CHECK(back.id == 9);
  CHECK(back.reply.answer.value().body == std::string("x\0y", 3));
  CHECK(back.reply.epoch == ownership::RowVersion{3, 4});
}

TEST_CASE("a relayed message keeps its headers however many it has") {
  for (const std::size_t count : {0, 1024, 1025, 5000}) {
    routing::RelayRequest request;
    request.request.method = "POST";
    request.request.body = "a=120";
    for (std::size_t i = 0; i < count; ++i) {
      request.request.headers.push_back({"a", std::to_string(i)});
    }
    const std::string bytes = routing::Encode(request);
    auto decoded = routing::Decode(bytes);
    REQUIRE(decoded);
    const auto& back = std::get<routing::RelayRequest>(decoded.value());
    CHECK(back.request.headers == request.request.headers);
    CHECK(back.request.body == "a=120");
    CHECK_FALSE(routing::Decode(bytes.substr(0, bytes.size() - 1)));
  }
}

TEST_CASE("a cell row whose override is no 64-bit number is refused") {
  const auto with = [](const std::string& overrides) {
    return ownership::DecodeRow("{\"servers\":[],\"overrides\":" + overrides +
                                "}")
        .has_value();
  };
  CHECK(with("{\"18446744073709551615\":\"s\"}"));
  CHECK_FALSE(with("{\"18446744073709551616\":\"s\"}"));
  CHECK_FALSE(with("{\"99999999999999999999\":\"s\"}"));
  CHECK_FALSE(with("{\"7\":[]}"));
  CHECK_FALSE(with("[1]"));
  CHECK_FALSE(with("\"s\""));
}

TEST_CASE("every log line is valid JSON whatever it holds") {
  CHECK(rc::check("any bytes", [](const std::string& bytes) {
    const std::string line = observe::FormatLogLine(
        {"p", bytes, bytes}, "t", "info", "e", {{"field", bytes}});
    RC_ASSERT(line.find('\n') == std::string::npos);
    RC_ASSERT(kernel::ParseJson(line).has_value());
  }));
}

}  // namespace
}  // namespace chervilmux
