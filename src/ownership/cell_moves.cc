// The part of CellMachine that issues grants to servers and changes owners.

#include <algorithm>
#include <utility>

#include "ownership/cell_machine.h"

namespace chervilmux::ownership {

using kernel::Instant;

void CellMachine::ProposeRow(CellRow row) {
  // The next ping becomes due at once; it carries the new row.
  this->last_ping_at = kernel::kNever;
  const bool replaces_sent_change = this->pending_row &&
                                    this->pending_row_sent &&
                                    !row.HasSameOwners(*this->pending_row);
  if (replaces_sent_change) this->replacement_version = row.version;
  if (row.HasSameOwners(this->serving)) {
    this->serving = std::move(row);
    this->pending_row.reset();
    this->pending_row_sent = false;
    return;
  }
  this->pending_row = std::move(row);
}

bool CellMachine::IsResponding(std::string_view server, Instant now) const {
  const GrantRecord* record = this->grant_tracker.Find(server);
  return record != nullptr &&
         now < std::max(record->last_reply_at, this->primary_since) +
                   this->timing.server_lost_after;
}

std::size_t CellMachine::RemovableServerCount(Instant now) const {
  std::size_t responding_count = 0;
  std::size_t unresponsive_count = 0;
  for (const auto& server : this->NewestRow().servers) {
    if (server.state != ServerState::kIn) continue;
    (this->IsResponding(server.name, now) ? responding_count
                                          : unresponsive_count) += 1;
  }
  // If no server responds, the fault is more likely at this instance.
  return responding_count == 0 ? 0 : unresponsive_count;
}

ServerState CellMachine::DesiredState(const DesiredServer& server, Instant now,
                                      std::size_t& removals_left) {
  const ServerEntry* entry = this->NewestRow().Find(server.name);
  const GrantRecord& record = this->grant_tracker.GetOrCreate(server.name);
  const bool responds = this->IsResponding(server.name, now);
  if (server.leaving)
    return responds ? ServerState::kDraining : ServerState::kOut;
  if (entry != nullptr && entry->state == ServerState::kIn) {
    const bool was_contacted = record.first_order_at != kernel::kNever;
    if (responds || !was_contacted || removals_left == 0)
      return ServerState::kIn;
    removals_left -= 1;
    this->counters.servers_lost += 1;
    return ServerState::kOut;
  }
  // A removed server that responds again before the removal is in effect keeps
  // its keys.
  const ServerEntry* serving_entry = this->serving.Find(server.name);
  const bool still_owns =
      serving_entry != nullptr && serving_entry->state == ServerState::kIn;
  if (still_owns && responds &&
      now < record.last_accepted_reply_at + this->timing.lease) {
    return ServerState::kIn;
  }
  const bool server_is_stable =
      responds && record.last_accepted_reply_at != kernel::kNever &&
      record.accepted_since != kernel::kNever &&
      now >= record.accepted_since + this->timing.rejoin_after;
  if (!server_is_stable)
    return entry == nullptr ? ServerState::kOut : entry->state;
  this->counters.servers_joined += 1;
  return ServerState::kIn;
}

void CellMachine::ProposeServerChanges(Instant now) {
  // A change that another instance started may already be in effect there, so
  // it must be completed and cannot be reverted.
  if (this->inherited_change && this->pending_row) return;
  CellRow row = this->NewestRow();
  std::size_t removals_left = this->RemovableServerCount(now);
  std::vector<ServerEntry> servers;
  for (const auto& server : this->desired_servers) {
    const ServerState state = this->DesiredState(server, now, removals_left);
    servers.push_back({server.name, state, server.weight});
  }
  // Before the first manifest arrives, the cell must keep its servers.
  if (!this->desired_servers.empty()) row.servers = std::move(servers);
  row.overrides = this->desired_overrides;
  std::erase_if(row.formers, [&](const InstanceId& former) {
    return this->exclusion_tracker.GrantsExpired(
        former, {row.version.term, 0}, this->timing.max_request_time, now);
  });
  const CellRow& newest = this->NewestRow();
  if (row.servers == newest.servers && row.overrides == newest.overrides &&
      row.formers == newest.formers) {
    return;
  }
  row.version.sequence += 1;
  this->ProposeRow(std::move(row));
}

bool CellMachine::OthersCannotUseOlderRows() const {
  if (!this->rules.wait_for_other_instances) return true;
  const CellRow& row = *this->pending_row;
  const RowVersion this_term = {row.version.term, 0};
  for (const auto& former : row.formers) {
    if (!this->exclusion_tracker.CannotUseRowsBefore(former, this_term))
      return false;
  }
  // Exclusion of the standby is not enough: it may have been primary under a
  // higher term. It must first be replaced by a stored row with a still higher
  // term, so that the versions of successive owners never decrease.
  return row.standby.Empty() ||
         this->exclusion_tracker.HasPromised(row.standby, row.version);
}

bool CellMachine::OtherGrantsExpired(kernel::Duration margin,
                                     Instant now) const {
  if (!this->rules.wait_for_other_instances) return true;
  const CellRow& row = *this->pending_row;
  for (const auto& former : row.formers) {
    const bool grants_have_expired = this->exclusion_tracker.GrantsExpired(
        former, {row.version.term, 0}, margin, now);
    if (!grants_have_expired) return false;
  }
  return row.standby.Empty() || this->exclusion_tracker.GrantsExpired(
                                    row.standby, row.version, margin, now);
}

bool CellMachine::AnyServerReceivesKeys() const {
  if (this->pending_row->overrides != this->serving.overrides) return true;
  return std::ranges::any_of(
      this->pending_row->servers, [&](const ServerEntry& after) {
        if (after.state != ServerState::kIn) return false;
        const ServerEntry* before = this->serving.Find(after.name);
        return before == nullptr || before->state != ServerState::kIn ||
               before->weight < after.weight;
      });
}

bool CellMachine::GivesUpKeys(const ServerEntry& server,
                              bool any_receiver) const {
  if (server.state != ServerState::kIn) return false;
  if (any_receiver) return true;
  const ServerEntry* after = this->pending_row->Find(server.name);
  return after == nullptr || after->state != ServerState::kIn ||
         after->weight < server.weight;
}

bool CellMachine::HasMovingRequests(std::string_view server) const {
  const auto in_flight = this->moving_request_counts.find(server);
  return in_flight != this->moving_request_counts.end() &&
         in_flight->second > 0;
}

bool CellMachine::HasStoppedServing(const ServerEntry& server,
                                    Instant now) const {
  if (!this->rules.wait_for_server_stop) return true;
  const GrantRecord* record = this->grant_tracker.Find(server.name);
  const bool order_acknowledged =
      record != nullptr &&
      record->acknowledged_term == this->pending_row->version.term &&
      record->acknowledged_version >= this->pending_row->version;
  const bool server_checks_tokens = record != nullptr && record->checks_tokens;
  if (order_acknowledged && server_checks_tokens)
    return !this->HasMovingRequests(server.name);
  // A server that does not check tokens may still execute requests of earlier
  // primaries.
  const kernel::Duration margin = server_checks_tokens
                                      ? kernel::Duration(0)
                                      : this->timing.max_request_time;
  if (!this->OtherGrantsExpired(margin, now)) return false;
  // A server that does not check tokens also accepts an older order that the
  // network delayed.
  if (order_acknowledged) {
    return !this->HasMovingRequests(server.name) &&
           now > record->previous_content_expires_at;
  }
  if (record == nullptr || record->expires_at == kernel::kNever) return true;
  return now > record->expires_at + margin;
}

bool CellMachine::MayFinishOwnerChange(Instant now) const {
  if (!this->OthersCannotUseOlderRows()) return false;
  if (this->earlier_grants_unknown) {
    if (!this->OtherGrantsExpired(kernel::Duration(0), now)) return false;
    const bool all_stopped = std::ranges::all_of(
        this->pending_row->servers, [&](const ServerEntry& server) {
          return this->HasStoppedServing(server, now);
        });
    if (!all_stopped) return false;
  }
  const bool any_receiver = this->AnyServerReceivesKeys();
  return std::ranges::all_of(
      this->serving.servers, [&](const ServerEntry& server) {
        return !this->GivesUpKeys(server, any_receiver) ||
               this->HasStoppedServing(server, now);
      });
}

void CellMachine::FinishOwnerChange(Instant now) {
  if (!this->pending_row || !this->MayFinishOwnerChange(now)) return;
  this->counters.owner_changes += 1;
  if (this->store.StoredVersion() < this->pending_row->version) {
    this->counters.changes_ahead_of_store += 1;
  }
  // The next ping becomes due at once; it carries the new row to the standby.
  // Without this row a standby that takes over could not complete the change of
  // owners while the store is unreachable and this instance cannot be excluded.
  this->last_ping_at = kernel::kNever;
  this->serving = *std::move(this->pending_row);
  this->pending_row.reset();
  this->owners_version = this->serving.version;
  this->inherited_change = false;
  this->earlier_grants_unknown = false;
  this->pending_row_sent = false;
  this->moving_request_counts.clear();
}

void CellMachine::RenewGrants(Instant now, Actions& actions) {
  for (const auto& server : this->NewestRow().servers) {
    this->RenewGrant(server, now, actions);
  }
  // A server that is missing in the newest row may still have a valid grant.
  for (const auto& server : this->serving.servers) {
    if (this->NewestRow().Find(server.name) != nullptr) continue;
    ServerEntry removed = server;
    removed.state = ServerState::kOut;
    this->RenewGrant(removed, now, actions);
  }
}

void CellMachine::RenewGrant(const ServerEntry& server, Instant now,
                             Actions& actions) {
  const ServerEntry* serving_entry = this->serving.Find(server.name);
  const bool owns_keys_in_serving_row =
      serving_entry != nullptr && serving_entry->state == ServerState::kIn;
  const bool owns_keys_in_newest_row = server.state == ServerState::kIn;
  // A change of owners is sent to a server once no other instance can act on
  // the old row and the server has completed its requests for keys that move. A
  // change that another instance started may already be in effect there, so
  // grants under the old row alone are not allowed.
  const bool ready = this->inherited_change || this->pending_row_sent ||
                     (this->pending_row && this->OthersCannotUseOlderRows() &&
                      !this->HasMovingRequests(server.name));
  const bool sends_pending_row = this->pending_row && ready;
  this->pending_row_sent = this->pending_row_sent || sends_pending_row;
  // A server that does not respond gets no new grant, so that its last grant
  // expires as early as possible.
  const bool server_is_lost = this->pending_row && !owns_keys_in_newest_row &&
                              !this->IsResponding(server.name, now);
  OrderContent content;
  content.term = this->NewestRow().version.term;
  content.version =
      sends_pending_row ? this->pending_row->version : this->serving.version;
  content.serving = this->serving.version;
  content.is_grant = owns_keys_in_serving_row &&
                     (owns_keys_in_newest_row || !sends_pending_row) &&
                     !server_is_lost;
  const GrantRecord& record = this->grant_tracker.GetOrCreate(server.name);
  const kernel::Duration period =
      owns_keys_in_serving_row || owns_keys_in_newest_row
          ? this->timing.renew_period
          : this->timing.probe_period;
  const bool content_changed = content != record.last_content;
  if (!content_changed && now < record.last_order_at + period) return;
  actions.emplace_back(SendGrantOrder{
      server.name, this->grant_tracker.IssueOrder(server.name, content, now)});
}

}  // namespace chervilmux::ownership
