// Implements the calls to the store and the orders to servers of
// RangeSimulation, and the checks of holders and fencing tokens.

#include <algorithm>
#include <utility>

#include "range_world_impl.h"

namespace chervilmux::scenario {

void RangeSimulation::Impl::WriteRows(
    unsigned index, const ranges::GrantorActions::Write& write) {
  const std::uint64_t life = this->instances[index].life;
  const bool lossy = this->options.lose_store_answers;
  const bool answer_lost = this->RandomFraction() < 0.05 && lossy;
  const bool late = this->RandomFraction() < 0.03 && lossy;
  // Beside a restore a late write may be performed in the era after its own.
  const Duration delay =
      late ? Duration(milliseconds(this->options.restores > 0 ? 3500 : 1500))
           : this->RandomNetworkDelay();
  const bool reachable = this->StoreReachable(this->instances[index]);
  auto reply = std::make_shared<ranges::GrantorWriteReply>();
  reply->id = write.id;
  if (reachable) {
    this->Schedule(delay, [this, write, reply] {
      reply->status = this->ApplyWrite(write);
      reply->version = this->store_version;
      reply->era = this->EraInAnswers();
    });
  }
  const bool answered = reachable && !answer_lost && !late;
  this->Schedule(
      answered ? delay + this->RandomNetworkDelay() : Duration(seconds(1)),
      [this, index, life, reply, answered, id = write.id] {
        ranges::GrantorWriteReply received;
        received.id = id;
        if (answered) received = *reply;
        this->Deliver(index, life, [this, index, received] {
          this->instances[index].grantor->OnWriteReply(received, this->now);
        });
      });
}

store::StoreStatus RangeSimulation::Impl::ApplyWrite(
    const ranges::GrantorActions::Write& write) {
  const auto found = this->rows.find(write.era);
  ranges::GrantorRows changed =
      found == this->rows.end() ? ranges::GrantorRows() : found->second;
  if (write.lease_version != changed.lease_version) {
    return store::StoreStatus::kConflict;
  }
  if (write.table && write.table_version != changed.table_version) {
    return store::StoreStatus::kConflict;
  }
  this->store_version += 1;
  changed.lease = write.lease;
  changed.lease_version = this->store_version;
  if (write.table) {
    changed.table = *write.table;
    changed.table_version = this->store_version;
    this->result.moves += 1;
  }
  this->rows[write.era] = std::move(changed);
  this->SaveCopy();
  return store::StoreStatus::kDone;
}

void RangeSimulation::Impl::ReadRows(unsigned index) {
  const std::uint64_t life = this->instances[index].life;
  const bool reachable = this->StoreReachable(this->instances[index]);
  this->Schedule(reachable ? this->RandomNetworkDelay() : Duration(seconds(1)),
                 [this, index, life, reachable] {
                   const ranges::GrantorRows read =
                       this->RowsAsRead(this->instances[index]);
                   this->Deliver(index, life, [this, index, read, reachable] {
                     auto& grantor = *this->instances[index].grantor;
                     ranges::GrantorRows lease = read;
                     lease.table.reset();
                     lease.table_version = 0;
                     if (!reachable) {
                       grantor.OnReadFailed(this->now);
                     } else if (grantor.OnLeaseRead(lease, this->now)) {
                       grantor.OnRowsRead(read, this->now);
                     }
                   });
                 });
}

ranges::GrantorRows RangeSimulation::Impl::RowsAsRead(
    const Instance& instance) const {
  ranges::GrantorRows read;
  const std::uint64_t era = this->EraInAnswers();
  const auto current = this->rows.find(era);
  if (current != this->rows.end()) {
    read = current->second;
  } else {
    const auto consider = [&](const ranges::RangeTable& table) {
      const bool is_newest = !read.table || table.IsNewerThan(*read.table);
      if (ranges::EraOfTerm(table.term) < era && is_newest) read.table = table;
    };
    if (!instance.heard.ranges.empty()) consider(instance.heard);
    for (const auto& [key, rows] : this->rows) consider(*rows.table);
  }
  read.era = era;
  return read;
}

void RangeSimulation::Impl::ScheduleReply(unsigned index, std::uint64_t life,
                                          Duration delay,
                                          ranges::OrderReply reply) {
  this->Schedule(delay, [this, index, life, reply = std::move(reply)] {
    this->Deliver(index, life, [this, index, reply] {
      this->instances[index].grantor->OnOrderReply(reply, this->now);
    });
  });
}

void RangeSimulation::Impl::SendOrder(unsigned index,
                                      const ranges::RangeOrder& order) {
  Instance& instance = this->instances[index];
  const unsigned target = this->ServerIndex(order.server);
  ranges::OrderReply reply;
  reply.id = order.id;
  if (!this->servers[target].up) {
    reply.end = ranges::OrderOutcome::kNotSent;
    this->ScheduleReply(index, instance.life, this->RandomNetworkDelay(),
                        reply);
    return;
  }
  const Instant cut_until = instance.server_cut_until[target];
  const bool unsent = this->now<cut_until&& this->options.unsent_in_cuts> 0 &&
                      this->RandomFraction() < this->options.unsent_in_cuts;
  if (unsent) {
    reply.end = ranges::OrderOutcome::kNotSent;
    this->ScheduleReply(index, instance.life, order.timeout, reply);
    return;
  }
  if (this->now < cut_until) {
    // An order that the partition holds up is dropped when its sender times
    // out.
    const bool arrives = this->options.deliver_abandoned_orders ||
                         cut_until < this->now + order.timeout;
    if (arrives) {
      this->Schedule(
          cut_until - this->now + this->RandomNetworkDelay(),
          [this, order, target] { this->ExecuteOrder(order, target); });
    }
    reply.end = this->options.treat_no_answer_as_not_sent
                    ? ranges::OrderOutcome::kNotSent
                    : ranges::OrderOutcome::kNoAnswer;
    this->ScheduleReply(index, instance.life, order.timeout, reply);
    return;
  }
  if (this->now < this->delay_orders_until && this->RandomFraction() < 0.4 &&
      order.kind == ranges::OrderKind::kGrant) {
    const Duration delay = milliseconds(2000 + this->RandomBelow(8000));
    this->Schedule(delay, [this, order, target, delay,
                           life = this->servers[target].life] {
      // The delay counts towards the grant: one delayed for its whole
      // length grants nothing.
      if (this->servers[target].life == life && delay < order.grant_duration) {
        this->ExecuteOrder(order, target, delay);
      }
    });
    reply.end = ranges::OrderOutcome::kNoAnswer;
    this->ScheduleReply(index, instance.life, order.timeout, reply);
    return;
  }
  if (order.kind == ranges::OrderKind::kGrant &&
      this->options.order_wait.count() > 0 && this->RandomFraction() < 0.5) {
    this->QueueOrder(index, order, target);
    return;
  }
  const Duration delay = this->RandomNetworkDelay();
  const std::uint64_t life = instance.life;
  this->Schedule(delay, [this, index, life, order, target] {
    const auto end = this->ExecuteOrder(order, target);
    ranges::OrderReply answer;
    answer.id = order.id;
    answer.end = end;
    if (order.kind == ranges::OrderKind::kRelease) answer.handover = "h";
    const bool is_release = order.kind == ranges::OrderKind::kRelease;
    const Duration running_work =
        is_release ? Duration(milliseconds(this->RandomBelow(300)))
                   : Duration(0);
    this->ScheduleReply(index, life, running_work + this->RandomNetworkDelay(),
                        answer);
  });
}

/// The server is full, and executes the order when it has waited. The reset by
/// which its sender gives it up ends it, unless a partition holds that up.
void RangeSimulation::Impl::QueueOrder(unsigned index,
                                       const ranges::RangeOrder& order,
                                       unsigned target) {
  const std::uint64_t life = this->instances[index].life;
  const std::uint64_t server_life = this->servers[target].life;
  const auto is_cut = [this, index, target] {
    return this->now < this->instances[index].server_cut_until[target];
  };
  const auto was_reset = std::make_shared<bool>(false);
  this->Schedule(order.timeout,
                 [was_reset, is_cut] { *was_reset = !is_cut(); });
  ranges::OrderReply reply;
  reply.id = order.id;
  this->ScheduleReply(index, life, order.timeout, reply);
  const Duration wait = std::chrono::duration_cast<Duration>(
      this->options.order_wait * this->RandomFraction());
  this->Schedule(wait, [this, index, life, order, target, server_life,
                        was_reset, is_cut, reply]() mutable {
    if (*was_reset || this->servers[target].life != server_life) return;
    reply.end = this->ExecuteOrder(order, target);
    if (!is_cut())
      this->ScheduleReply(index, life, this->RandomNetworkDelay(), reply);
  });
}

ranges::OrderOutcome RangeSimulation::Impl::ExecuteOrder(
    const ranges::RangeOrder& order, unsigned target, Duration elapsed) {
  Server& server = this->servers[target];
  if (!server.up) return ranges::OrderOutcome::kNoAnswer;
  const std::uint32_t first = order.first / simulated::kKeysPerGroup;
  const std::uint32_t last = order.last / simulated::kKeysPerGroup;
  const bool grant = order.kind == ranges::OrderKind::kGrant;
  for (std::uint32_t i = first; grant && i <= last; ++i) {
    if (server.highest_fences[i] > order.fence)
      return ranges::OrderOutcome::kHigherFence;
  }
  for (std::uint32_t i = first; i <= last; ++i) {
    if (!grant) {
      server.grants[i] = HeldGrant();
      continue;
    }
    this->CheckFence(order, target, i);
    this->CheckTakenToken(order, target, i);
    server.highest_fences[i] = order.fence;
    const Duration length = std::chrono::duration_cast<Duration>(
        order.grant_duration / server.clock_rate);
    server.grants[i] = {order.fence, this->now + length - elapsed};
    auto& holders = this->holders_by_group[i];
    if (std::ranges::find(holders, target) == holders.end())
      holders.push_back(target);
  }
  if (grant) this->result.grants += 1;
  return ranges::OrderOutcome::kAccepted;
}

void RangeSimulation::Impl::CheckFence(const ranges::RangeOrder& order,
                                       unsigned target, std::uint32_t group) {
  for (unsigned i = 0; i < this->servers.size(); ++i) {
    if (i == target || !this->servers[i].up) continue;
    if (this->servers[i].highest_fences[group] < order.fence) continue;
    // The target already holds this grant: the order is a delayed copy.
    if (this->servers[target].grants[group].fence == order.fence) continue;
    this->RecordViolation(group,
                          "is granted under a token that is not the highest",
                          this->servers[target].id, this->servers[i].id);
  }
}

void RangeSimulation::Impl::CheckTakenToken(const ranges::RangeOrder& order,
                                            unsigned target,
                                            std::uint32_t group) {
  TakenToken& taken = this->taken_tokens[group];
  if (taken.server != target && taken.fence >= order.fence) {
    this->RecordViolation(
        group, "is taken with a token that was used or is lower",
        this->servers[target].id, this->servers[taken.server].id);
    return;
  }
  if (order.fence > taken.fence) taken = {order.fence, target};
}

void RangeSimulation::Impl::CheckHolders() {
  const bool counted = this->now >= simulated::kStart + seconds(5);
  for (std::uint32_t i = 0; i < simulated::kGroupCount; ++i) {
    auto& holders = this->holders_by_group[i];
    const bool has_one_holder =
        holders.size() == 1 && this->servers[holders.front()].up &&
        this->servers[holders.front()].grants[i].until > this->now;
    if (has_one_holder) {
      this->counted_ticks += counted && i == 0 ? 1 : 0;
      this->owned_group_ticks += counted ? 1 : 0;
      continue;
    }
    std::erase_if(holders, [&](unsigned index) {
      const Server& server = this->servers[index];
      return !server.up || server.grants[i].until <= this->now;
    });
    std::ranges::sort(holders);
    for (std::size_t next = 1; next < holders.size(); ++next) {
      this->RecordViolation(i, "is held by two servers",
                            this->servers[holders[next - 1]].id,
                            this->servers[holders[next]].id);
    }
    if (!counted) continue;
    this->counted_ticks += i == 0 ? 1 : 0;
    this->owned_group_ticks += holders.empty() ? 0 : 1;
  }
}

void RangeSimulation::Impl::RecordViolation(std::uint32_t group,
                                            const std::string& what,
                                            const std::string& server,
                                            const std::string& other_server) {
  if (this->result.violations.size() >= 5) return;
  const double at_s =
      std::chrono::duration<double>(this->now - simulated::kStart).count();
  this->result.violations.push_back(
      "seed " + std::to_string(this->options.seed) + " at " +
      std::to_string(at_s) + " s: key " +
      std::to_string(group * simulated::kKeysPerGroup) + " " + what + ": " +
      server + ", " + other_server);
}

}  // namespace chervilmux::scenario
