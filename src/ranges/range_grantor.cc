#include "ranges/range_grantor.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "kernel/json.h"

namespace chervilmux::ranges {
namespace {

using kernel::Duration;
using kernel::Instant;
using kernel::milliseconds;

/// Followers first read a lost lease at different times within this span.
constexpr Duration kMaxClaimJitter = milliseconds(400);
/// A follower reads the lease row and the table row again after this time.
constexpr Duration kReadRetryPeriod = milliseconds(300);
/// A write that the store rejected or did not answer is retried after this
/// time.
constexpr Duration kWriteRetryDelay = milliseconds(200);

/// Far above the time for which a draining server runs.
constexpr Duration kUnlistedMemory = std::chrono::hours(1);

/// The first era of a store. In a later one missing rows may have been lost.
constexpr std::uint64_t kFirstEra = 1;

/// Returns a table with one range of all keys and no owner.
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
                        "lease row: not a JSON object");
  }
  GrantorLease lease;
  lease.holder = kernel::StringOr(json, "holder");
  lease.holder_life = kernel::UintOr(json, "holder_life");
  lease.count = kernel::UintOr(json, "count");
  return lease;
}

RangeGrantor::RangeGrantor(std::string service, std::string instance,
                           double claim_jitter, const GrantorTiming& timing)
    : service(std::move(service)),
      instance(std::move(instance)),
      timing(timing),
      claim_jitter(std::chrono::duration_cast<Duration>(kMaxClaimJitter *
                                                        claim_jitter)) {}

Instant RangeGrantor::LatestExpiry(Instant sent) const {
  return sent +
         std::chrono::duration_cast<Duration>(this->timing.grant_duration *
                                              this->timing.clock_drift_factor) +
         this->timing.network_margin;
}

bool RangeGrantor::IsLeaseValid(Instant now) const {
  return this->lease_written_at != kernel::kNever &&
         now - this->lease_written_at < this->timing.lease_valid;
}

bool RangeGrantor::MayRenewGrants(Instant now) const {
  return this->lease_written_at != kernel::kNever &&
         now - this->lease_written_at < this->timing.renew_limit_without_store;
}

bool RangeGrantor::MayHaveResigned() const {
  return this->pending_write &&
         this->pending_write->write.lease.holder.empty() &&
         (this->pending_write->in_flight ||
          this->pending_write->was_unanswered);
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
    const bool still_listed =
        std::ranges::find(listed, id, &model::BackendServer::id) !=
        listed.end();
    if (still_listed || state.gone) continue;
    state.gone = true;
    state.gone_since = now;
  }
  for (const auto& server : listed) {
    const auto [entry, is_new] = this->servers.try_emplace(server.id);
    if (is_new) this->server_added_at = now;
    if (this->first_server_at == kernel::kNever) this->first_server_at = now;
    ServerState& state = entry->second;
    const bool same_incarnation = state.listed.life == server.life &&
                                  state.listed.address == server.address;
    if (!same_incarnation) state = ServerState();
    state.gone = false;
    state.listed = server;
    this->ApplyNotice(state);
  }
  this->ForgetOldNotices(now);
}

RangeGrantor::ToldByServer* RangeGrantor::NoticeEntry(std::string_view id,
                                                      std::uint64_t server_life,
                                                      Instant now) {
  const ServerState* state = this->FindServer(id);
  if (state == nullptr || server_life < state->listed.life) return nullptr;
  const auto entry = this->told_by_servers.try_emplace(std::string(id)).first;
  ToldByServer& told = entry->second;
  if (server_life < told.life) return nullptr;
  if (server_life > told.life) {
    told = ToldByServer();
    told.life = server_life;
  }
  told.forget_at = now + kUnlistedMemory;
  return &told;
}

bool RangeGrantor::OnServerDraining(std::string_view id,
                                    std::uint64_t server_life, Instant now) {
  ToldByServer* told = this->NoticeEntry(id, server_life, now);
  if (told == nullptr || told->draining_told_at != kernel::kNever) return false;
  told->draining_told_at = now;
  this->last_notice_at = now;
  this->ApplyNotice(*this->FindServer(id));
  return true;
}

