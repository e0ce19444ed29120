/// \file
/// Defines the state machine that grants the key ranges of one service to its
/// backend servers: one instance leads, the others are followers.
///
/// The class does no I/O: it gets events and the time and returns actions. Its
/// invariant is that a key is granted to a server only when no other server can
/// still hold it. A server has stopped holding a key in one of three cases: it
/// answered a release and no earlier order to it is unanswered; the longest
/// grant that any order could have given it has expired; or a later incarnation
/// of it is listed. The last proves nothing about the later incarnation, which
/// may have taken a grant that was meant for the one before: until that has
/// expired, the keys can only go to it. A refused connection is no proof,
/// because a network partition can look the same. The leader is elected by
/// compare-and-set on a lease row of the store. Every change of owners is
/// committed there, under the lease, before an order is sent. Fencing tokens
/// come from the committed table and only increase.
///
/// A leader that is cut off renews grants for a while. Its successor marks the
/// table until each owner has taken a higher token, so that a leader after it
/// waits for these grants too, although it reads the successor's lease only.
///
/// When the store returns from an older copy, commits are lost: each era has
/// rows of its own, and grants that no row shows may run. Only the instance
/// that led when they were lost knows its own. It commits its table in the new
/// era and asks each owner to renew under the token that it has: an owner that
/// accepts has not seen a higher one, so that no other leader, whose commits
/// are lost as well, has moved the range. Then the owner gets a token of the
/// new era, which makes it refuse orders of such a leader. Every other
/// instance waits until all grants of earlier eras have expired.

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
  /// Length of a grant. It must exceed the time of a change of leader
  /// (about 3.5 s) plus one renewal period; a shorter one lets the keys of a
  /// lost server move sooner.
  kernel::Duration grant_duration = kernel::milliseconds(5000);
  kernel::Duration renew_period = kernel::milliseconds(1200);
  /// The clock of a server may be slow by 2%, so the grantor assumes that a
  /// grant lasts this many times `grant_duration`.
  double clock_drift_factor = 1.02;
  /// Added to the assumed expiry of a grant for the delivery time of its order.
  kernel::Duration network_margin = kernel::milliseconds(150);
  kernel::Duration lease_write_period = kernel::milliseconds(500);
  /// How long the leader may change the owners of keys after its last
  /// successful write of the lease.
  kernel::Duration lease_valid = kernel::milliseconds(1400);
  /// Followers claim a lease that has not changed for this long.
  kernel::Duration lease_timeout = kernel::milliseconds(1800);
  /// Without the store, the leader renews unchanged grants for this long after
  /// its last lease write. The last grants run for another `grant_duration`, so
  /// that owners keep their keys in a store outage of 9 s. While the previous
  /// leader may still run, a successor moves keys of a server that it cannot
  /// reach only after `renew_limit_without_store + grant_duration *
  /// clock_drift_factor + network_margin` (10.75 s), counted from when the
  /// successor first read the lease that it replaces.
  kernel::Duration renew_limit_without_store = kernel::milliseconds(5500);
  /// Shorter renewal period while the lease cannot be written, so that the last
  /// renewals are sent just before `renew_limit_without_store` ends and their
  /// grants last nearly `grant_duration` beyond it.
  kernel::Duration renew_period_without_store = kernel::milliseconds(400);
  /// A follower reads the lease after this time without contact with the
  /// leader.
  kernel::Duration suspect_after = kernel::milliseconds(900);
  /// The same where it hears of the leader through another instance.
  kernel::Duration suspect_after_hearsay = kernel::milliseconds(1500);
  /// Changes of owners within this time are sent to the instances together.
  kernel::Duration publish_period = kernel::milliseconds(40);
  kernel::Duration plan_period = kernel::milliseconds(100);
  kernel::Duration balance_period = kernel::milliseconds(700);
  /// Timeout of a grant.
  kernel::Duration order_timeout = kernel::milliseconds(500);
  /// Timeout of a release, which a server answers when its running requests
  /// have ended.
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
  /// Set only in a grant.
  kernel::Duration grant_duration;
  /// Data from the previous owner. Set only in a grant; may be empty.
  std::string handover;
  kernel::Duration timeout;
  /// The server has accepted this grant before, and has answered since.
  bool is_renewal = false;
};

