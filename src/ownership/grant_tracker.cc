#include "ownership/grant_tracker.h"

#include <algorithm>

namespace chervilmux::ownership {

GrantRecord& GrantTracker::At(std::string_view server) {
  const auto found = this->records.find(server);
  if (found != this->records.end()) return found->second;
  return this->records.emplace(std::string(server), GrantRecord{})
      .first->second;
}

const GrantRecord* GrantTracker::Find(std::string_view server) const {
  const auto found = this->records.find(server);
  return found == this->records.end() ? nullptr : &found->second;
}

GrantOrder GrantTracker::Issue(std::string_view server,
                               const OrderContent& content,
                               kernel::Instant now) {
  GrantRecord& record = this->At(server);
  if (record.first_order == kernel::kNever) record.first_order = now;
  record.last_order = now;
  if (content != record.last_content) {
    record.earlier_lapses_at = record.lapses_at;
  }
  record.last_content = content;
  this->counter += 1;
  GrantOrder order;
  order.token = {content.term, this->counter};
  order.version = content.version;
  order.serving = content.serving;
  if (!content.grants || !record.has_reading) return order;
  order.deadline_us = record.reading_us + this->timing.lease.count();
  order.incarnation = record.incarnation;
  record.lapses_at =
      std::max(record.lapses_at, record.reading_before +
                                     this->timing.Stretch(this->timing.lease));
  return order;
}

kernel::Duration GrantTracker::GrantsLeft(kernel::Instant now) const {
  kernel::Duration left(0);
  for (const auto& [server, record] : this->records) {
    if (record.lapses_at <= now) continue;
    left = std::max(left, kernel::Duration(record.lapses_at - now));
  }
  return left;
}

void GrantTracker::OnReply(const GrantReply& reply, kernel::Instant now) {
  GrantRecord& record = this->At(reply.server);
  record.checks_tokens = reply.checks_tokens;
  record.last_reply = now;
  if (!reply.accepted) {
    // Another life refuses a deadline of the earlier one's clock: ask anew.
    if (reply.incarnation != record.incarnation) record.has_reading = false;
    record.superseded_by = std::max(record.superseded_by, reply.highest_token);
    record.ok_since = kernel::kNever;
    return;
  }
  // Replies may cross; an older one must not undo a newer one.
  if (record.has_reading && reply.ordered_at < record.reading_after) return;
  const bool restarted =
      record.has_reading && record.incarnation != reply.incarnation;
  const bool gap = now > record.last_ok + this->timing.server_lost_after;
  if (restarted || gap || record.ok_since == kernel::kNever) {
    record.ok_since = now;
  }
  record.live_until = kernel::kNever;
  if (reply.deadline_us > reply.clock_us) {
    const kernel::Duration left(reply.deadline_us - reply.clock_us);
    record.live_until = reply.ordered_at + this->timing.Shrink(left);
    record.live_token = reply.token;
    record.live_serving = reply.serving;
    record.live_version = reply.version;
  }
  record.acked_version = reply.version;
  record.acked_term = reply.token.term;
  record.last_ok = now;
  record.incarnation = reply.incarnation;
  record.has_reading = true;
  record.reading_us = reply.clock_us;
  record.reading_after = reply.ordered_at;
  record.reading_before = now;
}

}  // namespace chervilmux::ownership
