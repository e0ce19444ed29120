#include "policy/retry_policy.h"

#include <algorithm>
#include <array>

namespace chervilmux::policy {
namespace {

using kernel::ErrorKind;

constexpr auto kIdempotentMethods = std::to_array<std::string_view>(
    {"GET", "HEAD", "OPTIONS", "PUT", "DELETE", "TRACE"});

/// How the wait grows for one kind of failure.
struct Backoff {
  ErrorKind failure;
  kernel::Duration first;
  kernel::Duration longest;
};

// Waiting for a change of ownership costs nothing at the server, so its retries
// come quickly; a server that sheds is given time.
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
constexpr Backoff kOtherwise = {ErrorKind::kInternal, kernel::milliseconds(20),
                                kernel::milliseconds(400)};

const Backoff& BackoffOf(ErrorKind failure) {
  const auto* found = std::ranges::find(kBackoffs, failure, &Backoff::failure);
  return found == kBackoffs.end() ? kOtherwise : *found;
}

/// Whether an idempotent request may be repeated after an answer was lost.
bool AnswerWasLost(ErrorKind failure) {
  return failure == ErrorKind::kRelayLost ||
         failure == ErrorKind::kServerBroken ||
         failure == ErrorKind::kAnswerTruncated ||
         failure == ErrorKind::kServerSilent;
}

}  // namespace

bool IsIdempotent(std::string_view method,
                  const std::vector<std::string>& declared) {
  return std::ranges::find(kIdempotentMethods, method) !=
             kIdempotentMethods.end() ||
         std::ranges::find(declared, method) != declared.end();
}

RetryBudget::RetryBudget(double per_request, double capacity)
    : per_request(per_request), capacity(capacity), level(capacity) {}

void RetryBudget::OnFirstAttempt() {
  this->level = std::min(this->capacity, this->level + this->per_request);
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
  const bool surely_not_run =
      traits.retryable && traits.outcome == kernel::Outcome::kNotRun;
  const bool may_repeat = attempt.idempotent && AnswerWasLost(attempt.failure);
  if (!surely_not_run && !may_repeat) return std::nullopt;
  const Backoff& backoff = BackoffOf(attempt.failure);
  const unsigned doublings = std::min(attempt.number - 1, 8U);
  const kernel::Duration full =
      std::min(backoff.longest, backoff.first * (1U << doublings));
  const auto delay = kernel::Duration(static_cast<std::int64_t>(
      static_cast<double>(full.count()) * (0.5 + random / 2)));
  if (now + delay >= attempt.deadline) return std::nullopt;
  return delay;
}

}  // namespace chervilmux::policy