enum class OrderOutcome : std::uint8_t {
  kAccepted,
  kHigherFence,  ///< The server has seen a higher fencing token.
  kNotSent,      ///< No byte can have reached the server.
  /// The server may execute the order, now or later.
  kNoAnswer,
};

struct OrderReply {
  std::uint64_t id = 0;
  OrderOutcome end = OrderOutcome::kNoAnswer;
  /// Data for the next owner. Set only in the reply to a release.
  std::string handover;
};

/// The lease row, which names the leader.
struct GrantorLease {
  std::string holder;
  std::uint64_t holder_life = 0;
  /// Increases with each write of the lease row, so that an instance that reads
  /// the row can tell which of its own writes was performed.
  std::uint64_t count = 0;
};

/// Notice for the log about a range of keys: the owner no longer holds the
/// keys, or holds them only until its grant expires.
struct ExpiryNotice {
  std::string server;
  Key first = 0;
  Key last = 0;
  /// When the owner's grant expires; kNever if it holds the keys no longer.
  kernel::Instant expires_at;
  std::string_view why;
};

/// Actions that the caller must perform. An empty member requires no action.
struct GrantorActions {
  std::vector<RangeOrder> orders;
  /// Write the lease and, if set, the table, provided that both rows still have
  /// the given versions.
  struct Write {
    std::uint64_t id = 0;
    /// Names the rows: those of an earlier era are never written.
    std::uint64_t era = 0;
    GrantorLease lease;
    std::uint64_t lease_version = 0;
    std::optional<RangeTable> table;
    std::uint64_t table_version = 0;
  };
  std::optional<Write> write;
  /// Read the lease row and then, if it is needed, the table row.
  bool read = false;
  /// Send PublishedTable() to all instances.
  bool publish = false;
  std::vector<ExpiryNotice> expiries;
};

/// Lease row and table row of `era`, the era in which the store answered, as
/// read; version 0 means that the row is missing.
struct GrantorRows {
  std::uint64_t era = 0;
  GrantorLease lease;
  std::uint64_t lease_version = 0;
  /// Without a row of this era the newest known table of an earlier one.
  std::optional<RangeTable> table;
  std::uint64_t table_version = 0;
};

struct GrantorWriteReply {
  std::uint64_t id = 0;
  store::StoreStatus status = store::StoreStatus::kNoAnswer;
  std::uint64_t version = 0;
  /// The era in which the store answered; 0 without an answer.
  std::uint64_t era = 0;
};

std::string EncodeLease(const GrantorLease& lease);
/// Errors: kMessageMalformed.
kernel::Result<GrantorLease> DecodeLease(std::string_view text);

class RangeGrantor {
 public:
  /// `claim_jitter` in [0, 1) spreads the times at which instances claim a lost
  /// lease.
  RangeGrantor(std::string service, std::string instance, double claim_jitter,
               const GrantorTiming& timing = {});

  /// Allows this instance to lead from now on. `own_life` is the incarnation
  /// with which this instance is registered.
  void EnableLeadership(std::uint64_t own_life) { this->life = own_life; }

  /// Sets the servers of the service that the store lists now.
  void OnServerList(std::span<const model::BackendServer> listed,
                    kernel::Instant now);
  /// An instance was told by this run of a server that it drains, which holds
  /// whatever the list says. Returns whether that is news.
  bool OnServerDraining(std::string_view id, std::uint64_t server_life,
                        kernel::Instant now);
  /// An instance was told by this run of a server that it wants no requests
  /// until then: it gets no new keys, unless all servers want none.
  void OnServerBackOff(std::string_view id, std::uint64_t server_life,
                       kernel::Instant until, kernel::Instant now);
  /// Sets the function that tells whether a server is cold. Such a server gets
  /// no keys while others can.
  void SetColdLookup(std::function<bool(std::string_view)> cold) {
    this->is_cold = std::move(cold);
  }

