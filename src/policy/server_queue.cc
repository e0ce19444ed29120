#include "policy/server_queue.h"

#include <algorithm>

namespace chervilmux::policy {
namespace {

using kernel::ErrorKind;
using kernel::Instant;

constexpr double kServiceTimeGain = 0.1;
constexpr double kShedFactor = 0.5;
/// A request that was retried is placed as if it were due this much earlier.
constexpr kernel::Duration kRetriedAdvance = kernel::milliseconds(50);

}  // namespace

ServerQueue::ServerQueue(const QueueLimits& limits) : limits(limits) {}

void ServerQueue::SetLimits(const QueueLimits& limits) {
  this->limits = limits;
  this->concurrency =
      std::min(this->concurrency, static_cast<double>(limits.slots));
}

kernel::Duration ServerQueue::ExpectedWait(Instant deadline) const {
  const auto ahead = static_cast<double>(std::distance(
      this->waiting.begin(), this->waiting.upper_bound(deadline)));
  const double busy = std::max(0.0, static_cast<double>(this->in_flight) +
                                        ahead + 1 - this->concurrency);
  return kernel::Duration(static_cast<std::int64_t>(busy / this->concurrency *
                                                    this->service_time_us));
}

bool ServerQueue::OthersWait(std::uint64_t key_hash) const {
  const auto found = this->waiting_of_key.find(key_hash);
  const std::size_t own =
      found == this->waiting_of_key.end() ? 0 : found->second;
  return this->waiting.size() > own;
}

unsigned ServerQueue::KeyShare(std::uint64_t key_hash) const {
  // One slot is kept for other keys even before any of them waits, because a
  // slot that a long request holds cannot be taken back.
  const auto slots = static_cast<unsigned>(this->concurrency);
  if (this->OthersWait(key_hash)) return std::max(1U, slots / 2);
  return std::max(1U, slots - 1);
}

std::optional<ErrorKind> ServerQueue::TryEnqueue(const QueuedRequest& item,
                                                 Instant now) {
  const auto service =
      kernel::Duration(static_cast<std::int64_t>(this->service_time_us));
  if (now + this->ExpectedWait(item.deadline) + service > item.deadline) {
    return ErrorKind::kDeadlineTooShort;
  }
  if (this->waiting.size() >= this->limits.max_waiting) {
    return ErrorKind::kQueueFull;
  }
  const std::size_t of_key = this->waiting_of_key[item.key_hash];
  if (of_key >= std::max<std::size_t>(1, this->limits.max_waiting / 2)) {
    return ErrorKind::kKeyShareExceeded;
  }
  this->waiting_of_key[item.key_hash] += 1;
  const Instant place =
      item.retried ? item.deadline - kRetriedAdvance : item.deadline;
  this->waiting.emplace(place, item);
  return std::nullopt;
}

void ServerQueue::Forget(WaitingQueue::iterator position) {
  const auto count = this->waiting_of_key.find(position->second.key_hash);
  count->second -= 1;
  if (count->second == 0) this->waiting_of_key.erase(count);
  this->waiting.erase(position);
}

std::optional<std::uint64_t> ServerQueue::PopNext(Instant now) {
  if (this->in_flight >= static_cast<unsigned>(this->concurrency)) return {};
  for (auto it = this->waiting.begin(); it != this->waiting.end(); ++it) {
    const QueuedRequest item = it->second;
    if (item.deadline <= now) continue;
    const auto running = this->in_flight_of_key.find(item.key_hash);
    const unsigned of_key =
        running == this->in_flight_of_key.end() ? 0 : running->second;
    if (of_key >= this->KeyShare(item.key_hash)) continue;
    this->Forget(it);
    this->in_flight += 1;
    this->in_flight_of_key[item.key_hash] += 1;
    return item.id;
  }
  return {};
}

std::vector<RefusedRequest> ServerQueue::PopExpired(Instant now) {
  std::vector<RefusedRequest> expired;
  const auto service =
      kernel::Duration(static_cast<std::int64_t>(this->service_time_us));
  while (!this->waiting.empty()) {
    const auto first = this->waiting.begin();
    if (first->second.deadline > now + service) break;
    expired.push_back({first->second.id, ErrorKind::kDeadlineTooShort});
    this->Forget(first);
  }
  return expired;
}

std::vector<std::uint64_t> ServerQueue::PopAll() {
  std::vector<std::uint64_t> ids;
  for (const auto& [place, item] : this->waiting) ids.push_back(item.id);
  this->waiting.clear();
  this->waiting_of_key.clear();
  return ids;
}

bool ServerQueue::Remove(std::uint64_t id) {
  const auto found = std::ranges::find_if(
      this->waiting, [&](const auto& entry) { return entry.second.id == id; });
  if (found == this->waiting.end()) return false;
  this->Forget(found);
  return true;
}

void ServerQueue::End(std::uint64_t key_hash) {
  this->in_flight -= 1;
  const auto found = this->in_flight_of_key.find(key_hash);
  found->second -= 1;
  if (found->second == 0) this->in_flight_of_key.erase(found);
}

void ServerQueue::OnAnswered(std::uint64_t key_hash, kernel::Duration took) {
  this->End(key_hash);
  const auto sample = static_cast<double>(took.count());
  this->service_time_us =
      this->service_time_us == 0
          ? sample
          : this->service_time_us +
                kServiceTimeGain * (sample - this->service_time_us);
  const auto slots = static_cast<double>(this->limits.slots);
  this->concurrency =
      std::min(slots, this->concurrency + 1 / this->concurrency);
}

void ServerQueue::OnShed(std::uint64_t key_hash) {
  this->End(key_hash);
  this->concurrency = std::max(1.0, this->concurrency * kShedFactor);
}

void ServerQueue::OnFailed(std::uint64_t key_hash) { this->End(key_hash); }

void ServerQueue::ResetConcurrency() { this->concurrency = 1; }

}  // namespace chervilmux::policy