void RangeGrantor::OnServerBackOff(std::string_view id,
                                   std::uint64_t server_life, Instant until,
                                   Instant now) {
  ToldByServer* told = this->NoticeEntry(id, server_life, now);
  if (told == nullptr) return;
  told->back_off_until = std::max(told->back_off_until, until);
  this->ApplyNotice(*this->FindServer(id));
}

bool RangeGrantor::SomeWantKeys(Instant now) const {
  return std::ranges::any_of(this->servers, [this, now](const auto& entry) {
    return this->IsReadyForKeys(entry.second, now);
  });
}

bool RangeGrantor::IsReadyForKeys(const ServerState& server,
                                  Instant now) const {
  return server.CanReceiveKeys() && now >= server.back_off_until &&
         !(this->is_cold && this->is_cold(server.listed.id));
}

bool RangeGrantor::WantsKeys(const ServerState& server, Instant now) const {
  if (!server.CanReceiveKeys()) return false;
  return this->IsReadyForKeys(server, now) || !this->SomeWantKeys(now);
}

bool RangeGrantor::CanReachTarget(const RangeState& state, Instant now) const {
  const ServerState* target = this->FindServer(state.target);
  if (target == nullptr) return false;
  // A later incarnation of the owner may hold the range already.
  if (state.target == state.range.owner) return target->CanReceiveKeys();
  return this->WantsKeys(*target, now);
}

void RangeGrantor::ApplyNotice(ServerState& state) const {
  const auto told = this->told_by_servers.find(state.listed.id);
  if (told == this->told_by_servers.end() ||
      told->second.life != state.listed.life) {
    return;
  }
  state.back_off_until = told->second.back_off_until;
  state.draining_told_at = told->second.draining_told_at;
  if (state.draining_told_at != kernel::kNever) state.listed.draining = true;
}

void RangeGrantor::ForgetOldNotices(Instant now) {
  for (auto& [id, told] : this->told_by_servers) {
    const ServerState* state = this->FindServer(id);
    if (state != nullptr && !state->gone)
      told.forget_at = now + kUnlistedMemory;
  }
  std::erase_if(this->told_by_servers, [now](const auto& entry) {
    return now >= entry.second.forget_at;
  });
}

void RangeGrantor::OnLeaderContact(const RangeTable& newer, Instant now) {
  if (this->role == Role::kLeader && newer.term > this->table.term) {
    this->BecomeFollower(now);
  }
  if (this->role == Role::kFollower) {
    this->last_leader_contact = now;
    this->is_contact_hearsay = false;
    this->table.term = std::max(this->table.term, newer.term);
  }
}

void RangeGrantor::OnLeaderHeardOf(Instant heard_at) {
  if (this->role != Role::kFollower || heard_at <= this->last_leader_contact)
    return;
  this->last_leader_contact = heard_at;
  this->is_contact_hearsay = true;
}

void RangeGrantor::OnLeaderResigned(Instant now) {
  this->is_resigning = false;
  if (this->role != Role::kFollower) return;
  this->last_leader_contact = kernel::kNever;
  this->next_read_at = now;
}

void RangeGrantor::BecomeFollower(Instant now) {
  this->role = Role::kFollower;
  this->pending_write.reset();
  this->sent_orders.clear();
  this->new_expiries.clear();
  this->range_states.clear();
  this->is_reading_rows = false;
  this->next_read_at = now;
  this->lease_seen_since = kernel::kNever;
  this->seen_lease_version = 0;
}

bool RangeGrantor::HasLeaderContact(Instant now) const {
  if (this->Leads()) return true;
  const Duration suspect_after = this->is_contact_hearsay
                                     ? this->timing.suspect_after_hearsay
                                     : this->timing.suspect_after;
  return this->last_leader_contact != kernel::kNever &&
         now - this->last_leader_contact < suspect_after + this->claim_jitter;
}

