#include "policy/server_queue.h"

#include <algorithm>

namespace chervilmux::policy {
namespace {

using kernel::ErrorKind;
using kernel::Instant;

/// Weight of the newest latency in the moving average of the service time.
constexpr double kServiceTimeGain = 0.1;
/// The concurrency limit is multiplied by this when the server sheds a request.
constexpr double kShedConcurrencyFactor = 0.5;
/// Without an answer for this long the concurrency limit rises by one: what the
/// server does with one request, perhaps frozen, must not hold back the others.
constexpr kernel::Duration kProbePeriod = kernel::milliseconds(500);
/// A retried request is queued as if its deadline were this much earlier.
constexpr kernel::Duration kRetriedDeadlineAdvance = kernel::milliseconds(50);

}  // namespace

ServerQueue::ServerQueue(const QueueLimits& limits) : limits(limits) {}

void ServerQueue::SetLimits(const QueueLimits& limits) {
  this->limits = limits;
  this->concurrency_limit =
      std::min(this->concurrency_limit, static_cast<double>(limits.slots));
}

kernel::Duration ServerQueue::ExpectedWait(Instant deadline) const {
  const auto requests_ahead = static_cast<double>(std::distance(
      this->waiting.begin(), this->waiting.upper_bound(deadline)));
  const double excess_requests =
      std::max(0.0, static_cast<double>(this->in_flight) + requests_ahead + 1 -
                        this->concurrency_limit);
  return kernel::Duration(static_cast<std::int64_t>(
      excess_requests / this->concurrency_limit * this->service_time_us));
}

bool ServerQueue::OtherKeysWaiting(std::uint64_t key_hash) const {
  const auto found = this->waiting_of_key.find(key_hash);
  const std::size_t own_count =
      found == this->waiting_of_key.end() ? 0 : found->second;
  return this->waiting.size() > own_count;
}

unsigned ServerQueue::MaxSlotsForKey(std::uint64_t key_hash) const {
  // One slot is reserved for other keys even while none of them waits, because
  // a slot that a long request occupies cannot be reclaimed.
  const auto slots = static_cast<unsigned>(this->concurrency_limit);
  if (this->OtherKeysWaiting(key_hash)) return std::max(1U, slots / 2);
  return std::max(1U, slots - 1);
}

std::optional<ErrorKind> ServerQueue::TryEnqueue(const QueuedRequest& request,
                                                 Instant now) {
  // `service` is the expected service time of one request.
  const auto service =
      kernel::Duration(static_cast<std::int64_t>(this->service_time_us));
  if (now + this->ExpectedWait(request.deadline) + service > request.deadline) {
    return ErrorKind::kDeadlineTooShort;
  }
  if (this->waiting.size() >= this->limits.max_waiting) {
    return ErrorKind::kQueueFull;
  }
  const std::size_t waiting_of_same_key =
      this->waiting_of_key[request.key_hash];
  if (waiting_of_same_key >=
      std::max<std::size_t>(1, this->limits.max_waiting / 2)) {
    return ErrorKind::kKeyShareExceeded;
  }
  this->waiting_of_key[request.key_hash] += 1;
  const Instant effective_deadline =
      request.retried ? request.deadline - kRetriedDeadlineAdvance
                      : request.deadline;
  this->waiting.emplace(effective_deadline, request);
  return std::nullopt;
}

void ServerQueue::EraseWaiting(WaitingQueue::iterator position) {
  const auto count = this->waiting_of_key.find(position->second.key_hash);
  count->second -= 1;
  if (count->second == 0) this->waiting_of_key.erase(count);
  this->waiting.erase(position);
}

std::optional<std::uint64_t> ServerQueue::PopNext(Instant now) {
  auto next = this->PopAllowed(now);
  const bool is_held_back = !next && !this->waiting.empty() &&
                            this->concurrency_limit < this->limits.slots;
  if (!is_held_back || now < this->next_probe_at) return next;
  this->concurrency_limit = std::min(static_cast<double>(this->limits.slots),
                                     this->concurrency_limit + 1);
  this->next_probe_at = now + kProbePeriod;
  return this->PopAllowed(now);
}

std::optional<std::uint64_t> ServerQueue::PopAllowed(Instant now) {
  if (this->in_flight >= static_cast<unsigned>(this->concurrency_limit))
    return {};
  for (auto it = this->waiting.begin(); it != this->waiting.end(); ++it) {
    const QueuedRequest request = it->second;
    if (request.deadline <= now) continue;
    const auto running = this->in_flight_of_key.find(request.key_hash);
    const unsigned key_count =
        running == this->in_flight_of_key.end() ? 0 : running->second;
    if (key_count >= this->MaxSlotsForKey(request.key_hash)) continue;
    this->EraseWaiting(it);
    this->in_flight += 1;
    this->next_probe_at = now + kProbePeriod;
    this->in_flight_of_key[request.key_hash] += 1;
    return request.id;
  }
  return {};
}

std::vector<RefusedRequest> ServerQueue::PopExpired(Instant now) {
  std::vector<RefusedRequest> expired_requests;
  // `service` is the expected service time of one request.
  const auto service =
      kernel::Duration(static_cast<std::int64_t>(this->service_time_us));
  while (!this->waiting.empty()) {
    const auto first = this->waiting.begin();
    if (first->second.deadline > now + service) break;
    expired_requests.push_back(
        {first->second.id, ErrorKind::kDeadlineTooShort});
    this->EraseWaiting(first);
  }
  return expired_requests;
}

std::vector<std::uint64_t> ServerQueue::PopAll() {
  std::vector<std::uint64_t> ids;
  for (const auto& [effective_deadline, request] : this->waiting)
    ids.push_back(request.id);
  this->waiting.clear();
  this->waiting_of_key.clear();
  return ids;
}

bool ServerQueue::Remove(std::uint64_t id) {
  const auto found = std::ranges::find_if(
      this->waiting, [&](const auto& entry) { return entry.second.id == id; });
  if (found == this->waiting.end()) return false;
  this->EraseWaiting(found);
  return true;
}

void ServerQueue::FinishRequest(std::uint64_t key_hash) {
  this->in_flight -= 1;
  const auto found = this->in_flight_of_key.find(key_hash);
  found->second -= 1;
  if (found->second == 0) this->in_flight_of_key.erase(found);
}

void ServerQueue::OnAnswered(std::uint64_t key_hash, kernel::Duration latency) {
  this->FinishRequest(key_hash);
  const auto sample = static_cast<double>(latency.count());
  this->service_time_us =
      this->service_time_us == 0
          ? sample
          : this->service_time_us +
                kServiceTimeGain * (sample - this->service_time_us);
  const auto slots = static_cast<double>(this->limits.slots);
  this->concurrency_limit =
      std::min(slots, this->concurrency_limit + 1 / this->concurrency_limit);
}

void ServerQueue::OnShed(std::uint64_t key_hash) {
  this->FinishRequest(key_hash);
  this->concurrency_limit =
      std::max(1.0, this->concurrency_limit * kShedConcurrencyFactor);
}

void ServerQueue::OnFailed(std::uint64_t key_hash) {
  this->FinishRequest(key_hash);
}

void ServerQueue::ResetConcurrency() { this->concurrency_limit = 1; }

}  // namespace chervilmux::policy
