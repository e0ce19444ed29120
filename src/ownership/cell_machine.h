/// \file
/// Defines CellMachine: the decisions of one instance about one cell.
///
/// Pure logic: facts and the time go in, actions come out. No sockets, no clock
/// and no randomness of its own, so that any history can be replayed.
///
/// A cell has a primary and a standby. The primary grants short leases to the
/// cell's servers and is the only one that sends them requests. The rules that
/// keep a key from having two owners:
///
/// - The standby takes over the SAME owners without asking the store, under a
///   higher term: servers refuse the lower one, and no owner changes.
/// - A change of owners becomes effective only when every other instance that
///   could still act on the older row has accepted the new one or is excluded,
///   and every server that loses keys has stopped: it acknowledged the change,
///   or its last possible grant has lapsed.
/// - An instance that has no proof of contact with its counterpart or the store
///   within the isolation budget stops by its own clock.

#ifndef CHERVILMUX_OWNERSHIP_CELL_MACHINE_H_
#define CHERVILMUX_OWNERSHIP_CELL_MACHINE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "kernel/time.h"
#include "ownership/cell_counters.h"
#include "ownership/cell_events.h"
#include "ownership/cell_timing.h"
#include "ownership/exclusion_tracker.h"
#include "ownership/grant_tracker.h"
#include "ownership/row.h"
#include "ownership/row_writer.h"

namespace chervilmux::ownership {

class CellMachine {
 public:
  enum class Role : std::uint8_t { kNone, kStandby, kPrimary };

  CellMachine(InstanceId self, const CellTiming& timing,
              SafetyRules rules = {});

  // --- Facts. Each may append actions.
  void OnTick(kernel::Instant now, Actions& actions);
  void OnPeerMessage(const PeerMessage& message, kernel::Instant now,
                     Actions& actions);
  void OnStoreReply(const StoreReply& reply, kernel::Instant now,
                    Actions& actions);
  void OnGrantReply(const GrantReply& reply, kernel::Instant now,
                    Actions& actions);
  void OnMembership(Membership membership, kernel::Instant now);
  void OnDesiredServers(std::span<const DesiredServer> servers);
  void OnDesiredOverrides(
      const std::map<std::uint64_t, std::string>& overrides);

  /// Number of unfinished requests at `server` for keys that it is losing.
  void OnMovingRequestCount(std::string_view server, std::size_t count);

  /// Starts a planned stop: leadership goes to the standby.
  void BeginStop();

  // --- What follows from the facts.
  Role CurrentRole() const { return this->role; }
  const InstanceId& Self() const { return this->self; }

  /// The row that grants follow. Meaningful once HasRow().
  const CellRow& ServingRow() const { return this->serving; }

  /// The newest row; differs from ServingRow() while owners are changing.
  const CellRow& NewestRow() const {
    return this->next ? *this->next : this->serving;
  }
  bool HasRow() const { return this->serving.version.term != 0; }
  bool IsChangingOwners() const { return this->next.has_value(); }

  /// Until when this instance may lead without further contact.
  kernel::Instant AuthorityUntil() const;

  /// Until when requests may be sent to `server` under ServingRow(), checked by
  /// the sender immediately before each send; kNever when not at all.
  kernel::Instant MaySendUntil(std::string_view server) const;

  /// The token to send along; valid while MaySendUntil() lies ahead.
  Token TokenFor(std::string_view server) const;

  bool ChecksTokens(std::string_view server) const;
  /// All counters, those of the parts included.
  CellCounters Counters() const;

 private:
  // Contact and rights.
  void NoteContact(kernel::Instant proof);
  bool HasRight(kernel::Instant now) const;

  // Roles.
  void AdoptRow(const CellRow& row, std::optional<CellRow> served,
                kernel::Instant now);
  void BecomeLeader(kernel::Instant now);
  void LeaveLeadership();
  void LeadFromUnknown(const CellRow& row, kernel::Instant now);
  void TakeOver(kernel::Instant now);
  void HandOver(kernel::Instant now, Actions& actions);
  bool IsGone(const InstanceId& instance, kernel::Instant now) const;
  bool IsLeaving(const InstanceId& instance) const;
  InstanceId PickStandby(std::span<const InstanceId> avoid,
                         kernel::Instant now) const;

