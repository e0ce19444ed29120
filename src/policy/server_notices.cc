#include "policy/server_notices.h"

#include <algorithm>
#include <chrono>

namespace chervilmux::policy {
namespace {

using kernel::Duration;
using kernel::Instant;

/// Far above the time for which a draining server runs.
constexpr auto kUnlistedMemory = std::chrono::hours(1);

}  // namespace

std::string_view NameOf(NoticeKind kind) {
  return kind == NoticeKind::kDraining ? "draining" : "back-off";
}

bool ServerNotices::OnDraining(const ServerRun& server,
                               std::string_view request_id, Instant now) {
  const DrainNotice notice{
      {NoticeKind::kDraining, std::string(request_id), now},
      now + model::kLeavingServerGracePeriod};
  this->forget_at.try_emplace(server, now + kUnlistedMemory);
  return this->draining.try_emplace(server, notice).second;
}

const DrainNotice* ServerNotices::FindDraining(std::string_view id,
                                               std::uint64_t life) const {
  if (this->draining.empty()) return nullptr;
  const auto found = this->draining.find({std::string(id), life});
  return found == this->draining.end() ? nullptr : &found->second;
}

bool ServerNotices::OnBackOff(const ServerRun& server, const BackOffTime& time,
                              std::string_view request_id, Instant now) {
  const Instant asked_until = now + std::min(time.asked, kMaxBackOff);
  BackOffNotice& back_off = this->back_offs[server];
  if (asked_until <= back_off.asked_until) return false;
  back_off = {{NoticeKind::kBackOff, std::string(request_id), now},
              asked_until,
              asked_until + time.delay};
  this->forget_at[server] = now + kUnlistedMemory;
  return true;
}

const BackOffNotice* ServerNotices::FindBackOff(std::string_view id,
                                                std::uint64_t life) const {
  if (this->back_offs.empty()) return nullptr;
  const auto found = this->back_offs.find({std::string(id), life});
  return found == this->back_offs.end() ? nullptr : &found->second;
}

Instant ServerNotices::BackOffEnd(std::string_view id,
                                  std::uint64_t life) const {
  const BackOffNotice* back_off = this->FindBackOff(id, life);
  return back_off == nullptr ? kernel::kNever : back_off->until;
}

bool ServerNotices::MayStart(std::string_view id, std::uint64_t life,
                             Instant now) const {
  const BackOffNotice* back_off = this->FindBackOff(id, life);
  return back_off == nullptr || (now >= back_off->until &&
                                 back_off->in_flight < back_off->max_in_flight);
}

void ServerNotices::OnListedAnew(const ServerRun& server) {
  const auto found = this->back_offs.find(server);
  if (found != this->back_offs.end()) found->second.in_flight = 0;
}

void ServerNotices::OnSent(const model::BackendServer& server) {
  const auto found = this->back_offs.find({server.id, server.life});
  if (found != this->back_offs.end()) found->second.in_flight += 1;
}

void ServerNotices::OnCompletion(const model::BackendServer& server,
                                 Instant sent_at, bool served) {
  const auto found = this->back_offs.find({server.id, server.life});
  if (found == this->back_offs.end()) return;
  BackOffNotice& back_off = found->second;
  // Requests from before say nothing about how the server is now.
  if (sent_at < back_off.until) return;
  if (back_off.in_flight > 0) back_off.in_flight -= 1;
  if (served) back_off.max_in_flight += 1;
  if (back_off.max_in_flight > server.slots) this->back_offs.erase(found);
}

void ServerNotices::Update(std::span<const model::BackendServer> listed,
                           Instant now) {
  if (this->forget_at.empty()) return;
  for (const auto& server : listed) {
    const auto known = this->forget_at.find({server.id, server.life});
    if (known != this->forget_at.end()) known->second = now + kUnlistedMemory;
  }
  std::erase_if(this->forget_at, [&](const auto& entry) {
    const bool forget = now >= entry.second;
    if (forget) {
      this->draining.erase(entry.first);
      this->back_offs.erase(entry.first);
    }
    return forget;
  });
}

}  // namespace chervilmux::policy
