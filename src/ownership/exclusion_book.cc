#include "ownership/exclusion_book.h"

#include <algorithm>

namespace chervilmux::ownership {

bool ListedGoneForLag(const Neighbourhood& neighbourhood,
                      const InstanceId& instance, kernel::Duration lag,
                      kernel::Instant now) {
  return std::ranges::any_of(neighbourhood.gone, [&](const ListedGone& gone) {
    return gone.name == instance.name &&
           gone.incarnation >= instance.incarnation && now >= gone.since + lag;
  });
}

void ExclusionBook::Follow(const InstanceId& instance,
                           bool counterpart_is_self) {
  if (instance.Empty()) return;
  Other other;
  other.counterpart_is_self = counterpart_is_self;
  this->others.insert_or_assign(instance, other);
}

void ExclusionBook::OnPromise(const InstanceId& instance, RowVersion version,
                              kernel::Duration grants_left,
                              kernel::Instant now) {
  Other& other = this->others[instance];
  if (version <= other.promised) return;
  other.promised = version;
  other.promise_lapses_at = now + this->timing.Stretch(grants_left);
  this->counters.by_promise += 1;
}

void ExclusionBook::OnDropStored(const InstanceId& instance,
                                 kernel::Instant now) {
  const auto found = this->others.find(instance);
  if (found == this->others.end()) return;
  Other& other = found->second;
  if (other.drop_stored_at == kernel::kNever) other.drop_stored_at = now;
}

void ExclusionBook::Exclude(Other& other, std::uint64_t& counter,
                            kernel::Instant now) {
  other.excluded = true;
  other.excluded_at = now;
  counter += 1;
}

void ExclusionBook::Update(const Neighbourhood& neighbourhood,
                           kernel::Instant now) {
  const kernel::Duration budget =
      this->timing.Stretch(this->timing.isolation_budget);
  for (auto& [instance, other] : this->others) {
    if (other.excluded) continue;
    if (ListedGoneForLag(neighbourhood, instance, this->timing.list_lag, now)) {
      this->Exclude(other, this->counters.by_list, now);
      continue;
    }
    if (!other.counterpart_is_self) continue;
    if (other.drop_stored_at == kernel::kNever) continue;
    if (now < other.drop_stored_at + budget) continue;
    this->Exclude(other, this->counters.by_budget, now);
  }
}

bool ExclusionBook::Promised(const InstanceId& instance,
                             RowVersion version) const {
  const auto found = this->others.find(instance);
  return found != this->others.end() && found->second.promised >= version;
}

bool ExclusionBook::Cleared(const InstanceId& instance,
                            RowVersion version) const {
  return this->Excluded(instance) || this->Promised(instance, version);
}

bool ExclusionBook::Excluded(const InstanceId& instance) const {
  const auto found = this->others.find(instance);
  return found != this->others.end() && found->second.excluded;
}

bool ExclusionBook::GrantsLapsed(const InstanceId& instance, RowVersion version,
                                 kernel::Duration extra,
                                 kernel::Instant now) const {
  if (!this->Cleared(instance, version)) return false;
  const Other& other = this->others.at(instance);
  const kernel::Instant lapses_at =
      other.promised >= version
          ? other.promise_lapses_at
          : other.excluded_at + this->timing.Stretch(this->timing.lease);
  return now > lapses_at + extra;
}

}  // namespace chervilmux::ownership
