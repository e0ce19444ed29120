#include "policy/retry_policy.h"

#include <algorithm>
#include <array>
#include <span>

namespace chervilmux::policy {
namespace {

using kernel::ErrorKind;

constexpr auto kIdempotentMethods = std::to_array<std::string_view>(
    {"GET", "HEAD", "OPTIONS", "PUT", "DELETE", "TRACE"});

/// Retries and first attempts are counted by the second.
constexpr kernel::Duration kBudgetPeriod = kernel::seconds(1);

/// Exponential backoff for one kind of failure.
struct Backoff {
  ErrorKind failure;
  kernel::Duration first;
  kernel::Duration max_delay;
};

// Retries that wait for a change of ownership put no load on the server, so
// their delays are short. A server that sheds load needs longer delays.
constexpr auto kBackoffs = std::to_array<Backoff>({
    {ErrorKind::kNoPrimary, kernel::milliseconds(20),
     kernel::milliseconds(100)},
    {ErrorKind::kPrimaryUnreachable, kernel::milliseconds(20),
     kernel::milliseconds(100)},
    {ErrorKind::kNotPrimary, kernel::milliseconds(10),
     kernel::milliseconds(100)},
    {ErrorKind::kStopping, kernel::milliseconds(5), kernel::milliseconds(50)},
    {ErrorKind::kNoOwner, kernel::milliseconds(50), kernel::milliseconds(200)},
    {ErrorKind::kOwnershipMoving, kernel::milliseconds(20),
     kernel::milliseconds(100)},
    {ErrorKind::kServerConnect, kernel::milliseconds(20),
     kernel::milliseconds(100)},
    {ErrorKind::kServerFenced, kernel::milliseconds(20),
     kernel::milliseconds(100)},
    {ErrorKind::kServerShed, kernel::milliseconds(50),
     kernel::milliseconds(800)},
});
constexpr Backoff kDefaultBackoff = {
    ErrorKind::kInternal, kernel::milliseconds(20), kernel::milliseconds(400)};

const Backoff& FindBackoff(ErrorKind failure) {
  const auto* found = std::ranges::find(kBackoffs, failure, &Backoff::failure);
  return found == kBackoffs.end() ? kDefaultBackoff : *found;
}

/// Whether the request may have run although no complete answer arrived.
bool AnswerWasLost(ErrorKind failure) {
  return failure == ErrorKind::kRelayLost ||
         failure == ErrorKind::kServerBroken ||
         failure == ErrorKind::kAnswerTruncated ||
         failure == ErrorKind::kServerSilent;
}

}  // namespace

bool IsIdempotent(std::string_view method,
                  const std::vector<std::string>& declared_methods) {
  return std::ranges::find(kIdempotentMethods, method) !=
             kIdempotentMethods.end() ||
         std::ranges::find(declared_methods, method) != declared_methods.end();
}

RetryBudget::RetryBudget(double tokens_per_request, double capacity)
    : tokens_per_request(tokens_per_request),
      capacity(capacity),
      level(capacity) {}

void RetryBudget::OnFirstAttempt(kernel::Instant now) {
  this->Advance(now);
  this->periods.front().first_attempts += 1;
  this->level =
      std::min(this->MaxLevel(), this->level + this->tokens_per_request);
}

bool RetryBudget::TryConsume(kernel::Instant now) {
  this->Advance(now);
  if (this->level < 1 || !this->FitsWindow()) return false;
  this->level -= 1;
  this->periods.front().retries += 1;
  return true;
}

void RetryBudget::SetCapacity(double new_capacity) {
  this->level += std::max(0.0, new_capacity - this->capacity);
  this->capacity = new_capacity;
  this->level = std::min(this->level, this->MaxLevel());
}

void RetryBudget::Advance(kernel::Instant now) {
  if (now < this->period_end) return;
  if (now >= this->period_end + kPeriods * kBudgetPeriod) {
    this->periods.fill({});
    this->period_end = now + kBudgetPeriod;
    return;
  }
  for (; now >= this->period_end; this->period_end += kBudgetPeriod) {
    std::move_backward(this->periods.begin(), this->periods.end() - 1,
                       this->periods.end());
    this->periods.front() = {};
  }
}

double RetryBudget::MaxLevel() const { return std::max(this->capacity, 1.0); }

/// Whether another retry stays below the limit of every window that has it. The
/// bucket alone sees to that unless it holds more than the capacity.
bool RetryBudget::FitsWindow() const {
  if (this->MaxLevel() <= this->capacity) return true;
  std::uint64_t retries = 0;
  for (const Period& period : this->periods) retries += period.retries;
  std::uint64_t first_attempts = 0;
  // The oldest two reach beyond the window.
  for (const Period& period : std::span(this->periods).first<kPeriods - 2>())
    first_attempts += period.first_attempts;
  const double allowed =
      this->capacity +
      this->tokens_per_request * static_cast<double>(first_attempts);
  return static_cast<double>(retries + 1) <= allowed;
}

std::optional<kernel::Duration> RetryDelay(const FailedAttempt& attempt,
                                           double random, kernel::Instant now) {
  const kernel::ErrorTraits& traits = kernel::TraitsOf(attempt.failure);
  const bool known_not_run =
      traits.retryable && traits.outcome == kernel::Outcome::kNotRun;
  const bool may_run_twice =
      attempt.idempotent && AnswerWasLost(attempt.failure);
  if (!known_not_run && !may_run_twice) return std::nullopt;
  const Backoff& backoff = FindBackoff(attempt.failure);
  const unsigned doublings = std::min(attempt.attempt_number - 1, 8U);
  const kernel::Duration backoff_delay =
      std::min(backoff.max_delay, backoff.first * (1U << doublings));
  const auto delay = kernel::Duration(static_cast<std::int64_t>(
      static_cast<double>(backoff_delay.count()) * (0.5 + random / 2)));
  if (now + delay >= attempt.deadline) return std::nullopt;
  return delay;
}

}  // namespace chervilmux::policy
