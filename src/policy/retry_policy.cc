#include "policy/retry_policy.h"

#include <algorithm>
#include <array>

namespace chervilmux::policy {
namespace {

using kernel::ErrorKind;

constexpr auto kIdempotentMethods = std::to_array<std::string_view>(
    {"GET", "HEAD", "OPTIONS", "PUT", "DELETE", "TRACE"});

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

void RetryBudget::OnFirstAttempt() {
  this->level =
      std::min(this->capacity, this->level + this->tokens_per_request);
}

bool RetryBudget::TryConsume() {
  if (this->level < 1) return false;
  this->level -= 1;
  return true;
}

void RetryBudget::SetCapacity(double new_capacity) {
  this->level = std::min(
      this->level + std::max(0.0, new_capacity - this->capacity), new_capacity);
  this->capacity = new_capacity;
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