  /// Sets the function that returns the relative capacity of a server, 1 if it
  /// is unknown.
  void SetCapacityLookup(std::function<double(std::string_view)> capacity) {
    this->capacity_of = std::move(capacity);
  }
  /// Sets the function that returns the longest time for which an order may
  /// wait at a full server before it is executed.
  void SetOrderWaitLookup(std::function<kernel::Duration()> lookup) {
    this->order_wait = std::move(lookup);
  }
  /// Sets the function that returns whether the process of an instance with the
  /// given incarnation has certainly ended.
  void SetInstanceEndedCheck(
      std::function<bool(std::string_view, std::uint64_t)> f) {
    this->has_ended = std::move(f);
  }

  /// The lease row was read, and the table row was not yet. Returns whether it
  /// is needed: then OnRowsRead() or OnReadFailed() follows.
  bool OnLeaseRead(const GrantorRows& rows, kernel::Instant now);
  void OnRowsRead(const GrantorRows& rows, kernel::Instant now);
  void OnReadFailed(kernel::Instant now);
  void OnWriteReply(const GrantorWriteReply& reply, kernel::Instant now);
  void OnOrderReply(const OrderReply& reply, kernel::Instant now);
  void OnLoadReport(std::span<const BucketCount> counts) {
    this->load.Add(counts);
  }

  /// Another instance that leads with `table` has just been in contact.
  void OnLeaderContact(const RangeTable& table, kernel::Instant now);

  /// Another instance heard of a working leader at `heard_at`. While this is
  /// the newest contact, the leader is suspected later.
  void OnLeaderHeardOf(kernel::Instant heard_at);

  /// When this instance last heard of a working leader other than itself;
  /// kNever if it did not.
  kernel::Instant LastLeaderContact() const {
    return this->last_leader_contact;
  }

  GrantorActions Tick(kernel::Instant now);

  /// Releases the lease and makes no more changes, so that another instance can
  /// take over at once. Existing grants stay valid until they expire.
  void Resign() { this->is_resigning = true; }

  /// The leader has freed the lease for this instance, which claims it at once.
  void OnLeaderResigned(kernel::Instant now);

  bool Leads() const { return this->role == Role::kLeader; }

  /// Whether this instance leads or has had recent contact with the leader.
  bool HasLeaderContact(kernel::Instant now) const;

  /// Whether this instance leads with a valid lease. A leader that cannot write
  /// its lease must not keep others from claiming the lease.
  bool MayChangeOwners(kernel::Instant now) const {
    return this->Leads() && this->IsLeaseValid(now);
  }

  /// The latest era in which the store has answered.
  std::uint64_t Era() const { return this->era; }

  /// Routing table for requests; only meaningful while this instance leads.
  const RangeTable& PublishedTable() const { return this->published_table; }

  /// Number of ranges that wait for a grant to expire, for metrics.
  std::size_t ExpiringRangeCount() const;

