#include "ownership/grant_ledger.h"

#include <algorithm>

namespace chervilmux::ownership {

GrantRecord& GrantTracker::GetOrCreate(std::string_view server) {
  const auto found = this->records.find(server);
  if (found != this->records.end()) return found->second;
  return this->records.emplace(std::string(server), GrantRecord{})
      .first->second;
}

const GrantRecord* GrantTracker::Find(std::string_view server) const {
  const auto found = this->records.find(server);
  return found == this->records.end() ? nullptr : &found->second;
}

GrantOrder GrantTracker::IssueOrder(std::string_view server,
                                    const OrderContent& content,
                                    kernel::Instant now) {
  GrantRecord& record = this->GetOrCreate(server);
  if (record.first_order_at == kernel::kNever) record.first_order_at = now;
  record.last_order_at = now;
  if (content != record.last_content) {
    record.previous_content_expires_at = record.expires_at;
  }
  record.last_content = content;
  this->counter += 1;
  GrantOrder order;
  order.token = {content.term, this->counter};
  order.version = content.version;
  order.serving = content.serving;
  if (!content.is_grant || !record.has_clock_reading) return order;
  order.deadline_us = record.clock_reading_us + this->timing.lease.count();
  order.incarnation = record.incarnation;
  record.expires_at = std::max(
      record.expires_at, record.reading_not_after +
                             this->timing.AddDriftMargin(this->timing.lease));
  return order;
}

kernel::Duration GrantTracker::MaxGrantRemaining(kernel::Instant now) const {
  kernel::Duration remaining(0);
  for (const auto& [server, record] : this->records) {
    if (record.expires_at <= now) continue;
    remaining = std::max(remaining, kernel::Duration(record.expires_at - now));
  }
  return remaining;
}

void GrantTracker::OnReply(const GrantReply& reply, kernel::Instant now) {
  GrantRecord& record = this->GetOrCreate(reply.server);
  record.checks_tokens = reply.checks_tokens;
  record.last_reply_at = now;
  if (!reply.accepted) {
    // A restarted server refuses deadlines on the clock of its previous
    // incarnation; the next order requests a new clock reading.
    if (reply.incarnation != record.incarnation)
      record.has_clock_reading = false;
    record.superseding_token =
        std::max(record.superseding_token, reply.highest_token);
    record.accepted_since = kernel::kNever;
    return;
  }
  // Replies may arrive out of order; an older one must not replace a newer one.
  if (record.has_clock_reading && reply.ordered_at < record.reading_not_before)
    return;
  const bool server_restarted =
      record.has_clock_reading && record.incarnation != reply.incarnation;
  const bool had_reply_gap =
      now > record.last_accepted_reply_at + this->timing.server_lost_after;
  if (server_restarted || had_reply_gap ||
      record.accepted_since == kernel::kNever) {
    record.accepted_since = now;
  }
  record.valid_until = kernel::kNever;
  if (reply.deadline_us > reply.clock_us) {
    const kernel::Duration remaining(reply.deadline_us - reply.clock_us);
    record.valid_until =
        reply.ordered_at + this->timing.SubtractDriftMargin(remaining);
    record.granted_token = reply.token;
    record.granted_serving_version = reply.serving;
    record.granted_version = reply.version;
  }
  record.acknowledged_version = reply.version;
  record.acknowledged_term = reply.token.term;
  record.last_accepted_reply_at = now;
  record.incarnation = reply.incarnation;
  record.has_clock_reading = true;
  record.clock_reading_us = reply.clock_us;
  record.reading_not_before = reply.ordered_at;
  record.reading_not_after = now;
}

}  // namespace chervilmux::ownership
