// RangeSimulation: calls to the store, orders to servers, and what is checked
// there.

#include <algorithm>
#include <utility>

#include "range_simulation_impl.h"

namespace chervilmux::scenario {

void RangeSimulation::Impl::Write(unsigned index,
                                  const ranges::GrantorActions::Write& write) {
  const std::uint64_t life = this->instances[index].life;
  const bool lost_answer = this->Chance() < 0.05;
  const bool late = this->Chance() < 0.03;
  const Duration way = late ? Duration(milliseconds(1500)) : this->OneWay();
  const bool reachable = this->StoreReachable(this->instances[index]);
  auto status =
      std::make_shared<store::StoreStatus>(store::StoreStatus::kNoAnswer);
  auto version = std::make_shared<std::uint64_t>(0);
  if (reachable) {
    this->Schedule(way, [this, write, status, version] {
      *status = this->Perform(write);
      *version = this->store_version;
    });
  }
  const bool answered = reachable && !lost_answer && !late;
  this->Schedule(answered ? way + this->OneWay() : Duration(seconds(1)),
                 [this, index, life, status, version, answered] {
                   this->Deliver(index, life, [=, this] {
                     this->instances[index].grantor->OnWritten(
                         answered ? *status : store::StoreStatus::kNoAnswer,
                         *version, this->now);
                   });
                 });
}

store::StoreStatus RangeSimulation::Impl::Perform(
    const ranges::GrantorActions::Write& write) {
  if (write.lease_version != this->rows.lease_version) {
    return store::StoreStatus::kConflict;
  }
  if (write.table && write.table_version != this->rows.table_version) {
    return store::StoreStatus::kConflict;
  }
  this->store_version += 1;
  this->rows.lease = write.lease;
  this->rows.lease_version = this->store_version;
  if (write.table) {
    this->rows.table = *write.table;
    this->rows.table_version = this->store_version;
    this->result.moves += 1;
  }
  return store::StoreStatus::kDone;
}

void RangeSimulation::Impl::Read(unsigned index) {
  const std::uint64_t life = this->instances[index].life;
  const bool reachable = this->StoreReachable(this->instances[index]);
  this->Schedule(reachable ? this->OneWay() : Duration(seconds(1)),
                 [this, index, life, reachable] {
                   const ranges::GrantorRows read = this->rows;
                   this->Deliver(index, life, [this, index, read, reachable] {
                     auto& grantor = *this->instances[index].grantor;
                     if (reachable) {
                       grantor.OnRows(read, this->now);
                     } else {
                       grantor.OnReadFailed(this->now);
                     }
                   });
                 });
}

void RangeSimulation::Impl::Reply(unsigned index, std::uint64_t life,
                                  Duration delay, ranges::OrderReply reply) {
  this->Schedule(delay, [this, index, life, reply = std::move(reply)] {
    this->Deliver(index, life, [this, index, reply] {
      this->instances[index].grantor->OnOrderReply(reply, this->now);
    });
  });
}

void RangeSimulation::Impl::Send(unsigned index,
                                 const ranges::RangeOrder& order) {
  Instance& instance = this->instances[index];
  const unsigned target = this->IndexOf(order.server);
  ranges::OrderReply reply;
  reply.id = order.id;
  if (!this->servers[target].up) {
    reply.end = ranges::OrderEnd::kNotAsked;
    this->Reply(index, instance.life, this->OneWay(), reply);
    return;
  }
  const Instant cut = instance.server_cut_until[target];
  if (this->now < cut) {
    // Bytes that the cut holds up are dropped when the order is given up.
    const bool arrives = this->options.deliver_abandoned_orders ||
                         cut < this->now + order.timeout;
    if (arrives) {
      this->Schedule(cut - this->now + this->OneWay(),
                     [this, order, target] { this->Arrive(order, target); });
    }
    reply.end = this->options.free_on_refused_connection
                    ? ranges::OrderEnd::kNotAsked
                    : ranges::OrderEnd::kUnanswered;
    this->Reply(index, instance.life, order.timeout, reply);
    return;
  }
  if (this->now < this->late_until && this->Chance() < 0.4 &&
      order.kind == ranges::OrderKind::kGrant) {
    const Duration delay = milliseconds(2000 + this->Pick(8000));
    this->Schedule(
        delay, [this, order, target, delay, life = this->servers[target].life] {
          // Its time counts from its arrival: after that it grants nothing.
          if (this->servers[target].life == life && delay < order.hold) {
            this->Arrive(order, target, delay);
          }
        });
    reply.end = ranges::OrderEnd::kUnanswered;
    this->Reply(index, instance.life, order.timeout, reply);
    return;
  }
  const Duration way = this->OneWay();
  const std::uint64_t life = instance.life;
  this->Schedule(way, [this, index, life, order, target] {
    const auto end = this->Arrive(order, target);
    ranges::OrderReply answer;
    answer.id = order.id;
    answer.end = end;
    if (order.kind == ranges::OrderKind::kRelease) answer.handover = "h";
    const bool working = order.kind == ranges::OrderKind::kRelease;
    const Duration work =
        working ? Duration(milliseconds(this->Pick(300))) : Duration(0);
    this->Reply(index, life, work + this->OneWay(), answer);
  });
}

ranges::OrderEnd RangeSimulation::Impl::Arrive(const ranges::RangeOrder& order,
                                               unsigned target,
                                               Duration already_over) {
  Server& server = this->servers[target];
  if (!server.up) return ranges::OrderEnd::kUnanswered;
  const std::uint32_t first = order.first / world::kWatchedStep;
  const std::uint32_t last = order.last / world::kWatchedStep;
  const bool grant = order.kind == ranges::OrderKind::kGrant;
  for (std::uint32_t i = first; grant && i <= last; ++i) {
    if (server.seen[i] > order.fence) return ranges::OrderEnd::kHigherFence;
  }
  for (std::uint32_t i = first; i <= last; ++i) {
    if (!grant) {
      server.holds[i] = Hold();
      continue;
    }
    this->CheckFence(order, target, i);
    server.seen[i] = order.fence;
    const Duration hold =
        std::chrono::duration_cast<Duration>(order.hold / server.clock_rate);
    server.holds[i] = {order.fence, this->now + hold - already_over};
  }
  if (grant) this->result.grants += 1;
  return ranges::OrderEnd::kAccepted;
}

void RangeSimulation::Impl::CheckFence(const ranges::RangeOrder& order,
                                       unsigned target, std::uint32_t watched) {
  for (unsigned i = 0; i < this->servers.size(); ++i) {
    if (i == target || !this->servers[i].up) continue;
    if (this->servers[i].seen[watched] < order.fence) continue;
    // The same order that was held up is no new grant.
    if (this->servers[target].holds[watched].fence == order.fence) continue;
    this->Violation(watched, "takes a token that is not the highest",
                    this->servers[target].id, this->servers[i].id);
  }
}

void RangeSimulation::Impl::Check() {
  const bool counted = this->now >= world::kStart + seconds(5);
  for (std::uint32_t i = 0; i < world::kWatchedKeys; ++i) {
    const Server* holder = nullptr;
    for (const auto& server : this->servers) {
      if (!server.up || server.holds[i].until <= this->now) continue;
      if (holder != nullptr) {
        this->Violation(i, "is held twice", holder->id, server.id);
      }
      holder = &server;
    }
    if (!counted) continue;
    this->watched_ticks += i == 0 ? 1 : 0;
    this->owned_ticks += holder != nullptr ? 1 : 0;
  }
}

void RangeSimulation::Impl::Violation(std::uint32_t watched,
                                      const std::string& what,
                                      const std::string& one,
                                      const std::string& other) {
  if (this->result.violations.size() >= 5) return;
  const double at =
      std::chrono::duration<double>(this->now - world::kStart).count();
  this->result.violations.push_back(
      "seed " + std::to_string(this->options.seed) + " at " +
      std::to_string(at) + " s: key " +
      std::to_string(watched * world::kWatchedStep) + " " + what + ": " + one +
      ", " + other);
}

}  // namespace chervilmux::scenario
