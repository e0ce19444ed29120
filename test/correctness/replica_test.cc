// Guards the replicas of the store's tables, the list of servers built from
// them, and the messages in which instances exchange them. Failures: an older
// row replaces a newer one, a deleted row comes back, or a server that has left
// stays in use.

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

node::ServersById MakeServerRows(std::initializer_list<const char*> ids) {
  node::ServersById listed;
  for (const char* id : ids) listed[id].id = id;
  return listed;
}

}  // namespace

// Failure: changes that arrive twice, late or out of order, from the store or
// from another instance, turn a replica back to an older state.
TEST_CASE("a table replica only moves to higher row versions") {
  replica::RowReplica replica;
  const std::vector<store::Row> first = {MakeRow("a", "1", 3),
                                         MakeRow("b", "2", 5)};
  CHECK(replica.ApplySnapshot(first, {1, 6}));
  SUBCASE("a change is applied once") {
    const std::vector<store::Row> change = {MakeRow("a", "9", 8)};
    CHECK(replica.ApplyChanges(change, {1, 8}));
    CHECK_FALSE(replica.ApplyChanges(change, {1, 8}));
    CHECK(replica.Rows().at("a").value == "9");
    CHECK(replica.Version() == 8);
  }
  SUBCASE("an older change does not replace a newer row") {
    const std::vector<store::Row> older = {MakeRow("b", "old", 4)};
    CHECK_FALSE(replica.ApplyChanges(older, {1, 4}));
    CHECK(replica.Rows().at("b").value == "2");
    CHECK(replica.Version() == 6);
  }
  SUBCASE("an older change does not bring a deleted row back") {
    const std::vector<store::Row> deletion = {MakeRow("a", "", 9, true)};
    const std::vector<store::Row> older = {MakeRow("a", "1", 3)};
    CHECK(replica.ApplyChanges(deletion, {1, 9}));
    CHECK_FALSE(replica.ApplyChanges(older, {1, 9}));
    CHECK_FALSE(replica.Rows().contains("a"));
  }
  SUBCASE("rows missing from a newer full listing are deleted") {
    const std::vector<store::Row> listing = {MakeRow("b", "2", 5)};
    CHECK(replica.ApplySnapshot(listing, {1, 10}));
    CHECK_FALSE(replica.Rows().contains("a"));
    CHECK_FALSE(replica.HasHistorySince({1, 6}));
    CHECK(replica.HasHistorySince({1, 10}));
  }
  SUBCASE("an older full listing is ignored") {
    CHECK_FALSE(replica.ApplySnapshot({}, {1, 2}));
    CHECK(replica.Rows().size() == 2);
  }
  SUBCASE("the number of remembered deletions is limited") {
    for (std::uint64_t i = 10; i < 6000; ++i) {
      const std::vector<store::Row> deletion = {
          MakeRow("r" + std::to_string(i), "", i, true)};
      replica.ApplyChanges(deletion, {1, i});
    }
    CHECK(replica.ChangesAfter(0).size() < 5000);
    CHECK_FALSE(replica.HasHistorySince({1, 1000}));
    CHECK(replica.HasHistorySince(replica.AsOf()));
  }
  SUBCASE("another replica catches up from the changes it lacks") {
    const std::vector<store::Row> deletion = {MakeRow("a", "", 9, true)};
    replica.ApplyChanges(deletion, {1, 9});
    replica::RowReplica other;
    other.ApplySnapshot(first, {1, 6});
    other.ApplyChanges(replica.ChangesAfter(6), replica.AsOf());
    CHECK(other.Rows() == replica.Rows());
  }
}

namespace store {
bool operator==(const Row& left, const Row& right) {
  return left.key == right.key && left.value == right.value &&
         left.version == right.version;
}
}  // namespace store

