/// \file
/// Defines CellMachine, the state machine by which one instance manages one
/// cell.
///
/// Its inputs are events and the current time, its outputs are actions. It uses
/// no sockets, no clock and no random numbers of its own, so any sequence of
/// events can be replayed.
///
/// A cell has a primary and a standby. The primary grants short leases to the
/// cell's servers and is the only instance that sends them requests. These
/// rules keep a key from having two owners:
///
/// - The standby takes over the SAME owners, without a request to the store and
///   under a higher term: servers refuse the lower term, and no owner changes.
/// - A change of owners becomes effective only when every other instance that
///   could still act on the older row has accepted the new row or is excluded,
///   and every server that gives up keys has stopped: it acknowledged the
///   change, or its last possible grant has expired.
/// - A primary or standby that has had contact with neither the other of the
///   two nor the store for the isolation budget stops by its own clock.

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
#include "ownership/exclusion_book.h"
#include "ownership/grant_ledger.h"
#include "ownership/row.h"
#include "ownership/row_writer.h"

namespace chervilmux::ownership {

class CellMachine {
 public:
  /// Role of this instance in the cell; kNone: it is not a member.
  enum class Role : std::uint8_t { kNone, kStandby, kPrimary };

  CellMachine(InstanceId self, const CellTiming& timing,
              SafetyRules rules = {});

  // --- Events. Each may append actions.
  void OnTick(kernel::Instant now, Actions& actions);
  void OnPeerMessage(const PeerMessage& message, kernel::Instant now,
                     Actions& actions);
  void OnStoreReply(const StoreReply& reply, kernel::Instant now,
                    Actions& actions);
  void OnGrantReply(const GrantReply& reply, kernel::Instant now,
                    Actions& actions);
  void OnMembership(Membership membership, kernel::Instant now);
  void OnDesiredServers(std::span<const DesiredServer> servers);
  /// Operators pin single keys to a server. `overrides` maps the hash of each
  /// pinned key to the name of its server.
  void OnDesiredOverrides(
      const std::map<std::uint64_t, std::string>& overrides);

  /// Records that `server` has `count` unfinished requests for keys that it
  /// loses in the current change of owners. The change waits until there are
  /// none.
  void OnMovingRequestCount(std::string_view server, std::size_t count);

  /// Starts a planned shutdown: the standby becomes primary.
  void BeginStop();

  // --- State.
  Role CurrentRole() const { return this->role; }
  const InstanceId& Self() const { return this->self; }

  /// The row in effect: the row whose assignment of keys to servers is used
  /// now. The newest row may assign keys to other servers that do not own them
  /// yet. Valid only if HasRow().
  const CellRow& ServingRow() const { return this->serving; }

  /// The newest row; differs from ServingRow() while owners are changing.
  const CellRow& NewestRow() const {
    return this->pending_row ? *this->pending_row : this->serving;
  }
  bool HasRow() const { return this->serving.version.term != 0; }
  bool IsChangingOwners() const { return this->pending_row.has_value(); }

  /// Returns until when this instance may be primary without further contact.
  kernel::Instant AuthorityUntil() const;

  /// Returns until when requests may be sent to `server` under ServingRow(), or
  /// kNever if they may not be sent. The sender checks this immediately before
  /// each send.
  kernel::Instant MaySendUntil(std::string_view server) const;

  /// Returns the token to send with a request; valid until MaySendUntil().
  Token TokenFor(std::string_view server) const;

  bool ChecksTokens(std::string_view server) const;
  /// Returns all counters, including those of the trackers and the row writer.
  CellCounters Counters() const;

 private:
  // Contact with the store and with the other of primary and standby, and the
  // authority (permission to act in the role) that follows from it.
  void RecordContact(kernel::Instant not_before);
  bool HasAuthority(kernel::Instant now) const;

  // Roles.
  void AdoptRow(const CellRow& row, std::optional<CellRow> serving_row,
                kernel::Instant now);
  void BecomePrimary(kernel::Instant now);
  void StepDown();
  void BecomePrimaryAfterUnknownGrants(const CellRow& row, kernel::Instant now);
  void TakeOver(kernel::Instant now);
  void HandOverLeadership(kernel::Instant now, Actions& actions);
  bool IsGone(const InstanceId& instance, kernel::Instant now) const;
  bool IsLeaving(const InstanceId& instance) const;
  InstanceId ChooseStandby(std::span<const InstanceId> avoid,
                           kernel::Instant now) const;

