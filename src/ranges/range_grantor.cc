#include "ranges/range_grantor.h"

#include <algorithm>
#include <utility>

#include "kernel/json.h"

namespace chervilmux::ranges {
namespace {

using kernel::Duration;
using kernel::Instant;
using kernel::milliseconds;

/// Candidates of a lost lease read it at different moments within this span.
constexpr Duration kStaggerSpan = milliseconds(400);
/// A candidate reads the lease again after this.
constexpr Duration kReadPeriod = milliseconds(300);
/// A write that was turned away or lost is tried again after this.
constexpr Duration kWriteRetry = milliseconds(200);

/// One range of all keys without an owner.
RangeTable EmptyTable(const std::string& service) {
  RangeTable table;
  table.service = service;
  KeyRange all;
  all.last = kKeyCount - 1;
  table.ranges.push_back(all);
  return table;
}

}  // namespace

std::string EncodeLease(const GrantorLease& lease) {
  Json::Value json(Json::objectValue);
  json["holder"] = lease.holder;
  json["holder_life"] = Json::UInt64(lease.holder_life);
  json["count"] = Json::UInt64(lease.count);
  return kernel::PrintJson(json);
}

kernel::Result<GrantorLease> DecodeLease(std::string_view text) {
  BOOST_OUTCOME_TRY(json, kernel::ParseJson(text));
  if (!json.isObject()) {
    return kernel::Fail(kernel::ErrorKind::kMessageMalformed,
                        "lease: not an object");
  }
  GrantorLease lease;
  lease.holder = kernel::StringOr(json, "holder");
  lease.holder_life = kernel::UintOr(json, "holder_life");
  lease.count = kernel::UintOr(json, "count");
  return lease;
}

RangeGrantor::RangeGrantor(std::string service, std::string instance,
                           double stagger, const GrantorTiming& timing)
    : service(std::move(service)),
      instance(std::move(instance)),
      timing(timing),
      stagger(std::chrono::duration_cast<Duration>(kStaggerSpan * stagger)) {}

Instant RangeGrantor::LapseAfter(Instant sent) const {
  return sent +
         std::chrono::duration_cast<Duration>(this->timing.grant_duration *
                                              this->timing.clock_drift_factor) +
         this->timing.network_margin;
}

bool RangeGrantor::LeaseValid(Instant now) const {
  return this->lease_written != kernel::kNever &&
         now - this->lease_written < this->timing.lease_valid;
}

bool RangeGrantor::MayRenew(Instant now) const {
  return this->lease_written != kernel::kNever &&
         now - this->lease_written < this->timing.renew_without_store;
}

RangeGrantor::ServerState* RangeGrantor::FindServer(std::string_view id) {
  const auto found = this->servers.find(id);
  return found == this->servers.end() ? nullptr : &found->second;
}

const RangeGrantor::ServerState* RangeGrantor::FindServer(
    std::string_view id) const {
  const auto found = this->servers.find(id);
  return found == this->servers.end() ? nullptr : &found->second;
}

void RangeGrantor::OnServerList(std::span<const model::BackendServer> listed,
                                Instant now) {
  for (auto& [id, state] : this->servers) {
    const bool present =
        std::ranges::find(listed, id, &model::BackendServer::id) !=
        listed.end();
    if (present || state.gone) continue;
    state.gone = true;
    state.gone_since = now;
  }
  for (const auto& server : listed) {
    ServerState& state = this->servers[server.id];
    const bool same = state.listed.life == server.life &&
                      state.listed.address == server.address;
    if (!same) state = ServerState();
    state.gone = false;
    state.listed = server;
  }
}

void RangeGrantor::OnLeaderContact(const RangeTable& newer, Instant now) {
  if (this->role == Role::kLeader && newer.term > this->table.term) {
    this->BecomeFollower(now);
  }
  if (this->role == Role::kFollower) {
    this->leader_heard = now;
    this->table.term = std::max(this->table.term, newer.term);
  }
}

void RangeGrantor::BecomeFollower(Instant now) {
  this->role = Role::kFollower;
  this->pending.reset();
  this->sent_orders.clear();
  this->new_lapses.clear();
  this->pieces.clear();
  this->reading = false;
  this->next_read = now;
  this->lease_seen_since = kernel::kNever;
  this->seen_lease_version = 0;
}

bool RangeGrantor::HasLeaderContact(Instant now) const {
  if (this->Leads()) return true;
  return this->leader_heard != kernel::kNever &&
         now - this->leader_heard < this->timing.suspect_after + this->stagger;
}

GrantorActions RangeGrantor::Tick(Instant now) {
  GrantorActions actions;
  if (this->role == Role::kFollower) {
    this->FollowerTick(now, actions);
  } else {
    this->LeaderTick(now, actions);
    actions.expiries = std::exchange(this->new_lapses, {});
  }
  return actions;
}

void RangeGrantor::FollowerTick(Instant now, GrantorActions& actions) {
  if (this->pending) {
    this->EmitWrite(now, actions);
    return;
  }
  if (this->resigning || this->reading || this->life == 0) return;
  if (this->HasLeaderContact(now) || now < this->next_read) return;
  if (this->next_read == kernel::kNever && this->stagger.count() > 0) {
    this->next_read = now + this->stagger;
    return;
  }
  this->reading = true;
  actions.read = true;
}

void RangeGrantor::OnReadFailed(Instant now) {
  this->reading = false;
  this->next_read = now + kReadPeriod;
  if (this->pending) this->pending->retry_at = now + kWriteRetry;
}

void RangeGrantor::OnRowsRead(const GrantorRows& rows, Instant now) {
  this->reading = false;
  this->next_read = now + kReadPeriod;
  if (this->pending) {
    this->ResolvePending(rows, now);
    return;
  }
  if (this->role != Role::kFollower || this->resigning) return;
  if (rows.lease_version != this->seen_lease_version ||
      this->lease_seen_since == kernel::kNever) {
    this->seen_lease_version = rows.lease_version;
    this->lease_seen_since = now;
  }
  const auto& holder = rows.lease.holder;
  const bool vacant = rows.lease_version == 0 || holder.empty();
  const bool own = holder == this->instance;
  const bool ended =
      this->has_ended && this->has_ended(holder, rows.lease.holder_life);
  const bool expired = now - this->lease_seen_since >= this->timing.claim_after;
  if (vacant || own || ended || expired) this->Claim(rows, now);
}

Instant RangeGrantor::InheritedLapse(const GrantorRows& rows,
                                     Instant now) const {
  const auto& holder = rows.lease.holder;
  const bool ended =
      holder.empty() || holder == this->instance ||
      (this->has_ended && this->has_ended(holder, rows.lease.holder_life));
  // A holder that lives on without the store may renew for a while.
  const Instant last_order =
      ended ? now
            : std::max(now, this->lease_seen_since +
                                this->timing.renew_without_store);
  return this->LapseAfter(last_order);
}

void RangeGrantor::Claim(const GrantorRows& rows, Instant now) {
  RangeTable next = rows.table.value_or(EmptyTable(this->service));
  next.term += 1;
  next.sequence = 1;
  next.leader = this->instance;
  next.leader_life = this->life;
  next.last_fence += std::exchange(this->fence_skip, 0);
  // New tokens for the same owners: the old leader's renewals are refused from
  // the moment at which an owner has seen ours.
  for (auto& range : next.ranges) {
    range.moving = false;
    if (!range.owner.empty()) range.fence = ++next.last_fence;
  }
  Pending claim;
  claim.claim = true;
  claim.write.lease = {this->instance, this->life, rows.lease.count + 1};
  claim.write.lease_version = rows.lease_version;
  claim.write.table = std::move(next);
  claim.write.table_version = rows.table_version;
  claim.retry_at = now;
  this->claimed_lapse = this->InheritedLapse(rows, now);
  this->pending = std::move(claim);
}

/// Emits the pending write, or the read that tells whether it was performed.
void RangeGrantor::EmitWrite(Instant now, GrantorActions& actions) {
  if (!this->pending || this->pending->in_flight || this->reading) return;
  if (now < this->pending->retry_at) return;
  if (this->pending->doubtful) {
    this->reading = true;
    actions.read = true;
    return;
  }
  this->pending->in_flight = true;
  this->pending->sent_at = now;
  actions.write = this->pending->write;
}

void RangeGrantor::OnWriteReply(store::StoreStatus status,
                                std::uint64_t version, Instant now) {
  if (!this->pending || !this->pending->in_flight) return;
  this->pending->in_flight = false;
  switch (status) {
    case store::StoreStatus::kDone:
      this->OnPendingDone(version, now);
      return;
    case store::StoreStatus::kConflict:
    case store::StoreStatus::kNoAnswer:
      this->pending->doubtful = true;
      this->pending->retry_at =
          status == store::StoreStatus::kConflict ? now : now + kWriteRetry;
      return;
    case store::StoreStatus::kRejected:
    case store::StoreStatus::kHistoryGone:
      this->pending->retry_at = now + kWriteRetry;
      return;
  }
}

void RangeGrantor::ResolvePending(const GrantorRows& rows, Instant now) {
  const GrantorActions::Write& write = this->pending->write;
  const bool ours = rows.lease.holder == this->instance &&
                    rows.lease.holder_life == this->life;
  const bool table_written =
      !write.table || (rows.table && rows.table->term == write.table->term &&
                       rows.table->sequence == write.table->sequence &&
                       rows.table->leader == this->instance);
  const bool performed = ours && table_written &&
                         rows.lease.count == write.lease.count &&
                         rows.lease_version > write.lease_version;
  if (performed) {
    this->table_version = rows.table_version;
    this->OnPendingDone(rows.lease_version, now);
    // A table that was not part of this write keeps its own version.
    this->table_version = rows.table_version;
    return;
  }
  const bool unchanged = rows.lease_version == write.lease_version &&
                         rows.table_version == write.table_version;
  if (unchanged) {
    this->pending->doubtful = false;
    this->pending->retry_at = now;
    return;
  }
  // Somebody else leads, or an earlier write of ours came through late. A new
  // claim with the full takeover is right in both cases.
  this->BecomeFollower(now);
}

void RangeGrantor::OnPendingDone(std::uint64_t version, Instant now) {
  Pending done = std::move(*this->pending);
  this->pending.reset();
  this->lease = done.write.lease;
  this->lease_version = version;
  this->lease_written = done.sent_at;
  this->next_lease_write = done.sent_at + this->timing.lease_write_period;
  if (done.write.lease.holder.empty()) {
    this->BecomeFollower(now);
    return;
  }
  if (!done.write.table) return;
  this->table_version = version;
  if (done.claim) {
    this->role = Role::kLeader;
    this->next_plan = now;
    this->next_balance = now + this->timing.balance_period;
    this->AdoptTable(*done.write.table, this->claimed_lapse);
    return;
  }
  this->table.last_fence = done.write.table->last_fence;
  for (auto& piece : this->pieces) {
    if (!piece.committing) continue;
    const KeyRange committed = piece.next;
    piece = Piece();
    piece.range = committed;
    piece.phase = Phase::kOwned;
    piece.first_grant = true;
    piece.next_order = now;
  }
}

void RangeGrantor::AdoptTable(const RangeTable& adopted, Instant expires_at) {
  this->table = adopted;
  this->pieces.clear();
  this->view = RangeTable();
  for (const auto& range : adopted.ranges) {
    Piece piece;
    piece.range = range;
    if (!range.owner.empty()) {
      piece.phase = Phase::kOwned;
      piece.expires_at = expires_at;
      piece.uncertain_until = kernel::kNever;
    }
    this->pieces.push_back(std::move(piece));
  }
}

void RangeGrantor::LeaderTick(Instant now, GrantorActions& actions) {
  this->load.UpdateRates(now);
  this->CheckOwners(now);
  if (this->LeaseValid(now) && !this->resigning) this->Plan(now);
  this->PrepareWrite(now);
  this->EmitWrite(now, actions);
  if (this->MayRenew(now)) this->SendOrders(now, actions);
  this->RefreshView(actions);
}

void RangeGrantor::PrepareWrite(Instant now) {
  if (this->pending) return;
  Pending next;
  next.write.lease = {this->instance, this->life, this->lease.count + 1};
  next.write.lease_version = this->lease_version;
  next.write.table_version = this->table_version;
  next.retry_at = now;
  if (this->resigning) {
    next.write.lease.holder.clear();
    this->pending = std::move(next);
    return;
  }
  bool changed = false;
  RangeTable committed = this->table;
  committed.ranges.clear();
  for (auto& piece : this->pieces) {
    KeyRange range = piece.range;
    const ServerState* target = this->FindServer(piece.target);
    const bool assign = this->LeaseValid(now) && piece.phase == Phase::kFree &&
                        target != nullptr && target->Usable();
    if (assign) {
      range.owner = piece.target;
      range.owner_life = target->listed.life;
      range.fence = ++committed.last_fence;
      range.handover = piece.handover;
      piece.next = range;
      piece.committing = true;
      changed = true;
    }
    range.moving = false;
    committed.ranges.push_back(std::move(range));
  }
  if (changed) {
    committed.sequence = ++this->table.sequence;
    next.write.table = std::move(committed);
  } else if (now < this->next_lease_write) {
    return;
  }
  this->pending = std::move(next);
}

std::size_t RangeGrantor::ExpiringRangeCount() const {
  return static_cast<std::size_t>(
      std::ranges::count(this->pieces, Phase::kLapsing, &Piece::phase));
}

void RangeGrantor::RefreshView(GrantorActions& actions) {
  if (this->role != Role::kLeader) return;
  std::vector<KeyRange> current;
  current.reserve(this->pieces.size());
  for (const auto& piece : this->pieces) {
    KeyRange range = piece.range;
    range.handover.clear();
    range.moving = piece.phase == Phase::kReleasing ||
                   piece.phase == Phase::kFree || piece.first_grant;
    if (piece.phase == Phase::kFree && piece.target.empty()) {
      range.owner.clear();
    }
    current.push_back(std::move(range));
  }
  MergeAdjacentRanges(current);
  if (current == this->view.ranges && this->view.term == this->table.term) {
    return;
  }
  this->table.sequence += 1;
  this->view = this->table;
  this->view.ranges = std::move(current);
  actions.publish = true;
}

}  // namespace chervilmux::ranges
