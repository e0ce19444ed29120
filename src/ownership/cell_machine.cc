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
      ledger(timing),
      exclusions(timing),
      store(this->self, timing, rules.resolve_unknown_writes) {}

// --- Contact and rights ------------------------------------------------------

void CellMachine::NoteContact(Instant proof) {
  this->contact = std::max(this->contact, proof);
}

Instant CellMachine::AuthorityUntil() const {
  if (this->contact == kernel::kNever) return kernel::kNever;
  return this->contact + this->timing.Shrink(this->timing.isolation_budget);
}

bool CellMachine::HasRight(Instant now) const {
  return !this->rules.check_authority || now < this->AuthorityUntil();
}

Instant CellMachine::MaySendUntil(std::string_view server) const {
  if (this->role != Role::kPrimary) return kernel::kNever;
  const GrantRecord* record = this->ledger.Find(server);
  if (record == nullptr) return kernel::kNever;
  if (record->live_token.term != this->NewestRow().version.term) {
    return kernel::kNever;
  }
  if (record->live_serving < this->owners_since) return kernel::kNever;
  if (record->live_version < this->told_since) return kernel::kNever;
  if (!this->rules.check_authority) return record->live_until;
  return std::min(record->live_until, this->AuthorityUntil());
}

Token CellMachine::TokenFor(std::string_view server) const {
  const GrantRecord* record = this->ledger.Find(server);
  return record == nullptr ? Token{} : record->live_token;
}

bool CellMachine::ChecksTokens(std::string_view server) const {
  const GrantRecord* record = this->ledger.Find(server);
  return record != nullptr && record->checks_tokens;
}

CellCounters CellMachine::Counters() const {
  CellCounters all = this->counters;
  all.excluded_by_promise = this->exclusions.Count().by_promise;
  all.excluded_by_list = this->exclusions.Count().by_list;
  all.excluded_by_budget = this->exclusions.Count().by_budget;
  all.store_conflicts = this->store.Count().conflicts;
  all.store_failures = this->store.Count().failures;
  all.unknown_writes_resolved = this->store.Count().unknown_resolved;
  all.regressions_refused = this->store.Count().regressions;
  return all;
}

// --- Facts -------------------------------------------------------------------

void CellMachine::OnMembership(Membership membership, Instant now) {
  this->membership = std::move(membership);
  this->exclusions.Update(this->membership, now);
}

void CellMachine::OnDesiredServers(std::span<const DesiredServer> servers) {
  this->desired.assign(servers.begin(), servers.end());
  std::ranges::sort(this->desired, {}, &DesiredServer::name);
}

void CellMachine::OnDesiredOverrides(
    const std::map<std::uint64_t, std::string>& overrides) {
  this->desired_overrides = overrides;
}

void CellMachine::OnMovingRequestCount(std::string_view server,
                                       std::size_t count) {
  this->moving_in_flight.insert_or_assign(std::string(server), count);
}

void CellMachine::BeginStop() { this->stopping = true; }

void CellMachine::OnTick(Instant now, Actions& actions) {
  switch (this->role) {
    case Role::kPrimary:
      this->LeaderTick(now, actions);
      break;
    case Role::kStandby:
      this->StandbyTick(now, actions);
      break;
    case Role::kNone:
      this->OutsiderTick(now, actions);
      break;
  }
}

void CellMachine::OnPeerMessage(const PeerMessage& message, Instant now,
                                Actions& actions) {
  Instant& newest = this->newest_sent_at[message.from];
  newest = std::max(newest, message.sent_at);
  const RowVersion mine = this->NewestRow().version;
  if (message.kind == PeerMessage::Kind::kEcho) {
    const bool of_my_term = message.version.term == mine.term;
    if (this->role != Role::kPrimary || !of_my_term) return;
    this->exclusions.OnPromise(message.from, message.version,
                               message.grants_valid_for, now);
    this->accepted[message.from] = {message.version, message.serving_version};
    if (message.from != this->NewestRow().standby) return;
    this->heard_standby_at = now;
    this->NoteContact(message.echoed_sent_at);
    return;
  }
  const bool same = message.version == mine &&
                    message.serving_version == this->serving.version;
  if (!message.row && !same) return;  // Its sender will learn by our silence.
  if (message.version < mine) {
    // The sender is behind: tell it, if it is ours to tell.
    if (this->role != Role::kPrimary) return;
    actions.emplace_back(SendPeerMessage{
        message.from,
        this->MakeMessage(PeerMessage::Kind::kPing, message.from, now)});
    return;
  }
  // The store may yet make this instance primary under a higher term; until
  // that is settled it must promise nothing.
  if (!this->store.PairSettled()) return;
  // A repeated hand-over: nobody else can tell a leader of its own row.
  if (this->role == Role::kPrimary && message.version == mine) return;
  if (message.row) this->AdoptRow(*message.row, message.serving, now);
  if (this->role == Role::kPrimary) {
    // A hand-over: its sender stopped before it sent this.
    this->exclusions.OnPromise(message.from, message.version,
                               message.grants_valid_for, now);
  }
  if (this->role != Role::kNone) this->NoteContact(message.echoed_sent_at);
  this->heard_primary_at = now;
  actions.emplace_back(SendPeerMessage{
      message.from,
      this->MakeMessage(PeerMessage::Kind::kEcho, message.from, now)});
}

