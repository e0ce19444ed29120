// Copies of the store's tables, and which servers they name.

#include <doctest/doctest.h>

#include "node/peer_message.h"
#include "node/server_list.h"
#include "replica/row_replica.h"

namespace chervilmux {
namespace {

using kernel::Instant;
using kernel::milliseconds;
using kernel::seconds;

store::Row MakeRow(std::string key, std::string value, std::uint64_t version,
                   bool removed = false) {
  store::Row row;
  row.table = "t";
  row.key = std::move(key);
  row.value = std::move(value);
  row.version = version;
  row.removed = removed;
  return row;
}

node::ServersById Listed(std::initializer_list<const char*> ids) {
  node::ServersById listed;
  for (const char* id : ids) listed[id].id = id;
  return listed;
}

}  // namespace

TEST_CASE("a copy of a table") {
  replica::RowReplica copy;
  const std::vector<store::Row> first = {MakeRow("a", "1", 3),
                                         MakeRow("b", "2", 5)};
  CHECK(copy.ApplySnapshot(first, 6));
  SUBCASE("takes in changes once") {
    const std::vector<store::Row> change = {MakeRow("a", "9", 8)};
    CHECK(copy.ApplyChanges(change, 8));
    CHECK_FALSE(copy.ApplyChanges(change, 8));
    CHECK(copy.Rows().at("a").value == "9");
    CHECK(copy.Version() == 8);
  }
  SUBCASE("never goes back to an older value") {
    const std::vector<store::Row> older = {MakeRow("b", "old", 4)};
    CHECK_FALSE(copy.ApplyChanges(older, 4));
    CHECK(copy.Rows().at("b").value == "2");
    CHECK(copy.Version() == 6);
  }
  SUBCASE("does not bring a dropped row back by older news") {
    const std::vector<store::Row> drop = {MakeRow("a", "", 9, true)};
    const std::vector<store::Row> older = {MakeRow("a", "1", 3)};
    CHECK(copy.ApplyChanges(drop, 9));
    CHECK_FALSE(copy.ApplyChanges(older, 9));
    CHECK_FALSE(copy.Rows().contains("a"));
  }
  SUBCASE("drops rows that a newer listing lacks") {
    const std::vector<store::Row> listing = {MakeRow("b", "2", 5)};
    CHECK(copy.ApplySnapshot(listing, 10));
    CHECK_FALSE(copy.Rows().contains("a"));
    CHECK_FALSE(copy.HasHistorySince(6));
    CHECK(copy.HasHistorySince(10));
  }
  SUBCASE("ignores an older listing") {
    CHECK_FALSE(copy.ApplySnapshot({}, 2));
    CHECK(copy.Rows().size() == 2);
  }
  SUBCASE("remembers a bounded number of dropped rows") {
    for (std::uint64_t i = 10; i < 6000; ++i) {
      const std::vector<store::Row> drop = {
          MakeRow("r" + std::to_string(i), "", i, true)};
      copy.ApplyChanges(drop, i);
    }
    CHECK(copy.ChangesAfter(0).size() < 5000);
    CHECK_FALSE(copy.HasHistorySince(1000));
    CHECK(copy.HasHistorySince(copy.Version()));
  }
  SUBCASE("tells another copy what it lacks") {
    const std::vector<store::Row> drop = {MakeRow("a", "", 9, true)};
    copy.ApplyChanges(drop, 9);
    replica::RowReplica other;
    other.ApplySnapshot(first, 6);
    other.ApplyChanges(copy.ChangesAfter(6), copy.Version());
    CHECK(other.Rows() == copy.Rows());
  }
}

namespace store {
bool operator==(const Row& left, const Row& right) {
  return left.key == right.key && left.value == right.value &&
         left.version == right.version;
}
}  // namespace store

TEST_CASE("servers that vanish from the list") {
  node::ServerList list;
  const Instant start(seconds(100));
  list.Update(Listed({"a", "b", "c", "d", "e", "f"}), start, start);
  CHECK(list.Refresh(start));
  GIVEN("one that had announced that it leaves") {
    auto rows = Listed({"a", "b", "c", "d", "e", "f"});
    rows["a"].draining = true;
    list.Update(rows, start + seconds(1), start + seconds(1));
    list.Refresh(start + seconds(1));
    rows.erase("a");
    list.Update(rows, start + seconds(2), start + seconds(2));
    THEN("it is out at once") {
      CHECK(list.Refresh(start + seconds(2)));
      CHECK_FALSE(list.InUse().contains("a"));
    }
  }
  GIVEN("one that had not") {
    list.Update(Listed({"b", "c", "d", "e", "f"}), start + seconds(1),
                start + seconds(1));
    THEN("it is out within 1 s, also while some instance has no store") {
      for (int ms = 1000; ms < 3000; ms += 100) {
        list.NoteStoreTrouble(start + milliseconds(ms));
      }
      list.Refresh(start + milliseconds(1500));
      CHECK(list.InUse().contains("a"));
      list.Refresh(start + milliseconds(2000));
      CHECK_FALSE(list.InUse().contains("a"));
    }
  }
  GIVEN("one of which an instance hears 1.5 s late") {
    list.Update(Listed({"b", "c", "d", "e", "f"}), start,
                start + milliseconds(1500));
    THEN("it is out 1.6 s after it may have left") {
      list.Refresh(start + milliseconds(1550));
      CHECK(list.InUse().contains("a"));
      list.Refresh(start + milliseconds(1600));
      CHECK_FALSE(list.InUse().contains("a"));
    }
  }
  GIVEN("most of them after an outage of the store") {
    list.NoteStoreTrouble(start + seconds(5));
    list.Update(Listed({"e", "f"}), start + milliseconds(5200),
                start + milliseconds(5200));
    THEN("they stay until they must be back") {
      list.Refresh(start + milliseconds(7000));
      CHECK(list.InUse().size() == 6);
      list.Update(Listed({"a", "e", "f"}), start + milliseconds(7100),
                  start + milliseconds(7100));
      list.Refresh(start + milliseconds(7400));
      CHECK(list.InUse().size() == 3);
    }
  }
}

TEST_CASE("messages between instances survive their text form") {
  node::SyncRequest request;
  request.sender = {"name \"x\"", 7, "domain", "10.0.0.1:1"};
  request.table_versions["servers"] = 12;
  request.view_versions["s"] = {3, 4};
  request.key_load["s"] = {{5, 6}, {4095, 1}};
  const auto decoded = node::DecodeSync(node::EncodeSync(request));
  REQUIRE(decoded);
  CHECK(decoded.value().sender == request.sender);
  CHECK(decoded.value().table_versions == request.table_versions);
  CHECK(decoded.value().view_versions == request.view_versions);
  CHECK(decoded.value().key_load.at("s").size() == 2);
  SUBCASE("and the reply too, with any bytes in a value") {
    node::SyncReply reply;
    reply.tables["servers"].version = 9;
    reply.tables["servers"].all = true;
    reply.tables["servers"].rows = {MakeRow("k", "{\"a\":1}", 9)};
    reply.leads = {"s"};
    reply.knowledge_age_ms = 40;
    const auto back = node::DecodeSyncReply(node::EncodeSyncReply(reply));
    REQUIRE(back);
    CHECK(back.value().tables.at("servers").rows[0].value == "{\"a\":1}");
    CHECK(back.value().tables.at("servers").all);
    CHECK(back.value().leads == reply.leads);
    CHECK(back.value().knowledge_age_ms == 40);
  }
  SUBCASE("and rubbish is refused") {
    CHECK_FALSE(node::DecodeSync("{}"));
    CHECK_FALSE(node::DecodeSync("\xff"));
    CHECK_FALSE(node::DecodeSyncReply("[]"));
  }
}

}  // namespace chervilmux
