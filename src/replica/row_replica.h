/// \file
/// Defines an instance's replica of one table of the metadata store.
///
/// Changes may come from the store or from the replica of another instance, in
/// any order and more than once: a row is only replaced by a higher version. An
/// instance that cannot reach the store therefore stays up to date through its
/// peers.
///
/// Versions are comparable within one era of the store only. A replica belongs
/// to one era, and only a whole table of a later era takes it there.

#ifndef CHERVILMUX_REPLICA_ROW_REPLICA_H_
#define CHERVILMUX_REPLICA_ROW_REPLICA_H_

#include <compare>
#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <vector>

#include "store/metadata_store.h"

namespace chervilmux::replica {

/// A version of a table; those of a later era are newer.
struct TableVersion {
  std::uint64_t era = 0;
  std::uint64_t version = 0;
  auto operator<=>(const TableVersion&) const = default;
};

class RowReplica {
 public:
  /// Applies changes; afterwards all changes up to `as_of` are known. Returns
  /// whether any row changed. Changes of another era are ignored.
  bool ApplyChanges(std::span<const store::Row> changes, TableVersion as_of);

  /// Replaces the replica by the whole table as of `as_of`: rows that are not
  /// listed have been deleted. Returns whether any row changed, which holds for
  /// each later era. A snapshot older than the replica is ignored.
  bool ApplySnapshot(std::span<const store::Row> rows, TableVersion as_of);

  /// Whether ChangesAfter(`since.version`) is complete for a replica as of
  /// `since`.
  bool HasHistorySince(TableVersion since) const;

  /// Changes of this era after `version`, including tombstones of deleted rows.
  std::vector<store::Row> ChangesAfter(std::uint64_t version) const;

  /// Existing rows by key.
  const std::map<std::string, store::Row, std::less<>>& Rows() const {
    return this->rows;
  }

  /// All changes up to this version are known; 0 before the first update.
  std::uint64_t Version() const { return this->as_of.version; }
  /// The era of all rows; 0 before the first update.
  std::uint64_t Era() const { return this->as_of.era; }
  TableVersion AsOf() const { return this->as_of; }

 private:
  bool ApplyRow(const store::Row& change);

  std::map<std::string, store::Row, std::less<>> rows;
  /// Deleted rows by key, so that a stale change does not restore them.
  std::map<std::string, store::Row, std::less<>> tombstones;
  TableVersion as_of;
  /// ChangesAfter() may lack changes if it is called with an older version.
  std::uint64_t history_start = 0;
};

}  // namespace chervilmux::replica

#endif  // CHERVILMUX_REPLICA_ROW_REPLICA_H_
