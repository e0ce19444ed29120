/// \file
/// Defines the state machine that grants the key ranges of one service to its
/// backend servers: one instance leads, the others stand by.
///
/// Pure logic: events and the time go in, actions come out. It keeps one
/// promise above all: a key is granted to a server only when no other server
/// can still hold it. A server lets go in one of three ways: it answered a
/// release and no earlier order to it is unanswered; the longest lease that any
/// order could have given it has run out; or a later life of it is listed. A
/// refused connection proves nothing: a partition can look the same. Who leads
/// is decided by compare-and-set on a lease row of the store; every change of
/// owners is committed there, under the lease, before an order goes out.
/// Fencing tokens come from the committed table and only rise.

#ifndef CHERVILMUX_RANGES_RANGE_GRANTOR_H_
#define CHERVILMUX_RANGES_RANGE_GRANTOR_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "kernel/time.h"
#include "model/backend_server.h"
#include "net/address.h"
#include "ranges/load_map.h"
#include "ranges/range_planner.h"
#include "ranges/range_table.h"
#include "store/metadata_store.h"

namespace chervilmux::ranges {

struct GrantorTiming {
  /// Length of a grant. Must outlast the change of the leader (about 3.5 s)
  /// plus one renewal period; shorter means that a lost server's keys move
  /// sooner.
  kernel::Duration grant_duration = kernel::milliseconds(5000);
  kernel::Duration renew_period = kernel::milliseconds(1200);
  /// A server's clock may be slow by 2%, and so much is added for the way.
  double clock_drift_factor = 1.02;
  kernel::Duration network_margin = kernel::milliseconds(150);
  kernel::Duration lease_write_period = kernel::milliseconds(500);
  /// The leader changes owners only for this long after its last lease write.
  kernel::Duration lease_valid = kernel::milliseconds(1400);
  /// Others claim a lease that did not change for this long.
  kernel::Duration claim_after = kernel::milliseconds(1800);
  /// Without the store the leader renews grants, unchanged, for this long: with
  /// the last grants, owners outlast a store outage of 9 s. A successor must
  /// wait as long before it moves the keys of a server that it cannot reach.
  kernel::Duration renew_without_store = kernel::milliseconds(5500);
  /// Renewals come this often while the lease cannot be written, so that the
  /// last ones before the limit run for nearly their whole length.
  kernel::Duration renew_period_without_store = kernel::milliseconds(400);
  /// A leader that was not heard for this long is suspected.
  kernel::Duration suspect_after = kernel::milliseconds(900);
  kernel::Duration plan_period = kernel::milliseconds(100);
  kernel::Duration balance_period = kernel::milliseconds(700);
  /// Waiting time for the answer to an order, and to a release, which comes
  /// when the running work has ended.
  kernel::Duration order_timeout = kernel::milliseconds(500);
  kernel::Duration release_timeout = kernel::milliseconds(2000);
  kernel::Duration retry_period = kernel::milliseconds(300);
};

enum class OrderKind : std::uint8_t { kGrant, kRelease };

struct RangeOrder {
  std::uint64_t id = 0;
  OrderKind kind = OrderKind::kGrant;
  std::string server;
  net::Address address;
  Key first = 0;
  Key last = 0;
  std::uint64_t fence = 0;
  kernel::Duration grant_duration;  ///< Of a grant.
  std::string handover;             ///< Of a grant; may be empty.
  kernel::Duration timeout;
};

enum class OrderOutcome : std::uint8_t {
  kAccepted,
  kHigherFence,  ///< The server has seen a higher fencing token.
  kNotSent,      ///< No byte can have reached the server.
  kNoAnswer,     ///< May be carried out, now or later.
};

struct OrderReply {
  std::uint64_t id = 0;
  OrderOutcome end = OrderOutcome::kNoAnswer;
  std::string handover;  ///< From a release.
};

/// The lease row: who leads.
struct GrantorLease {
  std::string holder;
  std::uint64_t holder_life = 0;
  std::uint64_t count = 0;  ///< Makes each write a different one.
};

/// Keys whose owner holds them no longer, or only until its lease has run out;
/// for the log.
struct ExpiryNotice {
  std::string server;
  Key first = 0;
  Key last = 0;
  kernel::Instant expires_at;  ///< kNever: it holds them no longer.
  std::string_view why;
};

/// What the grantor wants done. Empty members mean nothing to do.
struct GrantorActions {
  std::vector<RangeOrder> orders;
  /// Write the lease and, if set, the table, under the versions last read.
  struct Write {
    GrantorLease lease;
    std::uint64_t lease_version = 0;
    std::optional<RangeTable> table;
    std::uint64_t table_version = 0;
  };
  std::optional<Write> write;
  bool read = false;     ///< Read the lease row and the table row.
  bool publish = false;  ///< Tell all instances PublishedTable().
  std::vector<ExpiryNotice> expiries;
};

/// Rows of lease and table as read; version 0 for a row that is missing.
struct GrantorRows {
  GrantorLease lease;
  std::uint64_t lease_version = 0;
  std::optional<RangeTable> table;
  std::uint64_t table_version = 0;
};

std::string EncodeLease(const GrantorLease& lease);
/// Errors: kMessageMalformed.
kernel::Result<GrantorLease> DecodeLease(std::string_view text);

class RangeGrantor {
 public:
  /// `stagger` in [0, 1) spreads the candidates of a lost lease.
  RangeGrantor(std::string service, std::string instance, double stagger,
               const GrantorTiming& timing = {});

