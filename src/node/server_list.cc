#include "node/server_list.h"

#include <algorithm>
#include <utility>

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

}  // namespace

void ServerList::Update(const ServersById& rows, Instant unchanged_until,
                        Instant now) {
  Missing gap{now, now + kUnannouncedGrace};
  if (unchanged_until != kernel::kNever) {
    gap.keep_until = std::min(
        gap.keep_until, unchanged_until + model::kLeavingServerGracePeriod);
  }
  for (const auto& [id, server] : this->in_use) {
    if (!rows.contains(id)) this->missing.try_emplace(id, gap);
  }
  std::erase_if(this->missing,
                [&](const auto& entry) { return rows.contains(entry.first); });
  this->listed = rows;
  this->rows_changed = true;
}

void ServerList::NoteStoreTrouble(Instant at) {
  this->trouble_at = std::max(this->trouble_at, at);
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

bool ServerList::KeepsMissing(const model::BackendServer& server,
                              const Missing& gap, Instant now) const {
  if (server.draining) return false;
  if (now < gap.keep_until) return true;
  // Only an outage that was under way shortly before explains the gap.
  const bool explained = this->LooksLikeOutage() &&
                         this->trouble_at != kernel::kNever &&
                         this->trouble_at + kReturnTime > gap.since;
  return explained && now < this->trouble_at + kReturnTime;
}

bool ServerList::Refresh(Instant now) {
  // Asked every few milliseconds: only rows and time for missing ones matter.
  if (!this->rows_changed && this->missing.empty()) return false;
  this->rows_changed = false;
  ServersById next = this->listed;
  for (const auto& [id, gap] : this->missing) {
    const auto server = this->in_use.find(id);
    const bool keep = server != this->in_use.end() &&
                      this->KeepsMissing(server->second, gap, now);
    if (keep) next.insert(*server);
  }
  std::erase_if(this->missing, [&next](const auto& entry) {
    return !next.contains(entry.first);
  });
  if (next == this->in_use) return false;
  this->in_use = std::move(next);
  return true;
}

}  // namespace chervilmux::node