GrantorActions RangeGrantor::Tick(Instant now) {
  GrantorActions actions;
  if (this->role == Role::kFollower) {
    this->FollowerTick(now, actions);
  } else {
    this->LeaderTick(now, actions);
    actions.expiries = std::exchange(this->new_expiries, {});
  }
  return actions;
}

void RangeGrantor::FollowerTick(Instant now, GrantorActions& actions) {
  if (this->pending_write) {
    this->EmitWrite(now, actions);
    return;
  }
  if (this->is_resigning || this->is_reading_rows || this->life == 0) return;
  if (this->HasLeaderContact(now) || now < this->next_read_at) return;
  if (this->next_read_at == kernel::kNever && this->claim_jitter.count() > 0) {
    this->next_read_at = now + this->claim_jitter;
    return;
  }
  this->is_reading_rows = true;
  actions.read = true;
}

void RangeGrantor::OnReadFailed(Instant now) {
  this->is_reading_rows = false;
  this->next_read_at = now + kReadRetryPeriod;
  if (this->pending_write)
    this->pending_write->retry_at = now + kWriteRetryDelay;
}

bool RangeGrantor::OnLeaseRead(const GrantorRows& rows, Instant now) {
  const bool is_known_era =
      this->era_seen_since != kernel::kNever && rows.era == this->era;
  if (!is_known_era || this->pending_write || this->role != Role::kFollower ||
      this->is_resigning) {
    return true;
  }
  this->next_read_at = now + kReadRetryPeriod;
  this->NoteLease(rows, now);
  if (this->MayClaim(rows, now)) return true;
  this->is_reading_rows = false;
  return false;
}

/// A lease that was renewed between two reads shows that its holder leads, as
/// well as a contact would: the next read comes as late as after one.
void RangeGrantor::NoteLease(const GrantorRows& rows, Instant now) {
  const bool is_first = this->lease_seen_since == kernel::kNever;
  const bool read_lately =
      this->lease_read_at != kernel::kNever &&
      now - this->lease_read_at < this->timing.lease_timeout;
  this->lease_read_at = now;
  if (!is_first && rows.lease_version == this->seen_lease_version) {
    // The order of claims is that of the jitters, not of the turns to read.
    const Instant expires_at =
        this->lease_seen_since + this->timing.lease_timeout;
    if (expires_at > now)
      this->next_read_at = std::min(this->next_read_at, expires_at);
    return;
  }
  this->seen_lease_version = rows.lease_version;
  this->lease_seen_since = now;
  if (!is_first && read_lately && rows.lease_version != 0) {
    this->next_read_at = now + this->timing.suspect_after + this->claim_jitter;
  }
}

bool RangeGrantor::MayClaim(const GrantorRows& rows, Instant now) const {
  const auto& holder = rows.lease.holder;
  // A missing lease may be one that the store has lost, whose holder runs.
  const bool may_be_lost = rows.lease_version == 0 &&
                           (this->era > kFirstEra || this->MayMissGrants(rows));
  const bool lease_vacant = holder.empty() && !may_be_lost;
  const bool is_own_lease = holder == this->instance;
  const bool holder_ended =
      this->has_ended && this->has_ended(holder, rows.lease.holder_life);
  const bool lease_expired =
      now - this->lease_seen_since >= this->timing.lease_timeout;
  return lease_vacant || is_own_lease || holder_ended || lease_expired;
}

void RangeGrantor::OnRowsRead(const GrantorRows& rows, Instant now) {
  if (rows.era < this->era) {
    // Read before the store lost these rows.
    this->OnReadFailed(now);
    return;
  }
  this->is_reading_rows = false;
  this->next_read_at = now + kReadRetryPeriod;
  const bool is_first_answer = this->era_seen_since == kernel::kNever;
  if (is_first_answer || rows.era > this->era) this->EnterEra(rows.era, now);
  if (this->pending_write) {
    this->ResolvePendingWrite(rows, now);
    return;
  }
  if (this->role != Role::kFollower || this->is_resigning) return;
  this->NoteLease(rows, now);
  if (this->MayClaim(rows, now)) this->Claim(rows, now);
}