  /// This instance is registered under this life and may lead from now on.
  void EnableLeadership(std::uint64_t own_life) { this->life = own_life; }

  /// The listed servers of the service.
  void OnServerList(std::span<const model::BackendServer> listed,
                    kernel::Instant now);
  /// Relative capacity of a server; 1 when unknown.
  void SetCapacityLookup(std::function<double(std::string_view)> capacity) {
    this->capacity_of = std::move(capacity);
  }
  /// Whether the process of an instance's life has surely ended.
  void SetInstanceEndedCheck(
      std::function<bool(std::string_view, std::uint64_t)> f) {
    this->has_ended = std::move(f);
  }

  void OnRowsRead(const GrantorRows& rows, kernel::Instant now);
  void OnReadFailed(kernel::Instant now);
  void OnWriteReply(store::StoreStatus status, std::uint64_t version,
                    kernel::Instant now);
  void OnOrderReply(const OrderReply& reply, kernel::Instant now);
  void OnLoadReport(std::span<const BucketCount> counts) {
    this->load.Add(counts);
  }

  /// Another instance leads with this table: it was heard just now.
  void OnLeaderContact(const RangeTable& table, kernel::Instant now);

  GrantorActions Tick(kernel::Instant now);

  /// Hands nothing out any more, so that another instance may take over at
  /// once. Grants run on.
  void Resign() { this->resigning = true; }

  bool Leads() const { return this->role == Role::kLeader; }

  /// Whether this instance leads, or has heard lately from the one that does.
  bool HasLeaderContact(kernel::Instant now) const;

  /// Whether this instance leads and may change owners. A leader that cannot
  /// write its lease must not keep others from claiming it.
  bool MayChangeOwners(kernel::Instant now) const {
    return this->Leads() && this->LeaseValid(now);
  }

  /// Owners as requests should follow them, when this instance leads.
  const RangeTable& PublishedTable() const { return this->view; }

  /// Pieces that wait for a lease to run out, for metrics.
  std::size_t ExpiringRangeCount() const;

 private:
  enum class Role : std::uint8_t { kFollower, kLeader };
  enum class Phase : std::uint8_t {
    kOwned,      ///< The committed owner holds it or is being granted it.
    kReleasing,  ///< The owner is asked to let go.
    kLapsing,    ///< The owner cannot be asked: its lease must run out.
    kFree,       ///< Nobody can hold it.
  };
  struct Piece {
    KeyRange range;
    Phase phase = Phase::kFree;
    std::string target;        ///< The planned next owner; may be empty.
    bool granted = false;      ///< The owner accepted a grant in this term.
    bool first_grant = false;  ///< New to its owner: not served before.
    bool committing = false;   ///< Part of the write that is under way.
    kernel::Instant expires_at = kernel::kNever;  ///< No grant lasts longer.
    kernel::Instant uncertain_until = kernel::kNever;  ///< Of unanswered ones.
    kernel::Instant next_order = kernel::kNever;
    std::uint64_t order = 0;     ///< Outstanding order, or 0.
    unsigned failed_orders = 0;  ///< In a row.
    std::string handover;        ///< From the release.
    KeyRange next;               ///< While `committing`: what is written.
  };
  struct Pending {
    GrantorActions::Write write;
    kernel::Instant sent_at;
    kernel::Instant retry_at = kernel::kNever;
    bool in_flight = false;
    bool doubtful = false;  ///< It may have been performed: read first.
    bool claim = false;
  };
  struct ServerState {
    model::BackendServer listed;
    bool gone = false;  ///< Not listed any more.
    kernel::Instant gone_since = kernel::kNever;
    unsigned failed_in_row = 0;  ///< Orders without an answer.
    kernel::Instant avoid_until = kernel::kNever;

