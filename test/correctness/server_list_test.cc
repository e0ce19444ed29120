// The servers in use after the store has come back from an older copy.
// Failures: a server that drains or has left is used again, a restarted one is
// taken for its earlier life, or servers whose rows are lost are dropped at
// once.

#include "node/server_list.h"

#include <doctest/doctest.h>

#include <string>

namespace chervilmux::node {
namespace {

using kernel::Instant;
using kernel::milliseconds;
using kernel::seconds;

constexpr std::uint64_t kLife = 1000;

model::BackendServer MakeServer(std::string id, std::uint64_t report_number,
                                std::uint64_t life = kLife,
                                bool draining = false) {
  model::BackendServer server;
  server.id = std::move(id);
  server.life = life;
  server.report_number = report_number;
  server.draining = draining;
  return server;
}

/// A server list whose rows the test writes, restores and reads.
class Listing {
 public:
  /// Takes in what an instance that reads the same rows knows better.
  void Hear(const Listing& peer) {
    if (!this->list.LearnFromPeer(peer.list.Departures(), this->now)) return;
    this->list.Update(this->rows, this->now, this->now);
    this->list.Refresh(this->now);
  }
  std::size_t DepartureCount() const { return this->list.Departures().size(); }
  void Write(const model::BackendServer& server) {
    this->rows[server.id] = server;
  }
  void Remove(const std::string& id) { this->rows.erase(id); }
  void Restore(const ServersById& copy) {
    this->rows = copy;
    this->list.NoteRestored();
  }
  /// Reads the rows and lets `time` pass.
  void Pass(kernel::Duration time) {
    this->list.Update(this->rows, this->now, this->now);
    this->list.Refresh(this->now);
    this->now += time;
    this->list.Refresh(this->now);
  }
  bool Uses(const std::string& id) const {
    return this->list.InUse().contains(id);
  }
  const model::BackendServer& Used(const std::string& id) const {
    return this->list.InUse().at(id);
  }

  ServersById rows;

