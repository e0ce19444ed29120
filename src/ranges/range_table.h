/// \file
/// Defines which backend server owns which range of keys of one service, with
/// the fencing token of each range.
///
/// The table is one row of the store and changes only by compare-and-set, so
/// that there is one history of owners. Keys are numbers from 0 to 65535; there
/// is no record for a single key.

#ifndef CHERVILMUX_RANGES_RANGE_TABLE_H_
#define CHERVILMUX_RANGES_RANGE_TABLE_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "kernel/error.h"

namespace chervilmux::ranges {

using Key = std::uint16_t;
inline constexpr std::uint32_t kKeyCount = 65536;

struct KeyRange {
  Key first = 0;
  Key last = 0;       ///< Inclusive.
  std::string owner;  ///< Id of a backend server; empty while there is none.
  std::uint64_t owner_life = 0;  ///< The owner's life that got the grant.
  std::uint64_t fence = 0;       ///< Rises with each change of owner.
  std::string handover;          ///< From the last owner, for the next one.
  /// The owner is being asked to let go: send nothing new there. Told to other
  /// instances, not kept at rest.
  bool moving = false;

  bool operator==(const KeyRange&) const = default;
};

struct RangeTable {
  std::string service;
  std::uint64_t term = 0;      ///< Rises with each new leader.
  std::uint64_t sequence = 0;  ///< Rises with each change within a term.
  std::string leader;          ///< Name of the instance that grants.
  std::uint64_t leader_life = 0;
  std::uint64_t last_fence = 0;  ///< Highest fencing token ever given out.
  std::vector<KeyRange> ranges;  ///< By key, without gaps.

  /// The range that holds `key`; nullptr in an empty table.
  const KeyRange* Find(Key key) const;

  /// Whether this table is a later one than `other`.
  bool IsNewerThan(const RangeTable& other) const;

  bool operator==(const RangeTable&) const = default;
};

/// What changed between two tables of one service and term.
struct RangeDelta {
  std::string service;
  std::string leader;  ///< Name of the instance that has the whole table.
  std::uint64_t term = 0;
  std::uint64_t base_sequence = 0;  ///< Of the table that it applies to.
  std::uint64_t sequence = 0;
  std::vector<KeyRange> changed;  ///< By key, with gaps.
};

/// The change from `before` to `after`, which has the same term.
RangeDelta DiffTables(const RangeTable& before, const RangeTable& after);

/// Applies `delta` if `table` is the one that it was made for. Returns whether
/// it was.
bool ApplyDelta(const RangeDelta& delta, RangeTable& table);

/// Joins neighbours that have the same owner, fence and state.
void MergeAdjacentRanges(std::vector<KeyRange>& ranges);

/// Cuts the range that holds `first` and the one that holds `last`, so that
/// [first, last] consists of whole ranges.
void SplitAtBounds(std::vector<KeyRange>& ranges, Key first, Key last);

std::string EncodeTable(const RangeTable& table);

std::string EncodeDelta(const RangeDelta& delta);

/// Errors: kMessageMalformed.
kernel::Result<RangeDelta> DecodeDelta(std::string_view text);

/// Errors: kMessageMalformed.
kernel::Result<RangeTable> DecodeTable(std::string_view text);

}  // namespace chervilmux::ranges

#endif  // CHERVILMUX_RANGES_RANGE_TABLE_H_