  // Periodic duties by role.
  void PrimaryTick(kernel::Instant now, Actions& actions);
  void StandbyTick(kernel::Instant now, Actions& actions);
  void NonMemberTick(kernel::Instant now, Actions& actions);
  void SendPings(kernel::Instant now, Actions& actions);
  void SyncWithStore(kernel::Instant now, Actions& actions);
  bool StandbyIsUnavailable(kernel::Instant now) const;
  bool ReplaceStandby(kernel::Instant now, Actions& actions);

  // Servers and owner changes.
  void RenewGrants(kernel::Instant now, Actions& actions);
  void RenewGrant(const ServerEntry& server, kernel::Instant now,
                  Actions& actions);
  void ProposeServerChanges(kernel::Instant now);
  ServerState DesiredState(const DesiredServer& server, kernel::Instant now,
                           std::size_t& removals_left);
  bool IsResponding(std::string_view server, kernel::Instant now) const;
  std::size_t RemovableServerCount(kernel::Instant now) const;
  void ProposeRow(CellRow row);
  void FinishOwnerChange(kernel::Instant now);
  bool MayFinishOwnerChange(kernel::Instant now) const;
  bool AnyServerReceivesKeys() const;
  bool HasMovingRequests(std::string_view server) const;
  bool OthersCannotUseOlderRows() const;
  bool OtherGrantsExpired(kernel::Duration margin, kernel::Instant now) const;
  bool GivesUpKeys(const ServerEntry& server, bool any_receiver) const;
  bool HasStoppedServing(const ServerEntry& server, kernel::Instant now) const;

  // Results of store requests.
  void OnRowAbsent(kernel::Instant now, Actions& actions);
  void OnRowRead(const CellRow& row, kernel::Instant not_before,
                 kernel::Instant now, Actions& actions);
  void OnRowWritten(const CellRow& row, kernel::Instant not_before,
                    kernel::Instant now);
  void ClaimAbandonedCell(const CellRow& row, kernel::Instant now,
                          Actions& actions);

  PeerMessage MakePeerMessage(PeerMessage::Kind kind, const InstanceId& to,
                              kernel::Instant now) const;

  InstanceId self;
  CellTiming timing;
  SafetyRules rules;
  Role role = Role::kNone;
  CellRow serving;
  /// The newest row while it is not yet the row in effect (see ServingRow()).
  std::optional<CellRow> pending_row;
  /// Lower bound of the time of this instance's last contact with the store or,
  /// as primary or standby, with the other of the two.
  kernel::Instant last_contact = kernel::kNever;
  kernel::Instant primary_since = kernel::kNever;
  /// Version of the row by which the owners of keys last changed, or of the row
  /// in effect (see ServingRow()) when this instance became primary.
  RowVersion owners_version;
  /// `pending_row` was sent to servers, so they no longer own the keys that
  /// move.
  bool pending_row_sent = false;
  /// Version of the row that replaced a `pending_row` already sent to servers.
  /// Older grants do not cover keys that move in the replaced row but not in
  /// the replacement.
  RowVersion replacement_version;
  /// Another instance started the change to `pending_row`.
  bool inherited_change = false;
  /// Nothing is known of grants that were issued before this instance became
  /// primary.
  bool earlier_grants_unknown = false;
  kernel::Instant primary_last_contact = kernel::kNever;
  kernel::Instant standby_last_contact = kernel::kNever;
  kernel::Instant last_ping_at = kernel::kNever;
  /// Latest `sent_at` received from each instance, on that instance's clock.
  std::map<InstanceId, kernel::Instant> newest_sent_at;
  struct AcceptedRows {
    RowVersion newest;
    RowVersion serving;
  };
  /// Versions of the rows that each instance accepted by an echo in the current
  /// term.
  std::map<InstanceId, AcceptedRows> accepted;
  GrantTracker grant_tracker;
  ExclusionTracker exclusion_tracker;
  RowWriter store;
  Membership membership;
  std::vector<DesiredServer> desired_servers;
  std::map<std::uint64_t, std::string> desired_overrides;
  /// Number of unfinished requests at each server for keys that it loses in the
  /// current change of owners.
  std::map<std::string, std::size_t, std::less<>> moving_request_counts;
  bool stopping = false;  ///< A planned shutdown has begun.
  CellCounters counters;
};

/// Returns the name of `role` in status reports and logs.
std::string_view RoleName(CellMachine::Role role);

}  // namespace chervilmux::ownership

#endif  // CHERVILMUX_OWNERSHIP_CELL_MACHINE_H_
