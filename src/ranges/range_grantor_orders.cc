// RangeGrantor: the owners' state, the plan and the orders to servers.

#include <algorithm>
#include <utility>

#include "ranges/range_grantor.h"

namespace chervilmux::ranges {
namespace {

using kernel::Duration;
using kernel::Instant;
using kernel::milliseconds;

/// After a server refused a fencing token that the committed table says is the
/// highest, the next ones skip ahead by this many.
constexpr std::uint64_t kFenceSkip = 1000;
/// A release may go to a server that left the list only for so long: later its
/// address may belong to another one.
constexpr Duration kReleaseAfterGone = milliseconds(1500);
/// Grants without an answer after which the owner's lease is left to run out.
constexpr unsigned kUnansweredLimit = 3;
/// Failed first grants after which another server is tried.
constexpr unsigned kFirstGrantLimit = 2;
/// A server that failed an order gets no new keys for this long.
constexpr Duration kAvoidTime = milliseconds(1500);

constexpr std::string_view kLeaseOver = "the owner's lease has run out";

}  // namespace

void RangeGrantor::OnLapse(Piece& piece, std::string_view why) {
  this->new_lapses.push_back({piece.range.owner, piece.range.first,
                              piece.range.last, kernel::kNever, why});
  piece.phase = Phase::kFree;
  piece.granted = false;
  // Its next grant, if any, is a new beginning.
  ServerState* owner = this->FindServer(piece.range.owner);
  if (owner != nullptr) owner->failed_in_row = 0;
}

void RangeGrantor::AwaitLapse(Piece& piece, std::string_view why) {
  piece.phase = Phase::kLapsing;
  this->new_lapses.push_back({piece.range.owner, piece.range.first,
                              piece.range.last, piece.expires_at, why});
}

/// The owner must stop: ask it if it may be asked.
void RangeGrantor::LetGo(Piece& piece, Instant now) {
  const ServerState* owner = this->FindServer(piece.range.owner);
  const bool askable =
      owner != nullptr &&
      (!owner->gone || now - owner->gone_since < kReleaseAfterGone);
  if (askable && piece.granted) {
    piece.phase = Phase::kReleasing;
    piece.next_order = now;
  } else if (piece.granted || piece.expires_at != kernel::kNever) {
    this->AwaitLapse(piece, "the owner cannot be asked");
  } else {
    piece.phase = Phase::kFree;
  }
}

void RangeGrantor::CheckOwners(Instant now) {
  for (auto& piece : this->pieces) {
    if (piece.phase == Phase::kFree || piece.order != 0) continue;
    ServerState* owner = this->FindServer(piece.range.owner);
    const bool other_life =
        owner != nullptr && owner->listed.life != piece.range.owner_life;
    if (other_life) {
      // The life that held the keys has ended. Its successor at the address
      // may have taken a renewal, so that it gets them first.
      this->OnLapse(piece, "a later life of the owner is listed");
      if (owner->Usable()) piece.target = piece.range.owner;
      continue;
    }
    const bool over = now >= piece.expires_at;
    if (piece.phase == Phase::kOwned) {
      const bool failing = owner == nullptr || owner->gone ||
                           piece.failed_orders >= kFirstGrantLimit;
      if (over && failing) {
        this->OnLapse(piece, kLeaseOver);
      } else if (owner != nullptr && owner->failed_in_row >= kUnansweredLimit) {
        this->AwaitLapse(piece, "the owner does not answer orders");
      }
      continue;
    }
    if (over) this->OnLapse(piece, kLeaseOver);
    const bool asked_in_vain =
        piece.phase == Phase::kReleasing &&
        (owner == nullptr ||
         (owner->gone && now - owner->gone_since >= kReleaseAfterGone));
    if (asked_in_vain) {
      this->AwaitLapse(piece, "the owner has gone before it let go");
    }
  }
  std::erase_if(this->servers, [now](const auto& entry) {
    constexpr Duration kForgetAfter = kernel::seconds(60);
    return entry.second.gone && now - entry.second.gone_since > kForgetAfter;
  });
}

std::vector<PlannerServer> RangeGrantor::PlannedServers() const {
  std::vector<PlannerServer> planned;
  const Instant now = this->next_plan;
  for (const auto& [id, server] : this->servers) {
    if (!server.Usable() || now < server.avoid_until) continue;
    PlannerServer& entry = planned.emplace_back();
    entry.id = id;
    entry.failure_domain = server.listed.failure_domain;
    const double speed = this->capacity_of ? this->capacity_of(id) : 1.0;
    entry.capacity = server.listed.slots * speed;
  }
  return planned;
}

std::vector<PlannerRange> RangeGrantor::PlannedRanges() const {
  std::vector<PlannerRange> planned;
  for (const auto& piece : this->pieces) {
    PlannerRange& entry = planned.emplace_back();
    entry.first = piece.range.first;
    entry.last = piece.range.last;
    const ServerState* target = this->FindServer(piece.target);
    const bool has_target = target != nullptr && target->Usable();
    entry.can_move = false;
    if (piece.committing) {
      entry.owner = piece.next.owner;
    } else if (piece.phase == Phase::kOwned) {
      const ServerState* owner = this->FindServer(piece.range.owner);
      const bool leaving =
          owner == nullptr || owner->gone || owner->listed.draining;
      entry.owner = piece.range.owner;
      entry.can_move = piece.granted && piece.order == 0;
      entry.must_move = leaving && entry.can_move;
    } else if (has_target) {
      entry.owner = piece.target;
    } else if (piece.phase != Phase::kFree) {
      // Its next owner is chosen when it is free.
      entry.owner = piece.range.owner;
    }
  }
  return planned;
}

void RangeGrantor::Plan(Instant now) {
  if (now < this->next_plan) return;
  this->next_plan = now + this->timing.plan_period;
  this->JoinPieces();
  const auto planned_servers = this->PlannedServers();
  const auto needed =
      PlanRequiredMoves(this->PlannedRanges(), planned_servers, this->load);
  for (const auto& move : needed) this->ApplyMove(move, now);
  const bool settled =
      needed.empty() && std::ranges::none_of(this->pieces, [](const Piece& p) {
        return p.phase == Phase::kReleasing || p.phase == Phase::kFree ||
               p.first_grant;
      });
  if (!settled || now < this->next_balance) return;
  this->next_balance = now + this->timing.balance_period;
  for (const auto& move :
       PlanBalancingMoves(this->PlannedRanges(), planned_servers, this->load)) {
    this->ApplyMove(move, now);
  }
}

void RangeGrantor::ApplyMove(const PlannedMove& move, Instant now) {
  this->CutPieces(move.first, move.last);
  for (auto& piece : this->pieces) {
    if (piece.range.first < move.first || piece.range.last > move.last) {
      continue;
    }
    piece.target = move.target;
    if (piece.phase == Phase::kOwned) this->LetGo(piece, now);
  }
}

void RangeGrantor::CutPieces(Key first, Key last) {
  const auto cut_before = [this](std::uint32_t key) {
    for (std::size_t i = 0; i < this->pieces.size(); ++i) {
      const KeyRange& range = this->pieces[i].range;
      if (range.first >= key || range.last < key) continue;
      Piece right = this->pieces[i];
      right.range.first = static_cast<Key>(key);
      this->pieces[i].range.last = static_cast<Key>(key - 1);
      this->pieces.insert(
          this->pieces.begin() + static_cast<std::ptrdiff_t>(i) + 1,
          std::move(right));
      return;
    }
  };
  cut_before(first);
  if (last + 1U < kKeyCount) cut_before(last + 1U);
}

void RangeGrantor::JoinPieces() {
  // A write under way refers to pieces as they are.
  if (this->pending && this->pending->write.table) return;
  std::vector<Piece> joined;
  for (auto& piece : this->pieces) {
    const bool same_owner =
        !joined.empty() && piece.phase == Phase::kOwned &&
        joined.back().phase == Phase::kOwned && piece.granted &&
        joined.back().granted && piece.order == 0 && joined.back().order == 0 &&
        piece.range.owner == joined.back().range.owner &&
        piece.range.owner_life == joined.back().range.owner_life;
    if (!same_owner) {
      joined.push_back(std::move(piece));
      continue;
    }
    Piece& left = joined.back();
    left.range.last = piece.range.last;
    left.range.fence = std::max(left.range.fence, piece.range.fence);
    left.range.handover.clear();
    left.expires_at = std::max(left.expires_at, piece.expires_at);
    left.uncertain_until =
        std::max(left.uncertain_until, piece.uncertain_until);
    left.next_order = std::min(left.next_order, piece.next_order);
    left.failed_orders = std::max(left.failed_orders, piece.failed_orders);
  }
  this->pieces = std::move(joined);
}

bool RangeGrantor::CanJoinGrant(const Piece& left, const Piece& right) const {
  return right.phase == Phase::kOwned && right.order == 0 &&
         right.granted == left.granted &&
         left.range.owner == right.range.owner &&
         left.range.owner_life == right.range.owner_life && !left.first_grant &&
         !right.first_grant;
}

void RangeGrantor::SendOrders(Instant now, GrantorActions& actions) {
  const Duration sooner =
      this->LeaseValid(now)
          ? Duration(0)
          : this->timing.renew_period - this->timing.renew_period_without_store;
  for (std::size_t i = 0; i < this->pieces.size(); ++i) {
    Piece& piece = this->pieces[i];
    const bool renewal = piece.granted && piece.failed_orders == 0;
    const Instant due = renewal ? piece.next_order - sooner : piece.next_order;
    if (piece.order != 0 || now < due) continue;
    const ServerState* owner = this->FindServer(piece.range.owner);
    if (owner == nullptr) continue;
    if (piece.phase == Phase::kReleasing) {
      this->SendRelease(piece, now, actions);
      continue;
    }
    const bool same_life = owner->listed.life == piece.range.owner_life;
    if (piece.phase != Phase::kOwned || owner->gone || !same_life) continue;
    std::size_t last = i;
    while (last + 1 < this->pieces.size() &&
           this->CanJoinGrant(this->pieces[last], this->pieces[last + 1])) {
      last += 1;
    }
    this->SendGrant(i, last, now, actions);
    i = last;
  }
}

void RangeGrantor::SendGrant(std::size_t from, std::size_t to, Instant now,
                             GrantorActions& actions) {
  RangeOrder order;
  order.id = ++this->last_order;
  order.kind = OrderKind::kGrant;
  order.server = this->pieces[from].range.owner;
  order.address = this->FindServer(order.server)->listed.address;
  order.first = this->pieces[from].range.first;
  order.last = this->pieces[to].range.last;
  order.grant_duration = this->timing.grant_duration;
  order.timeout = this->timing.order_timeout;
  if (from == to) order.handover = this->pieces[from].range.handover;
  for (std::size_t i = from; i <= to; ++i) {
    this->pieces[i].order = order.id;
    order.fence = std::max(order.fence, this->pieces[i].range.fence);
  }
  const std::uint64_t owner_life = this->pieces[from].range.owner_life;
  this->sent_orders[order.id] = {order, owner_life, now};
  actions.orders.push_back(std::move(order));
}

void RangeGrantor::SendRelease(Piece& piece, Instant now,
                               GrantorActions& actions) {
  RangeOrder order;
  order.id = ++this->last_order;
  order.kind = OrderKind::kRelease;
  order.server = piece.range.owner;
  order.address = this->FindServer(order.server)->listed.address;
  order.first = piece.range.first;
  order.last = piece.range.last;
  order.fence = piece.range.fence;
  order.timeout = this->timing.release_timeout;
  piece.order = order.id;
  this->sent_orders[order.id] = {order, piece.range.owner_life, now};
  actions.orders.push_back(std::move(order));
}

void RangeGrantor::NoteReply(ServerState& server, OrderOutcome end,
                             Instant now) {
  switch (end) {
    case OrderOutcome::kAccepted:
    case OrderOutcome::kHigherFence:
      server.failed_in_row = 0;
      return;
    case OrderOutcome::kNotSent:
      server.avoid_until = now + kAvoidTime;
      return;
    case OrderOutcome::kNoAnswer:
      server.failed_in_row += 1;
      server.avoid_until = now + kAvoidTime;
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
    this->NoteReply(*server, reply.end, now);
  }
  if (reply.end == OrderOutcome::kHigherFence) {
    // Either another instance leads by now, or our tokens are too low.
    this->fence_skip = kFenceSkip;
    this->BecomeFollower(now);
    return;
  }
  for (auto& piece : this->pieces) {
    if (piece.order != reply.id) continue;
    piece.order = 0;
    if (sent.order.kind == OrderKind::kGrant) {
      this->OnGrantReply(piece, sent, reply, now);
    } else {
      this->OnReleaseReply(piece, reply, now);
    }
  }
}

void RangeGrantor::OnGrantReply(Piece& piece, const SentOrder& sent,
                                const OrderReply& reply, Instant now) {
  switch (reply.end) {
    case OrderOutcome::kAccepted:
      // An order that was carried out late still runs from its arrival.
      piece.expires_at = std::max(piece.expires_at, this->LapseAfter(now));
      piece.granted = true;
      piece.first_grant = false;
      piece.failed_orders = 0;
      piece.range.handover.clear();
      piece.range.fence = std::max(piece.range.fence, sent.order.fence);
      piece.next_order = sent.sent_at + this->timing.renew_period;
      return;
    case OrderOutcome::kNoAnswer:
      piece.expires_at = std::max(piece.expires_at, this->LapseAfter(now));
      piece.uncertain_until =
          std::max(piece.uncertain_until, this->LapseAfter(now));
      break;
    case OrderOutcome::kNotSent:
    case OrderOutcome::kHigherFence:
      break;
  }
  piece.failed_orders += 1;
  piece.next_order = now + this->timing.retry_period;
  const bool never_held = piece.expires_at == kernel::kNever;
  if (never_held && piece.failed_orders >= kFirstGrantLimit) {
    piece.phase = Phase::kFree;
    piece.first_grant = false;
    piece.target.clear();
  }
}

void RangeGrantor::OnReleaseReply(Piece& piece, const OrderReply& reply,
                                  Instant now) {
  if (piece.phase != Phase::kReleasing) return;
  if (reply.end != OrderOutcome::kAccepted) {
    piece.next_order = now + this->timing.retry_period;
    return;
  }
  piece.handover = reply.handover;
  piece.granted = false;
  if (now < piece.uncertain_until) {
    // An order without an answer may be carried out after the release.
    piece.expires_at = piece.uncertain_until;
    this->AwaitLapse(piece, "an earlier order got no answer");
  } else {
    piece.phase = Phase::kFree;
  }
}

}  // namespace chervilmux::ranges