Instant RangeGrantor::InheritedExpiry(const GrantorRows& rows,
                                      Instant now) const {
  if (this->MayMissGrants(rows)) {
    return std::max(this->EarlierErasExpiry(),
                    this->LatestExpiry(std::max(
                        now, this->lease_seen_since +
                                 this->timing.renew_limit_without_store)));
  }
  // A leader that still runs may renew grants without the store until this
  // time.
  const Instant latest_order_at =
      this->EarlierLeaderMayRenew(rows)
          ? std::max(now, this->lease_seen_since +
                              this->timing.renew_limit_without_store)
          : now;
  return this->LatestExpiry(latest_order_at);
}

bool RangeGrantor::EarlierLeaderMayRenew(const GrantorRows& rows) const {
  if (rows.table && rows.table->earlier_leader_may_renew) return true;
  const auto& holder = rows.lease.holder;
  const bool holder_ended =
      holder.empty() || holder == this->instance ||
      (this->has_ended && this->has_ended(holder, rows.lease.holder_life));
  return !holder_ended;
}

void RangeGrantor::Claim(const GrantorRows& rows, Instant now) {
  RangeTable next = rows.table.value_or(EmptyTable(this->service));
  next.term = this->NextTerm(next.term);
  next.sequence = 1;
  next.leader = this->instance;
  next.leader_life = this->life;
  next.last_fence = std::max(next.last_fence, LowestOfEra(this->era)) +
                    std::exchange(this->claim_fence_increment, 0);
  next.unsettled = this->MayMissGrants(rows);
  next.earlier_leader_may_renew = this->EarlierLeaderMayRenew(rows);
  // The owners get new fencing tokens: once an owner has seen its new token, it
  // refuses renewals from the previous leader.
  for (auto& range : next.ranges) {
    range.moving = false;
    if (!range.owner.empty()) range.fence = ++next.last_fence;
  }
  PendingWrite claim;
  claim.is_claim = true;
  claim.write.era = this->era;
  claim.write.lease = {this->instance, this->life, rows.lease.count + 1};
  claim.write.lease_version = rows.lease_version;
  claim.write.table = std::move(next);
  claim.write.table_version = rows.table_version;
  claim.retry_at = now;
  this->inherited_expiry = this->InheritedExpiry(rows, now);
  this->pending_write = std::move(claim);
}

/// Adds the pending write to `actions`, or, if its outcome is unknown, the read
/// that finds out whether the store performed it.
void RangeGrantor::EmitWrite(Instant now, GrantorActions& actions) {
  if (!this->pending_write || this->pending_write->in_flight ||
      this->is_reading_rows)
    return;
  if (now < this->pending_write->retry_at) return;
  if (this->pending_write->outcome_unknown) {
    this->is_reading_rows = true;
    actions.read = true;
    return;
  }
  this->pending_write->in_flight = true;
  this->pending_write->sent_at = now;
  this->pending_write->write.id = ++this->last_write_id;
  actions.write = this->pending_write->write;
}

void RangeGrantor::OnWriteReply(const GrantorWriteReply& reply, Instant now) {
  const bool is_awaited = this->pending_write &&
                          this->pending_write->in_flight &&
                          reply.id == this->pending_write->write.id;
  if (reply.era > this->era) {
    // The pending write is for rows of an earlier era, in which it was not
    // performed.
    if (is_awaited && !this->pending_write->was_unanswered) {
      for (auto& state : this->range_states) state.is_committing = false;
    }
    this->EnterEra(reply.era, now);
    return;
  }
  if (!is_awaited) return;
  this->pending_write->in_flight = false;
  const bool is_earlier = reply.era < this->pending_write->write.era;
  const auto status = is_earlier && reply.status == store::StoreStatus::kDone
                          ? store::StoreStatus::kNoAnswer
                          : reply.status;
  switch (status) {
    case store::StoreStatus::kDone:
      this->OnPendingWriteDone(reply.version, now);
      return;
    case store::StoreStatus::kConflict:
    case store::StoreStatus::kNoAnswer:
      this->pending_write->outcome_unknown = true;
      this->pending_write->was_unanswered =
          this->pending_write->was_unanswered ||
          status == store::StoreStatus::kNoAnswer;
      this->pending_write->retry_at = status == store::StoreStatus::kConflict
                                          ? now
                                          : now + kWriteRetryDelay;
      return;
    case store::StoreStatus::kRejected:
    case store::StoreStatus::kHistoryGone:
      this->pending_write->retry_at = now + kWriteRetryDelay;
      return;
  }
}