  // Periodic duties by role.
  void LeaderTick(kernel::Instant now, Actions& actions);
  void StandbyTick(kernel::Instant now, Actions& actions);
  void OutsiderTick(kernel::Instant now, Actions& actions);
  void PingOthers(kernel::Instant now, Actions& actions);
  void SyncStore(kernel::Instant now, Actions& actions);
  bool StandbyIsUseless(kernel::Instant now) const;
  bool ReplaceStandby(kernel::Instant now, Actions& actions);

  // Servers and owner changes.
  void RenewGrants(kernel::Instant now, Actions& actions);
  void RenewGrant(const ServerEntry& server, kernel::Instant now,
                  Actions& actions);
  void ProposeServers(kernel::Instant now);
  ServerState WantedState(const DesiredServer& server, kernel::Instant now,
                          std::size_t& may_lose);
  bool Answers(std::string_view server, kernel::Instant now) const;
  std::size_t SpareServers(kernel::Instant now) const;
  void Propose(CellRow row);
  void FinishMove(kernel::Instant now);
  bool MayFinishMove(kernel::Instant now) const;
  bool OverridesOrGainers() const;
  bool Busy(std::string_view server) const;
  bool OthersCleared() const;
  bool OthersLapsed(kernel::Duration extra, kernel::Instant now) const;
  bool LosesKeys(const ServerEntry& server, bool any_gainer) const;
  bool ServerStopped(const ServerEntry& server, kernel::Instant now) const;

  // Store facts.
  void OnAbsent(kernel::Instant now, Actions& actions);
  void OnSeen(const CellRow& row, kernel::Instant proof, kernel::Instant now,
              Actions& actions);
  void OnWritten(const CellRow& row, kernel::Instant proof,
                 kernel::Instant now);
  void ClaimOrphan(const CellRow& row, kernel::Instant now, Actions& actions);

  PeerMessage MakeMessage(PeerMessage::Kind kind, const InstanceId& to,
                          kernel::Instant now) const;

  InstanceId self;
  CellTiming timing;
  SafetyRules rules;
  Role role = Role::kNone;
  CellRow serving;
  std::optional<CellRow> next;
  kernel::Instant contact = kernel::kNever;
  kernel::Instant leader_since = kernel::kNever;
  RowVersion owners_since;  ///< Row of the latest change of owners.
  /// Servers were told of `next`, so they no longer own the moving keys.
  bool next_told = false;
  /// A told change was replaced by this row: older grants do not cover keys
  /// that the replacement leaves where they were.
  RowVersion told_since;
  bool inherited_move = false;  ///< `next` was begun by another instance.
  bool unknown_past = false;    ///< Nothing is known of earlier grants.
  kernel::Instant heard_primary_at = kernel::kNever;
  kernel::Instant heard_standby_at = kernel::kNever;
  kernel::Instant last_ping = kernel::kNever;
  std::map<InstanceId, kernel::Instant> newest_sent_at;
  struct AcceptedRows {
    RowVersion newest;
    RowVersion serving;
  };
  std::map<InstanceId, AcceptedRows> accepted;  ///< By echo, this term.
  GrantTracker ledger;
  ExclusionTracker exclusions;
  RowWriter store;
  Membership membership;
  std::vector<DesiredServer> desired;
  std::map<std::uint64_t, std::string> desired_overrides;
  std::map<std::string, std::size_t, std::less<>> moving_in_flight;
  bool stopping = false;
  CellCounters counters;
};

/// The name that status and logs show for `role`.
std::string_view RoleName(CellMachine::Role role);

}  // namespace chervilmux::ownership

#endif  // CHERVILMUX_OWNERSHIP_CELL_MACHINE_H_
