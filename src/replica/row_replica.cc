#include "replica/row_replica.h"

#include <algorithm>
#include <set>
#include <utility>

namespace chervilmux::replica {
namespace {

/// Each server that ever left adds a tombstone. Above this limit the tombstones
/// are dropped, and a replica that is further behind gets the whole table.
constexpr std::size_t kMaxTombstones = 4096;

}  // namespace

bool RowReplica::ApplyRow(const store::Row& change) {
  const auto current = this->rows.find(change.key);
  if (current != this->rows.end() &&
      current->second.version >= change.version) {
    return false;
  }
  const auto gone = this->tombstones.find(change.key);
  if (gone != this->tombstones.end()) {
    if (gone->second.version >= change.version) return false;
    this->tombstones.erase(gone);
  }
  if (change.removed) {
    if (current != this->rows.end()) this->rows.erase(current);
    store::Row& new_tombstone = this->tombstones[change.key];
    new_tombstone = change;
    new_tombstone.value.clear();
  } else {
    this->rows[change.key] = change;
  }
  return true;
}

bool RowReplica::ApplyChanges(std::span<const store::Row> changes,
                              TableVersion new_version) {
  if (new_version.era != this->as_of.era) return false;
  bool any_row_changed = false;
  for (const auto& change : changes)
    any_row_changed = this->ApplyRow(change) || any_row_changed;
  this->as_of = std::max(this->as_of, new_version);
  if (this->tombstones.size() > kMaxTombstones) {
    this->tombstones.clear();
    this->history_start = this->as_of.version;
  }
  return any_row_changed;
}

bool RowReplica::ApplySnapshot(std::span<const store::Row> snapshot,
                               TableVersion new_version) {
  if (new_version < this->as_of) return false;
  const bool later_era = new_version.era > this->as_of.era;
  if (later_era) {
    this->rows.clear();
    this->tombstones.clear();
    this->as_of = {new_version.era, 0};
  }
  std::set<std::string_view> listed_keys;
  for (const auto& row : snapshot) listed_keys.insert(row.key);
  std::vector<store::Row> changes(snapshot.begin(), snapshot.end());
  for (const auto& [key, row] : this->rows) {
    if (listed_keys.contains(key) || row.version > new_version.version)
      continue;
    store::Row& change = changes.emplace_back(row);
    change.removed = true;
    change.version = new_version.version;
  }
  // Rows that were created and deleted between two updates have no tombstone.
  this->history_start = new_version.version;
  return this->ApplyChanges(changes, new_version) || later_era;
}

bool RowReplica::HasHistorySince(TableVersion since) const {
  return since.era == this->as_of.era && since.version >= this->history_start;
}

std::vector<store::Row> RowReplica::ChangesAfter(std::uint64_t after) const {
  std::vector<store::Row> changes;
  for (const auto* part : {&this->rows, &this->tombstones}) {
    for (const auto& [key, row] : *part) {
      if (row.version > after) changes.push_back(row);
    }
  }
  return changes;
}

}  // namespace chervilmux::replica
