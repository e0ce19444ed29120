// The part of CellMachine that grants to servers and changes owners.

#include <algorithm>
#include <utility>

#include "ownership/cell_machine.h"

namespace chervilmux::ownership {

using kernel::Instant;

void CellMachine::Propose(CellRow row) {
  this->last_ping = kernel::kNever;  // The standby is told at once.
  const bool replaces_told =
      this->next && this->next_told && !row.HasSameOwners(*this->next);
  if (replaces_told) this->told_since = row.version;
  if (row.HasSameOwners(this->serving)) {
    this->serving = std::move(row);
    this->next.reset();
    this->next_told = false;
    return;
  }
  this->next = std::move(row);
}

bool CellMachine::Answers(std::string_view server, Instant now) const {
  const GrantRecord* record = this->ledger.Find(server);
  return record != nullptr &&
         now < std::max(record->last_reply, this->leader_since) +
                   this->timing.server_lost_after;
}

std::size_t CellMachine::SpareServers(Instant now) const {
  std::size_t answering = 0;
  std::size_t silent = 0;
  for (const auto& server : this->NewestRow().servers) {
    if (server.state != ServerState::kIn) continue;
    (this->Answers(server.name, now) ? answering : silent) += 1;
  }
  // With none left that answers, the fault is more likely on our side.
  return answering == 0 ? 0 : silent;
}

ServerState CellMachine::WantedState(const DesiredServer& server, Instant now,
                                     std::size_t& may_lose) {
  const ServerEntry* entry = this->NewestRow().Find(server.name);
  const GrantRecord& record = this->ledger.At(server.name);
  const bool answers = this->Answers(server.name, now);
  if (server.leaving)
    return answers ? ServerState::kDraining : ServerState::kOut;
  if (entry != nullptr && entry->state == ServerState::kIn) {
    const bool asked = record.first_order != kernel::kNever;
    if (answers || !asked || may_lose == 0) return ServerState::kIn;
    may_lose -= 1;
    this->counters.servers_lost += 1;
    return ServerState::kOut;
  }
  // A server that has not lost its keys yet keeps them as soon as it answers.
  const ServerEntry* served = this->serving.Find(server.name);
  const bool still_owns =
      served != nullptr && served->state == ServerState::kIn;
  if (still_owns && answers && now < record.last_ok + this->timing.lease) {
    return ServerState::kIn;
  }
  const bool steady = answers && record.last_ok != kernel::kNever &&
                      record.ok_since != kernel::kNever &&
                      now >= record.ok_since + this->timing.rejoin_after;
  if (!steady) return entry == nullptr ? ServerState::kOut : entry->state;
  this->counters.servers_joined += 1;
  return ServerState::kIn;
}

void CellMachine::ProposeServers(Instant now) {
  // A move that another instance began may already be done: only finishing it
  // is safe, turning back is not.
  if (this->inherited_move && this->next) return;
  CellRow row = this->NewestRow();
  std::size_t may_lose = this->SpareServers(now);
  std::vector<ServerEntry> servers;
  for (const auto& server : this->desired) {
    const ServerState state = this->WantedState(server, now, may_lose);
    servers.push_back({server.name, state, server.weight});
  }
  // A manifest that has not arrived yet must not empty the cell.
  if (!this->desired.empty()) row.servers = std::move(servers);
  row.overrides = this->desired_overrides;
  std::erase_if(row.formers, [&](const InstanceId& former) {
    return this->exclusions.GrantsLapsed(former, {row.version.term, 0},
                                         this->timing.max_request_time, now);
  });
  const CellRow& newest = this->NewestRow();
  if (row.servers == newest.servers && row.overrides == newest.overrides &&
      row.formers == newest.formers) {
    return;
  }
  row.version.sequence += 1;
  this->Propose(std::move(row));
}

bool CellMachine::OthersCleared() const {
  if (!this->rules.wait_for_other_instances) return true;
  const CellRow& row = *this->next;
  const RowVersion this_term = {row.version.term, 0};
  for (const auto& former : row.formers) {
    if (!this->exclusions.Cleared(former, this_term)) return false;
  }
  // A standby that is excluded may have led under a higher term before. It is
  // dropped by a stored row of a still higher term first, so that the versions
  // of successive owners never go back.
  return row.standby.Empty() ||
         this->exclusions.Promised(row.standby, row.version);
}

bool CellMachine::OthersLapsed(kernel::Duration extra, Instant now) const {
  if (!this->rules.wait_for_other_instances) return true;
  const CellRow& row = *this->next;
  for (const auto& former : row.formers) {
    const bool lapsed = this->exclusions.GrantsLapsed(
        former, {row.version.term, 0}, extra, now);
    if (!lapsed) return false;
  }
  return row.standby.Empty() ||
         this->exclusions.GrantsLapsed(row.standby, row.version, extra, now);
}

bool CellMachine::OverridesOrGainers() const {
  if (this->next->overrides != this->serving.overrides) return true;
  return std::ranges::any_of(
      this->next->servers, [&](const ServerEntry& after) {
        if (after.state != ServerState::kIn) return false;
        const ServerEntry* before = this->serving.Find(after.name);
        return before == nullptr || before->state != ServerState::kIn ||
               before->weight < after.weight;
      });
}

bool CellMachine::LosesKeys(const ServerEntry& server, bool any_gainer) const {
  if (server.state != ServerState::kIn) return false;
  if (any_gainer) return true;
  const ServerEntry* after = this->next->Find(server.name);
  return after == nullptr || after->state != ServerState::kIn ||
         after->weight < server.weight;
}

bool CellMachine::Busy(std::string_view server) const {
  const auto in_flight = this->moving_in_flight.find(server);
  return in_flight != this->moving_in_flight.end() && in_flight->second > 0;
}

bool CellMachine::ServerStopped(const ServerEntry& server, Instant now) const {
  if (!this->rules.wait_for_server_stop) return true;
  const GrantRecord* record = this->ledger.Find(server.name);
  const bool acknowledged = record != nullptr &&
                            record->acked_term == this->next->version.term &&
                            record->acked_version >= this->next->version;
  const bool checks = record != nullptr && record->checks_tokens;
  if (acknowledged && checks) return !this->Busy(server.name);
  // A server that does not check may still run what older instances sent.
  const kernel::Duration extra =
      checks ? kernel::Duration(0) : this->timing.max_request_time;
  if (!this->OthersLapsed(extra, now)) return false;
  // Nor does it refuse an older order that was delayed in the network.
  if (acknowledged) {
    return !this->Busy(server.name) && now > record->earlier_lapses_at;
  }
  if (record == nullptr || record->lapses_at == kernel::kNever) return true;
  return now > record->lapses_at + extra;
}

bool CellMachine::MayFinishMove(Instant now) const {
  if (!this->OthersCleared()) return false;
  if (this->unknown_past) {
    if (!this->OthersLapsed(kernel::Duration(0), now)) return false;
    const bool all_stopped = std::ranges::all_of(
        this->next->servers, [&](const ServerEntry& server) {
          return this->ServerStopped(server, now);
        });
    if (!all_stopped) return false;
  }
  const bool any_gainer = this->OverridesOrGainers();
  return std::ranges::all_of(this->serving.servers,
                             [&](const ServerEntry& server) {
                               return !this->LosesKeys(server, any_gainer) ||
                                      this->ServerStopped(server, now);
                             });
}

void CellMachine::FinishMove(Instant now) {
  if (!this->next || !this->MayFinishMove(now)) return;
  this->counters.owner_changes += 1;
  if (this->store.StoredVersion() < this->next->version) {
    this->counters.changes_ahead_of_store += 1;
  }
  // The standby is told at once: it could not finish the move by itself while
  // the store is away and this instance cannot be excluded.
  this->last_ping = kernel::kNever;
  this->serving = *std::move(this->next);
  this->next.reset();
  this->owners_since = this->serving.version;
  this->inherited_move = false;
  this->unknown_past = false;
  this->next_told = false;
  this->moving_in_flight.clear();
}

void CellMachine::RenewGrants(Instant now, Actions& actions) {
  for (const auto& server : this->NewestRow().servers) {
    this->RenewGrant(server, now, actions);
  }
  // A server that the newest row no longer names may still hold a grant.
  for (const auto& server : this->serving.servers) {
    if (this->NewestRow().Find(server.name) != nullptr) continue;
    ServerEntry removed = server;
    removed.state = ServerState::kOut;
    this->RenewGrant(removed, now, actions);
  }
}

void CellMachine::RenewGrant(const ServerEntry& server, Instant now,
                             Actions& actions) {
  const ServerEntry* served = this->serving.Find(server.name);
  const bool owns_now = served != nullptr && served->state == ServerState::kIn;
  const bool owns_next = server.state == ServerState::kIn;
  // Servers hear of a change of owners once nobody can act on the old row any
  // more and their requests for moving keys have ended. A change that another
  // instance began may be complete there: no grant may follow the old row
  // alone.
  const bool ready =
      this->inherited_move || this->next_told ||
      (this->next && this->OthersCleared() && !this->Busy(server.name));
  const bool tell_next = this->next && ready;
  this->next_told = this->next_told || tell_next;
  // A lost server gets no more time, so that its last grant lapses soonest.
  const bool lost =
      this->next && !owns_next && !this->Answers(server.name, now);
  OrderContent content;
  content.term = this->NewestRow().version.term;
  content.version = tell_next ? this->next->version : this->serving.version;
  content.serving = this->serving.version;
  content.grants = owns_now && (owns_next || !tell_next) && !lost;
  const GrantRecord& record = this->ledger.At(server.name);
  const kernel::Duration period = owns_now || owns_next
                                      ? this->timing.renew_period
                                      : this->timing.probe_period;
  const bool news = content != record.last_content;
  if (!news && now < record.last_order + period) return;
  actions.emplace_back(SendGrantOrder{
      server.name, this->ledger.Issue(server.name, content, now)});
}

}  // namespace chervilmux::ownership
