#include "ownership/cell_machine.h"

#include <algorithm>
#include <utility>

namespace chervilmux::ownership {
namespace {

using kernel::Instant;

bool Contains(std::span<const InstanceId> list, const InstanceId& instance) {
  return std::ranges::find(list, instance) != list.end();
}

}  // namespace

CellMachine::CellMachine(InstanceId self, const CellTiming& timing,
                         SafetyRules rules)
    : self(std::move(self)),
      timing(timing),
      rules(rules),
      grant_tracker(timing),
      exclusion_tracker(timing),
      store(this->self, timing, rules.resolve_unknown_writes) {}

// --- Contact and authority ---------------------------------------------------
// Contact: with the store or with the other of primary and standby. Authority:
// permission to act as primary or standby for `isolation_budget` after contact.

void CellMachine::RecordContact(Instant not_before) {
  this->last_contact = std::max(this->last_contact, not_before);
}

Instant CellMachine::AuthorityUntil() const {
  if (this->last_contact == kernel::kNever) return kernel::kNever;
  return this->last_contact +
         this->timing.SubtractDriftMargin(this->timing.isolation_budget);
}

bool CellMachine::HasAuthority(Instant now) const {
  return !this->rules.check_authority || now < this->AuthorityUntil();
}

Instant CellMachine::MaySendUntil(std::string_view server) const {
  if (this->role != Role::kPrimary) return kernel::kNever;
  const GrantRecord* record = this->grant_tracker.Find(server);
  if (record == nullptr) return kernel::kNever;
  if (record->granted_token.term != this->NewestRow().version.term) {
    return kernel::kNever;
  }
  // The grant is for a row older than the latest change of key owners.
  if (record->granted_serving_version < this->owners_version)
    return kernel::kNever;
  // The grant was given under an owner change that a newer row has since
  // replaced. It does not cover the keys that only the replaced change moves.
  if (record->granted_version < this->replacement_version)
    return kernel::kNever;
  if (!this->rules.check_authority) return record->valid_until;
  return std::min(record->valid_until, this->AuthorityUntil());
}

Token CellMachine::TokenFor(std::string_view server) const {
  const GrantRecord* record = this->grant_tracker.Find(server);
  return record == nullptr ? Token{} : record->granted_token;
}

bool CellMachine::ChecksTokens(std::string_view server) const {
  const GrantRecord* record = this->grant_tracker.Find(server);
  return record != nullptr && record->checks_tokens;
}

CellCounters CellMachine::Counters() const {
  CellCounters all = this->counters;
  all.excluded_by_promise = this->exclusion_tracker.GetCounters().by_promise;
  all.excluded_by_list = this->exclusion_tracker.GetCounters().by_list;
  all.excluded_by_budget = this->exclusion_tracker.GetCounters().by_budget;
  all.store_conflicts = this->store.GetCounters().conflicts;
  all.store_failures = this->store.GetCounters().failures;
  all.unknown_writes_resolved =
      this->store.GetCounters().unknown_writes_resolved;
  all.regressions_refused = this->store.GetCounters().regressions;
  return all;
}

// --- Events ------------------------------------------------------------------

void CellMachine::OnMembership(Membership membership, Instant now) {
  this->membership = std::move(membership);
  this->exclusion_tracker.Update(this->membership, now);
}

void CellMachine::OnDesiredServers(std::span<const DesiredServer> servers) {
  this->desired_servers.assign(servers.begin(), servers.end());
  std::ranges::sort(this->desired_servers, {}, &DesiredServer::name);
}

void CellMachine::OnDesiredOverrides(
    const std::map<std::uint64_t, std::string>& overrides) {
  this->desired_overrides = overrides;
}

void CellMachine::OnMovingRequestCount(std::string_view server,
                                       std::size_t count) {
  this->moving_request_counts.insert_or_assign(std::string(server), count);
}

void CellMachine::BeginStop() { this->stopping = true; }

void CellMachine::OnTick(Instant now, Actions& actions) {
  switch (this->role) {
    case Role::kPrimary:
      this->PrimaryTick(now, actions);
      break;
    case Role::kStandby:
      this->StandbyTick(now, actions);
      break;
    case Role::kNone:
      this->NonMemberTick(now, actions);
      break;
  }
}

void CellMachine::OnPeerMessage(const PeerMessage& message, Instant now,
                                Actions& actions) {
  Instant& newest = this->newest_sent_at[message.from];
  newest = std::max(newest, message.sent_at);
  const RowVersion own_version = this->NewestRow().version;
  if (message.kind == PeerMessage::Kind::kEcho) {
    const bool same_term = message.version.term == own_version.term;
    if (this->role != Role::kPrimary || !same_term) return;
    this->exclusion_tracker.OnPromise(message.from, message.version,
                                      message.grants_valid_for, now);
    this->accepted[message.from] = {message.version, message.serving_version};
    if (message.from != this->NewestRow().standby) return;
    this->standby_last_contact = now;
    this->RecordContact(message.echoed_sent_at);
    return;
  }
  const bool same_rows = message.version == own_version &&
                         message.serving_version == this->serving.version;
  // The ping refers to rows that this instance does not have. Without an echo
  // the sender notices that it has no contact.
  if (!message.row && !same_rows) return;
  if (message.version < own_version) {
    // The sender has an older row; the primary sends it the newest one.
    if (this->role != Role::kPrimary) return;
    actions.emplace_back(SendPeerMessage{
        message.from,
        this->MakePeerMessage(PeerMessage::Kind::kPing, message.from, now)});
    return;
  }
  // A pending write to the store may still make this instance primary under a
  // higher term. Until its outcome is known, this instance must not
  // promise to ignore older rows.
  if (!this->store.MembersSettled()) return;
  // Ignore a repeated hand-over: no other message contains a primary's own row.
  if (this->role == Role::kPrimary && message.version == own_version) return;
  if (message.row) this->AdoptRow(*message.row, message.serving, now);
  if (this->role == Role::kPrimary) {
    // This is a hand-over: the sender stepped down before it sent the message.
    this->exclusion_tracker.OnPromise(message.from, message.version,
                                      message.grants_valid_for, now);
  }
  if (this->role != Role::kNone) this->RecordContact(message.echoed_sent_at);
  this->primary_last_contact = now;
  actions.emplace_back(SendPeerMessage{
      message.from,
      this->MakePeerMessage(PeerMessage::Kind::kEcho, message.from, now)});
}

void CellMachine::OnGrantReply(const GrantReply& reply, Instant now,
                               Actions& /*actions*/) {
  if (reply.accepted) {
    this->counters.grants_accepted += 1;
  } else {
    this->counters.grants_refused += 1;
  }
  this->grant_tracker.OnReply(reply, now);
  if (this->role == Role::kPrimary) this->FinishOwnerChange(now);
}

void CellMachine::OnStoreReply(const StoreReply& reply, Instant now,
                               Actions& actions) {
  const bool had_failed = this->store.LastRequestFailed();
  const StoreResult result = this->store.OnReply(reply);
  if (had_failed && !this->store.LastRequestFailed())
    this->counters.reconciliations += 1;
  switch (result.kind) {
    case StoreResult::Kind::kIgnored:
      break;
    case StoreResult::Kind::kAbsent:
      this->OnRowAbsent(now, actions);
      break;
    case StoreResult::Kind::kRead:
      this->OnRowRead(result.row, result.not_before, now, actions);
      break;
    case StoreResult::Kind::kWritten:
      this->OnRowWritten(result.row, result.not_before, now);
      break;
  }
}

// --- Roles -------------------------------------------------------------------

void CellMachine::AdoptRow(const CellRow& row,
                           std::optional<CellRow> serving_row, Instant now) {
  const bool was_primary = this->role == Role::kPrimary;
  if (serving_row) {
    this->serving = *std::move(serving_row);
    this->pending_row = row;
  } else {
    this->serving = row;
    this->pending_row.reset();
  }
  if (row.primary == this->self) {
    if (!was_primary) this->BecomePrimary(now);
    return;
  }
  if (was_primary) this->StepDown();
  this->role = row.standby == this->self ? Role::kStandby : Role::kNone;
}

void CellMachine::BecomePrimary(Instant now) {
  this->role = Role::kPrimary;
  this->primary_since = now;
  this->inherited_change = this->pending_row.has_value();
  this->earlier_grants_unknown = false;
  this->pending_row_sent = false;
  this->replacement_version = {};
  this->owners_version = this->serving.version;
  this->standby_last_contact = now;
  this->last_ping_at = kernel::kNever;
  this->exclusion_tracker.Clear();
  const CellRow& row = this->NewestRow();
  this->exclusion_tracker.Track(row.standby, true);
  for (const auto& former : row.formers)
    this->exclusion_tracker.Track(former, false);
  this->exclusion_tracker.Update(this->membership, now);
}

void CellMachine::StepDown() {
  this->counters.step_downs += 1;
  this->role = Role::kNone;
}

void CellMachine::BecomePrimaryAfterUnknownGrants(const CellRow& row,
                                                  Instant now) {
  // No server owns keys until all earlier grants have expired.
  this->serving = row;
  this->serving.version.sequence = 0;
  for (auto& server : this->serving.servers) server.state = ServerState::kOut;
  this->pending_row = row;
  this->BecomePrimary(now);
  this->earlier_grants_unknown = true;
}

void CellMachine::TakeOver(Instant now) {
  CellRow row = this->NewestRow();
  row.version.term += 1;
  row.version.sequence += 1;
  std::swap(row.primary, row.standby);
  this->ProposeRow(std::move(row));
  this->BecomePrimary(now);
  this->counters.takeovers += 1;
}

void CellMachine::HandOverLeadership(Instant now, Actions& actions) {
  CellRow row = this->NewestRow();
  const InstanceId successor = row.standby;
  row.version.term += 1;
  row.version.sequence += 1;
  row.primary = successor;
  row.standby = {};
  AddFormerMember(row, this->self);
  this->ProposeRow(std::move(row));
  this->StepDown();
  this->counters.hand_overs += 1;
  actions.emplace_back(SendPeerMessage{
      successor,
      this->MakePeerMessage(PeerMessage::Kind::kPing, successor, now)});
}

bool CellMachine::IsGone(const InstanceId& instance, Instant now) const {
  return IsGoneBeyondListLag(this->membership, instance, this->timing.list_lag,
                             now);
}

bool CellMachine::IsLeaving(const InstanceId& instance) const {
  return Contains(this->membership.leaving, instance);
}

InstanceId CellMachine::ChooseStandby(std::span<const InstanceId> avoid,
                                      Instant now) const {
  for (const auto& candidate : this->membership.candidates) {
    if (candidate == this->self || Contains(avoid, candidate)) continue;
    if (this->IsLeaving(candidate) || this->IsGone(candidate, now)) continue;
    return candidate;
  }
  return {};
}

// --- Periodic duties ---------------------------------------------------------

void CellMachine::PrimaryTick(Instant now, Actions& actions) {
  this->exclusion_tracker.Update(this->membership, now);
  const bool successor_responds =
      !this->NewestRow().standby.Empty() &&
      now < this->standby_last_contact + this->timing.suspect_after;
  if (this->stopping && successor_responds && this->store.MembersSettled()) {
    this->HandOverLeadership(now, actions);
    return;
  }
  if (!this->HasAuthority(now)) {
    // Without authority this instance grants nothing and sends no requests; it
    // only tries to regain contact.
    this->SendPings(now, actions);
    this->SyncWithStore(now, actions);
    return;
  }
  this->ProposeServerChanges(now);
  this->FinishOwnerChange(now);
  this->SendPings(now, actions);
  this->RenewGrants(now, actions);
  this->SyncWithStore(now, actions);
}

void CellMachine::StandbyTick(Instant now, Actions& actions) {
  if (this->stopping) return;
  if (now < this->primary_last_contact + this->timing.suspect_after) return;
  if (!this->HasAuthority(now)) {
    if (this->store.CheckIdle(now) &&
        now >= this->store.LastRequestAt() +
                   this->timing.min_store_request_interval) {
      this->store.StartRead(now, actions);
    }
    return;
  }
  this->TakeOver(now);
  this->PrimaryTick(now, actions);
}

void CellMachine::NonMemberTick(Instant now, Actions& actions) {
  if (this->stopping) {
    // The message that handed the cell over may have been lost.
    const bool has_handed_over =
        this->HasRow() && Contains(this->NewestRow().formers, this->self);
    const bool ping_due = now >= this->last_ping_at + this->timing.ping_period;
    if (!has_handed_over || !ping_due) return;
    this->last_ping_at = now;
    const InstanceId& successor = this->NewestRow().primary;
    actions.emplace_back(SendPeerMessage{
        successor,
        this->MakePeerMessage(PeerMessage::Kind::kPing, successor, now)});
    return;
  }
  if (!this->store.CheckIdle(now)) return;
  if (now < this->store.LastRequestAt() + this->timing.non_member_read_interval)
    return;
  const bool contact_is_recent =
      now < this->primary_last_contact + this->timing.suspect_after;
  if (contact_is_recent) return;
  this->store.StartRead(now, actions);
}

PeerMessage CellMachine::MakePeerMessage(PeerMessage::Kind kind,
                                         const InstanceId& to,
                                         Instant now) const {
  PeerMessage message;
  message.kind = kind;
  message.from = this->self;
  message.version = this->NewestRow().version;
  message.serving_version = this->serving.version;
  message.grants_valid_for = this->grant_tracker.MaxGrantRemaining(now);
  message.sent_at = now;
  // The echoed send time proves contact to the recipient. It is sent only to
  // the primary and the standby. A former member gets none, so that its
  // isolation budget ends.
  const CellRow& row = this->NewestRow();
  if (to == row.primary || to == row.standby) {
    const auto found = this->newest_sent_at.find(to);
    if (found != this->newest_sent_at.end())
      message.echoed_sent_at = found->second;
  }
  if (kind != PeerMessage::Kind::kPing) return message;
  // An instance that has accepted these rows needs only their versions.
  const auto accepted_rows = this->accepted.find(to);
  const bool recipient_has_rows =
      accepted_rows != this->accepted.end() &&
      accepted_rows->second.newest == message.version &&
      accepted_rows->second.serving == message.serving_version;
  if (recipient_has_rows) return message;
  message.row = row;
  if (this->pending_row) message.serving = this->serving;
  return message;
}

void CellMachine::SendPings(Instant now, Actions& actions) {
  if (now < this->last_ping_at + this->timing.ping_period) return;
  this->last_ping_at = now;
  const CellRow& row = this->NewestRow();
  std::vector<InstanceId> recipients = row.formers;
  if (!row.standby.Empty()) recipients.push_back(row.standby);
  for (const auto& recipient : recipients) {
    actions.emplace_back(SendPeerMessage{
        recipient,
        this->MakePeerMessage(PeerMessage::Kind::kPing, recipient, now)});
  }
}

std::string_view RoleName(CellMachine::Role role) {
  switch (role) {
    case CellMachine::Role::kPrimary:
      return "primary";
    case CellMachine::Role::kStandby:
      return "standby";
    case CellMachine::Role::kNone:
      return "none";
  }
  return "none";
}

}  // namespace chervilmux::ownership
