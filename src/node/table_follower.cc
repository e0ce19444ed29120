#include "node/table_follower.h"

#include <algorithm>
#include <utility>

#include "observe/log.h"

namespace chervilmux::node {
namespace {

using kernel::Duration;
using kernel::Instant;
using kernel::milliseconds;

/// Changes that come in quick succession are fetched together: well within the
/// 2 s in which a change must be in force.
constexpr Duration kGatherTime = milliseconds(200);
/// Pause after a failed call, doubled with each further one.
constexpr Duration kFirstRetry = milliseconds(150);
constexpr Duration kLongestRetry = milliseconds(800);
/// A call that is younger may have been made on a connection that works.
constexpr Duration kRenewAfter = milliseconds(1000);
/// The store answers a call within this long after its wait. An answer that is
/// taken in later was held up on its way, or by a process that stood still, and
/// proves nothing about the time since.
constexpr Duration kAnswerTime = milliseconds(300);
/// Peers ask each other and the store several times within this long. If one of
/// them has heard the store since, a failed call here is no failure of the
/// store.
constexpr Duration kPeerProofTime = milliseconds(1500);

}  // namespace

TableFollower::TableFollower(store::MetadataStore& store, std::string table,
                             kernel::Duration wait, FollowerEvents events)
    : store(store),
      table(std::move(table)),
      wait(wait),
      events(std::move(events)) {}

void TableFollower::CheckTime(Instant now) {
  if (this->calling || now < this->next_call) return;
  this->calling = true;
  this->called_at = now;
  this->call += 1;
  this->listing = !this->listed || this->copy.Era() < this->newest_era;
  const auto on_reply = [this,
                         number = this->call](const store::RowsReply& reply) {
    if (number != this->call) return;
    this->calling = false;
    this->OnReply(reply);
  };
  if (this->listing) {
    this->store.List(this->table, on_reply);
  } else {
    this->store.Follow(this->table, this->copy.Version(), this->wait, on_reply);
  }
}

void TableFollower::Renew(Instant now) {
  if (!this->calling || now < this->called_at + kRenewAfter) return;
  observe::LogInfo("store_call_renewed", {{"table", this->table}});
  this->GiveUpCall();
  this->next_call = now;
}

void TableFollower::GiveUpCall() {
  this->call += 1;
  this->calling = false;
}

void TableFollower::NoteEra(std::uint64_t era) {
  if (era <= this->newest_era) return;
  this->newest_era = era;
  if (!this->calling || this->listing || this->copy.Era() >= era) return;
  this->GiveUpCall();
  this->next_call = kernel::Now();
}

void TableFollower::OnReply(const store::RowsReply& reply) {
  if (reply.era > this->newest_era) {
    this->newest_era = reply.era;
    this->events.on_later_era(reply.era);
  }
  const bool answered = reply.status == store::StoreStatus::kDone ||
                        reply.status == store::StoreStatus::kHistoryGone;
  if (answered && reply.era < this->newest_era) {
    observe::LogInfo("store_answer_of_earlier_era",
                     {{"table", this->table},
                      {"era", std::to_string(reply.era)},
                      {"newest_era", std::to_string(this->newest_era)}});
    this->Pause();
  } else if (this->listing) {
    this->OnList(reply);
  } else if (reply.era > this->copy.Era()) {
    this->next_call = kernel::Now();
  } else {
    this->OnChanges(reply);
  }
}

void TableFollower::OnList(const store::RowsReply& reply) {
  if (reply.status != store::StoreStatus::kDone) {
    this->OnFailure(reply.status);
    return;
  }
  const replica::TableVersion as_of{reply.era, reply.version};
  if (as_of < this->copy.AsOf()) {
    observe::LogInfo("store_listing_older",
                     {{"table", this->table},
                      {"version", std::to_string(reply.version)},
                      {"known", std::to_string(this->copy.Version())}});
    this->Pause();
    return;
  }
  const Instant now = kernel::Now();
  this->listed = true;
  this->lost = false;
  this->failures = 0;
  this->next_call = now;
  this->TakeTable(reply.rows, as_of);
  this->events.on_news();
  this->OnAnswered(now);
}

void TableFollower::OnAnswered(Instant answered_at) {
  const Duration wait = this->listing ? Duration(0) : this->wait;
  const Instant latest = this->called_at + wait + kAnswerTime;
  const Instant known_as_of = std::min(answered_at, latest);
  if (known_as_of < this->proof.known_as_of) return;
  this->proof = {known_as_of, this->own_failure_at};
  this->is_proof_own = true;
}

void TableFollower::NoteFailure(Instant now) {
  const bool others_hear =
      !this->is_proof_own && this->proof.known_as_of > now - kPeerProofTime;
  if (others_hear) return;
  this->own_failure_at = now;
  this->proof.store_failed_at = now;
}

bool TableFollower::TakeTable(const std::vector<store::Row>& rows,
                              replica::TableVersion as_of) {
  const bool restored = this->copy.AsOf() != replica::TableVersion() &&
                        as_of.era > this->copy.Era();
  const bool news = this->copy.ApplySnapshot(rows, as_of);
  if (restored) {
    observe::LogWarn("store_restored",
                     {{"table", this->table},
                      {"era", std::to_string(as_of.era)},
                      {"version", std::to_string(as_of.version)}});
  }
  return news;
}

void TableFollower::OnChanges(const store::RowsReply& reply) {
  if (reply.status == store::StoreStatus::kHistoryGone) {
    observe::LogInfo("store_history_gone", {{"table", this->table}});
    this->listed = false;
    this->next_call = kernel::Now() + kFirstRetry;
    return;
  }
  if (reply.status != store::StoreStatus::kDone) {
    this->OnFailure(reply.status);
    return;
  }
  if (this->lost) {
    observe::LogInfo("store_regained", {{"table", this->table}});
  }
  const Instant now = kernel::Now();
  this->lost = false;
  this->failures = 0;
  this->next_call = reply.rows.empty() ? now : now + kGatherTime;
  if (this->copy.ApplyChanges(reply.rows, {reply.era, reply.version}))
    this->events.on_news();
  this->OnAnswered(now);
}

void TableFollower::OnFailure(store::StoreStatus status) {
  if (!this->lost) {
    observe::LogWarn("store_lost",
                     {{"table", this->table},
                      {"status", std::to_string(static_cast<int>(status))}});
  }
  this->lost = true;
  this->NoteFailure(kernel::Now());
  this->Pause();
  this->events.on_store_failed();
}

void TableFollower::Pause() {
  const unsigned doublings = std::min(this->failures, 4U);
  this->failures += 1;
  this->next_call =
      kernel::Now() +
      std::min<Duration>(kFirstRetry * (1U << doublings), kLongestRetry);
}

void TableFollower::ApplyFromPeer(const TableChanges& changes) {
  const std::uint64_t era = this->copy.Era();
  const bool news = changes.all
                        ? this->TakeTable(changes.rows, changes.as_of)
                        : this->copy.ApplyChanges(changes.rows, changes.as_of);
  if (this->copy.Era() != era) {
    // A waiting call asks for changes after a version of the earlier era.
    this->newest_era = std::max(this->newest_era, this->copy.Era());
    if (this->calling && !this->listing) {
      this->GiveUpCall();
      this->next_call = kernel::Now();
    }
  }
  if (news) this->events.on_news();
}

void TableFollower::ApplyPeerProof(replica::TableVersion as_of,
                                   const CopyProof& told) {
  const bool is_of_this_copy = as_of == this->copy.AsOf();
  if (!is_of_this_copy || told.known_as_of <= this->proof.known_as_of) return;
  this->proof = told;
  this->is_proof_own = false;
}

}  // namespace chervilmux::node
