#include "policy/server_queue.h"

#include <doctest/doctest.h>

#include "policy/retry_policy.h"

namespace chervilmux::policy {
namespace {

using kernel::ErrorKind;
using kernel::Instant;
using kernel::milliseconds;

const Instant kNow{kernel::seconds(100)};

QueuedRequest Item(std::uint64_t id, std::uint64_t key, std::int64_t ms) {
  return {id, key, kNow + milliseconds(ms), false};
}

/// A queue that has seen enough answers to use all slots.
ServerQueue WarmQueue(unsigned slots, std::int64_t service_ms) {
  ServerQueue queue({slots, 8});
  for (std::uint64_t i = 0; i < 200; ++i) {
    REQUIRE(!queue.TryEnqueue(Item(i, i, 1'000'000), kNow));
    REQUIRE(queue.PopNext(kNow));
    queue.OnAnswered(i, milliseconds(service_ms));
  }
  return queue;
}

TEST_CASE("a server's queue protects its callers under load") {
  ServerQueue queue = WarmQueue(4, 10);

  SUBCASE("no more run at once than the server has slots") {
    for (std::uint64_t i = 0; i < 6; ++i) {
      CHECK(!queue.TryEnqueue(Item(i, i, 1000), kNow));
    }
    for (int i = 0; i < 4; ++i) CHECK(queue.PopNext(kNow));
    CHECK(!queue.PopNext(kNow));
    CHECK(queue.InFlight() == 4);
  }

  SUBCASE("the earliest deadline goes first") {
    CHECK(!queue.TryEnqueue(Item(1, 1, 900), kNow));
    CHECK(!queue.TryEnqueue(Item(2, 2, 300), kNow));
    CHECK(queue.PopNext(kNow) == 2U);
  }

  SUBCASE("a request that cannot finish in time is refused at once") {
    CHECK(queue.TryEnqueue(Item(1, 1, 5), kNow) ==
          ErrorKind::kDeadlineTooShort);

    SUBCASE("or as soon as waiting has made it hopeless") {
      CHECK(!queue.TryEnqueue(Item(2, 2, 50), kNow));
      const auto expired = queue.PopExpired(kNow + milliseconds(45));
      REQUIRE(expired.size() == 1);
      CHECK(expired[0].id == 2);
      CHECK(queue.WaitingCount() == 0);
    }
  }

  SUBCASE("a full queue refuses") {
    for (std::uint64_t i = 0; i < 8; ++i) {
      CHECK(!queue.TryEnqueue(Item(i, i, 1000), kNow));
    }
    CHECK(queue.TryEnqueue(Item(9, 9, 1000), kNow) == ErrorKind::kQueueFull);
  }

  SUBCASE("a hot key leaves slots and places to the others") {
    for (std::uint64_t i = 0; i < 4; ++i) {
      CHECK(!queue.TryEnqueue(Item(i, 7, 1000), kNow));
    }
    CHECK(queue.TryEnqueue(Item(5, 7, 1000), kNow) ==
          ErrorKind::kKeyShareExceeded);
    int running = 0;
    while (queue.PopNext(kNow)) running += 1;
    CHECK(running == 3);
    CHECK(!queue.TryEnqueue(Item(6, 8, 2000), kNow));
    CHECK(queue.PopNext(kNow) == 6U);
  }

  SUBCASE("a server that sheds is asked for less") {
    const double before = queue.ConcurrencyLimit();
    CHECK(!queue.TryEnqueue(Item(1, 1, 1000), kNow));
    CHECK(queue.PopNext(kNow));
    queue.OnShed(1);
    CHECK(queue.ConcurrencyLimit() < before);
  }

  SUBCASE("a cold server begins with one request") {
    queue.ResetConcurrency();
    CHECK(!queue.TryEnqueue(Item(1, 1, 1000), kNow));
    CHECK(!queue.TryEnqueue(Item(2, 2, 1000), kNow));
    CHECK(queue.PopNext(kNow));
    CHECK(!queue.PopNext(kNow));
  }
}

TEST_CASE("only what surely did not run, or may run twice, is repeated") {
  const FailedAttempt base{ErrorKind::kServerShed, 1, false,
                           kNow + kernel::seconds(5)};
  for (const auto& traits : kernel::AllErrorTraits()) {
    CAPTURE(traits.name);
    FailedAttempt attempt = base;
    attempt.failure = traits.kind;
    const bool repeated = RetryDelay(attempt, 0.5, kNow).has_value();
    if (traits.outcome != kernel::Outcome::kNotRun) CHECK(!repeated);
    if (repeated) CHECK(traits.retryable);
  }
  SUBCASE("an idempotent request survives a lost answer") {
    FailedAttempt attempt = base;
    attempt.failure = ErrorKind::kRelayLost;
    attempt.idempotent = true;
    CHECK(RetryDelay(attempt, 0.5, kNow));
  }
  SUBCASE("nothing is repeated past its deadline") {
    FailedAttempt attempt = base;
    attempt.deadline = kNow + milliseconds(1);
    CHECK(!RetryDelay(attempt, 0.5, kNow));
  }
  SUBCASE("a budget bounds the repeats") {
    RetryBudget budget(0.1, 2);
    CHECK(budget.TryConsume());
    CHECK(budget.TryConsume());
    CHECK(!budget.TryConsume());
    for (int i = 0; i < 11; ++i) budget.OnFirstAttempt();
    CHECK(budget.TryConsume());
  }
}

}  // namespace
}  // namespace chervilmux::policy
