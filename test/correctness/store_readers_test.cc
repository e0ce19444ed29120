// Which instances follow the store, and whom the others ask.

#include "node/store_readers.h"

#include <doctest/doctest.h>

#include <map>
#include <set>

namespace chervilmux::node {
namespace {

using kernel::Instant;
using kernel::milliseconds;

/// Instances of two failure domains that ask each other every half second.
class Fleet {
 public:
  Fleet() {
    for (const char* name : {"a1", "a2", "a3", "b1", "b2", "b3"}) {
      InstanceRecord record{name, 1, std::string(1, name[0]), name};
      this->records[name] = record;
    }
    for (const auto& [name, record] : this->records) {
      this->readers.emplace(name, record);
      this->readers.at(name).SetInstances(this->records);
    }
  }

  /// One step of 100 ms. The store answers those that follow it and whose calls
  /// do not hang.
  void Step() {
    this->now += milliseconds(100);
    this->following.clear();
    for (auto& [name, reader] : this->readers) {
      if (this->stopped.contains(name)) continue;
      if (reader.Follows(this->now)) this->following.insert(name);
      const bool answered =
          this->following.contains(name) && !this->hanging.contains(name);
      if (answered) reader.NoteKnownAsOf(this->now);
      if (this->turn % 5 == 0) this->Ask(name, reader);
    }
    this->turn += 1;
  }
  void Run(int steps) {
    for (int i = 0; i < steps; ++i) this->Step();
  }

  std::set<std::string> hanging;
  std::set<std::string> stopped;
  std::set<std::string> following;
  std::map<std::string, StoreReaders> readers;
  Instant now = Instant(kernel::seconds(10));

 private:
  void Ask(const std::string& name, StoreReaders& reader) {
    for (const auto& source : reader.Sources(this->now, this->turn * 11)) {
      if (source == name) continue;
      const auto& peer = this->readers.at(source);
      if (this->stopped.contains(source)) {
        reader.OnPeerSilent(source, this->now);
      } else if (const auto age = peer.KnowledgeAge(this->now)) {
        reader.NoteKnownAsOf(this->now - *age);
      }
    }
  }

