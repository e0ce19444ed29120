#include "policy/evacuation.h"

namespace chervilmux::policy {
namespace {

using kernel::Duration;
using kernel::Instant;

/// Reserved for the way of a request to its server, part of which may be spent
/// on a new connection.
constexpr Duration kDeliveryMargin = kernel::milliseconds(400);

}  // namespace

EvacuationChange Evacuation::Update(const FailureDomains& domains,
                                    Instant not_before, Duration bound) {
  EvacuationChange change;
  std::erase_if(this->entries, [&](const auto& entry) {
    if (domains.contains(entry.first)) return false;
    change.ended.push_back(entry.first);
    return true;
  });
  for (const auto& domain : domains) {
    const auto [found, is_new] =
        this->entries.try_emplace(domain, Entry{not_before, kernel::kNever});
    Entry& entry = found->second;
    const Instant deadline = entry.not_before == kernel::kNever
                                 ? kernel::kNever
                                 : entry.not_before + bound - kDeliveryMargin;
    if (is_new) {
      change.begun.push_back(domain);
    } else if (deadline != entry.owner_deadline) {
      change.has_moved_deadlines = true;
    }
    entry.owner_deadline = deadline;
  }
  return change;
}

std::optional<Instant> Evacuation::OwnerDeadline(
    std::string_view domain) const {
  const auto found = this->entries.find(domain);
  if (found == this->entries.end()) return std::nullopt;
  return found->second.owner_deadline;
}

FailureDomains Evacuation::Domains() const {
  FailureDomains domains;
  for (const auto& [domain, entry] : this->entries) domains.insert(domain);
  return domains;
}

}  // namespace chervilmux::policy
