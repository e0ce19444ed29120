#include "ranges/range_table.h"

#include <algorithm>
#include <utility>

#include "kernel/json.h"

namespace chervilmux::ranges {
namespace {

using kernel::ErrorKind;

/// Whether the ranges hold each key exactly once, in order.
bool CoverAllKeys(const std::vector<KeyRange>& ranges) {
  std::uint32_t next = 0;
  for (const auto& range : ranges) {
    if (range.first != next || range.last < range.first) return false;
    next = std::uint32_t{range.last} + 1;
  }
  return next == kKeyCount;
}

Json::Value RangesToJson(const std::vector<KeyRange>& ranges) {
  Json::Value json(Json::arrayValue);
  for (const auto& range : ranges) {
    Json::Value item(Json::arrayValue);
    item.append(range.first);
    item.append(range.last);
    item.append(range.owner);
    item.append(Json::UInt64(range.owner_life));
    item.append(Json::UInt64(range.fence));
    item.append(range.handover);
    item.append(range.moving);
    json.append(std::move(item));
  }
  return json;
}

kernel::Result<std::vector<KeyRange>> RangesFromJson(const Json::Value& json) {
  std::vector<KeyRange> ranges;
  constexpr Json::ArrayIndex kFields = 7;
  for (const auto& item : json) {
    if (!item.isArray() || item.size() != kFields || !item[0].isUInt() ||
        !item[1].isUInt() || !item[2].isString() || !item[3].isUInt64() ||
        !item[4].isUInt64() || !item[5].isString() || !item[6].isBool() ||
        item[1].asUInt() >= kKeyCount || item[0].asUInt() > item[1].asUInt()) {
      return kernel::Fail(ErrorKind::kMessageMalformed,
                          "a range is not of the expected form");
    }
    KeyRange& range = ranges.emplace_back();
    range.first = static_cast<Key>(item[0].asUInt());
    range.last = static_cast<Key>(item[1].asUInt());
    range.owner = item[2].asString();
    range.owner_life = item[3].asUInt64();
    range.fence = item[4].asUInt64();
    range.handover = item[5].asString();
    range.moving = item[6].asBool();
  }
  return ranges;
}

}  // namespace

const KeyRange* RangeTable::Find(Key key) const {
  const auto after =
      std::ranges::upper_bound(this->ranges, key, {}, &KeyRange::first);
  return after == this->ranges.begin() ? nullptr : &*std::prev(after);
}

bool RangeTable::IsNewerThan(const RangeTable& other) const {
  return std::pair(this->term, this->sequence) >
         std::pair(other.term, other.sequence);
}

void MergeAdjacentRanges(std::vector<KeyRange>& ranges) {
  std::vector<KeyRange> joined;
  for (auto& range : ranges) {
    const bool adjacent =
        !joined.empty() && joined.back().last + 1U == range.first;
    KeyRange alike = range;
    if (adjacent) {
      alike.first = joined.back().first;
      alike.last = joined.back().last;
    }
    if (adjacent && alike == joined.back()) {
      joined.back().last = range.last;
    } else {
      joined.push_back(std::move(range));
    }
  }
  ranges = std::move(joined);
}

void SplitAtBounds(std::vector<KeyRange>& ranges, Key first, Key last) {
  const auto cut_before = [&ranges](std::uint32_t key) {
    for (std::size_t i = 0; i < ranges.size(); ++i) {
      if (ranges[i].first >= key || ranges[i].last < key) continue;
      KeyRange right = ranges[i];
      right.first = static_cast<Key>(key);
      ranges[i].last = static_cast<Key>(key - 1);
      ranges.insert(ranges.begin() + static_cast<std::ptrdiff_t>(i) + 1,
                    std::move(right));
      return;
    }
  };
  cut_before(first);
  if (last + 1U < kKeyCount) cut_before(last + 1U);
}

RangeDelta DiffTables(const RangeTable& before, const RangeTable& after) {
  RangeDelta delta;
  delta.service = after.service;
  delta.leader = after.leader;
  delta.term = after.term;
  delta.base_sequence = before.sequence;
  delta.sequence = after.sequence;
  for (const auto& range : after.ranges) {
    std::uint32_t next = range.first;
    while (next <= range.last) {
      const KeyRange* old = before.Find(static_cast<Key>(next));
      const std::uint32_t end =
          old == nullptr ? range.last
                         : std::min<std::uint32_t>(old->last, range.last);
      KeyRange part = range;
      part.first = static_cast<Key>(next);
      part.last = static_cast<Key>(end);
      KeyRange old_part = old == nullptr ? KeyRange() : *old;
      old_part.first = part.first;
      old_part.last = part.last;
      if (old == nullptr || old_part != part) {
        delta.changed.push_back(std::move(part));
      }
      next = end + 1;
    }
  }
  MergeAdjacentRanges(delta.changed);
  return delta;
}

bool ApplyDelta(const RangeDelta& delta, RangeTable& table) {
  if (table.term != delta.term || table.sequence != delta.base_sequence ||
      table.ranges.empty()) {
    return false;
  }
  for (const auto& change : delta.changed) {
    SplitAtBounds(table.ranges, change.first, change.last);
    for (auto& range : table.ranges) {
      if (range.first < change.first || range.last > change.last) continue;
      KeyRange part = change;
      part.first = range.first;
      part.last = range.last;
      range = std::move(part);
    }
  }
  MergeAdjacentRanges(table.ranges);
  table.sequence = delta.sequence;
  return true;
}

namespace {

/// What tables and changes both tell: whose owners, and as of when.
template <typename Owners>
Json::Value HeadToJson(const Owners& owners) {
  Json::Value json(Json::objectValue);
  json["service"] = owners.service;
  json["leader"] = owners.leader;
  json["term"] = Json::UInt64(owners.term);
  json["sequence"] = Json::UInt64(owners.sequence);
  return json;
}

/// The parsed text; its head goes into `owners`. Errors: kMessageMalformed.
template <typename Owners>
kernel::Result<Json::Value> ParseHead(std::string_view text, Owners& owners) {
  BOOST_OUTCOME_TRY(json, kernel::ParseJson(text));
  if (!json.isObject()) {
    return kernel::Fail(ErrorKind::kMessageMalformed, "owners: not an object");
  }
  owners.service = kernel::StringOr(json, "service");
  owners.leader = kernel::StringOr(json, "leader");
  owners.term = kernel::UintOr(json, "term");
  owners.sequence = kernel::UintOr(json, "sequence");
  return json;
}

}  // namespace

std::string EncodeTable(const RangeTable& table) {
  Json::Value json = HeadToJson(table);
  json["leader_life"] = Json::UInt64(table.leader_life);
  json["last_fence"] = Json::UInt64(table.last_fence);
  json["ranges"] = RangesToJson(table.ranges);
  return kernel::PrintJson(json);
}

kernel::Result<RangeTable> DecodeTable(std::string_view text) {
  RangeTable table;
  BOOST_OUTCOME_TRY(json, ParseHead(text, table));
  table.leader_life = kernel::UintOr(json, "leader_life");
  table.last_fence = kernel::UintOr(json, "last_fence");
  BOOST_OUTCOME_TRY(ranges, RangesFromJson(json["ranges"]));
  table.ranges = std::move(ranges);
  if (!CoverAllKeys(table.ranges)) {
    return kernel::Fail(ErrorKind::kMessageMalformed,
                        "range table: keys missing or twice");
  }
  return table;
}

std::string EncodeDelta(const RangeDelta& delta) {
  Json::Value json = HeadToJson(delta);
  json["base_sequence"] = Json::UInt64(delta.base_sequence);
  json["changed"] = RangesToJson(delta.changed);
  return kernel::PrintJson(json);
}

kernel::Result<RangeDelta> DecodeDelta(std::string_view text) {
  RangeDelta delta;
  BOOST_OUTCOME_TRY(json, ParseHead(text, delta));
  delta.base_sequence = kernel::UintOr(json, "base_sequence");
  BOOST_OUTCOME_TRY(changed, RangesFromJson(json["changed"]));
  delta.changed = std::move(changed);
  return delta;
}

}  // namespace chervilmux::ranges
