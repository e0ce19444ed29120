#include "ranges/range_table.h"

#include <algorithm>
#include <map>
#include <utility>

#include "kernel/json.h"

namespace chervilmux::ranges {
namespace {

using kernel::ErrorKind;

/// Whether the ranges contain each key exactly once, in order.
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
      return kernel::Fail(
          ErrorKind::kMessageMalformed,
          "key range: invalid bounds, or not 7 fields of the expected types");
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

OwnerShares SharesOf(const RangeTable& table) {
  std::map<std::string_view, std::uint32_t> keys;
  for (const auto& range : table.ranges) {
    if (!range.owner.empty())
      keys[range.owner] += range.last - range.first + 1U;
  }
  OwnerShares shares;
  shares.owners = keys.size();
  for (const auto& [owner, count] : keys) {
    shares.largest =
        std::max(shares.largest, static_cast<double>(count) / kKeyCount);
  }
  return shares;
}

void MergeAdjacentRanges(std::vector<KeyRange>& ranges) {
  std::vector<KeyRange> merged;
  for (auto& range : ranges) {
    const bool is_adjacent =
        !merged.empty() && merged.back().last + 1U == range.first;
    KeyRange same_bounds = range;
    if (is_adjacent) {
      same_bounds.first = merged.back().first;
      same_bounds.last = merged.back().last;
    }
    if (is_adjacent && same_bounds == merged.back()) {
      merged.back().last = range.last;
    } else {
      merged.push_back(std::move(range));
    }
  }
  ranges = std::move(merged);
}

void SplitAtBounds(std::vector<KeyRange>& ranges, Key first, Key last) {
  const auto split_before = [&ranges](std::uint32_t key) {
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
  split_before(first);
  if (last + 1U < kKeyCount) split_before(last + 1U);
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
      const KeyRange* previous = before.Find(static_cast<Key>(next));
      const std::uint32_t end =
          previous == nullptr
              ? range.last
              : std::min<std::uint32_t>(previous->last, range.last);
      KeyRange part = range;
      part.first = static_cast<Key>(next);
      part.last = static_cast<Key>(end);
      KeyRange previous_part = previous == nullptr ? KeyRange() : *previous;
      previous_part.first = part.first;
      previous_part.last = part.last;
      if (previous == nullptr || previous_part != part) {
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

/// Writes the fields that tables and deltas have in common.
template <typename TableOrDelta>
Json::Value HeaderToJson(const TableOrDelta& owners) {
  Json::Value json(Json::objectValue);
  json["service"] = owners.service;
  json["leader"] = owners.leader;
  json["term"] = Json::UInt64(owners.term);
  json["sequence"] = Json::UInt64(owners.sequence);
  return json;
}

/// Parses `text` and reads the common fields into `owners`. Errors:
/// kMessageMalformed.
template <typename TableOrDelta>
kernel::Result<Json::Value> ParseHeader(std::string_view text,
                                        TableOrDelta& owners) {
  BOOST_OUTCOME_TRY(json, kernel::ParseJson(text));
  if (!json.isObject()) {
    return kernel::Fail(ErrorKind::kMessageMalformed,
                        "range table or delta: not a JSON object");
  }
  owners.service = kernel::StringOr(json, "service");
  owners.leader = kernel::StringOr(json, "leader");
  owners.term = kernel::UintOr(json, "term");
  owners.sequence = kernel::UintOr(json, "sequence");
  return json;
}

}  // namespace

std::string EncodeTable(const RangeTable& table) {
  Json::Value json = HeaderToJson(table);
  json["leader_life"] = Json::UInt64(table.leader_life);
  json["last_fence"] = Json::UInt64(table.last_fence);
  if (table.unsettled) json["unsettled"] = true;
  if (table.earlier_leader_may_renew) json["earlier_leader_may_renew"] = true;
  json["ranges"] = RangesToJson(table.ranges);
  return kernel::PrintJson(json);
}

kernel::Result<RangeTable> DecodeTable(std::string_view text) {
  RangeTable table;
  BOOST_OUTCOME_TRY(json, ParseHeader(text, table));
  table.leader_life = kernel::UintOr(json, "leader_life");
  table.last_fence = kernel::UintOr(json, "last_fence");
  table.unsettled = json["unsettled"].isBool() && json["unsettled"].asBool();
  const Json::Value& may_renew = json["earlier_leader_may_renew"];
  table.earlier_leader_may_renew = may_renew.isBool() && may_renew.asBool();
  BOOST_OUTCOME_TRY(ranges, RangesFromJson(json["ranges"]));
  table.ranges = std::move(ranges);
  if (!CoverAllKeys(table.ranges)) {
    return kernel::Fail(
        ErrorKind::kMessageMalformed,
        "range table: ranges do not cover each key exactly once");
  }
  return table;
}

std::string EncodeDelta(const RangeDelta& delta) {
  Json::Value json = HeaderToJson(delta);
  json["base_sequence"] = Json::UInt64(delta.base_sequence);
  json["changed"] = RangesToJson(delta.changed);
  return kernel::PrintJson(json);
}

kernel::Result<RangeDelta> DecodeDelta(std::string_view text) {
  RangeDelta delta;
  BOOST_OUTCOME_TRY(json, ParseHeader(text, delta));
  delta.base_sequence = kernel::UintOr(json, "base_sequence");
  BOOST_OUTCOME_TRY(changed, RangesFromJson(json["changed"]));
  delta.changed = std::move(changed);
  return delta;
}

}  // namespace chervilmux::ranges
