// RangeGrantor: state of the owners, planning, and orders to servers.

#include <algorithm>
#include <utility>

#include "ranges/range_grantor.h"

namespace chervilmux::ranges {
namespace {

using kernel::Duration;
using kernel::Instant;
using kernel::milliseconds;

/// If a server has seen a higher fencing token than the committed table
/// contains, the next tokens skip ahead by this many.
constexpr std::uint64_t kFenceIncrement = 1000;
/// A release may be sent to a server only for this long after the store stopped
/// listing it: later its address may belong to another server.
constexpr Duration kMaxReleaseDelayAfterGone = milliseconds(1500);
/// After this many consecutive unanswered orders the grantor waits for the
/// grant of the owner to expire.
constexpr unsigned kMaxUnansweredOrders = 3;
/// After this many failed first grants another server is chosen.
constexpr unsigned kMaxFirstGrantFailures = 2;
/// A server that failed an order gets no new keys for this long.
constexpr Duration kAvoidDuration = milliseconds(1500);

/// A release that takes longer, for example because its server does not answer,
/// does not hold up other moves.
constexpr Duration kSlowRelease = milliseconds(700);
/// The first owners are chosen when no further server has registered for this
/// long, at the latest `kMaxFirstPlanDelay` after the first one.
constexpr Duration kFirstPlanDelay = milliseconds(500);
constexpr Duration kMaxFirstPlanDelay = milliseconds(5000);

constexpr std::string_view kGrantExpired = "the owner's grant has expired";

}  // namespace

void RangeGrantor::MarkFree(RangeState& state, std::string_view why) {
  this->new_expiries.push_back({state.range.owner, state.range.first,
                                state.range.last, kernel::kNever, why});
  state.phase = Phase::kFree;
  state.accepted_grant = false;
  state.may_have_moved = false;
  state.earlier_leader_may_renew = false;
  // The next grant to this owner starts a new count of failures.
  ServerState* owner = this->FindServer(state.range.owner);
  if (owner != nullptr) owner->consecutive_failures = 0;
}

void RangeGrantor::AwaitExpiry(RangeState& state, std::string_view why) {
  state.phase = Phase::kExpiring;
  this->new_expiries.push_back({state.range.owner, state.range.first,
                                state.range.last, state.expires_at, why});
}

void RangeGrantor::AwaitRestartedOwner(RangeState& state) {
  if (state.phase == Phase::kOwnerRestarted) return;
  state.phase = Phase::kOwnerRestarted;
  state.target = state.range.owner;
  state.accepted_grant = false;
  this->new_expiries.push_back({state.range.owner, state.range.first,
                                state.range.last, state.expires_at,
                                "a later incarnation of the owner is listed"});
  // The next grant to this owner starts a new count of failures.
  ServerState* owner = this->FindServer(state.range.owner);
  if (owner != nullptr) owner->consecutive_failures = 0;
}

/// Starts to take the range from its owner: by a release if the owner can be
/// asked, otherwise by expiry of the grant.
void RangeGrantor::StartRelease(RangeState& state, Instant now) {
  const ServerState* owner = this->FindServer(state.range.owner);
  const bool can_ask_release =
      owner != nullptr && owner->listed.life == state.range.owner_life &&
      (!owner->gone || now - owner->gone_since < kMaxReleaseDelayAfterGone);
  if (can_ask_release && state.accepted_grant) {
    state.phase = Phase::kReleasing;
    state.releasing_since = now;
    state.next_order_at = now;
  } else if (state.accepted_grant || state.expires_at != kernel::kNever) {
    this->AwaitExpiry(state, "the owner cannot be asked to release");
  } else {
    state.phase = Phase::kFree;
  }
}

Duration RangeGrantor::LateOrderTime(const ServerState& owner) const {
  const bool has_answered_since = owner.answered_at != kernel::kNever &&
                                  owner.answered_at > owner.unanswered_at;
  if (has_answered_since || !this->order_wait) return Duration(0);
  return std::max(Duration(0), this->order_wait() - this->timing.order_timeout);
}

void RangeGrantor::CheckOwners(Instant now) {
  for (auto& state : this->range_states) {
    if (state.phase == Phase::kFree || state.order_id != 0) continue;
    // What becomes of the range is decided when the write is done.
    if (state.is_committing) continue;
    const ServerState* owner = this->FindServer(state.range.owner);
    const bool has_new_incarnation =
        owner != nullptr && owner->listed.life > state.range.owner_life;
    const bool is_reserved =
        has_new_incarnation && !state.may_have_moved && owner->CanReceiveKeys();
    if (is_reserved) {
      this->AwaitRestartedOwner(state);
    } else if (state.phase == Phase::kOwnerRestarted) {
      this->AwaitExpiry(state,
                        "a later incarnation of the owner can get no keys");
    }
    // An earlier incarnation is listed by a store that returned from a copy.
    const bool other_incarnation =
        owner != nullptr && owner->listed.life != state.range.owner_life;
    const Duration late_order_time =
        owner == nullptr ? Duration(0) : this->LateOrderTime(*owner);
    const bool grant_expired = now >= state.expires_at + late_order_time;
    if (state.phase == Phase::kOwned) {
      const bool owner_failed = owner == nullptr || owner->gone ||
                                other_incarnation ||
                                state.failed_orders >= kMaxFirstGrantFailures;
      if (grant_expired && owner_failed) {
        this->MarkFree(state, kGrantExpired);
      } else if (owner != nullptr &&
                 owner->consecutive_failures >= kMaxUnansweredOrders) {
        this->AwaitExpiry(state, "the owner does not answer orders");
      }
      continue;
    }
    if (grant_expired) this->MarkFree(state, kGrantExpired);
    const bool release_impossible =
        state.phase == Phase::kReleasing &&
        (owner == nullptr || other_incarnation ||
         (owner->gone && now - owner->gone_since >= kMaxReleaseDelayAfterGone));
    if (release_impossible) {
      this->AwaitExpiry(
          state,
          "the owner is no longer listed and has not released the range");
    }
  }
  std::erase_if(this->servers, [now](const auto& entry) {
    // The state of a server is kept for this long after the store stopped
    // listing the server.
    constexpr Duration kGoneServerRetention = kernel::seconds(60);
    return entry.second.gone &&
           now - entry.second.gone_since > kGoneServerRetention;
  });
}

std::vector<PlannerServer> RangeGrantor::MakePlannerServers() const {
  std::vector<PlannerServer> planner_servers;
  const Instant now = this->next_plan_at;
  for (const auto& [id, server] : this->servers) {
    if (!this->WantsKeys(server, now) || now < server.avoid_until) continue;
    PlannerServer& entry = planner_servers.emplace_back();
    entry.id = id;
    entry.failure_domain = server.listed.failure_domain;
    const double speed = this->capacity_of ? this->capacity_of(id) : 1.0;
    entry.capacity = server.listed.slots * speed;
  }
  return planner_servers;
}

std::vector<PlannerRange> RangeGrantor::MakePlannerRanges() const {
  std::vector<PlannerRange> planner_ranges;
  for (const auto& state : this->range_states) {
    PlannerRange& entry = planner_ranges.emplace_back();
    entry.first = state.range.first;
    entry.last = state.range.last;
    const bool has_target = this->CanReachTarget(state, this->next_plan_at);
    entry.can_move = false;
    if (state.is_committing) {
      entry.owner = state.range_to_commit.owner;
    } else if (state.phase == Phase::kOwned) {
      const ServerState* owner = this->FindServer(state.range.owner);
      const bool leaving =
          owner == nullptr || owner->gone || owner->listed.draining;
      entry.owner = state.range.owner;
      entry.can_move = state.accepted_grant && state.order_id == 0;
      const bool store_answers =
          owner == nullptr || this->lease_written_at >= owner->draining_told_at;
      entry.must_move = leaving && entry.can_move && store_answers;
    } else if (has_target) {
      entry.owner = state.target;
    } else if (state.phase != Phase::kFree) {
      // The next owner is chosen when the range is free.
      entry.owner = state.range.owner;
    }
  }
  return planner_ranges;
}

void RangeGrantor::PlanMoves(Instant now) {
  if (now < this->next_plan_at || this->AwaitsMoreServers(now)) return;
  this->next_plan_at = now + this->timing.plan_period;
  this->MergeRangeStates();
  const auto planned_servers = this->MakePlannerServers();
  const auto required_moves =
      PlanRequiredMoves(this->MakePlannerRanges(), planned_servers, this->load);
  for (const auto& move : required_moves) this->ApplyMove(move, now);
  if (now < this->next_balance_at || !this->SomeWantKeys(now)) return;
  PlannerOptions options;
  options.moves_in_progress = this->CountMovesInProgress(now);
  const BalancingPlan plan = PlanBalancingMoves(
      this->MakePlannerRanges(), planned_servers, this->load, options);
  for (const auto& move : plan.moves) this->ApplyMove(move, now);
  this->next_balance_at = now + (plan.limited ? this->timing.plan_period
                                              : this->timing.balance_period);
}

std::size_t RangeGrantor::CountMovesInProgress(Instant now) const {
  return static_cast<std::size_t>(
      std::ranges::count_if(this->range_states, [now](const RangeState& state) {
        const bool releases = state.phase == Phase::kReleasing &&
                              now - state.releasing_since < kSlowRelease;
        return releases || state.phase == Phase::kOwnerRestarted ||
               state.phase == Phase::kFree || state.awaits_first_grant;
      }));
}

bool RangeGrantor::AwaitsMoreServers(Instant now) const {
  // Once a key has been granted, a plan for all keys would only add moves.
  const bool has_owners = std::ranges::any_of(
      this->range_states,
      [](const RangeState& state) { return !state.range.owner.empty(); });
  if (has_owners) return false;
  return now < this->server_added_at + kFirstPlanDelay &&
         now < this->first_server_at + kMaxFirstPlanDelay;
}

void RangeGrantor::ApplyMove(const PlannedMove& move, Instant now) {
  this->SplitRangeStates(move.first, move.last);
  for (auto& state : this->range_states) {
    if (state.range.first < move.first || state.range.last > move.last) {
      continue;
    }
    state.target = move.target;
    if (state.phase == Phase::kOwned) this->StartRelease(state, now);
  }
}

void RangeGrantor::SplitRangeStates(Key first, Key last) {
  const auto split_before = [this](std::uint32_t key) {
    for (std::size_t i = 0; i < this->range_states.size(); ++i) {
      const KeyRange& range = this->range_states[i].range;
      if (range.first >= key || range.last < key) continue;
      RangeState right = this->range_states[i];
      right.range.first = static_cast<Key>(key);
      this->range_states[i].range.last = static_cast<Key>(key - 1);
      this->range_states.insert(
          this->range_states.begin() + static_cast<std::ptrdiff_t>(i) + 1,
          std::move(right));
      return;
    }
  };
  split_before(first);
  if (last + 1U < kKeyCount) split_before(last + 1U);
}

void RangeGrantor::MergeRangeStates() {
  // OnPendingWriteDone() updates the range states that the write contains.
  if (this->pending_write && this->pending_write->write.table) return;
  std::vector<RangeState> merged;
  for (auto& state : this->range_states) {
    const bool same_owner =
        !merged.empty() && state.phase == Phase::kOwned &&
        merged.back().phase == Phase::kOwned && state.accepted_grant &&
        merged.back().accepted_grant && state.order_id == 0 &&
        merged.back().order_id == 0 &&
        state.range.owner == merged.back().range.owner &&
        state.range.owner_life == merged.back().range.owner_life;
    if (!same_owner) {
      merged.push_back(std::move(state));
      continue;
    }
    RangeState& left = merged.back();
    left.range.last = state.range.last;
    left.range.fence = std::max(left.range.fence, state.range.fence);
    left.range.handover.clear();
    left.expires_at = std::max(left.expires_at, state.expires_at);
    left.outcome_unknown_until =
        std::max(left.outcome_unknown_until, state.outcome_unknown_until);
    left.next_order_at = std::min(left.next_order_at, state.next_order_at);
    left.failed_orders = std::max(left.failed_orders, state.failed_orders);
  }
  this->range_states = std::move(merged);
}

bool RangeGrantor::CanShareGrant(const RangeState& left,
                                 const RangeState& right) const {
  return right.phase == Phase::kOwned && right.order_id == 0 &&
         right.accepted_grant == left.accepted_grant &&
         (right.earlier_fence != 0) == (left.earlier_fence != 0) &&
         left.range.owner == right.range.owner &&
         left.range.owner_life == right.range.owner_life &&
         !left.awaits_first_grant && !right.awaits_first_grant;
}

void RangeGrantor::SendOrders(Instant now, GrantorActions& actions) {
  // Renewals are sent earlier by this while the lease cannot be written.
  const Duration advance =
      this->IsLeaseValid(now)
          ? Duration(0)
          : this->timing.renew_period - this->timing.renew_period_without_store;
  for (std::size_t i = 0; i < this->range_states.size(); ++i) {
    RangeState& state = this->range_states[i];
    const bool is_renewal = state.accepted_grant && state.failed_orders == 0;
    const Instant due_at =
        is_renewal ? state.next_order_at - advance : state.next_order_at;
    if (state.order_id != 0 || now < due_at) continue;
    const ServerState* owner = this->FindServer(state.range.owner);
    if (owner == nullptr) continue;
    if (state.phase == Phase::kReleasing) {
      this->SendRelease(state, now, actions);
      continue;
    }
    const bool same_incarnation = owner->listed.life == state.range.owner_life;
    if (state.phase != Phase::kOwned || owner->gone || !same_incarnation)
      continue;
    std::size_t last = i;
    while (last + 1 < this->range_states.size() &&
           this->CanShareGrant(this->range_states[last],
                               this->range_states[last + 1])) {
      last += 1;
    }
    this->SendGrant(i, last, now, actions);
    i = last;
  }
}

void RangeGrantor::SendGrant(std::size_t from, std::size_t to, Instant now,
                             GrantorActions& actions) {
  RangeOrder order;
  order.id = ++this->last_order_id;
  order.kind = OrderKind::kGrant;
  order.server = this->range_states[from].range.owner;
  order.address = this->FindServer(order.server)->listed.address;
  order.first = this->range_states[from].range.first;
  order.last = this->range_states[to].range.last;
  order.grant_duration = this->timing.grant_duration;
  order.timeout = this->timing.order_timeout;
  if (from == to) order.handover = this->range_states[from].range.handover;
  order.is_renewal = true;
  for (std::size_t i = from; i <= to; ++i) {
    order.is_renewal = order.is_renewal &&
                       this->range_states[i].accepted_grant &&
                       this->range_states[i].failed_orders == 0;
    this->range_states[i].order_id = order.id;
    const RangeState& state = this->range_states[i];
    const std::uint64_t fence =
        state.earlier_fence != 0 ? state.earlier_fence : state.range.fence;
    order.fence = std::max(order.fence, fence);
  }
  const std::uint64_t owner_life = this->range_states[from].range.owner_life;
  this->sent_orders[order.id] = {order, owner_life, now};
  actions.orders.push_back(std::move(order));
}

void RangeGrantor::SendRelease(RangeState& state, Instant now,
                               GrantorActions& actions) {
  RangeOrder order;
  order.id = ++this->last_order_id;
  order.kind = OrderKind::kRelease;
  order.server = state.range.owner;
  order.address = this->FindServer(order.server)->listed.address;
  order.first = state.range.first;
  order.last = state.range.last;
  order.fence = state.range.fence;
  order.timeout = this->timing.release_timeout;
  state.order_id = order.id;
  this->sent_orders[order.id] = {order, state.range.owner_life, now};
  actions.orders.push_back(std::move(order));
}

void RangeGrantor::RecordReply(ServerState& server, OrderOutcome end,
                               Instant now) {
  switch (end) {
    case OrderOutcome::kAccepted:
    case OrderOutcome::kHigherFence:
      server.consecutive_failures = 0;
      server.answered_at = now;
      return;
    case OrderOutcome::kNotSent:
      server.avoid_until = now + kAvoidDuration;
      return;
    case OrderOutcome::kNoAnswer:
      server.consecutive_failures += 1;
      server.unanswered_at = now;
      server.avoid_until = now + kAvoidDuration;
      return;
  }
}

void RangeGrantor::OnOrderReply(const OrderReply& reply, Instant now) {
  const auto found = this->sent_orders.find(reply.id);
  if (found == this->sent_orders.end()) return;
  const SentOrder sent = std::move(found->second);
  this->sent_orders.erase(found);
  ServerState* server = this->FindServer(sent.order.server);
  if (server != nullptr && server->listed.life == sent.life) {
    this->RecordReply(*server, reply.end, now);
  }
  if (reply.end == OrderOutcome::kHigherFence) {
    // Either another instance leads now, or the fencing tokens here are too
    // low.
    this->claim_fence_increment = kFenceIncrement;
    this->BecomeFollower(now);
    return;
  }
  for (auto& state : this->range_states) {
    if (state.order_id != reply.id) continue;
    state.order_id = 0;
    if (sent.order.kind == OrderKind::kGrant) {
      this->OnGrantReply(state, sent, reply, now);
    } else {
      this->OnReleaseReply(state, reply, now);
    }
  }
}

void RangeGrantor::OnGrantReply(RangeState& state, const SentOrder& sent,
                                const OrderReply& reply, Instant now) {
  switch (reply.end) {
    case OrderOutcome::kAccepted:
      // The grant may run from as late as now: the server may have executed the
      // order long after it was sent.
      state.expires_at = std::max(state.expires_at, this->LatestExpiry(now));
      if (state.earlier_fence != 0) {
        // Now a token of the new era, which makes the owner refuse the renewals
        // of a leader that the store has lost.
        state.earlier_fence = 0;
        state.failed_orders = 0;
        state.next_order_at = now;
        return;
      }
      state.accepted_grant = true;
      state.may_have_moved = false;
      state.earlier_leader_may_renew = false;
      state.awaits_first_grant = false;
      state.failed_orders = 0;
      state.range.handover.clear();
      state.range.fence = std::max(state.range.fence, sent.order.fence);
      state.next_order_at = sent.sent_at + this->timing.renew_period;
      return;
    case OrderOutcome::kNoAnswer:
      state.expires_at = std::max(state.expires_at, this->LatestExpiry(now));
      state.outcome_unknown_until =
          std::max(state.outcome_unknown_until, this->LatestExpiry(now));
      break;
    case OrderOutcome::kNotSent:
    case OrderOutcome::kHigherFence:
      break;
  }
  state.failed_orders += 1;
  state.next_order_at = now + this->timing.retry_period;
  const bool never_held = state.expires_at == kernel::kNever;
  if (never_held && state.failed_orders >= kMaxFirstGrantFailures) {
    state.phase = Phase::kFree;
    state.awaits_first_grant = false;
    state.target.clear();
  }
}

void RangeGrantor::OnReleaseReply(RangeState& state, const OrderReply& reply,
                                  Instant now) {
  if (state.phase != Phase::kReleasing) return;
  if (reply.end != OrderOutcome::kAccepted) {
    state.next_order_at = now + this->timing.retry_period;
    return;
  }
  state.handover = reply.handover;
  state.accepted_grant = false;
  if (now < state.outcome_unknown_until) {
    // An unanswered order may be executed after the release.
    state.expires_at = state.outcome_unknown_until;
    this->AwaitExpiry(state, "an earlier order to the owner got no answer");
  } else {
    state.phase = Phase::kFree;
  }
}

}  // namespace chervilmux::ranges
