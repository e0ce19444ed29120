// The part of CellMachine that reads and writes the stored row and changes the
// cell's primary and standby. Such a change takes effect only once it is
// stored.

#include <algorithm>
#include <utility>

#include "ownership/cell_machine.h"

namespace chervilmux::ownership {

using kernel::Instant;

bool CellMachine::StandbyIsUnavailable(Instant now) const {
  const InstanceId& standby = this->NewestRow().standby;
  if (standby.Empty()) return true;
  if (this->IsLeaving(standby) || this->IsGone(standby, now)) return true;
  return now >= this->standby_last_contact + 2 * this->timing.suspect_after;
}

bool CellMachine::ReplaceStandby(Instant now, Actions& actions) {
  const InstanceId previous_standby = this->NewestRow().standby;
  const InstanceId replacement =
      this->ChooseStandby(std::span(&previous_standby, 1), now);
  // Without a replacement the standby stays, because it may become reachable
  // again. An excluded standby cannot return and is removed in any case.
  if (replacement.Empty() &&
      (previous_standby.Empty() ||
       !this->exclusion_tracker.IsExcluded(previous_standby))) {
    return false;
  }
  // The change takes effect only once it is stored: otherwise the previous
  // standby could take over under the same term as the new one.
  CellRow row = this->NewestRow();
  row.version.term += kClaimTermStride;
  row.version.sequence += 1;
  row.standby = replacement;
  AddFormerMember(row, previous_standby);
  RemoveMembersFromFormers(row);
  this->store.StartWrite(std::move(row), true, now, actions);
  return true;
}

void CellMachine::SyncWithStore(Instant now, Actions& actions) {
  if (!this->store.CheckIdle(now)) return;
  const bool store_request_due =
      now >=
      this->store.LastRequestAt() + this->timing.min_store_request_interval;
  if (this->store.LastRequestFailed() && !store_request_due) return;
  const bool standby_unavailable = this->StandbyIsUnavailable(now);
  if (standby_unavailable && store_request_due &&
      this->ReplaceStandby(now, actions))
    return;
  if (this->store.StoredVersion() != this->NewestRow().version ||
      this->store.MembersWriteOutcomeUnknown()) {
    this->store.StartWrite(this->NewestRow(), false, now, actions);
    return;
  }
  // Without a standby that responds, only a reply of the store proves that this
  // instance has contact.
  if (standby_unavailable && store_request_due)
    this->store.StartRead(now, actions);
}

void CellMachine::OnRowAbsent(Instant now, Actions& actions) {
  if (this->HasRow() || this->stopping) return;
  const auto& candidates = this->membership.candidates;
  if (candidates.empty() || candidates.front() != this->self) return;
  CellRow row;
  row.version = {kClaimTermStride, 1};
  row.primary = this->self;
  row.standby = this->ChooseStandby({}, now);
  for (const auto& server : this->desired_servers) {
    if (server.leaving) continue;
    row.servers.push_back({server.name, ServerState::kIn, server.weight});
  }
  this->store.StartWrite(std::move(row), true, now, actions);
}

void CellMachine::OnRowRead(const CellRow& row, Instant not_before, Instant now,
                            Actions& actions) {
  if (row.primary != this->self && row.standby != this->self) {
    // A stored row that does not name this instance as primary or standby ends
    // its role, even if it took over under a higher term that is not yet
    // stored.
    const bool row_already_adopted =
        this->HasRow() && row.version == this->NewestRow().version;
    if (!row_already_adopted) this->AdoptRow(row, std::nullopt, now);
    this->ClaimAbandonedCell(row, now, actions);
    return;
  }
  const bool stored_row_is_newer =
      !this->HasRow() || row.version > this->NewestRow().version;
  if (!stored_row_is_newer) {
    this->RecordContact(not_before);
    return;
  }
  if (row.primary == this->self) {
    // A write of this instance took effect after it was recorded as failed.
    this->BecomePrimaryAfterUnknownGrants(row, now);
    this->RecordContact(not_before);
    return;
  }
  // The other instance of the pair is primary. Its pings contain both its
  // newest row and the row in effect; the stored row alone does not show which
  // keys are still moving.
  if (this->role == Role::kPrimary) this->StepDown();
  if (this->role == Role::kStandby) this->RecordContact(not_before);
  if (this->role == Role::kNone) this->ClaimAbandonedCell(row, now, actions);
}

void CellMachine::ClaimAbandonedCell(const CellRow& row, Instant now,
                                     Actions& actions) {
  if (this->stopping || !this->IsGone(row.primary, now)) return;
  const bool is_standby = row.standby == this->self;
  const bool standby_remains =
      !row.standby.Empty() && !is_standby && !this->IsGone(row.standby, now);
  if (standby_remains) return;
  const auto& candidates = this->membership.candidates;
  const bool is_first_candidate =
      !candidates.empty() && candidates.front() == this->self;
  if (!is_standby && !is_first_candidate) return;
  CellRow claim = row;
  claim.version.term += kClaimTermStride;
  claim.version.sequence += 1;
  AddFormerMember(claim, row.primary);
  if (!is_standby) AddFormerMember(claim, row.standby);
  claim.primary = this->self;
  claim.standby = this->ChooseStandby(claim.formers, now);
  RemoveMembersFromFormers(claim);
  this->store.StartWrite(std::move(claim), true, now, actions);
}

void CellMachine::OnRowWritten(const CellRow& row, Instant not_before,
                               Instant now) {
  if (row.primary != this->self) return;
  this->RecordContact(not_before);
  if (this->HasRow() && row.version <= this->NewestRow().version) return;
  // The change of primary or standby takes effect because it is stored now.
  if (this->role == Role::kPrimary) {
    const InstanceId removed_standby = this->NewestRow().standby;
    this->counters.standby_replacements += 1;
    this->ProposeRow(row);
    this->standby_last_contact = now;
    this->exclusion_tracker.Track(row.standby, true);
    this->exclusion_tracker.OnRemovalStored(removed_standby, now);
    return;
  }
  if (this->HasRow()) {
    this->counters.claims += 1;
    this->BecomePrimaryAfterUnknownGrants(row, now);
    return;
  }
  this->counters.creations += 1;
  this->serving = row;
  this->pending_row.reset();
  this->BecomePrimary(now);
}

}  // namespace chervilmux::ownership
