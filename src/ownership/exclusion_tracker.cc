#include "ownership/exclusion_tracker.h"

#include <algorithm>

namespace chervilmux::ownership {

bool ListedGoneForLag(const Membership& membership, const InstanceId& instance,
                      kernel::Duration lag, kernel::Instant now) {
  return std::ranges::any_of(membership.gone, [&](const GoneInstance& gone) {
    return gone.name == instance.name &&
           gone.incarnation >= instance.incarnation && now >= gone.since + lag;
  });
}

void ExclusionTracker::Follow(const InstanceId& instance,
                              bool counterpart_is_self) {
  if (instance.Empty()) return;
  Other other;
  other.counterpart_is_self = counterpart_is_self;
  this->others.insert_or_assign(instance, other);
}

void ExclusionTracker::OnPromise(const InstanceId& instance, RowVersion version,
                                 kernel::Duration grants_valid_for,
                                 kernel::Instant now) {
  Other& other = this->others[instance];
  if (version <= other.promised) return;
  other.promised = version;
  other.promise_lapses_at = now + this->timing.Stretch(grants_valid_for);
  this->counters.by_promise += 1;
}

void ExclusionTracker::OnDropStored(const InstanceId& instance,
                                    kernel::Instant now) {
  const auto found = this->others.find(instance);
  if (found == this->others.end()) return;
  Other& other = found->second;
  if (other.drop_stored_at == kernel::kNever) other.drop_stored_at = now;
}

void ExclusionTracker::Exclude(Other& other, std::uint64_t& counter,
                               kernel::Instant now) {
  other.excluded = true;
  other.excluded_at = now;
  counter += 1;
}

void ExclusionTracker::Update(const Membership& membership,
                              kernel::Instant now) {
  const kernel::Duration budget =
      this->timing.Stretch(this->timing.isolation_budget);
  for (auto& [instance, other] : this->others) {
    if (other.excluded) continue;
    if (ListedGoneForLag(membership, instance, this->timing.list_lag, now)) {
      this->Exclude(other, this->counters.by_list, now);
      continue;
    }
    if (!other.counterpart_is_self) continue;
    if (other.drop_stored_at == kernel::kNever) continue;
    if (now < other.drop_stored_at + budget) continue;
    this->Exclude(other, this->counters.by_budget, now);
  }
}

bool ExclusionTracker::Promised(const InstanceId& instance,
                                RowVersion version) const {
  const auto found = this->others.find(instance);
  return found != this->others.end() && found->second.promised >= version;
}

bool ExclusionTracker::Cleared(const InstanceId& instance,
                               RowVersion version) const {
  return this->Excluded(instance) || this->Promised(instance, version);
}

bool ExclusionTracker::Excluded(const InstanceId& instance) const {
  const auto found = this->others.find(instance);
  return found != this->others.end() && found->second.excluded;
}

bool ExclusionTracker::GrantsLapsed(const InstanceId& instance,
                                    RowVersion version, kernel::Duration extra,
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