// Failure: versions of two eras of the store are compared, so that rows that
// are gone stay, or rows written anew under a version given out before are
// missed.
TEST_CASE("a table replica moves to a later era of the store as a whole") {
  replica::RowReplica replica;
  const std::vector<store::Row> first = {MakeRow("a", "1", 30),
                                         MakeRow("lost", "2", 50)};
  replica.ApplySnapshot(first, {1, 50});
  const std::vector<store::Row> deletion = {MakeRow("b", "", 55, true)};
  replica.ApplyChanges(deletion, {1, 55});
  const std::vector<store::Row> anew = {MakeRow("a", "0", 20),
                                        MakeRow("b", "3", 40)};
  SUBCASE("changes of a later era are no table") {
    const std::vector<store::Row> change = {MakeRow("a", "9", 60)};
    CHECK_FALSE(replica.ApplyChanges(change, {2, 60}));
    CHECK(replica.Rows().at("a").value == "1");
    CHECK(replica.AsOf() == replica::TableVersion{1, 55});
  }
  SUBCASE("an empty table of a later era empties the replica") {
    CHECK(replica.ApplySnapshot({}, {2, 1}));
    CHECK(replica.Rows().empty());
  }
  SUBCASE("a whole table of a later era replaces rows of higher versions") {
    CHECK(replica.ApplySnapshot(anew, {2, 40}));
    CHECK(replica.Rows().at("a").value == "0");
    CHECK(replica.Rows().at("b").value == "3");
    CHECK_FALSE(replica.Rows().contains("lost"));
    CHECK(replica.AsOf() == replica::TableVersion{2, 40});
    CHECK(replica.ChangesAfter(0).size() == 2);
    SUBCASE("what the earlier era brings late is ignored") {
      const std::vector<store::Row> late = {MakeRow("a", "late", 70)};
      CHECK_FALSE(replica.ApplyChanges(late, {1, 70}));
      CHECK_FALSE(replica.ApplySnapshot(late, {1, 70}));
      CHECK(replica.Rows().at("a").value == "0");
      CHECK(replica.AsOf() == replica::TableVersion{2, 40});
    }
    SUBCASE("another replica has history only of the same era") {
      CHECK_FALSE(replica.HasHistorySince({1, 45}));
      CHECK_FALSE(replica.HasHistorySince({3, 45}));
      CHECK(replica.HasHistorySince({2, 40}));
    }
    SUBCASE("a second restore replaces the table again") {
      CHECK(replica.ApplySnapshot(first, {3, 35}));
      CHECK(replica.Rows().at("a").value == "1");
      CHECK_FALSE(replica.Rows().contains("b"));
    }
  }
}

// Failure: a server that has left stays in use, or servers whose rows expired
// only because the store was down are all dropped at once.
TEST_CASE("servers whose rows disappear are dropped at the right time") {
  node::ServerList list;
  const Instant start(seconds(100));
  list.Update(MakeServerRows({"a", "b", "c", "d", "e", "f"}), start, start);
  CHECK(list.Refresh(start));
  GIVEN("a server that was draining before its row disappeared") {
    auto rows = MakeServerRows({"a", "b", "c", "d", "e", "f"});
    rows["a"].draining = true;
    list.Update(rows, start + seconds(1), start + seconds(1));
    list.Refresh(start + seconds(1));
    rows.erase("a");
    list.Update(rows, start + seconds(2), start + seconds(2));
    THEN("it is dropped at once") {
      CHECK(list.Refresh(start + seconds(2)));
      CHECK_FALSE(list.InUse().contains("a"));
    }
  }
  GIVEN("a server that was not draining") {
    list.Update(MakeServerRows({"b", "c", "d", "e", "f"}), start + seconds(1),
                start + seconds(1));
    THEN("it is dropped within 1 s, even if an instance lacks the store") {
      for (int ms = 1000; ms < 3000; ms += 100) {
        list.SetStoreFailure(start + milliseconds(ms));
      }
      list.Refresh(start + milliseconds(1500));
      CHECK(list.InUse().contains("a"));
      list.Refresh(start + milliseconds(2000));
      CHECK_FALSE(list.InUse().contains("a"));
    }
  }
  GIVEN("a missing row that an instance learns of 1.5 s late") {
    list.Update(MakeServerRows({"b", "c", "d", "e", "f"}), start,
                start + milliseconds(1500));
    THEN("the server is dropped 1.6 s after it may have left") {
      list.Refresh(start + milliseconds(1550));
      CHECK(list.InUse().contains("a"));
      list.Refresh(start + milliseconds(1600));
      CHECK_FALSE(list.InUse().contains("a"));
    }
  }
  GIVEN("most rows missing after a store outage") {
    list.SetStoreFailure(start + seconds(5));
    list.Update(MakeServerRows({"e", "f"}), start + milliseconds(5200),
                start + milliseconds(5200));
    THEN("their servers stay until they have had time to register again") {
      list.Refresh(start + milliseconds(7000));
      CHECK(list.InUse().size() == 6);
      list.Update(MakeServerRows({"a", "e", "f"}), start + milliseconds(7100),
                  start + milliseconds(7100));
      list.Refresh(start + milliseconds(7400));
      CHECK(list.InUse().size() == 3);
    }
    THEN("none stays when another reader heard the store all the while") {
      list.Refresh(start + milliseconds(6500));
      CHECK(list.Excused() == 4);
      list.SetStoreFailure(kernel::kNever);
      list.Refresh(start + milliseconds(6510));
      CHECK(list.Excused() == 0);
      CHECK(list.InUse().size() == 2);
    }
  }
}

