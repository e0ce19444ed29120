#include "ownership/exclusion_book.h"

#include <algorithm>

namespace chervilmux::ownership {

bool IsGoneBeyondListLag(const Membership& membership,
                         const InstanceId& instance, kernel::Duration lag,
                         kernel::Instant now) {
  return std::ranges::any_of(membership.gone, [&](const GoneInstance& gone) {
    return gone.name == instance.name &&
           gone.incarnation >= instance.incarnation && now >= gone.since + lag;
  });
}

void ExclusionTracker::Track(const InstanceId& instance,
                             bool counterpart_is_self) {
  if (instance.Empty()) return;
  TrackedInstance tracked;
  tracked.counterpart_is_self = counterpart_is_self;
  this->tracked_instances.insert_or_assign(instance, tracked);
}

void ExclusionTracker::OnPromise(const InstanceId& instance, RowVersion version,
                                 kernel::Duration grants_valid_for,
                                 kernel::Instant now) {
  TrackedInstance& tracked = this->tracked_instances[instance];
  if (version <= tracked.promised_version) return;
  tracked.promised_version = version;
  tracked.promised_grants_expire_at =
      now + this->timing.AddDriftMargin(grants_valid_for);
  this->counters.by_promise += 1;
}

void ExclusionTracker::OnRemovalStored(const InstanceId& instance,
                                       kernel::Instant now) {
  const auto found = this->tracked_instances.find(instance);
  if (found == this->tracked_instances.end()) return;
  TrackedInstance& tracked = found->second;
  if (tracked.removal_stored_at == kernel::kNever)
    tracked.removal_stored_at = now;
}

void ExclusionTracker::Exclude(TrackedInstance& tracked, std::uint64_t& counter,
                               kernel::Instant now) {
  tracked.excluded = true;
  tracked.excluded_at = now;
  counter += 1;
}

void ExclusionTracker::Update(const Membership& membership,
                              kernel::Instant now) {
  const kernel::Duration budget =
      this->timing.AddDriftMargin(this->timing.isolation_budget);
  for (auto& [instance, tracked] : this->tracked_instances) {
    if (tracked.excluded) continue;
    if (IsGoneBeyondListLag(membership, instance, this->timing.list_lag, now)) {
      this->Exclude(tracked, this->counters.by_list, now);
      continue;
    }
    if (!tracked.counterpart_is_self) continue;
    if (tracked.removal_stored_at == kernel::kNever) continue;
    if (now < tracked.removal_stored_at + budget) continue;
    this->Exclude(tracked, this->counters.by_budget, now);
  }
}

bool ExclusionTracker::HasPromised(const InstanceId& instance,
                                   RowVersion version) const {
  const auto found = this->tracked_instances.find(instance);
  return found != this->tracked_instances.end() &&
         found->second.promised_version >= version;
}

bool ExclusionTracker::CannotUseRowsBefore(const InstanceId& instance,
                                           RowVersion version) const {
  return this->IsExcluded(instance) || this->HasPromised(instance, version);
}

bool ExclusionTracker::IsExcluded(const InstanceId& instance) const {
  const auto found = this->tracked_instances.find(instance);
  return found != this->tracked_instances.end() && found->second.excluded;
}

bool ExclusionTracker::GrantsExpired(const InstanceId& instance,
                                     RowVersion version,
                                     kernel::Duration margin,
                                     kernel::Instant now) const {
  if (!this->CannotUseRowsBefore(instance, version)) return false;
  const TrackedInstance& tracked = this->tracked_instances.at(instance);
  const kernel::Instant expires_at =
      tracked.promised_version >= version
          ? tracked.promised_grants_expire_at
          : tracked.excluded_at +
                this->timing.AddDriftMargin(this->timing.lease);
  return now > expires_at + margin;
}

}  // namespace chervilmux::ownership