void CellMachine::OnGrantReply(const GrantReply& reply, Instant now,
                               Actions& /*actions*/) {
  if (reply.accepted) {
    this->counters.grants_accepted += 1;
  } else {
    this->counters.grants_refused += 1;
  }
  this->ledger.OnReply(reply, now);
  if (this->role == Role::kPrimary) this->FinishMove(now);
}

void CellMachine::OnStoreReply(const StoreReply& reply, Instant now,
                               Actions& actions) {
  const bool was_down = this->store.Down();
  const StoreFact fact = this->store.OnReply(reply);
  if (was_down && !this->store.Down()) this->counters.reconciliations += 1;
  switch (fact.kind) {
    case StoreFact::Kind::kNothing:
      break;
    case StoreFact::Kind::kAbsent:
      this->OnAbsent(now, actions);
      break;
    case StoreFact::Kind::kSeen:
      this->OnSeen(fact.row, fact.proof, now, actions);
      break;
    case StoreFact::Kind::kWritten:
      this->OnWritten(fact.row, fact.proof, now);
      break;
  }
}

// --- Roles -------------------------------------------------------------------

void CellMachine::AdoptRow(const CellRow& row, std::optional<CellRow> served,
                           Instant now) {
  const bool led = this->role == Role::kPrimary;
  if (served) {
    this->serving = *std::move(served);
    this->next = row;
  } else {
    this->serving = row;
    this->next.reset();
  }
  if (row.primary == this->self) {
    if (!led) this->BecomeLeader(now);
    return;
  }
  if (led) this->LeaveLeadership();
  this->role = row.standby == this->self ? Role::kStandby : Role::kNone;
}

void CellMachine::BecomeLeader(Instant now) {
  this->role = Role::kPrimary;
  this->leader_since = now;
  this->inherited_move = this->next.has_value();
  this->unknown_past = false;
  this->next_told = false;
  this->told_since = {};
  this->owners_since = this->serving.version;
  this->heard_standby_at = now;
  this->last_ping = kernel::kNever;
  this->exclusions.Clear();
  const CellRow& row = this->NewestRow();
  this->exclusions.Follow(row.standby, true);
  for (const auto& former : row.formers) this->exclusions.Follow(former, false);
  this->exclusions.Update(this->membership, now);
}

void CellMachine::LeaveLeadership() {
  this->counters.step_downs += 1;
  this->role = Role::kNone;
}

void CellMachine::LeadFromUnknown(const CellRow& row, Instant now) {
  // Until all earlier grants have lapsed, no server owns anything.
  this->serving = row;
  this->serving.version.sequence = 0;
  for (auto& server : this->serving.servers) server.state = ServerState::kOut;
  this->next = row;
  this->BecomeLeader(now);
  this->unknown_past = true;
}

void CellMachine::TakeOver(Instant now) {
  CellRow row = this->NewestRow();
  row.version.term += 1;
  row.version.sequence += 1;
  std::swap(row.primary, row.standby);
  this->Propose(std::move(row));
  this->BecomeLeader(now);
  this->counters.takeovers += 1;
}

void CellMachine::HandOver(Instant now, Actions& actions) {
  CellRow row = this->NewestRow();
  const InstanceId heir = row.standby;
  row.version.term += 1;
  row.version.sequence += 1;
  row.primary = heir;
  row.standby = {};
  AddFormer(row, this->self);
  this->Propose(std::move(row));
  this->LeaveLeadership();
  this->counters.hand_overs += 1;
  actions.emplace_back(SendPeerMessage{
      heir, this->MakeMessage(PeerMessage::Kind::kPing, heir, now)});
}

