#include "node/notice_outbox.h"

#include <algorithm>
#include <chrono>
#include <set>

#include "node/peer_message.h"

namespace chervilmux::node {
namespace {

using kernel::Instant;

/// Far above the time for which a draining server runs.
constexpr auto kUnlistedMemory = std::chrono::hours(1);

}  // namespace

void NoticeOutbox::Add(const policy::ServerNotice& notice, bool urgent) {
  if (notice.server.id.size() > kMaxNoticeIdBytes) return;
  Entry& entry = this->entries[{notice.server, notice.kind}];
  entry = {notice, urgent};
  entry.forget_at = notice.received_at + kUnlistedMemory;
  this->is_due = this->is_due || urgent;
}

NoticeBatch NoticeOutbox::Untold(const LeaderTerm& leader, std::size_t count,
                                 Instant now) {
  std::erase_if(this->entries, [now](const auto& entry) {
    const policy::ServerNotice& notice = entry.second.notice;
    return notice.kind == policy::NoticeKind::kBackOff && notice.until <= now;
  });
  if (leader != this->receiver) {
    this->receiver = leader;
    for (auto& [key, entry] : this->entries) entry.told = false;
  }
  // What has no room waits for the next regular sync.
  this->is_due = false;
  NoticeBatch batch{leader, {}};
  for (const auto& [key, entry] : this->entries) {
    if (batch.notices.size() == count) break;
    if (entry.listed && !entry.told) batch.notices.push_back(entry.notice);
  }
  return batch;
}

void NoticeOutbox::OnTold(const NoticeBatch& batch) {
  if (batch.receiver != this->receiver) return;
  for (const auto& notice : batch.notices) {
    const auto entry = this->entries.find({notice.server, notice.kind});
    const bool is_newest =
        entry != this->entries.end() && entry->second.notice == notice;
    if (is_newest) entry->second.told = true;
  }
  const bool has_more =
      std::ranges::any_of(this->entries, [](const auto& entry) {
        return entry.second.urgent && entry.second.listed && !entry.second.told;
      });
  this->is_due = this->is_due || has_more;
}

void NoticeOutbox::Update(std::span<const model::BackendServer> listed,
                          Instant now) {
  if (this->entries.empty()) return;
  std::set<policy::ServerRun> runs;
  for (const auto& server : listed) runs.insert({server.id, server.life});
  for (auto& [key, entry] : this->entries) {
    entry.listed = runs.contains(key.first);
    if (entry.listed) entry.forget_at = now + kUnlistedMemory;
  }
  std::erase_if(this->entries, [now](const auto& entry) {
    return now >= entry.second.forget_at;
  });
}

}  // namespace chervilmux::node
