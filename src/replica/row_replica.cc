#include "replica/row_replica.h"

#include <algorithm>
#include <set>
#include <utility>

namespace chervilmux::replica {
namespace {

/// Dropped rows that are remembered. Each server that ever left is one; beyond
/// this the history begins anew, and a copy that is further behind gets all.
constexpr std::size_t kMostDropped = 4096;

}  // namespace

bool RowReplica::ApplyRow(const store::Row& change) {
  const auto known = this->rows.find(change.key);
  if (known != this->rows.end() && known->second.version >= change.version) {
    return false;
  }
  const auto gone = this->dropped.find(change.key);
  if (gone != this->dropped.end()) {
    if (gone->second.version >= change.version) return false;
    this->dropped.erase(gone);
  }
  if (change.removed) {
    if (known != this->rows.end()) this->rows.erase(known);
    store::Row& record = this->dropped[change.key];
    record = change;
    record.value.clear();
  } else {
    this->rows[change.key] = change;
  }
  return true;
}

bool RowReplica::ApplyChanges(std::span<const store::Row> changes,
                              std::uint64_t new_version) {
  bool news = false;
  for (const auto& change : changes) news = this->ApplyRow(change) || news;
  this->version = std::max(this->version, new_version);
  if (this->dropped.size() > kMostDropped) {
    this->dropped.clear();
    this->history_from = this->version;
  }
  return news;
}

bool RowReplica::ApplySnapshot(std::span<const store::Row> listed,
                               std::uint64_t new_version) {
  if (new_version < this->version) return false;
  std::set<std::string_view> present;
  for (const auto& row : listed) present.insert(row.key);
  std::vector<store::Row> changes(listed.begin(), listed.end());
  for (const auto& [key, row] : this->rows) {
    if (present.contains(key) || row.version > new_version) continue;
    store::Row& change = changes.emplace_back(row);
    change.removed = true;
    change.version = new_version;
  }
  // Rows that came and went unseen before are not among the dropped ones.
  this->history_from = new_version;
  return this->ApplyChanges(changes, new_version);
}

bool RowReplica::HasHistorySince(std::uint64_t since) const {
  return since >= this->history_from;
}

std::vector<store::Row> RowReplica::ChangesAfter(std::uint64_t after) const {
  std::vector<store::Row> changes;
  for (const auto* part : {&this->rows, &this->dropped}) {
    for (const auto& [key, row] : *part) {
      if (row.version > after) changes.push_back(row);
    }
  }
  return changes;
}

}  // namespace chervilmux::replica