 private:
  ServerList list;
  Instant now{seconds(100)};
};

}  // namespace

// Failure: an instance that starts after a restore believes the copy.
TEST_CASE("an instance that starts after a restore learns who has left") {
  Listing peer;
  for (const char* id : {"a", "b", "c", "d", "e"}) {
    peer.Write(MakeServer(id, 5));
  }
  peer.Pass(seconds(1));
  const ServersById copy = peer.rows;
  peer.Write(MakeServer("a", 7, kLife, true));
  peer.Remove("b");
  peer.Write(MakeServer("c", 1, kLife + 1, true));
  peer.Write(MakeServer("d", 5, kLife, true));
  peer.Pass(seconds(3));
  CHECK(peer.DepartureCount() == 0);
  peer.Restore(copy);
  peer.Pass(seconds(1));
  CHECK(peer.DepartureCount() == 4);

  Listing started;
  started.rows = copy;
  started.Pass(seconds(1));
  REQUIRE_FALSE(started.Used("a").draining);
  started.Hear(peer);
  CHECK(started.Used("a").draining);
  CHECK_FALSE(started.Uses("b"));
  // Its life in the copy has ended.
  CHECK_FALSE(started.Uses("c"));
  CHECK(started.Used("d").draining);
  CHECK_FALSE(started.Used("e").draining);

  THEN("it tells others in turn") {
    Listing next;
    next.rows = copy;
    next.Pass(seconds(1));
    next.Hear(started);
    CHECK(next.Used("a").draining);
    CHECK_FALSE(next.Uses("b"));
    CHECK_FALSE(next.Uses("c"));
    CHECK(next.Used("d").draining);
  }
  THEN("it takes none of them away from who knows a later life") {
    peer.Hear(started);
    CHECK(peer.Used("a").draining);
    CHECK(peer.Used("c").life == kLife + 1);
  }
  THEN("it stays so as other rows change") {
    started.Write(MakeServer("e", 8));
    started.Pass(seconds(10));
    CHECK(started.Used("a").draining);
    CHECK_FALSE(started.Uses("b"));
    CHECK_FALSE(started.Uses("c"));
  }
  THEN("later reports count") {
    for (Listing* listing : {&peer, &started}) {
      listing->Write(MakeServer("a", 8));
      listing->Write(MakeServer("b", 6));
      listing->Write(MakeServer("c", 2, kLife + 1));
      listing->Remove("d");
      listing->Pass(seconds(3));
    }
    CHECK(peer.DepartureCount() == 0);
    CHECK(started.DepartureCount() == 0);
    CHECK_FALSE(started.Used("a").draining);
    CHECK(started.Uses("b"));
    CHECK(started.Used("c").life == kLife + 1);
    CHECK_FALSE(started.Uses("d"));
  }
  THEN("a peer that has not read them yet changes nothing") {
    started.Write(MakeServer("a", 8));
    started.Write(MakeServer("b", 6));
    started.Pass(seconds(1));
    started.Hear(peer);
    CHECK_FALSE(started.Used("a").draining);
    CHECK(started.Uses("b"));
  }
}

TEST_CASE("servers are used by what was last known after a restore") {
  Listing store;
  for (const char* id : {"a", "b", "c", "d", "e"}) {
    store.Write(MakeServer(id, 5));
  }
  store.Pass(seconds(1));
  const ServersById copy = store.rows;

  GIVEN("a server that drained since the copy") {
    store.Write(MakeServer("a", 7, kLife, true));
    store.Pass(seconds(1));
    store.Restore(copy);
    store.Pass(seconds(1));
    CHECK(store.Used("a").draining);
    THEN("it still drains when other rows change") {
      store.Write(MakeServer("b", 8));
      store.Pass(seconds(10));
      CHECK(store.Used("a").draining);
    }
    THEN("it still drains when its reports are written again in their order") {
      store.Write(MakeServer("a", 6));
      store.Pass(seconds(1));
      CHECK(store.Used("a").draining);
      store.Write(MakeServer("a", 7, kLife, true));
      store.Pass(seconds(1));
      CHECK(store.Used("a").draining);
    }
    THEN("it leaves when its row is removed") {
      store.Remove("a");
      store.Pass(milliseconds(10));
      CHECK_FALSE(store.Uses("a"));
    }
    THEN("its next life is used") {
      store.Write(MakeServer("a", 1, kLife + 1));
      store.Pass(seconds(1));
      CHECK_FALSE(store.Used("a").draining);
      CHECK(store.Used("a").life == kLife + 1);
    }
    THEN("it still drains after another restore") {
      store.Restore(copy);
      store.Pass(seconds(1));
      CHECK(store.Used("a").draining);
    }
  }
  GIVEN("a server that drains under the number of the report in the copy") {
    store.Write(MakeServer("a", 5, kLife, true));
    store.Pass(seconds(1));
    store.Restore(copy);
    store.Pass(seconds(1));
    CHECK(store.Used("a").draining);
  }
  GIVEN("a server that left since the copy and is still in use") {
    store.Remove("a");
    store.Pass(milliseconds(100));
    REQUIRE(store.Uses("a"));
    store.Restore(copy);
    store.Pass(seconds(1));
    CHECK_FALSE(store.Uses("a"));
    store.Pass(seconds(3));
    CHECK_FALSE(store.Uses("a"));
  }
  GIVEN("a server that left since the copy") {
    store.Remove("a");
    store.Pass(seconds(3));
    REQUIRE_FALSE(store.Uses("a"));
    store.Restore(copy);
    store.Pass(seconds(3));
    CHECK_FALSE(store.Uses("a"));
    // Other rows change.
    store.Write(MakeServer("b", 8));
    store.Pass(seconds(3));
    CHECK_FALSE(store.Uses("a"));
    SUBCASE("it is used again by a later report") {
      store.Write(MakeServer("a", 6));
      store.Pass(seconds(1));
      CHECK(store.Uses("a"));
    }
    SUBCASE("it is used again in a later life") {
      store.Write(MakeServer("a", 1, kLife + 1));
      store.Pass(seconds(1));
      CHECK(store.Uses("a"));
    }
    SUBCASE("another copy does not bring it back either") {
      store.Restore(copy);
      store.Pass(seconds(3));
      CHECK_FALSE(store.Uses("a"));
    }
  }
  GIVEN("a server that came and left between two looks at the servers in use") {
    store.Write(MakeServer("f", 1));
    const ServersById later_copy = store.rows;
    ServerList list;
    const Instant start(seconds(100));
    list.Update(later_copy, start, start);
    list.Update(copy, start, start);
    list.Refresh(start);
    list.NoteRestored();
    list.Update(later_copy, start + seconds(1), start + seconds(1));
    list.Refresh(start + seconds(1));
    CHECK_FALSE(list.InUse().contains("f"));
  }
  GIVEN("a server that restarted since the copy") {
    store.Write(MakeServer("a", 1, kLife + 1));
    store.Pass(seconds(1));
    store.Restore(copy);
    store.Pass(seconds(10));
    CHECK(store.Used("a").life == kLife + 1);
    THEN("its next report counts") {
      store.Write(MakeServer("a", 2, kLife + 1, true));
      store.Pass(seconds(1));
      CHECK(store.Used("a").draining);
    }
  }
  GIVEN("a server that registered since the copy") {
    store.Write(MakeServer("f", 1));
    store.Pass(seconds(1));
    store.Restore(copy);
    store.Pass(milliseconds(2200));
    CHECK(store.Uses("f"));
    THEN("it stays as it registers again with the same report") {
      store.Write(MakeServer("f", 1));
      store.Pass(seconds(10));
      CHECK(store.Uses("f"));
    }
    THEN("it is dropped as its row stays away") {
      store.Pass(milliseconds(200));
      CHECK_FALSE(store.Uses("f"));
      AND_THEN("it is used when it registers after all") {
        store.Write(MakeServer("f", 1));
        store.Pass(seconds(1));
        CHECK(store.Uses("f"));
      }
      AND_THEN("a copy that has its row does not bring it back") {
        ServersById other_copy = copy;
        other_copy["f"] = MakeServer("f", 1);
        store.Restore(other_copy);
        store.Pass(seconds(1));
        CHECK_FALSE(store.Uses("f"));
      }
    }
    THEN("it stays as long again after a second restore") {
      store.Restore(copy);
      store.Pass(milliseconds(2200));
      CHECK(store.Uses("f"));
      store.Pass(milliseconds(200));
      CHECK_FALSE(store.Uses("f"));
    }
    THEN("it drains at once when it says so") {
      store.Write(MakeServer("f", 2, kLife, true));
      store.Pass(milliseconds(10));
      CHECK(store.Used("f").draining);
    }
  }
  GIVEN("a server that registered, and drained, since the copy") {
    store.Write(MakeServer("f", 2, kLife, true));
    store.Pass(seconds(1));
    store.Restore(copy);
    store.Pass(seconds(1));
    THEN("it drains when its first report is written again") {
      store.Write(MakeServer("f", 1));
      store.Pass(seconds(1));
      CHECK(store.Used("f").draining);
    }
  }
  GIVEN("a server that leaves after the restore") {
    store.Restore(copy);
    store.Pass(seconds(1));
    store.Remove("a");
    store.Pass(seconds(1));
    CHECK_FALSE(store.Uses("a"));
    THEN("it is used as soon as it registers again") {
      store.Write(MakeServer("a", 6));
      store.Pass(milliseconds(10));
      CHECK(store.Uses("a"));
    }
  }
  GIVEN("a server whose row in the copy runs out before it reports again") {
    store.Write(MakeServer("a", 7));
    store.Pass(seconds(1));
    store.Restore(copy);
    store.Pass(seconds(1));
    store.Remove("a");
    store.Pass(seconds(3));
    CHECK_FALSE(store.Uses("a"));
    THEN("it is used as soon as its last report is written again") {
      store.Write(MakeServer("a", 7));
      store.Pass(milliseconds(10));
      CHECK(store.Uses("a"));
    }
  }
  GIVEN("no restore") {
    THEN("a restart whose clock went back is a new life all the same") {
      store.Write(MakeServer("a", 1, kLife - 1));
      store.Pass(seconds(1));
      CHECK(store.Used("a").life == kLife - 1);
    }
  }
}

// Failure: of two changes that come together the first counts from the second,
// and a server that drains gets requests too long.
TEST_CASE("changes that are found together count from the first") {
  const Instant start(seconds(100));
  ServerList list;
  ServersById rows{{"a", MakeServer("a", 1)}, {"b", MakeServer("b", 1)}};
  list.Update(rows, kernel::kNever, start);
  CHECK(list.Refresh(start));
  CHECK(list.UnchangedUntil() == kernel::kNever);
  rows["a"] = MakeServer("a", 2, kLife, true);
  list.Update(rows, start + milliseconds(100), start + milliseconds(500));
  rows["b"] = MakeServer("b", 2, kLife, true);
  list.Update(rows, start + milliseconds(500), start + milliseconds(505));
  CHECK(list.Refresh(start + milliseconds(510)));
  CHECK(list.UnchangedUntil() == start + milliseconds(100));
  // Failure: the proof of rows that lack a departure passes for the last time
  // before it.
  SUBCASE("and what a peer tells of an earlier era from no proof") {
    const std::vector<Departure> told{{"a", kLife, 9, false}};
    list.Update({{"a", MakeServer("a", 3)}}, start, start + seconds(1));
    list.Refresh(start + seconds(1));
    list.NoteRestored();
    list.Update({{"a", MakeServer("a", 3)}}, start + seconds(2),
                start + seconds(2));
    list.Refresh(start + seconds(2));
    CHECK(list.UnchangedUntil() == start + seconds(2));
    CHECK(list.LearnFromPeer(told, start + seconds(3)));
    list.Update({{"a", MakeServer("a", 3)}}, start + seconds(3),
                start + seconds(3));
    CHECK(list.Refresh(start + seconds(3)));
    CHECK(list.InUse().at("a").draining);
    CHECK(list.UnchangedUntil() == kernel::kNever);
  }
  SUBCASE("and those after them from the proof that came between") {
    rows["c"] = MakeServer("c", 1);
    list.Update(rows, start + seconds(1), start + seconds(2));
    CHECK(list.Refresh(start + seconds(2)));
    CHECK(list.UnchangedUntil() == start + seconds(1));
  }
}

TEST_CASE("the servers that are remembered are limited in number") {
  ServerList list;
  Instant now(seconds(100));
  constexpr int kServers = 10000;
  for (int i = 0; i < kServers; ++i) {
    ServersById rows;
    const std::string id = "s" + std::to_string(i);
    rows[id] = MakeServer(id, 1);
    now += seconds(1);
    list.Update(rows, now, now);
    list.Refresh(now);
  }
  CHECK(list.Remembered() < 5000);
  // Those that left last are remembered.
  list.NoteRestored();
  ServersById copy;
  for (const int i : {kServers - 1000, kServers - 3}) {
    const std::string id = "s" + std::to_string(i);
    copy[id] = MakeServer(id, 1);
  }
  list.Update(copy, now, now);
  list.Refresh(now);
  for (const auto& [id, server] : copy) CHECK_FALSE(list.InUse().contains(id));
}

}  // namespace chervilmux::node
