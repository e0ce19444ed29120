// Guards the routing table of key ranges, its deltas, and the planner of moves.
// Failures: a table with a gap or an overlap is used, instances end with
// different tables after a delta, or a plan leaves keys without an owner or
// overloads a server.

#include "ranges/range_table.h"

#include <doctest/doctest.h>

#include <map>
#include <random>

#include "planned_moves.h"
#include "ranges/load_map.h"
#include "ranges/range_planner.h"

namespace chervilmux::ranges {
namespace {

using fakes::OwnedRange;

/// Keys up to 29999 belong to "a", the others to "b".
RangeTable MakeTwoOwnerTable() {
  RangeTable table;
  table.service = "s";
  table.term = 3;
  table.sequence = 7;
  table.leader = "i";
  table.last_fence = 12;
  KeyRange low;
  low.last = 29999;
  low.owner = "a";
  low.fence = 11;
  KeyRange high;
  high.first = 30000;
  high.last = kKeyCount - 1;
  high.owner = "b";
  high.fence = 12;
  table.ranges = {low, high};
  return table;
}

/// Servers of equal capacity.
std::vector<PlannerServer> MakeServers(std::initializer_list<const char*> ids) {
  std::vector<PlannerServer> servers;
  for (const char* id : ids) servers.push_back({id, "domain", 4});
  return servers;
}

/// The load when keys [first, last] together get `per_second` requests per
/// second.
LoadMap MakeLoad(Key first, Key last, std::uint32_t per_second) {
  LoadMap load;
  kernel::Instant now(kernel::seconds(1));
  load.UpdateRates(now);
  const std::uint32_t begin = first / kKeysPerBucket;
  const std::uint32_t buckets = last / kKeysPerBucket - begin + 1;
  for (int i = 0; i < 20; ++i) {
    std::vector<BucketCount> counts;
    for (std::uint32_t b = 0; b < buckets; ++b) {
      counts.push_back(
          {static_cast<std::uint16_t>(begin + b), per_second / buckets});
    }
    load.Add(counts);
    now += kernel::seconds(1);
    load.UpdateRates(now);
  }
  return load;
}

/// The ranges after `rounds` balance plans, each with all its moves applied.
std::vector<PlannerRange> ApplyBalancePlans(
    std::vector<PlannerRange> ranges, std::span<const PlannerServer> servers,
    const LoadMap& load, int rounds) {
  for (int round = 0; round < rounds; ++round) {
    for (const auto& move : PlanBalancingMoves(ranges, servers, load).moves) {
      ranges = fakes::ApplyMove(ranges, move);
    }
  }
  return ranges;
}

std::string OwnerOf(std::span<const PlannerRange> ranges, Key key) {
  for (const auto& range : ranges) {
    if (range.first <= key && key <= range.last) return range.owner;
  }
  return "";
}

}  // namespace

// Failure: a malformed table is accepted, or an older one replaces a later one.
TEST_CASE("a range table is searched, checked and ordered by version") {
  const RangeTable table = MakeTwoOwnerTable();
  SUBCASE("the range of each key is found") {
    CHECK(table.Find(0)->owner == "a");
    CHECK(table.Find(29999)->owner == "a");
    CHECK(table.Find(30000)->owner == "b");
    CHECK(table.Find(65535)->owner == "b");
  }
  SUBCASE("encoding and decoding keep the table") {
    const auto decoded = DecodeTable(EncodeTable(table));
    REQUIRE(decoded);
    CHECK(decoded.value() == table);
  }
  SUBCASE("encoding keeps terms and tokens of a late era and an open doubt") {
    constexpr std::uint64_t kLastEra = 8191;
    RangeTable late = table;
    late.term = LowestOfEra(kLastEra) + 1;
    late.last_fence = LowestOfEra(kLastEra + 1) - 1;
    late.ranges[1].fence = late.last_fence;
    late.unsettled = true;
    late.earlier_leader_may_renew = true;
    CHECK(EraOfTerm(late.term) == kLastEra);
    const auto decoded = DecodeTable(EncodeTable(late));
    REQUIRE(decoded);
    CHECK(decoded.value() == late);
  }
  SUBCASE("a table with a gap, an overlap or wrong types is refused") {
    RangeTable gap = table;
    gap.ranges[1].first = 30001;
    CHECK_FALSE(DecodeTable(EncodeTable(gap)));
    RangeTable overlap = table;
    overlap.ranges[1].first = 29999;
    CHECK_FALSE(DecodeTable(EncodeTable(overlap)));
    CHECK_FALSE(DecodeTable("{\"ranges\":[[0,65535,7,0,0,\"\",false]]}"));
    CHECK_FALSE(DecodeTable("[]"));
    CHECK_FALSE(DecodeTable(""));
  }
  SUBCASE("a higher term, or sequence within a term, makes a table later") {
    RangeTable later = table;
    later.sequence += 1;
    CHECK(later.IsNewerThan(table));
    CHECK_FALSE(table.IsNewerThan(later));
    RangeTable next_term = table;
    next_term.term += 1;
    next_term.sequence = 0;
    CHECK(next_term.IsNewerThan(later));
  }
}

// Failure: an instance that follows deltas ends with another table than the
// leader. 200 random changes of owners are encoded, decoded and applied.
TEST_CASE("a delta turns its base table, and no other, into the next one") {
  std::mt19937_64 random(7);
  RangeTable before = MakeTwoOwnerTable();
  for (int round = 0; round < 200; ++round) {
    RangeTable after = before;
    after.sequence += 1;
    const auto left = static_cast<Key>(random());
    const auto right = static_cast<Key>(random());
    SplitAtBounds(after.ranges, std::min(left, right), std::max(left, right));
    for (auto& range : after.ranges) {
      const bool inside = range.first >= std::min(left, right) &&
                          range.last <= std::max(left, right);
      if (!inside) continue;
      range.owner = std::string(1, static_cast<char>('a' + random() % 4));
      range.moving = random() % 2 == 0;
    }
    MergeAdjacentRanges(after.ranges);
    const auto delta = DecodeDelta(EncodeDelta(DiffTables(before, after)));
    REQUIRE(delta);
    RangeTable applied = before;
    REQUIRE(ApplyDelta(delta.value(), applied));
    CHECK(applied == after);
    // A delta does not apply to a table other than its base.
    CHECK_FALSE(ApplyDelta(delta.value(), applied));
    before = after;
  }
}

// Failure: keys without an owner, or of a leaving server, stay unassigned or
// all go to one server.
TEST_CASE("keys that need an owner are assigned to the least loaded servers") {
  const LoadMap idle;
  SUBCASE("at first all keys are assigned evenly") {
    PlannerRange all = OwnedRange(0, kKeyCount - 1, "");
    const auto moves =
        PlanRequiredMoves({&all, 1}, MakeServers({"a", "b", "c", "d"}), idle);
    REQUIRE(moves.size() == 4);
    for (const auto& move : moves) {
      CHECK(move.last - move.first + 1 == kKeyCount / 4);
    }
  }
  SUBCASE("all keys of a leaving server are assigned") {
    std::vector<PlannerRange> ranges = {OwnedRange(0, 9999, "a"),
                                        OwnedRange(10000, 59999, "b"),
                                        OwnedRange(60000, 65535, "c")};
    ranges[1].must_move = true;
    const auto moves = PlanRequiredMoves(ranges, MakeServers({"a", "c"}), idle);
    std::uint32_t covered = 0;
    for (const auto& move : moves) covered += move.last - move.first + 1U;
    CHECK(covered == 50000);
  }
  SUBCASE("no move is planned without servers") {
    PlannerRange all = OwnedRange(0, kKeyCount - 1, "");
    CHECK(PlanRequiredMoves({&all, 1}, {}, idle).empty());
  }
}

// Failure: hot keys overload one server, or keys move back and forth although
// the load is even or too small to judge. Each move interrupts its keys
// briefly.
TEST_CASE("balance plans move load from overloaded servers to others") {
  const std::vector<PlannerRange> ranges = {
      OwnedRange(0, 16383, "a"), OwnedRange(16384, 32767, "b"),
      OwnedRange(32768, 49151, "c"), OwnedRange(49152, 65535, "d")};
  SUBCASE("an even load causes no moves") {
    const LoadMap even = MakeLoad(0, 65535, 4096 * 2);
    CHECK(PlanBalancingMoves(ranges, MakeServers({"a", "b", "c", "d"}), even)
              .moves.empty());
  }
  SUBCASE("a load below the minimum causes no moves") {
    const LoadMap small = MakeLoad(20000, 20063, 4);
    CHECK(PlanBalancingMoves(ranges, MakeServers({"a", "b", "c", "d"}), small)
              .moves.empty());
  }
  SUBCASE("successive plans divide hot keys among several servers") {
    const LoadMap hot = MakeLoad(20000, 20127, 400);
    const auto balanced =
        ApplyBalancePlans(ranges, MakeServers({"a", "b", "c", "d"}), hot, 6);
    std::map<std::string, double> load_by_server;
    for (const auto& range : balanced) {
      load_by_server[range.owner] += hot.RequestRate(range.first, range.last);
    }
    for (const auto& [server, load] : load_by_server) {
      CHECK(load < 0.5 * hot.TotalRequestRate());
    }
  }
  SUBCASE("one very hot key moves to the fastest server, other keys leave it") {
    LoadMap load = MakeLoad(0, 65535, 4096 * 2);
    kernel::Instant now(kernel::seconds(100));
    for (int i = 0; i < 20; ++i) {
      std::vector<BucketCount> counts;
      for (std::uint16_t b = 0; b < kBucketCount; ++b) counts.push_back({b, 2});
      counts[20000 / kKeysPerBucket].requests = 20000;
      load.Add(counts);
      now += kernel::seconds(1);
      load.UpdateRates(now);
    }
    const std::vector<PlannerServer> servers = {{"a", "domain", 4},
                                                {"b", "domain", 3},
                                                {"c", "domain", 4},
                                                {"d", "domain", 10}};
    const auto owners = ApplyBalancePlans(ranges, servers, load, 8);
    CHECK(OwnerOf(owners, 20000) == "d");
    std::map<std::string, double> load_by_server;
    for (const auto& range : owners) {
      load_by_server[range.owner] += load.RequestRate(range.first, range.last);
    }
    // Nearly all other keys have moved off the server that owns the hot key.
    const double other_load = load_by_server["d"] - 20000;
    CHECK(other_load < 0.1 * (load.TotalRequestRate() - 20000));
    CHECK(load_by_server["b"] > 0.1 * (load.TotalRequestRate() - 20000));
  }
  SUBCASE("keys next to a hot key move when no faster server exists") {
    const LoadMap hot = MakeLoad(20000, 20015, 1000);
    const auto owners =
        ApplyBalancePlans(ranges, MakeServers({"a", "b", "c", "d"}), hot, 8);
    double key_count = 0;
    const std::string hot_owner = OwnerOf(owners, 20000);
    for (const auto& range : owners) {
      if (range.owner == hot_owner) key_count += range.last - range.first + 1.0;
    }
    CHECK(key_count < 1000);
  }
  SUBCASE("a new server receives keys") {
    const LoadMap even = MakeLoad(0, 65535, 4096 * 2);
    const auto moves =
        PlanBalancingMoves(ranges, MakeServers({"a", "b", "c", "d", "e"}), even)
            .moves;
    REQUIRE_FALSE(moves.empty());
    CHECK(moves[0].target == "e");
  }
}

}  // namespace chervilmux::ranges