void RangeGrantor::ResolvePendingWrite(const GrantorRows& rows, Instant now) {
  const GrantorActions::Write& write = this->pending_write->write;
  const bool is_own_lease = rows.lease.holder == this->instance &&
                            rows.lease.holder_life == this->life;
  const bool table_written =
      !write.table || (rows.table && rows.table->term == write.table->term &&
                       rows.table->sequence == write.table->sequence &&
                       rows.table->leader == this->instance);
  const bool write_performed = is_own_lease && table_written &&
                               rows.lease.count == write.lease.count &&
                               rows.lease_version > write.lease_version;
  if (write_performed) {
    this->table_version = rows.table_version;
    this->OnPendingWriteDone(rows.lease_version, now);
    // A write without a table leaves the version of the table row as it was
    // read.
    this->table_version = rows.table_version;
    return;
  }
  const bool rows_unchanged = rows.lease_version == write.lease_version &&
                              rows.table_version == write.table_version;
  if (rows_unchanged) {
    this->pending_write->outcome_unknown = false;
    this->pending_write->retry_at = now;
    return;
  }
  // Either another instance leads, or an earlier write of this instance was
  // performed late. A new claim with the full takeover is correct in both
  // cases.
  this->BecomeFollower(now);
}

void RangeGrantor::OnPendingWriteDone(std::uint64_t version, Instant now) {
  PendingWrite done = std::move(*this->pending_write);
  this->pending_write.reset();
  this->lease = done.write.lease;
  this->lease_version = version;
  this->lease_written_at = done.sent_at;
  this->next_lease_write_at = done.sent_at + this->timing.lease_write_period;
  if (done.write.lease.holder.empty()) {
    this->BecomeFollower(now);
    return;
  }
  if (!done.write.table) return;
  this->table_version = version;
  if (done.is_continuation) {
    this->ConfirmOwners(*done.write.table, now);
    return;
  }
  if (done.is_claim) {
    this->role = Role::kLeader;
    this->next_plan_at = now;
    this->next_balance_at = now + this->timing.balance_period;
    this->AdoptTable(*done.write.table, this->inherited_expiry);
    return;
  }
  this->table.last_fence = done.write.table->last_fence;
  this->table.unsettled = done.write.table->unsettled;
  this->table.earlier_leader_may_renew =
      done.write.table->earlier_leader_may_renew;
  for (auto& state : this->range_states) {
    if (state.is_committing) this->BeginOwnership(state, now);
  }
}

void RangeGrantor::BeginOwnership(RangeState& state, Instant now) const {
  RangeState owned;
  owned.range = state.range_to_commit;
  owned.phase = Phase::kOwned;
  owned.awaits_first_grant = true;
  owned.next_order_at = now;
  if (state.phase == Phase::kOwnerRestarted) {
    // Orders to the incarnation before may have reached this one.
    owned.expires_at = state.expires_at;
    owned.outcome_unknown_until = state.outcome_unknown_until;
    owned.earlier_leader_may_renew = state.earlier_leader_may_renew;
  }
  state = std::move(owned);
}

void RangeGrantor::AdoptTable(const RangeTable& adopted, Instant expires_at) {
  this->table = adopted;
  this->range_states.clear();
  this->published_table = RangeTable();
  for (const auto& range : adopted.ranges) {
    RangeState state;
    state.range = range;
    if (adopted.unsettled) {
      state.expires_at = expires_at;
      state.may_have_moved = true;
      state.target = range.owner;
      this->AwaitExpiry(state, kMayBeGranted);
    } else if (!range.owner.empty()) {
      state.phase = Phase::kOwned;
      state.expires_at = expires_at;
      state.outcome_unknown_until = kernel::kNever;
    }
    state.earlier_leader_may_renew =
        adopted.earlier_leader_may_renew && !range.owner.empty();
    this->range_states.push_back(std::move(state));
  }
}

