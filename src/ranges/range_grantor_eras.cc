// RangeGrantor: the store returns from an older copy of itself.

#include <algorithm>
#include <utility>

#include "ranges/range_grantor.h"

namespace chervilmux::ranges {

using kernel::Instant;

std::uint64_t RangeGrantor::NextTerm(std::uint64_t earlier) const {
  return std::max(std::max(earlier, this->table.term) + 1,
                  LowestOfEra(this->era));
}

Instant RangeGrantor::EarlierErasExpiry() const {
  // A leader that the store does not know any more renews grants for this long
  // after its last lease write, which was in an earlier era.
  return this->LatestExpiry(this->era_seen_since +
                            this->timing.renew_limit_without_store);
}

bool RangeGrantor::MayMissGrants(const GrantorRows& rows) const {
  if (rows.lease_version != 0) return rows.table && rows.table->unsettled;
  const bool heard_of_earlier_era =
      this->table.term != 0 && EraOfTerm(this->table.term) < this->era;
  return rows.table || this->has_seen_earlier_era || heard_of_earlier_era;
}

bool RangeGrantor::IsSettled() const {
  return std::ranges::none_of(this->range_states, &RangeState::may_have_moved);
}

void RangeGrantor::EnterEra(std::uint64_t later, Instant now) {
  const bool is_first = this->era_seen_since == kernel::kNever;
  this->has_seen_earlier_era = this->has_seen_earlier_era || !is_first;
  this->era = later;
  this->era_seen_since = now;
  this->seen_lease_version = 0;
  this->lease_seen_since = kernel::kNever;
  this->pending_write.reset();
  if (this->role == Role::kLeader) this->ContinueInEra(now);
}

void RangeGrantor::ContinueInEra(Instant now) {
  // Later another leader, whose commits are lost, may have moved ranges without
  // an answer of their owners.
  if (!this->MayRenewGrants(now)) {
    this->BecomeFollower(now);
    return;
  }
  RangeTable next = this->table;
  next.term = this->NextTerm(next.term);
  next.sequence = 1;
  next.last_fence = std::max(next.last_fence, LowestOfEra(this->era));
  next.unsettled = true;
  next.ranges.clear();
  for (const auto& state : this->range_states) {
    KeyRange& range = next.ranges.emplace_back(state.range);
    range.moving = false;
    if (!range.owner.empty()) range.fence = ++next.last_fence;
  }
  PendingWrite write;
  write.is_continuation = true;
  write.write.era = this->era;
  write.write.lease = {this->instance, this->life, this->lease.count + 1};
  write.write.table = std::move(next);
  write.retry_at = now;
  this->pending_write = std::move(write);
}

void RangeGrantor::ConfirmOwners(const RangeTable& committed, Instant now) {
  this->table = committed;
  // An answer to an earlier order says nothing about this era.
  this->sent_orders.clear();
  for (auto& state : this->range_states) {
    // A lost commit may have given the range to its next owner, and a range
    // without an owner to any server.
    const bool may_be_asked = state.phase != Phase::kExpiring &&
                              !state.is_committing &&
                              !state.range.owner.empty();
    if (state.is_committing) state.target = state.range_to_commit.owner;
    state.is_committing = false;
    state.order_id = 0;
    state.accepted_grant = false;
    state.may_have_moved = true;
    state.failed_orders = 0;
    state.expires_at = std::max(state.expires_at, this->EarlierErasExpiry());
    if (state.earlier_fence == 0) state.earlier_fence = state.range.fence;
    state.range.fence = committed.Find(state.range.first)->fence;
    if (may_be_asked) {
      state.phase = Phase::kOwned;
      state.target.clear();
      state.next_order_at = now;
    } else if (state.phase != Phase::kExpiring) {
      this->AwaitExpiry(state, kMayBeGranted);
    }
  }
}

}  // namespace chervilmux::ranges