    bool Usable() const { return !this->gone && !this->listed.draining; }
  };
  struct SentOrder {
    RangeOrder order;
    std::uint64_t life = 0;
    kernel::Instant sent_at;
  };

  kernel::Instant LapseAfter(kernel::Instant sent) const;
  void FollowerTick(kernel::Instant now, GrantorActions& actions);
  void LeaderTick(kernel::Instant now, GrantorActions& actions);
  void Claim(const GrantorRows& rows, kernel::Instant now);
  void ResolvePending(const GrantorRows& rows, kernel::Instant now);
  void OnPendingDone(std::uint64_t version, kernel::Instant now);
  void BecomeFollower(kernel::Instant now);
  void AdoptTable(const RangeTable& adopted, kernel::Instant expires_at);
  bool LeaseValid(kernel::Instant now) const;
  bool MayRenew(kernel::Instant now) const;
  kernel::Instant InheritedLapse(const GrantorRows& rows,
                                 kernel::Instant now) const;
  void CheckOwners(kernel::Instant now);
  void LetGo(Piece& piece, kernel::Instant now);
  void AwaitLapse(Piece& piece, std::string_view why);
  void OnLapse(Piece& piece, std::string_view why);
  void NoteReply(ServerState& server, OrderOutcome end, kernel::Instant now);
  void OnGrantReply(Piece& piece, const SentOrder& sent,
                    const OrderReply& reply, kernel::Instant now);
  void OnReleaseReply(Piece& piece, const OrderReply& reply,
                      kernel::Instant now);
  void Plan(kernel::Instant now);
  void ApplyMove(const PlannedMove& move, kernel::Instant now);
  std::vector<PlannerRange> PlannedRanges() const;
  std::vector<PlannerServer> PlannedServers() const;
  void PrepareWrite(kernel::Instant now);
  void SendOrders(kernel::Instant now, GrantorActions& actions);
  void SendGrant(std::size_t from, std::size_t to, kernel::Instant now,
                 GrantorActions& actions);
  void SendRelease(Piece& piece, kernel::Instant now, GrantorActions& actions);
  bool CanJoinGrant(const Piece& left, const Piece& right) const;
  void EmitWrite(kernel::Instant now, GrantorActions& actions);
  void CutPieces(Key first, Key last);
  void JoinPieces();
  void RefreshView(GrantorActions& actions);
  ServerState* FindServer(std::string_view id);
  const ServerState* FindServer(std::string_view id) const;
  kernel::Instant claimed_lapse = kernel::kNever;

  std::string service;
  std::string instance;
  std::uint64_t life = 0;  ///< 0 until EnableLeadership().
  GrantorTiming timing;
  Role role = Role::kFollower;
  bool resigning = false;
  std::map<std::string, ServerState, std::less<>> servers;
  std::function<double(std::string_view)> capacity_of;
  std::function<bool(std::string_view, std::uint64_t)> has_ended;

  // As a follower.
  kernel::Instant leader_heard = kernel::kNever;
  kernel::Duration stagger;
  kernel::Instant next_read = kernel::kNever;
  bool reading = false;
  std::uint64_t seen_lease_version = 0;
  kernel::Instant lease_seen_since = kernel::kNever;

  // As the leader.
  GrantorLease lease;
  std::uint64_t lease_version = 0;
  std::uint64_t table_version = 0;
  kernel::Instant lease_written = kernel::kNever;
  RangeTable table;  ///< As committed, without its ranges.
  std::vector<Piece> pieces;
  std::optional<Pending> pending;
  std::map<std::uint64_t, SentOrder> sent_orders;
  std::uint64_t last_order = 0;
  std::vector<ExpiryNotice> new_lapses;  ///< Since the last Tick().
  LoadMap load;
  kernel::Instant next_plan = kernel::kNever;
  kernel::Instant next_balance = kernel::kNever;
  kernel::Instant next_lease_write = kernel::kNever;
  std::uint64_t fence_skip = 0;  ///< Added to the next fencing token.
  RangeTable view;
};

}  // namespace chervilmux::ranges

#endif  // CHERVILMUX_RANGES_RANGE_GRANTOR_H_
