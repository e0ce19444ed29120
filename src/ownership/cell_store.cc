// The part of CellMachine that deals with the stored row and with changes of
// the pair, which take effect only once they are stored.

#include <algorithm>
#include <utility>

#include "ownership/cell_machine.h"

namespace chervilmux::ownership {

using kernel::Instant;

bool CellMachine::StandbyIsUseless(Instant now) const {
  const InstanceId& standby = this->NewestRow().standby;
  if (standby.Empty()) return true;
  if (this->IsLeaving(standby) || this->IsGone(standby, now)) return true;
  return now >= this->heard_standby_at + 2 * this->timing.suspect_after;
}

bool CellMachine::ReplaceStandby(Instant now, Actions& actions) {
  const InstanceId old = this->NewestRow().standby;
  const InstanceId chosen = this->PickStandby(std::span(&old, 1), now);
  // Without a successor it stays, in case it comes back; once excluded it never
  // will.
  if (chosen.Empty() && (old.Empty() || !this->exclusions.Excluded(old))) {
    return false;
  }
  // Effective only once stored: the old standby could otherwise take over
  // under the same term as the new one.
  CellRow row = this->NewestRow();
  row.version.term += kClaimTermStride;
  row.version.sequence += 1;
  row.standby = chosen;
  AddFormer(row, old);
  DropPairFromFormers(row);
  this->store.Write(std::move(row), true, now, actions);
  return true;
}

void CellMachine::SyncStore(Instant now, Actions& actions) {
  if (!this->store.Idle(now)) return;
  const bool due = now >= this->store.LastAttempt() + this->timing.store_period;
  if (this->store.Down() && !due) return;
  const bool useless = this->StandbyIsUseless(now);
  if (useless && due && this->ReplaceStandby(now, actions)) return;
  if (this->store.StoredVersion() != this->NewestRow().version ||
      this->store.PairUncertain()) {
    this->store.Write(this->NewestRow(), false, now, actions);
    return;
  }
  // Without a standby that answers, the store is the only proof of contact.
  if (useless && due) this->store.Read(now, actions);
}

void CellMachine::OnAbsent(Instant now, Actions& actions) {
  if (this->HasRow() || this->stopping) return;
  const auto& candidates = this->membership.candidates;
  if (candidates.empty() || candidates.front() != this->self) return;
  CellRow row;
  row.version = {kClaimTermStride, 1};
  row.primary = this->self;
  row.standby = this->PickStandby({}, now);
  for (const auto& server : this->desired) {
    if (server.leaving) continue;
    row.servers.push_back({server.name, ServerState::kIn, server.weight});
  }
  this->store.Write(std::move(row), true, now, actions);
}

void CellMachine::OnSeen(const CellRow& row, Instant proof, Instant now,
                         Actions& actions) {
  if (row.primary != this->self && row.standby != this->self) {
    // A stored row without us ends our part, even if our own uncommitted
    // take-over carries a higher term.
    const bool known =
        this->HasRow() && row.version == this->NewestRow().version;
    if (!known) this->AdoptRow(row, std::nullopt, now);
    this->ClaimOrphan(row, now, actions);
    return;
  }
  const bool newer = !this->HasRow() || row.version > this->NewestRow().version;
  if (!newer) {
    this->NoteContact(proof);
    return;
  }
  if (row.primary == this->self) {
    // A write of ours took effect after we had given it up.
    this->LeadFromUnknown(row, now);
    this->NoteContact(proof);
    return;
  }
  // The counterpart leads. Its row and what it serves come with its pings; a
  // row of the store alone does not tell which keys are still moving.
  if (this->role == Role::kPrimary) this->LeaveLeadership();
  if (this->role == Role::kStandby) this->NoteContact(proof);
  if (this->role == Role::kNone) this->ClaimOrphan(row, now, actions);
}

void CellMachine::ClaimOrphan(const CellRow& row, Instant now,
                              Actions& actions) {
  if (this->stopping || !this->IsGone(row.primary, now)) return;
  const bool is_standby = row.standby == this->self;
  const bool standby_remains =
      !row.standby.Empty() && !is_standby && !this->IsGone(row.standby, now);
  if (standby_remains) return;
  const auto& candidates = this->membership.candidates;
  const bool chosen = !candidates.empty() && candidates.front() == this->self;
  if (!is_standby && !chosen) return;
  CellRow claim = row;
  claim.version.term += kClaimTermStride;
  claim.version.sequence += 1;
  AddFormer(claim, row.primary);
  if (!is_standby) AddFormer(claim, row.standby);
  claim.primary = this->self;
  claim.standby = this->PickStandby(claim.formers, now);
  DropPairFromFormers(claim);
  this->store.Write(std::move(claim), true, now, actions);
}

void CellMachine::OnWritten(const CellRow& row, Instant proof, Instant now) {
  if (row.primary != this->self) return;
  this->NoteContact(proof);
  if (this->HasRow() && row.version <= this->NewestRow().version) return;
  // A change of the pair takes effect now that it is stored.
  if (this->role == Role::kPrimary) {
    const InstanceId dropped = this->NewestRow().standby;
    this->counters.standby_replacements += 1;
    this->Propose(row);
    this->heard_standby_at = now;
    this->exclusions.Follow(row.standby, true);
    this->exclusions.OnDropStored(dropped, now);
    return;
  }
  if (this->HasRow()) {
    this->counters.claims += 1;
    this->LeadFromUnknown(row, now);
    return;
  }
  this->counters.creations += 1;
  this->serving = row;
  this->next.reset();
  this->BecomeLeader(now);
}

}  // namespace chervilmux::ownership
