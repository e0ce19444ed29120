// What servers told an instance, on its way to the leader. Failures: the leader
// never hears it, hears it of the wrong run, or messages grow with the number
// of servers that leave.

#include "node/notice_outbox.h"

#include <doctest/doctest.h>

#include <optional>
#include <set>
#include <string>
#include <vector>

#include "node/peer_message.h"

namespace chervilmux::node {
namespace {

using kernel::Instant;
using kernel::seconds;

constexpr Instant kNow{seconds(1000)};
const LeaderTerm kLeader{"node-1", 7};

policy::ServerNotice Draining(std::string id, std::uint64_t life = 1) {
  return {{std::move(id), life},
          policy::NoticeKind::kDraining,
          kNow,
          kernel::kNever};
}

model::BackendServer Listed(std::string id, std::uint64_t life = 1) {
  model::BackendServer server;
  server.id = std::move(id);
  server.life = life;
  return server;
}

std::vector<std::string> Ids(const NoticeBatch& batch) {
  std::vector<std::string> ids;
  for (const auto& notice : batch.notices) ids.push_back(notice.server.id);
  return ids;
}

using Strings = std::vector<std::string>;

}  // namespace

TEST_CASE("what a server told is told to each leader once") {
  NoticeOutbox outbox;
  CHECK_FALSE(outbox.IsDue());
  outbox.Add(Draining("a"), true);
  CHECK(outbox.IsDue());
  const NoticeBatch first = outbox.Untold(kLeader, kMaxNoticesPerSync, kNow);
  CHECK(Ids(first) == Strings{"a"});
  CHECK_FALSE(outbox.IsDue());
  SUBCASE("again when no answer came") {
    CHECK(Ids(outbox.Untold(kLeader, kMaxNoticesPerSync, kNow)) ==
          Strings{"a"});
  }
  SUBCASE("not again after the answer") {
    outbox.OnTold(first);
    CHECK_FALSE(outbox.IsDue());
    CHECK(outbox.Untold(kLeader, kMaxNoticesPerSync, kNow).notices.empty());
    SUBCASE("but to the next leader, and to the same one in a later term") {
      for (const LeaderTerm& next :
           {LeaderTerm{"node-2", 8}, LeaderTerm{"node-2", 9}}) {
        const NoticeBatch batch = outbox.Untold(next, kMaxNoticesPerSync, kNow);
        CHECK(Ids(batch) == Strings{"a"});
        // The answer of the leader before.
        outbox.OnTold(first);
        CHECK(Ids(outbox.Untold(next, kMaxNoticesPerSync, kNow)) ==
              Strings{"a"});
        outbox.OnTold(batch);
        CHECK(outbox.Untold(next, kMaxNoticesPerSync, kNow).notices.empty());
      }
    }
  }
  SUBCASE("what came while the answer was on its way is due") {
    outbox.Add(Draining("b"), true);
    outbox.OnTold(first);
    CHECK(outbox.IsDue());
    CHECK(Ids(outbox.Untold(kLeader, kMaxNoticesPerSync, kNow)) ==
          Strings{"b"});
  }
  SUBCASE("a run that is not listed is not told of") {
    outbox.Update(std::vector{Listed("a", 2)}, kNow);
    CHECK(outbox.Untold(kLeader, kMaxNoticesPerSync, kNow).notices.empty());
    SUBCASE("unless it is listed again within the hour") {
      outbox.Update(std::vector{Listed("a")}, kNow + seconds(3000));
      CHECK(Ids(outbox.Untold(kLeader, kMaxNoticesPerSync, kNow)) ==
            Strings{"a"});
    }
    SUBCASE("and is forgotten after it") {
      outbox.Update(std::vector{Listed("a", 2)}, kNow + seconds(3601));
      outbox.Update(std::vector{Listed("a")}, kNow + seconds(3602));
      CHECK(outbox.Untold(kLeader, kMaxNoticesPerSync, kNow).notices.empty());
    }
  }
}

TEST_CASE("a notice without urgency waits for the next message") {
  NoticeOutbox outbox;
  outbox.Add(Draining("a"), false);
  CHECK_FALSE(outbox.IsDue());
  CHECK(Ids(outbox.Untold(kLeader, kMaxNoticesPerSync, kNow)) == Strings{"a"});
}

// Failure: a leader hears an end of a back-off that is not the latest one, or
// servers that are overloaded make instances send without pause.
TEST_CASE("a back-off is told with its latest end and forgotten after it") {
  const policy::ServerNotice first{
      {"a", 1}, policy::NoticeKind::kBackOff, kNow, kNow + seconds(2)};
  policy::ServerNotice later = first;
  later.until = kNow + seconds(5);
  using Notices = std::vector<policy::ServerNotice>;
  NoticeOutbox outbox;
  outbox.Add(first, false);
  const NoticeBatch batch = outbox.Untold(kLeader, kMaxNoticesPerSync, kNow);
  CHECK(batch.notices == Notices{first});
  outbox.Add(later, false);
  outbox.OnTold(batch);
  CHECK_FALSE(outbox.IsDue());
  CHECK(outbox.Untold(kLeader, kMaxNoticesPerSync, kNow).notices ==
        Notices{later});
  SUBCASE("beside a notice that the server drains") {
    outbox.Add(Draining("a"), true);
    CHECK(outbox.Untold(kLeader, kMaxNoticesPerSync, kNow).notices ==
          Notices{Draining("a"), later});
  }
  SUBCASE("after its end it is not told") {
    CHECK(outbox.Untold(kLeader, kMaxNoticesPerSync, later.until)
              .notices.empty());
  }
}

TEST_CASE("a leader that does not answer is not asked without pause") {
  NoticeOutbox outbox;
  for (int i = 0; i < 300; ++i) outbox.Add(Draining(std::to_string(i)), true);
  CHECK(outbox.IsDue());
  outbox.Untold(kLeader, kMaxNoticesPerSync, kNow);
  CHECK_FALSE(outbox.IsDue());
  SUBCASE("nor for a service for which the message had no room") {
    NoticeOutbox other;
    other.Add(Draining("a"), true);
    CHECK(other.Untold(kLeader, 0, kNow).notices.empty());
    CHECK_FALSE(other.IsDue());
    CHECK(Ids(other.Untold(kLeader, kMaxNoticesPerSync, kNow)) == Strings{"a"});
  }
}

// Failure: the size of a message grows with the number of servers that leave.
TEST_CASE("300 servers that leave at once are told of in bounded messages") {
  constexpr std::size_t kServers = 300;
  constexpr std::size_t kOtherFields = 64;
  NoticeOutbox outbox;
  std::vector<model::BackendServer> listed;
  for (std::size_t i = 0; i < kServers; ++i) {
    std::string id(kMaxNoticeIdBytes, 'x');
    id.replace(0, 3, std::to_string(100 + i));
    outbox.Add(Draining(id), true);
    listed.push_back(Listed(id));
  }
  outbox.Add(Draining(std::string(kMaxNoticeIdBytes + 1, 'y')), true);
  outbox.Update(listed, kNow);
  std::set<std::string> heard;
  std::size_t messages = 0;
  while (outbox.IsDue()) {
    REQUIRE(++messages <= kServers);
    const NoticeBatch batch = outbox.Untold(kLeader, kMaxNoticesPerSync, kNow);
    SyncRequest request;
    request.sender = {"name", 7, "domain", "10.0.0.1:1"};
    const std::size_t empty_size = EncodeSync(request).size();
    for (const auto& notice : batch.notices) {
      request.notices["s"].push_back({notice.server, 1234, 9999});
    }
    const std::string text = EncodeSync(request);
    CHECK(text.size() - empty_size <=
          kMaxNoticesPerSync * (kMaxNoticeIdBytes + kOtherFields));
    const auto decoded = DecodeSync(text);
    REQUIRE(decoded);
    CHECK(decoded.value().notices == request.notices);
    for (const auto& notice : decoded.value().notices.at("s"))
      heard.insert(notice.server.id);
    outbox.OnTold(batch);
  }
  CHECK(heard.size() == kServers);
  CHECK(messages == (kServers + kMaxNoticesPerSync - 1) / kMaxNoticesPerSync);
}

TEST_CASE("notices in a message may be missing, malformed or too many") {
  const auto decode = [](const std::string& notices) {
    const auto decoded =
        DecodeSync(R"({"sender":{"name":"x","peer_address":"a:1"},"notices":)" +
                   notices + "}");
    REQUIRE(decoded);
    return decoded.value().notices;
  };
  SUBCASE("earlier builds send none") {
    const auto decoded =
        DecodeSync(R"({"sender":{"name":"x","peer_address":"a:1"}})");
    REQUIRE(decoded);
    CHECK(decoded.value().notices.empty());
  }
  SUBCASE("no notice, no field") {
    SyncRequest request;
    request.sender = {"name", 7, "domain", "10.0.0.1:1"};
    CHECK(EncodeSync(request).find("notices") == std::string::npos);
  }
  SUBCASE("malformed ones are left out and the others count") {
    for (const char* odd :
         {"7", "\"a\"", "null", "[]", "{}", R"(["a",1])", R"(["a",-1,5])",
          R"(["a",1.5,5])", R"(["a","1",5])", R"(["a",1,-5])", R"(["a",1,"5"])",
          R"(["a",1,9223372036854775807])", R"(["",1,5])", R"([["a"],1,5])",
          R"(["a",1,5,6,7])", R"(["a",1,5,-6])", R"(["a",1,5,"6"])",
          R"(["a",1,5,null])"}) {
      CAPTURE(odd);
      const auto notices =
          decode(std::string(R"({"s":[)") + odd + R"(,["b",2,5]]})");
      REQUIRE(notices.contains("s"));
      CHECK(notices.at("s") ==
            std::vector<NoticeToLeader>{{{"b", 2}, 5, std::nullopt}});
    }
    for (const char* odd : {"7", "\"a\"", "null", "[]", R"({"s":7})",
                            R"({"s":"a"})", R"({"s":{"a":1}})"}) {
      CAPTURE(odd);
      CHECK(decode(odd).empty());
    }
  }
  SUBCASE("no more than the bound count") {
    std::string many = R"({"s":[)";
    for (int i = 0; i < 100; ++i)
      many += R"(["a)" + std::to_string(i) + R"(",1,5],)";
    many += R"(["b",1,5]],"t":[["c",1,5]]})";
    const auto notices = decode(many);
    CHECK(notices.at("s").size() == kMaxNoticesPerSync);
    CHECK_FALSE(notices.contains("t"));
    const std::string id(kMaxNoticeIdBytes + 1, 'x');
    CHECK(decode(R"({"s":[[")" + id + R"(",1,5]]})").empty());
  }
}

}  // namespace chervilmux::node