 private:
  static constexpr std::string_view kMayBeGranted =
      "a grant that the store has lost may run";
  enum class Role : std::uint8_t { kFollower, kLeader };
  enum class Phase : std::uint8_t {
    /// The committed owner has a grant or is about to get one.
    kOwned,
    /// The owner has been asked to release the range.
    kReleasing,
    /// The owner cannot be asked to release; its grant must expire.
    kExpiring,
    /// A later incarnation of the owner is listed, which may hold the range
    /// until `expires_at`: it is the only server that can get the range.
    kOwnerRestarted,
    /// No server can hold the range.
    kFree,
  };
  struct RangeState {
    KeyRange range;
    Phase phase = Phase::kFree;
    /// Planned next owner; may be empty.
    std::string target;
    /// The owner accepted a grant in this term, in this era of the store.
    bool accepted_grant = false;
    /// A leader whose commits the store has lost may have granted the range to
    /// another server. `expires_at` covers its grants.
    bool may_have_moved = false;
    /// The owner has not refused an earlier leader yet by taking a higher
    /// token, and `expires_at` covers the grants of that leader.
    bool earlier_leader_may_renew = false;
    /// While `may_have_moved`: the token under which the owner is asked to
    /// renew; 0 once it has accepted.
    std::uint64_t earlier_fence = 0;
    /// The owner is new and has not accepted a grant yet.
    bool awaits_first_grant = false;
    /// `range_to_commit` is part of the pending write of the table row.
    bool is_committing = false;
    /// Start of the phase kReleasing.
    kernel::Instant releasing_since = kernel::kNever;
    /// Time by which all grants to the owner have expired.
    kernel::Instant expires_at = kernel::kNever;
    /// Time by which grants from unanswered orders have expired.
    kernel::Instant outcome_unknown_until = kernel::kNever;
    kernel::Instant next_order_at = kernel::kNever;
    /// Order that awaits an answer, or 0.
    std::uint64_t order_id = 0;
    /// Consecutive grants that the owner did not accept.
    unsigned failed_orders = 0;
    /// Data that the owner returned with its release.
    std::string handover;
    /// The range with its new owner. Valid only while `is_committing`.
    KeyRange range_to_commit;
  };
  struct PendingWrite {
    GrantorActions::Write write;
    kernel::Instant sent_at;
    kernel::Instant retry_at = kernel::kNever;
    bool in_flight = false;
    /// The store may have performed the write of the lease row and the table
    /// row: both rows are read again before a retry.
    bool outcome_unknown = false;
    /// An attempt got no answer, so that it may be performed late.
    bool was_unanswered = false;
    bool is_claim = false;
    /// The first write of a leader that has led in an earlier era.
    bool is_continuation = false;
  };
  struct ServerState {
    model::BackendServer listed;
    /// The store no longer lists the server.
    bool gone = false;
    kernel::Instant gone_since = kernel::kNever;
    /// Consecutive orders without an answer.
    unsigned consecutive_failures = 0;
    /// When an order was last answered, and when one was last given up without
    /// an answer.
    kernel::Instant answered_at = kernel::kNever;
    kernel::Instant unanswered_at = kernel::kNever;
    /// No new keys are assigned before this time.
    kernel::Instant avoid_until = kernel::kNever;
    /// When an instance told that the server drains. Its keys move after a
    /// later write of the lease: as long as the store doesn't answer, a range
    /// that it has released would have no owner.
    kernel::Instant draining_told_at = kernel::kNever;
    /// The server wants no requests before this time.
    kernel::Instant back_off_until = kernel::kNever;

    bool CanReceiveKeys() const {
      return !this->gone && !this->listed.draining;
    }
  };
  /// What instances were told by the latest run of a server that told any.
  struct ToldByServer {
    std::uint64_t life = 0;
    kernel::Instant draining_told_at = kernel::kNever;
    kernel::Instant back_off_until = kernel::kNever;
    /// Unless the server is listed until then.
    kernel::Instant forget_at = kernel::kNever;
  };
  struct SentOrder {
    RangeOrder order;
    std::uint64_t life = 0;
    kernel::Instant sent_at;
  };