  InstancesByName records;
  std::uint64_t turn = 0;
};

}  // namespace

TEST_CASE("six instances of two failure domains") {
  Fleet fleet;
  fleet.Run(50);
  SUBCASE("one of each follows the store") {
    CHECK(fleet.following == std::set<std::string>{"a1", "b1"});
  }
  SUBCASE("all know news that are at most 1.5 s old") {
    for (int i = 0; i < 50; ++i) {
      fleet.Step();
      for (const auto& [name, reader] : fleet.readers) {
        CHECK(reader.KnowledgeAge(fleet.now).value() <= milliseconds(1500));
      }
    }
  }
  SUBCASE("when the calls of all readers hang, others follow within 1.6 s") {
    fleet.hanging = {"a1", "b1"};
    fleet.Run(16);
    CHECK(fleet.following.contains("a2"));
    CHECK(fleet.following.contains("b3"));
    for (int i = 0; i < 60; ++i) {
      fleet.Step();
      CHECK(fleet.readers.at("a1").KnowledgeAge(fleet.now).value() <=
            milliseconds(3000));
      CHECK(fleet.readers.at("a3").KnowledgeAge(fleet.now).value() <=
            milliseconds(1700));
    }
  }
  SUBCASE("when a reader is gone, the next by name follows") {
    fleet.stopped = {"a1"};
    fleet.Run(20);
    CHECK(fleet.following.contains("a2"));
    CHECK_FALSE(fleet.following.contains("b2"));
  }
  SUBCASE("a leader follows the store for its failure domain") {
    for (auto& [name, reader] : fleet.readers) reader.SetLeaders({"b3"});
    fleet.Run(1);
    CHECK(fleet.following == std::set<std::string>{"a1", "b3"});
    fleet.stopped = {"b3"};
    fleet.Run(20);
    CHECK(fleet.following.contains("b1"));
  }
  SUBCASE("the one with the most processor time reads") {
    InstancesByName instances = fleet.readers.at("a1").Instances();
    instances["a2"].processor_share = 0.5;
    for (auto& [name, reader] : fleet.readers) reader.SetInstances(instances);
    fleet.Run(1);
    CHECK(fleet.following == std::set<std::string>{"a2", "b1"});
  }
  SUBCASE("many hear of leaders through the reader of their domain") {
    CHECK(fleet.readers.at("a2").LeaderSource(fleet.now).empty());
    InstancesByName instances = fleet.readers.at("a1").Instances();
    for (int i = 0; i < 60; ++i) {
      const std::string name = "b" + std::to_string(100 + i);
      instances[name] = {name, 1, "b", name};
    }
    for (auto& [name, reader] : fleet.readers) reader.SetInstances(instances);
    CHECK(fleet.readers.at("a2").LeaderSource(fleet.now) == "a1");
    CHECK(fleet.readers.at("b2").LeaderSource(fleet.now) == "b1");
    CHECK(fleet.readers.at("a1").LeaderSource(fleet.now).empty());
    fleet.readers.at("b2").OnPeerSilent("b1", fleet.now);
    CHECK(fleet.readers.at("b2").LeaderSource(fleet.now) == "b100");
  }
  SUBCASE("of instances that start together, seeds alone follow the store") {
    StoreReaders seed(InstanceRecord{"x", 1, "a", "x"});
    StoreReaders other(InstanceRecord{"y", 1, "a", "y"});
    for (auto* reader : {&seed, &other}) {
      reader->SetSeeds({"x"});
      CHECK(reader->Follows(fleet.now));
      reader->NoteKnownAsOf(fleet.now);
    }
    CHECK(seed.Follows(fleet.now + milliseconds(100)));
    CHECK_FALSE(other.Follows(fleet.now + milliseconds(100)));
    CHECK(other.Follows(fleet.now + milliseconds(1600)));
  }
  SUBCASE("an instance that knows nobody follows the store") {
    const StoreReaders alone(InstanceRecord{"x", 1, "a", "x"});
    CHECK(alone.Follows(fleet.now));
    CHECK(alone.Sources(fleet.now, 3).empty());
  }
}

// Failure: an instance that starts asks itself in place of its only peer.
TEST_CASE("any peer is another instance or a seed") {
  const InstanceRecord self{"a2", 1, "a", "a2"};
  StoreReaders reader(self);
  CHECK_FALSE(reader.AnyPeer(5));
  reader.SetInstances({{"a2", self}});
  CHECK_FALSE(reader.AnyPeer(5));
  reader.SetInstances({{"a1", {"a1", 1, "a", "a1"}},
                       {"a2", self},
                       {"b1", {"b1", 1, "b", "b1"}}});
  reader.SetSeeds({"s1"});
  std::multiset<std::string> peers;
  for (std::uint64_t i = 0; i < 6; ++i) peers.insert(reader.AnyPeer(i).value());
  CHECK(peers ==
        std::multiset<std::string>{"a1", "a1", "b1", "b1", "s1", "s1"});
}

TEST_CASE("an instance whose peers know as little as itself") {
  constexpr Instant kNow = Instant(kernel::seconds(10));
  const InstanceRecord self{"a1", 1, "a", "a1"};
  StoreReaders reader(self);
  reader.SetInstances({{"a1", self}, {"a2", {"a2", 1, "a", "a2"}}});
  const auto asked = [&](std::uint64_t draws) {
    std::map<std::string, int> count;
    for (std::uint64_t i = 0; i < draws; ++i) {
      for (const auto& address : reader.Sources(kNow, i * 7)) count[address]++;
    }
    return count;
  };
  SUBCASE("asks the seeds too") {
    reader.SetSeeds({"s1", "s2"});
    const auto count = asked(300);
    CHECK(count.at("s1") == 100);
    CHECK(count.at("s2") == 100);
  }
  SUBCASE("asks no seed more often than an instance, however many there are") {
    InstancesByName many;
    for (int i = 0; i < 1000; ++i) {
      const std::string name = "i" + std::to_string(i);
      many[name] = {name, 1, "a", name};
    }
    reader.SetInstances(many);
    reader.SetSeeds({"s1"});
    CHECK(asked(1001).at("s1") == 1);
  }
  SUBCASE("asks an instance that has called it") {
    CHECK(reader.OnHeardFrom({"b1", 1, "b", "b1"}));
    CHECK(asked(10).contains("b1"));
    SUBCASE("at the address of its latest start") {
      CHECK(reader.OnHeardFrom({"b1", 2, "b", "b1-new"}));
      CHECK_FALSE(reader.OnHeardFrom({"b1", 1, "b", "b1"}));
      CHECK(asked(10).contains("b1-new"));
    }
  }
}

}  // namespace chervilmux::node