bool CellMachine::IsGone(const InstanceId& instance, Instant now) const {
  return ListedGoneForLag(this->membership, instance, this->timing.list_lag,
                          now);
}

bool CellMachine::IsLeaving(const InstanceId& instance) const {
  return Contains(this->membership.leaving, instance);
}

InstanceId CellMachine::PickStandby(std::span<const InstanceId> avoid,
                                    Instant now) const {
  for (const auto& candidate : this->membership.candidates) {
    if (candidate == this->self || Contains(avoid, candidate)) continue;
    if (this->IsLeaving(candidate) || this->IsGone(candidate, now)) continue;
    return candidate;
  }
  return {};
}

// --- Periodic duties ---------------------------------------------------------

void CellMachine::LeaderTick(Instant now, Actions& actions) {
  this->exclusions.Update(this->membership, now);
  const bool heir_listens =
      !this->NewestRow().standby.Empty() &&
      now < this->heard_standby_at + this->timing.suspect_after;
  if (this->stopping && heir_listens && this->store.PairSettled()) {
    this->HandOver(now, actions);
    return;
  }
  if (!this->HasRight(now)) {
    // Without a right nothing is granted or sent; only contact is sought.
    this->PingOthers(now, actions);
    this->SyncStore(now, actions);
    return;
  }
  this->ProposeServers(now);
  this->FinishMove(now);
  this->PingOthers(now, actions);
  this->RenewGrants(now, actions);
  this->SyncStore(now, actions);
}

void CellMachine::StandbyTick(Instant now, Actions& actions) {
  if (this->stopping) return;
  if (now < this->heard_primary_at + this->timing.suspect_after) return;
  if (!this->HasRight(now)) {
    if (this->store.Idle(now) &&
        now >= this->store.LastAttempt() + this->timing.store_period) {
      this->store.Read(now, actions);
    }
    return;
  }
  this->TakeOver(now);
  this->LeaderTick(now, actions);
}

void CellMachine::OutsiderTick(Instant now, Actions& actions) {
  if (this->stopping) {
    // The heir may have missed the hand-over.
    const bool handed =
        this->HasRow() && Contains(this->NewestRow().formers, this->self);
    const bool due = now >= this->last_ping + this->timing.ping_period;
    if (!handed || !due) return;
    this->last_ping = now;
    const InstanceId& heir = this->NewestRow().primary;
    actions.emplace_back(SendPeerMessage{
        heir, this->MakeMessage(PeerMessage::Kind::kPing, heir, now)});
    return;
  }
  if (!this->store.Idle(now)) return;
  if (now < this->store.LastAttempt() + this->timing.orphan_read_period) return;
  const bool heard = now < this->heard_primary_at + this->timing.suspect_after;
  if (heard) return;
  this->store.Read(now, actions);
}

PeerMessage CellMachine::MakeMessage(PeerMessage::Kind kind,
                                     const InstanceId& to, Instant now) const {
  PeerMessage message;
  message.kind = kind;
  message.from = this->self;
  message.version = this->NewestRow().version;
  message.serving_version = this->serving.version;
  message.grants_valid_for = this->ledger.GrantsLeft(now);
  message.sent_at = now;
  // A former must run out of contact; only the pair proves contact.
  const CellRow& row = this->NewestRow();
  if (to == row.primary || to == row.standby) {
    const auto found = this->newest_sent_at.find(to);
    if (found != this->newest_sent_at.end())
      message.echoed_sent_at = found->second;
  }
  if (kind != PeerMessage::Kind::kPing) return message;
  // Who has accepted these rows already needs only their versions.
  const auto told = this->accepted.find(to);
  const bool known = told != this->accepted.end() &&
                     told->second.newest == message.version &&
                     told->second.serving == message.serving_version;
  if (known) return message;
  message.row = row;
  if (this->next) message.serving = this->serving;
  return message;
}

void CellMachine::PingOthers(Instant now, Actions& actions) {
  if (now < this->last_ping + this->timing.ping_period) return;
  this->last_ping = now;
  const CellRow& row = this->NewestRow();
  std::vector<InstanceId> receivers = row.formers;
  if (!row.standby.Empty()) receivers.push_back(row.standby);
  for (const auto& receiver : receivers) {
    actions.emplace_back(SendPeerMessage{
        receiver, this->MakeMessage(PeerMessage::Kind::kPing, receiver, now)});
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
