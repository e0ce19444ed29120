#include "node/server_list.h"

#include <algorithm>
#include <cstdint>
#include <set>
#include <span>
#include <string_view>
#include <utility>
#include <vector>

namespace chervilmux::node {
namespace {

using kernel::Duration;
using kernel::Instant;
using kernel::milliseconds;

/// A server that vanishes without having announced it stays in use so long:
/// an outage of the store may become known only after its first news.
constexpr Duration kUnannouncedGrace = milliseconds(800);
/// An outage of the whole store makes many rows run out together. One that only
/// some instances notice does not, and must not keep servers that have left.
constexpr double kOutageShare = 0.3;
/// After the store's last failure entries that ran out meanwhile are back
/// within about 2 s.
constexpr Duration kReturnTime = milliseconds(2300);
/// Servers that are gone and remembered; copies of the store are some seconds
/// old.
constexpr std::size_t kMaxGone = 4096;
/// So many are left when there are more: it costs a look at all of them.
constexpr std::size_t kKeptGone = 3072;

/// Orders the reports of a server.
std::pair<std::uint64_t, std::uint64_t> ReportOrder(
    const model::BackendServer& server) {
  return {server.life, server.report_number};
}

}  // namespace

void ServerList::NoteRestored() {
  this->restored = true;
  for (auto& [id, record] : this->known) {
    record.may_be_old = true;
    const auto gap = this->missing.find(id);
    const bool expected = gap != this->missing.end() && gap->second.lost;
    record.left = !this->listed.contains(id) && !expected;
  }
}

void ServerList::NoteDeparture(const Known& record,
                               const model::BackendServer& row) {
  const model::BackendServer& server = record.server;
  const bool drains = server.draining && !row.draining;
  if (!record.left && !drains) return;
  this->departures.push_back(
      {row.id, server.life, server.report_number, record.left});
}

bool ServerList::LearnFromPeer(std::span<const Departure> told, Instant now) {
  bool any_news = false;
  for (const auto& departure : told) {
    const auto found = this->known.find(departure.id);
    if (found == this->known.end() || found->second.left ||
        !this->listed.contains(departure.id)) {
      continue;
    }
    Known& record = found->second;
    const std::pair as_of(departure.life, departure.report_number);
    if (ReportOrder(record.server) > as_of) continue;
    // The life that is listed here has ended when a later one is known.
    const bool left = departure.left || record.server.life != departure.life;
    if (!left && record.server.draining) continue;
    record.may_be_old = true;
    record.left = left;
    if (record.server.life == departure.life)
      record.server.report_number = departure.report_number;
    record.server.draining = true;
    any_news = true;
    // It left before a restore, at a time that no proof of the rows tells.
    this->earliest_until = kernel::kNever;
    const auto used = this->in_use.find(departure.id);
    if (!left || used == this->in_use.end()) continue;
    // It was seen to leave: no outage explains that it is missing.
    used->second.draining = true;
    this->missing.insert_or_assign(departure.id, Missing{now, now});
  }
  return any_news;
}

ServersById ServerList::WithoutOldReports(const ServersById& rows,
                                          Instant now) {
  ServersById current;
  this->departures.clear();
  for (const auto& [id, row] : rows) {
    const auto [entry, is_new] = this->known.try_emplace(id);
    Known& record = entry->second;
    const bool later = is_new || !record.may_be_old ||
                       ReportOrder(row) > ReportOrder(record.server);
    if (!later) this->NoteDeparture(record, row);
    if (later) {
      record = {row, now};
    } else if (record.left) {
      continue;
    } else if (ReportOrder(row) == ReportOrder(record.server)) {
      const bool draining = record.server.draining || row.draining;
      record.server = row;
      record.server.draining = draining;
    }
    record.listed_at = now;
    current[id] = record.server;
  }
  return current;
}

/// Of the servers that are gone, those that were listed last are kept.
void ServerList::ForgetOldest() {
  const std::size_t present = this->listed.size() + this->missing.size();
  if (this->known.size() <= present + kMaxGone) return;
  std::vector<std::pair<Instant, std::string_view>> gone;
  for (const auto& [id, record] : this->known) {
    if (!this->listed.contains(id) && !this->missing.contains(id)) {
      gone.emplace_back(record.listed_at, id);
    }
  }
  std::ranges::sort(gone);
  std::set<std::string, std::less<>> forgotten;
  for (const auto& [listed_at, id] :
       std::span(gone).first(gone.size() - kKeptGone)) {
    forgotten.emplace(id);
  }
  std::erase_if(this->known, [&forgotten](const auto& entry) {
    return forgotten.contains(entry.first);
  });
}

void ServerList::Update(const ServersById& rows, Instant unchanged_until,
                        Instant now) {
  Missing gap{now, now + kUnannouncedGrace};
  if (unchanged_until != kernel::kNever) {
    gap.keep_until = std::min(
        gap.keep_until, unchanged_until + model::kLeavingServerGracePeriod);
  }
  const ServersById current = this->WithoutOldReports(rows, now);
  if (this->restored) {
    gap.lost = true;
    gap.keep_until = now + kReturnTime;
  }
  for (const auto& [id, server] : this->in_use) {
    if (current.contains(id)) continue;
    if (gap.lost && !this->known.at(id).left) {
      this->missing.insert_or_assign(id, gap);
    } else {
      this->missing.try_emplace(id, gap);
    }
  }
  // A row that comes after this was written in this era.
  for (auto& [id, record] : this->known) {
    if (!rows.contains(id)) record.left = false;
  }
  std::erase_if(this->missing, [&current](const auto& entry) {
    return current.contains(entry.first);
  });
  this->listed = current;
  this->rows_changed = true;
  this->earliest_until = std::min(this->earliest_until, unchanged_until);
  this->restored = false;
  this->ForgetOldest();
}

bool ServerList::LooksLikeOutage() const {
  const auto unannounced =
      std::ranges::count_if(this->missing, [this](const auto& entry) {
        const auto server = this->in_use.find(entry.first);
        return server != this->in_use.end() && !server->second.draining;
      });
  return static_cast<double>(unannounced) >=
         kOutageShare * static_cast<double>(this->in_use.size());
}

ServerList::Keeping ServerList::KeepingOf(const model::BackendServer& server,
                                          const Missing& gap,
                                          Instant now) const {
  if (gap.lost && now < gap.keep_until) return Keeping::kForAMoment;
  if (server.draining) return Keeping::kDropped;
  if (now < gap.keep_until) return Keeping::kForAMoment;
  // Only an outage that was under way shortly before explains the gap.
  const bool is_explained = this->LooksLikeOutage() &&
                            this->store_failed_at != kernel::kNever &&
                            this->store_failed_at + kReturnTime > gap.since;
  const bool may_return = now < this->store_failed_at + kReturnTime;
  return is_explained && may_return ? Keeping::kExcused : Keeping::kDropped;
}

bool ServerList::Refresh(Instant now) {
  // Asked every few milliseconds: only rows and time for missing ones matter.
  if (!this->rows_changed && this->missing.empty()) return false;
  this->rows_changed = false;
  // Without new rows only servers that were missing go.
  this->in_use_until =
      std::min(std::exchange(this->earliest_until, Instant::max()), now);
  ServersById next = this->listed;
  this->excused = 0;
  for (const auto& [id, gap] : this->missing) {
    const auto server = this->in_use.find(id);
    if (server == this->in_use.end()) continue;
    const Keeping keeping = this->KeepingOf(server->second, gap, now);
    if (keeping != Keeping::kDropped) next.insert(*server);
    if (keeping == Keeping::kExcused) this->excused += 1;
  }
  std::erase_if(this->missing, [&next](const auto& entry) {
    return !next.contains(entry.first);
  });
  if (next == this->in_use) return false;
  this->in_use = std::move(next);
  return true;
}

}  // namespace chervilmux::node
