// How often an instance that hears nothing of the leader reads the store.

#include <doctest/doctest.h>

#include "ranges/range_grantor.h"

namespace chervilmux::ranges {
namespace {

using kernel::Duration;
using kernel::Instant;
using kernel::milliseconds;
using kernel::seconds;

constexpr Duration kStep = milliseconds(10);
constexpr Instant kStart = Instant(seconds(100));

/// A follower whose leader writes its lease to the store, but is heard only
/// until the play starts.
class LonelyFollower {
 public:
  explicit LonelyFollower(double claim_jitter)
      : grantor("service", "follower", claim_jitter, this->timing) {
    this->grantor.EnableLeadership(1);
    this->rows.era = 1;
    this->rows.lease = {"leader", 1, 1};
    this->rows.lease_version = 10;
    RangeTable table;
    table.service = "service";
    table.term = 1;
    KeyRange all;
    all.last = kKeyCount - 1;
    table.ranges.push_back(all);
    this->rows.table = table;
    this->rows.table_version = 10;
    this->grantor.OnLeaderContact(table, kStart);
  }

  /// Plays for `length`, at most until the follower claims the lease.
  void Run(Duration length) {
    const Instant end = this->now + length;
    while (this->now < end && !this->claimed) this->Step();
  }
  void HearOfLeader() {
    this->grantor.OnLeaderContact(*this->rows.table, this->now);
  }
  Instant Now() const { return this->now; }

  GrantorTiming timing;
  bool leader_runs = true;
  bool hears_leader = false;
  bool claimed = false;
  unsigned lease_reads = 0;
  unsigned table_reads = 0;

 private:
  void Step() {
    this->now += kStep;
    if (this->leader_runs && this->now >= this->next_renewal) {
      this->rows.lease_version += 1;
      this->next_renewal = this->now + this->timing.lease_write_period;
    }
    if (this->hears_leader) this->HearOfLeader();
    if (this->is_reading) {
      this->is_reading = false;
      this->OnRead();
    }
    const GrantorActions actions = this->grantor.Tick(this->now);
    this->claimed = this->claimed || actions.write.has_value();
    if (!actions.read) return;
    this->lease_reads += 1;
    this->is_reading = true;
  }

  /// The store answers one step after it was asked.
  void OnRead() {
    GrantorRows lease_only = this->rows;
    lease_only.table.reset();
    lease_only.table_version = 0;
    if (!this->grantor.OnLeaseRead(lease_only, this->now)) return;
    this->table_reads += 1;
    this->grantor.OnRowsRead(this->rows, this->now);
  }

  RangeGrantor grantor;
  GrantorRows rows;
  Instant now = kStart;
  Instant next_renewal = kStart;
  bool is_reading = false;
};

}  // namespace

// Failure: while a leader is too busy to answer, all others read its lease and
// the owners of all keys three times a second each.
TEST_CASE("a follower that hears nothing of a leader that runs") {
  double claim_jitter = 0;
  SUBCASE("without a jitter") { claim_jitter = 0; }
  SUBCASE("with a middle jitter") { claim_jitter = 0.5; }
  SUBCASE("with the longest jitter") { claim_jitter = 0.99; }
  LonelyFollower follower(claim_jitter);
  constexpr Duration kLength = seconds(60);
  follower.Run(kLength);
  CHECK_FALSE(follower.claimed);
  // As often as it becomes suspicious. The first suspicion takes two reads
  // more: only then has it seen the lease renewed.
  CHECK(follower.lease_reads <= kLength / follower.timing.suspect_after + 2);
  // Once, to learn the era.
  CHECK(follower.table_reads <= 1);
}

// Failure: an instance with little processor time leads although others have
// more, which read the lease just before its time is over and wait for their
// next turn.
TEST_CASE("of two followers that hear the same the earlier one claims first") {
  constexpr double kEarlier = 0.1;
  constexpr double kLater = 0.4;
  /// The leader's last message reaches the earlier one sooner.
  constexpr Duration kOnItsWay = milliseconds(50);
  for (int i = 0; i < 200; ++i) {
    const Duration last_heard = seconds(1) + i * milliseconds(10);
    const auto claims_at = [](double claim_jitter, Duration heard_for) {
      LonelyFollower follower(claim_jitter);
      follower.Run(seconds(5));
      follower.hears_leader = true;
      follower.Run(seconds(5));
      follower.hears_leader = false;
      follower.leader_runs = false;
      follower.Run(heard_for);
      follower.HearOfLeader();
      follower.Run(seconds(10));
      CHECK(follower.claimed);
      return kernel::ToMs(follower.Now() - kStart);
    };
    CHECK(claims_at(kEarlier, last_heard) <=
          claims_at(kLater, last_heard + kOnItsWay));
  }
}

// Failure: reading less often delays the change of leader, so that grants end.
TEST_CASE("a leader that was not heard and stops is followed within 3.5 s") {
  constexpr Duration kLimit = milliseconds(3500);
  for (const double claim_jitter : {0.0, 0.5, 0.99}) {
    for (int i = 0; i < 40; ++i) {
      LonelyFollower follower(claim_jitter);
      follower.Run(seconds(5) + i * milliseconds(100));
      follower.leader_runs = false;
      follower.Run(kLimit);
      CHECK(follower.claimed);
    }
  }
}

}  // namespace chervilmux::ranges