  /// Returns the latest time, by the local clock, at which a grant can expire
  /// whose order was sent no later than `sent`.
  kernel::Instant LatestExpiry(kernel::Instant sent) const;
  /// Returns for how long after it was given up an order to `owner` may still
  /// be executed. Giving an order up resets its connection, which ends an order
  /// that waits at a full server, unless a partition holds the reset up. So the
  /// time is zero once the owner has answered a later order.
  kernel::Duration LateOrderTime(const ServerState& owner) const;
  void FollowerTick(kernel::Instant now, GrantorActions& actions);
  void LeaderTick(kernel::Instant now, GrantorActions& actions);
  void Claim(const GrantorRows& rows, kernel::Instant now);
  void ResolvePendingWrite(const GrantorRows& rows, kernel::Instant now);
  void OnPendingWriteDone(std::uint64_t version, kernel::Instant now);
  void BecomeFollower(kernel::Instant now);
  void EnterEra(std::uint64_t later, kernel::Instant now);
  /// Prepares the commit of the leader's table in the era that has begun.
  void ContinueInEra(kernel::Instant now);
  /// Asks all owners to renew, after the commit of `committed`.
  void ConfirmOwners(const RangeTable& committed, kernel::Instant now);
  void AdoptTable(const RangeTable& adopted, kernel::Instant expires_at);
  /// The lowest term for a new leader after `earlier`.
  std::uint64_t NextTerm(std::uint64_t earlier) const;
  /// Whether servers may hold grants that `rows` do not show.
  bool MayMissGrants(const GrantorRows& rows) const;
  /// Returns the latest time at which a grant of an earlier era can expire.
  kernel::Instant EarlierErasExpiry() const;
  bool IsSettled() const;
  /// Whether another instance may still renew grants of the table in `rows`.
  bool EarlierLeaderMayRenew(const GrantorRows& rows) const;
  bool IsLeaseValid(kernel::Instant now) const;
  void NoteLease(const GrantorRows& rows, kernel::Instant now);
  /// Whether the lease that was read is free to claim. What depends on the
  /// table row is decided for a claim while that row was not read.
  bool MayClaim(const GrantorRows& rows, kernel::Instant now) const;
  bool MayRenewGrants(kernel::Instant now) const;
  /// Whether the store may name no leader at the wish of this one.
  bool MayHaveResigned() const;
  /// Returns the latest time at which a grant of the leader in `rows`, or of an
  /// earlier one, can expire.
  kernel::Instant InheritedExpiry(const GrantorRows& rows,
                                  kernel::Instant now) const;
  void CheckOwners(kernel::Instant now);
  void StartRelease(RangeState& state, kernel::Instant now);
  void AwaitExpiry(RangeState& state, std::string_view why);
  void MarkFree(RangeState& state, std::string_view why);
  /// Reserves the range for the later incarnation of its owner.
  void AwaitRestartedOwner(RangeState& state);
  /// Whether the next owner of the range may be committed now.
  bool CanAssign(const RangeState& state, kernel::Instant now) const;
  /// The range has been committed to its next owner.
  void BeginOwnership(RangeState& state, kernel::Instant now) const;
  void RecordReply(ServerState& server, OrderOutcome end, kernel::Instant now);
  void OnGrantReply(RangeState& state, const SentOrder& sent,
                    const OrderReply& reply, kernel::Instant now);
  void OnReleaseReply(RangeState& state, const OrderReply& reply,
                      kernel::Instant now);
  void PlanMoves(kernel::Instant now);
  /// Number of ranges between two owners, without those whose owner does not
  /// answer.
  std::size_t CountMovesInProgress(kernel::Instant now) const;
  /// Whether the first owners are not chosen yet because servers are still
  /// registering.
  bool AwaitsMoreServers(kernel::Instant now) const;
  void ApplyMove(const PlannedMove& move, kernel::Instant now);
  std::vector<PlannerRange> MakePlannerRanges() const;
  std::vector<PlannerServer> MakePlannerServers() const;
  void PrepareWrite(kernel::Instant now);
  /// Sends the grant and release orders that are due to backend servers.
  void SendOrders(kernel::Instant now, GrantorActions& actions);
  void SendGrant(std::size_t from, std::size_t to, kernel::Instant now,
                 GrantorActions& actions);
  void SendRelease(RangeState& state, kernel::Instant now,
                   GrantorActions& actions);
  bool CanShareGrant(const RangeState& left, const RangeState& right) const;
  void EmitWrite(kernel::Instant now, GrantorActions& actions);
  void SplitRangeStates(Key first, Key last);
  /// Joins adjacent ranges whose state is equal: the same server owns both, it
  /// accepted a grant of each, and no order for either is unanswered.
  void MergeRangeStates();
  void RefreshPublishedTable(kernel::Instant now, GrantorActions& actions);
  /// The entry of what this run of a listed server told, or null for an unknown
  /// server and for an earlier run.
  ToldByServer* NoticeEntry(std::string_view id, std::uint64_t server_life,
                            kernel::Instant now);
  /// Whether some server that can receive keys does not back off.
  bool SomeWantKeys(kernel::Instant now) const;
  /// Whether `server` wants keys and bears their load, whatever others do.
  bool IsReadyForKeys(const ServerState& server, kernel::Instant now) const;
  bool WantsKeys(const ServerState& server, kernel::Instant now) const;
  /// Whether the target of `state` can still get the range.
  bool CanReachTarget(const RangeState& state, kernel::Instant now) const;
  void ForgetOldNotices(kernel::Instant now);
  /// Applies what the server told about its run that is listed.
  void ApplyNotice(ServerState& state) const;
  ServerState* FindServer(std::string_view id);
  const ServerState* FindServer(std::string_view id) const;
  /// InheritedExpiry() at the last claim.
  kernel::Instant inherited_expiry = kernel::kNever;