void RangeGrantor::LeaderTick(Instant now, GrantorActions& actions) {
  this->load.UpdateRates(now);
  this->CheckOwners(now);
  if (this->IsLeaseValid(now) && !this->is_resigning) this->PlanMoves(now);
  this->PrepareWrite(now);
  this->EmitWrite(now, actions);
  // Who follows after a resignation counts no later grants.
  if (this->MayRenewGrants(now) && !this->MayHaveResigned())
    this->SendOrders(now, actions);
  this->RefreshPublishedTable(now, actions);
}

bool RangeGrantor::CanAssign(const RangeState& state, Instant now) const {
  const bool has_vacancy =
      state.phase == Phase::kFree || state.phase == Phase::kOwnerRestarted;
  return has_vacancy && this->IsLeaseValid(now) && !this->is_resigning &&
         this->CanReachTarget(state, now);
}

void RangeGrantor::PrepareWrite(Instant now) {
  if (this->pending_write) return;
  PendingWrite next;
  next.write.era = this->era;
  next.write.lease = {this->instance, this->life, this->lease.count + 1};
  next.write.lease_version = this->lease_version;
  next.write.table_version = this->table_version;
  next.retry_at = now;
  // A successor has to wait for the grants that an unsettled table misses.
  if (this->is_resigning && !this->table.unsettled) {
    next.write.lease.holder.clear();
    this->pending_write = std::move(next);
    return;
  }
  RangeTable committed_table = this->table;
  committed_table.unsettled = this->table.unsettled && !this->IsSettled();
  committed_table.earlier_leader_may_renew = std::ranges::any_of(
      this->range_states, &RangeState::earlier_leader_may_renew);
  bool changed = committed_table.unsettled != this->table.unsettled ||
                 committed_table.earlier_leader_may_renew !=
                     this->table.earlier_leader_may_renew;
  committed_table.ranges.clear();
  for (auto& state : this->range_states) {
    KeyRange range = state.range;
    if (this->CanAssign(state, now)) {
      range.owner = state.target;
      range.owner_life = this->FindServer(state.target)->listed.life;
      range.fence = ++committed_table.last_fence;
      range.handover = state.handover;
      state.range_to_commit = range;
      state.is_committing = true;
      changed = true;
    }
    range.moving = false;
    committed_table.ranges.push_back(std::move(range));
  }
  if (changed) {
    committed_table.sequence = ++this->table.sequence;
    next.write.table = std::move(committed_table);
  } else if (now < this->next_lease_write_at &&
             this->lease_written_at >= this->last_notice_at) {
    return;
  }
  this->pending_write = std::move(next);
}

std::size_t RangeGrantor::ExpiringRangeCount() const {
  return static_cast<std::size_t>(std::ranges::count(
      this->range_states, Phase::kExpiring, &RangeState::phase));
}

void RangeGrantor::RefreshPublishedTable(Instant now, GrantorActions& actions) {
  if (this->role != Role::kLeader || now < this->next_publish_at) return;
  std::vector<KeyRange> current;
  current.reserve(this->range_states.size());
  for (const auto& state : this->range_states) {
    KeyRange range = state.range;
    range.handover.clear();
    range.moving = state.phase == Phase::kReleasing ||
                   state.phase == Phase::kOwnerRestarted ||
                   state.phase == Phase::kFree || state.awaits_first_grant;
    if (state.phase == Phase::kFree && state.target.empty()) {
      range.owner.clear();
    }
    current.push_back(std::move(range));
  }
  MergeAdjacentRanges(current);
  if (current == this->published_table.ranges &&
      this->published_table.term == this->table.term) {
    return;
  }
  this->table.sequence += 1;
  this->published_table = this->table;
  this->published_table.ranges = std::move(current);
  this->next_publish_at = now + this->timing.publish_period;
  actions.publish = true;
}

}  // namespace chervilmux::ranges