// Failure: a field of a message between instances is lost or altered on the
// way, or a malformed message is accepted.
TEST_CASE("sync messages keep their content when encoded and decoded") {
  node::SyncRequest request;
  request.sender = {"name \"x\"", 7, "domain", "10.0.0.1:1"};
  request.table_versions["servers"] = {3, 12};
  request.view_versions["s"] = {3, 4};
  request.key_load["s"] = {{5, 6}, {4095, 1}};
  const auto decoded = node::DecodeSync(node::EncodeSync(request));
  REQUIRE(decoded);
  CHECK(decoded.value().sender == request.sender);
  CHECK(decoded.value().table_versions == request.table_versions);
  CHECK(decoded.value().view_versions == request.view_versions);
  CHECK(decoded.value().key_load.at("s").size() == 2);
  SUBCASE("a reply keeps row values that contain quotes") {
    node::SyncReply reply;
    reply.tables["servers"].as_of = {3, 9};
    reply.tables["servers"].all = true;
    reply.tables["servers"].rows = {MakeRow("k", "{\"a\":1}", 9)};
    reply.leads = {"s"};
    reply.knowledge_age_ms = 40;
    reply.knowledge_era = 3;
    const auto decoded_reply =
        node::DecodeSyncReply(node::EncodeSyncReply(reply));
    REQUIRE(decoded_reply);
    CHECK(decoded_reply.value().tables.at("servers").rows[0].value ==
          "{\"a\":1}");
    CHECK(decoded_reply.value().tables.at("servers").all);
    CHECK(decoded_reply.value().tables.at("servers").as_of ==
          reply.tables["servers"].as_of);
    CHECK(decoded_reply.value().knowledge_era == 3);
    CHECK(decoded_reply.value().leads == reply.leads);
    CHECK(decoded_reply.value().knowledge_age_ms == 40);
  }
  SUBCASE("a request tells the version of the configuration in force") {
    request.configuration_version = 12;
    const auto told = node::DecodeSync(node::EncodeSync(request));
    REQUIRE(told);
    CHECK(told.value().configuration_version == 12U);
  }
  SUBCASE("a reply tells the configuration in force and who has left") {
    node::SyncReply reply;
    reply.configuration = "{\"version\":12}";
    reply.departures = {{"a", 1000, 7, true}, {"b", 1001, 8, false}};
    const auto told = node::DecodeSyncReply(node::EncodeSyncReply(reply));
    REQUIRE(told);
    CHECK(told.value().configuration == reply.configuration);
    CHECK(told.value().departures == reply.departures);
  }
  SUBCASE("a reply tells how fresh each copy is") {
    node::SyncReply reply;
    reply.proofs = {{"op", {{3, 9}, 40, std::nullopt}},
                    {"servers", {{3, 12}, 700, 30}}};
    const auto told = node::DecodeSyncReply(node::EncodeSyncReply(reply));
    REQUIRE(told);
    CHECK(told.value().proofs == reply.proofs);
    const auto odd = node::DecodeSyncReply(
        R"({"proofs":{"a":[1,2,-3],"b":7,"c":[1,2],"d":[-1,2,3],"e":[1,2,3],)"
        R"("f":[1,2,3,-4]}})");
    REQUIRE(odd);
    CHECK(odd.value().proofs == std::map<std::string, node::TableProof>{
                                    {"e", {{1, 2}, 3, std::nullopt}}});
    CHECK(node::DecodeSyncReply(R"({"proofs":[1]})").value().proofs.empty());
  }
  SUBCASE("builds that tell neither are understood") {
    CHECK_FALSE(decoded.value().configuration_version);
    const auto older = node::DecodeSyncReply(R"({"knowledge_age_ms":4})");
    REQUIRE(older);
    CHECK(older.value().configuration.empty());
    CHECK(older.value().departures.empty());
    CHECK(older.value().proofs.empty());
  }
  SUBCASE("departures that can't be read are left out") {
    const auto odd = node::DecodeSyncReply(
        R"({"configuration":7,"departures":[[],7,["a",-1,2,true],["b",1,2,0],)"
        R"(["c",1,2,true]]})");
    REQUIRE(odd);
    CHECK(odd.value().configuration.empty());
    CHECK(odd.value().departures ==
          std::vector<node::Departure>{{"c", 1, 2, true}});
    CHECK(node::DecodeSyncReply(R"({"departures":{"a":1}})"));
  }
  SUBCASE("messages of builds that know no eras belong to era 0") {
    const auto older = node::DecodeSync(
        R"({"sender":{"name":"x","peer_address":"a:1"},"tables":{"servers":12}})");
    REQUIRE(older);
    CHECK(older.value().table_versions.at("servers") ==
          replica::TableVersion{0, 12});
    const auto older_reply = node::DecodeSyncReply(
        R"({"knowledge_age_ms":4,"tables":{"servers":{"version":9,"rows":[]}}})");
    REQUIRE(older_reply);
    CHECK(older_reply.value().tables.at("servers").as_of ==
          replica::TableVersion{0, 9});
    CHECK(older_reply.value().knowledge_era == 0);
  }
  SUBCASE("an era that is no number counts as none") {
    for (const char* era :
         {"-1", "1.5", "\"7\"", "[7]", "null", "18446744073709551616"}) {
      CAPTURE(era);
      const std::string json(era);
      const auto odd = node::DecodeSync(
          R"({"sender":{"name":"x","peer_address":"a:1"},"tables":{"t":12},)"
          R"("eras":{"t":)" +
          json + "}}");
      REQUIRE(odd);
      CHECK(odd.value().table_versions.at("t") == replica::TableVersion{0, 12});
      CHECK(node::DecodeSync(
          R"({"sender":{"name":"x","peer_address":"a:1"},"tables":{"t":12},)"
          R"("eras":)" +
          json + "}"));
      std::string reply_text = R"({"knowledge_era":)";
      reply_text += json + R"(,"tables":{"t":{"version":9,"era":)";
      reply_text += json + R"(,"rows":[]}}})";
      const auto odd_reply = node::DecodeSyncReply(reply_text);
      REQUIRE(odd_reply);
      CHECK(odd_reply.value().tables.at("t").as_of ==
            replica::TableVersion{0, 9});
      CHECK(odd_reply.value().knowledge_era == 0);
    }
  }
  SUBCASE("malformed messages are refused") {
    CHECK_FALSE(node::DecodeSync("{}"));
    CHECK_FALSE(node::DecodeSync("\xff"));
    CHECK_FALSE(node::DecodeSyncReply("[]"));
  }
}

}  // namespace chervilmux
