// Tables of key ranges, their changes, and the plans that change them.

#include "ranges/range_table.h"

#include <doctest/doctest.h>

#include <map>
#include <random>

#include "planned_moves.h"
#include "ranges/load_map.h"
#include "ranges/range_planner.h"

namespace chervilmux::ranges {
namespace {

using fakes::Owned;

RangeTable TwoOwners() {
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

std::vector<PlannerServer> Servers(std::initializer_list<const char*> ids) {
  std::vector<PlannerServer> servers;
  for (const char* id : ids) servers.push_back({id, "domain", 4});
  return servers;
}

/// A map in which keys [first, last] get `per_second` requests.
LoadMap Heated(Key first, Key last, std::uint32_t per_second) {
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

/// The owners after up to `rounds` plans for balance, each carried out whole.
std::vector<PlannerRange> Balanced(std::vector<PlannerRange> ranges,
                                   std::span<const PlannerServer> servers,
                                   const LoadMap& load, int rounds) {
  for (int round = 0; round < rounds; ++round) {
    for (const auto& move : PlanBalancingMoves(ranges, servers, load)) {
      ranges = fakes::CarryOut(ranges, move);
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

TEST_CASE("a table of two owners") {
  const RangeTable table = TwoOwners();
  SUBCASE("finds the range of each key") {
    CHECK(table.Find(0)->owner == "a");
    CHECK(table.Find(29999)->owner == "a");
    CHECK(table.Find(30000)->owner == "b");
    CHECK(table.Find(65535)->owner == "b");
  }
  SUBCASE("survives its text form") {
    const auto decoded = DecodeTable(EncodeTable(table));
    REQUIRE(decoded);
    CHECK(decoded.value() == table);
  }
  SUBCASE("is refused with a gap, an overlap or other types") {
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
  SUBCASE("is later with a higher term, or sequence in its term") {
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

TEST_CASE("changes between tables") {
  std::mt19937_64 random(7);
  RangeTable before = TwoOwners();
  for (int round = 0; round < 200; ++round) {
    RangeTable after = before;
    after.sequence += 1;
    const auto one = static_cast<Key>(random());
    const auto other = static_cast<Key>(random());
    SplitAtBounds(after.ranges, std::min(one, other), std::max(one, other));
    for (auto& range : after.ranges) {
      const bool inside = range.first >= std::min(one, other) &&
                          range.last <= std::max(one, other);
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
    // Only its own base takes a change.
    CHECK_FALSE(ApplyDelta(delta.value(), applied));
    before = after;
  }
}

TEST_CASE("plans for keys that need an owner") {
  const LoadMap idle;
  SUBCASE("all keys are dealt out evenly at first") {
    PlannerRange all = Owned(0, kKeyCount - 1, "");
    const auto moves =
        PlanRequiredMoves({&all, 1}, Servers({"a", "b", "c", "d"}), idle);
    REQUIRE(moves.size() == 4);
    for (const auto& move : moves) {
      CHECK(move.last - move.first + 1 == kKeyCount / 4);
    }
  }
  SUBCASE("a leaving server's keys go to the least loaded ones") {
    std::vector<PlannerRange> ranges = {Owned(0, 9999, "a"),
                                        Owned(10000, 59999, "b"),
                                        Owned(60000, 65535, "c")};
    ranges[1].must_move = true;
    const auto moves = PlanRequiredMoves(ranges, Servers({"a", "c"}), idle);
    std::uint32_t covered = 0;
    for (const auto& move : moves) covered += move.last - move.first + 1U;
    CHECK(covered == 50000);
  }
  SUBCASE("without servers nothing moves") {
    PlannerRange all = Owned(0, kKeyCount - 1, "");
    CHECK(PlanRequiredMoves({&all, 1}, {}, idle).empty());
  }
}

TEST_CASE("plans for balance") {
  const std::vector<PlannerRange> ranges = {
      Owned(0, 16383, "a"), Owned(16384, 32767, "b"), Owned(32768, 49151, "c"),
      Owned(49152, 65535, "d")};
  SUBCASE("an even load moves nothing") {
    const LoadMap even = Heated(0, 65535, 4096 * 2);
    CHECK(PlanBalancingMoves(ranges, Servers({"a", "b", "c", "d"}), even)
              .empty());
  }
  SUBCASE("load too small to tell anything moves nothing") {
    const LoadMap small = Heated(20000, 20063, 4);
    CHECK(PlanBalancingMoves(ranges, Servers({"a", "b", "c", "d"}), small)
              .empty());
  }
  SUBCASE("hot keys are divided among several servers, step by step") {
    const LoadMap hot = Heated(20000, 20127, 400);
    const auto now = Balanced(ranges, Servers({"a", "b", "c", "d"}), hot, 6);
    std::map<std::string, double> carried;
    for (const auto& range : now) {
      carried[range.owner] += hot.RequestRate(range.first, range.last);
    }
    for (const auto& [server, load] : carried) {
      CHECK(load < 0.5 * hot.TotalRequestRate());
    }
  }
  SUBCASE("one hot key among an even load, owned by a slow server") {
    LoadMap load = Heated(0, 65535, 4096 * 2);
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
    const auto owners = Balanced(ranges, servers, load, 8);
    CHECK(OwnerOf(owners, 20000) == "d");
    std::map<std::string, double> carried;
    for (const auto& range : owners) {
      carried[range.owner] += load.RequestRate(range.first, range.last);
    }
    // The other keys have left the server of the hot one to the others.
    const double others = carried["d"] - 20000;
    CHECK(others < 0.1 * (load.TotalRequestRate() - 20000));
    CHECK(carried["b"] > 0.1 * (load.TotalRequestRate() - 20000));
  }
  SUBCASE("a hot key's neighbours leave a server that cannot be exchanged") {
    const LoadMap hot = Heated(20000, 20015, 1000);
    const auto owners = Balanced(ranges, Servers({"a", "b", "c", "d"}), hot, 8);
    double idle_keys = 0;
    const std::string hot_owner = OwnerOf(owners, 20000);
    for (const auto& range : owners) {
      if (range.owner == hot_owner) idle_keys += range.last - range.first + 1.0;
    }
    CHECK(idle_keys < 1000);
  }
  SUBCASE("a new server gets keys") {
    const LoadMap even = Heated(0, 65535, 4096 * 2);
    const auto moves =
        PlanBalancingMoves(ranges, Servers({"a", "b", "c", "d", "e"}), even);
    REQUIRE_FALSE(moves.empty());
    CHECK(moves[0].target == "e");
  }
}

}  // namespace chervilmux::ranges
