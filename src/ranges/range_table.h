/// \file
/// Defines which backend server owns which key range of a service, with the
/// fencing token of each range.
///
/// The table is one row of the store and changes only by compare-and-set, so
/// all instances see the same sequence of owners. Keys are numbers from 0 to
/// 65535; there is no record per key.

#ifndef CHERVILMUX_RANGES_RANGE_TABLE_H_
#define CHERVILMUX_RANGES_RANGE_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "kernel/error.h"

namespace chervilmux::ranges {

using Key = std::uint16_t;
inline constexpr std::uint32_t kKeyCount = 65536;

/// Terms and fencing tokens hold the era of the store in the bits above this
/// one, so that none that the store has lost is given again. They are JSON
/// numbers, which are exact in every reader below 2^53: the era must be below
/// 8192.
inline constexpr unsigned kEraShift = 40;
/// The lowest term and fencing token of `era`.
constexpr std::uint64_t LowestOfEra(std::uint64_t era) {
  return era << kEraShift;
}
constexpr std::uint64_t EraOfTerm(std::uint64_t term) {
  return term >> kEraShift;
}

struct KeyRange {
  Key first = 0;
  /// Inclusive.
  Key last = 0;
  /// Id of a backend server; empty if there is no owner.
  std::string owner;
  /// Incarnation of the owner that received the grant.
  std::uint64_t owner_life = 0;
  /// Fencing token; increases with each change of owner.
  std::uint64_t fence = 0;
  /// Data from the previous owner for the next one.
  std::string handover;
  /// The range is changing owners: no new request is sent to `owner`. The
  /// leader sends this flag to other instances but does not store it.
  bool moving = false;

  bool operator==(const KeyRange&) const = default;
};

struct RangeTable {
  std::string service;
  /// Increases with each new leader.
  std::uint64_t term = 0;
  /// Increases with each change within a term.
  std::uint64_t sequence = 0;
  /// Name of the instance that grants ranges.
  std::string leader;
  std::uint64_t leader_life = 0;
  /// Highest fencing token issued so far.
  std::uint64_t last_fence = 0;
  /// Servers may hold keys under grants of an earlier era of the store that
  /// this table does not show.
  bool unsettled = false;
  /// Another instance than `leader` may still renew grants of this table.
  bool earlier_leader_may_renew = false;
  /// Ordered by key, without gaps.
  std::vector<KeyRange> ranges;

  /// Returns the range that contains `key`, or nullptr in an empty table.
  const KeyRange* Find(Key key) const;

  bool IsNewerThan(const RangeTable& other) const;

  bool operator==(const RangeTable&) const = default;
};

/// How evenly a table divides the keys.
struct OwnerShares {
  std::size_t owners = 0;  ///< Servers that own keys.
  double largest = 0;      ///< The largest share of all keys that one owns.
};
OwnerShares SharesOf(const RangeTable& table);

/// Difference between two tables of the same service and term.
struct RangeDelta {
  std::string service;
  /// Name of the instance that has the full table.
  std::string leader;
  std::uint64_t term = 0;
  /// Sequence of the table to which the delta applies.
  std::uint64_t base_sequence = 0;
  std::uint64_t sequence = 0;
  /// Ordered by key. Ranges that did not change are left out.
  std::vector<KeyRange> changed;
};

/// Returns the changes from `before` to `after`, which must have the same term.
RangeDelta DiffTables(const RangeTable& before, const RangeTable& after);

/// Applies `delta` if `table` is its base. Returns whether it was applied.
bool ApplyDelta(const RangeDelta& delta, RangeTable& table);

/// Merges adjacent ranges that differ only in their bounds.
void MergeAdjacentRanges(std::vector<KeyRange>& ranges);

/// Splits ranges so that [first, last] consists of whole ranges.
void SplitAtBounds(std::vector<KeyRange>& ranges, Key first, Key last);

std::string EncodeTable(const RangeTable& table);

std::string EncodeDelta(const RangeDelta& delta);

/// Errors: kMessageMalformed.
kernel::Result<RangeDelta> DecodeDelta(std::string_view text);

/// Errors: kMessageMalformed.
kernel::Result<RangeTable> DecodeTable(std::string_view text);

}  // namespace chervilmux::ranges

#endif  // CHERVILMUX_RANGES_RANGE_TABLE_H_