  std::string service;
  std::string instance;
  std::uint64_t life = 0;  ///< This instance's; 0 until EnableLeadership().
  GrantorTiming timing;
  Role role = Role::kFollower;
  bool is_resigning = false;
  std::map<std::string, ServerState, std::less<>> servers;
  std::map<std::string, ToldByServer, std::less<>> told_by_servers;
  /// The latest notice; a lease write after it is due at once.
  kernel::Instant last_notice_at = kernel::kNever;
  kernel::Instant first_server_at = kernel::kNever;
  kernel::Instant server_added_at = kernel::kNever;  ///< The latest one.
  std::function<double(std::string_view)> capacity_of;
  std::function<bool(std::string_view)> is_cold;
  std::function<bool(std::string_view, std::uint64_t)> has_ended;
  std::function<kernel::Duration()> order_wait;

  /// The latest era in which the store has answered.
  std::uint64_t era = 0;
  kernel::Instant era_seen_since = kernel::kNever;
  bool has_seen_earlier_era = false;

  // State of a follower.
  kernel::Instant last_leader_contact = kernel::kNever;
  bool is_contact_hearsay = false;  ///< Of the last contact.
  kernel::Duration claim_jitter;
  kernel::Instant next_read_at = kernel::kNever;
  bool is_reading_rows = false;
  kernel::Instant lease_read_at = kernel::kNever;
  std::uint64_t seen_lease_version = 0;
  kernel::Instant lease_seen_since = kernel::kNever;

  // State of the leader.
  GrantorLease lease;
  std::uint64_t lease_version = 0;
  std::uint64_t table_version = 0;
  kernel::Instant lease_written_at = kernel::kNever;
  /// Fields of the routing table other than `ranges`: the leader keeps the
  /// ranges in `range_states`. The sequence also counts tables that are only
  /// published. A follower uses only `term`, the highest term it has seen.
  RangeTable table;
  std::vector<RangeState> range_states;
  std::optional<PendingWrite> pending_write;
  std::uint64_t last_write_id = 0;
  std::map<std::uint64_t, SentOrder> sent_orders;
  std::uint64_t last_order_id = 0;
  /// Notices, for the log, created since the last Tick(): each reports key
  /// ranges that wait for a grant to expire or that their owner holds no
  /// longer.
  std::vector<ExpiryNotice> new_expiries;
  LoadMap load;
  kernel::Instant next_plan_at = kernel::kNever;
  kernel::Instant next_balance_at = kernel::kNever;
  kernel::Instant next_publish_at = kernel::kNever;
  kernel::Instant next_lease_write_at = kernel::kNever;
  /// Added to the highest fencing token by the next claim of the lease, after a
  /// server has seen a higher token than the committed table contains.
  std::uint64_t claim_fence_increment = 0;
  RangeTable published_table;
};

}  // namespace chervilmux::ranges

#endif  // CHERVILMUX_RANGES_RANGE_GRANTOR_H_
