#include "policy/server_notices.h"

#include <chrono>

namespace chervilmux::policy {
namespace {

using kernel::Instant;

/// Far above the time for which a draining server runs.
constexpr auto kUnlistedMemory = std::chrono::hours(1);

}  // namespace

bool ServerNotices::OnDraining(const ServerRun& server,
                               std::string_view request_id, Instant now) {
  const DrainNotice notice{{std::string(request_id), now},
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

void ServerNotices::Update(std::span<const model::BackendServer> listed,
                           Instant now) {
  if (this->forget_at.empty()) return;
  for (const auto& server : listed) {
    const auto known = this->forget_at.find({server.id, server.life});
    if (known != this->forget_at.end()) known->second = now + kUnlistedMemory;
  }
  std::erase_if(this->forget_at, [&](const auto& entry) {
    const bool forget = now >= entry.second;
    if (forget) this->draining.erase(entry.first);
    return forget;
  });
}

}  // namespace chervilmux::policy
