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
  const auto on_reply = [this,
                         number = this->call](const store::RowsReply& reply) {
    if (number != this->call) return;
    this->calling = false;
    if (this->listed) {
      this->OnChanges(reply);
    } else {
      this->OnList(reply);
    }
  };
  if (this->listed) {
    this->store.Follow(this->table, this->copy.Version(), this->wait, on_reply);
  } else {
    this->store.List(this->table, on_reply);
  }
}

void TableFollower::Renew(Instant now) {
  if (!this->calling || now < this->called_at + kRenewAfter) return;
  observe::LogInfo("store_call_renewed", {{"table", this->table}});
  this->call += 1;
  this->calling = false;
  this->next_call = now;
}

void TableFollower::OnList(const store::RowsReply& reply) {
  if (reply.status != store::StoreStatus::kDone) {
    this->OnFailure(reply.status);
    return;
  }
  this->listed = true;
  this->failures = 0;
  this->heard_at = kernel::Now();
  this->next_call = this->heard_at;
  this->copy.ApplySnapshot(reply.rows, reply.version);
  this->events.on_news();
}

void TableFollower::OnChanges(const store::RowsReply& reply) {
  if (reply.status == store::StoreStatus::kHistoryGone) {
    observe::LogInfo("store_history_gone", {{"table", this->table}});
    this->listed = false;
    this->next_call = kernel::Now();
    return;
  }
  if (reply.status != store::StoreStatus::kDone) {
    this->OnFailure(reply.status);
    return;
  }
  if (this->failures > 0) {
    observe::LogInfo("store_regained", {{"table", this->table}});
  }
  this->failures = 0;
  this->heard_at = kernel::Now();
  this->next_call =
      reply.rows.empty() ? this->heard_at : this->heard_at + kGatherTime;
  if (this->copy.ApplyChanges(reply.rows, reply.version))
    this->events.on_news();
}

void TableFollower::OnFailure(store::StoreStatus status) {
  if (this->failures == 0) {
    observe::LogWarn("store_lost",
                     {{"table", this->table},
                      {"status", std::to_string(static_cast<int>(status))}});
  }
  const unsigned doublings = std::min(this->failures, 4U);
  this->failures += 1;
  this->next_call =
      kernel::Now() +
      std::min<Duration>(kFirstRetry * (1U << doublings), kLongestRetry);
  this->events.on_store_failed();
}

void TableFollower::ApplyFromPeer(const TableChanges& changes) {
  const bool news =
      changes.all ? this->copy.ApplySnapshot(changes.rows, changes.version)
                  : this->copy.ApplyChanges(changes.rows, changes.version);
  if (news) this->events.on_news();
}

}  // namespace chervilmux::node
