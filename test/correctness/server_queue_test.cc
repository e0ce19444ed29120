// Guards admission at one backend server and the retry policy. Failures: an
// overloaded server gets more than it can run, one hot key blocks the other
// keys, requests wait past their deadlines, or a request is executed twice.

#include "policy/server_queue.h"

#include <doctest/doctest.h>

#include "policy/retry_policy.h"

namespace chervilmux::policy {
namespace {

using kernel::ErrorKind;
using kernel::Instant;
using kernel::milliseconds;

const Instant kNow{kernel::seconds(100)};

/// A request whose deadline is `ms` after kNow.
QueuedRequest MakeItem(std::uint64_t id, std::uint64_t key, std::int64_t ms) {
  return {id, key, kNow + milliseconds(ms), false};
}

/// A queue after enough answers to have raised its concurrency to all slots.
ServerQueue WarmQueue(unsigned slots, std::int64_t service_ms) {
  ServerQueue queue({slots, 8});
  for (std::uint64_t i = 0; i < 200; ++i) {
    REQUIRE(!queue.TryEnqueue(MakeItem(i, i, 1'000'000), kNow));
    REQUIRE(queue.PopNext(kNow));
    queue.OnAnswered(i, milliseconds(service_ms));
  }
  return queue;
}

// Failure: under overload the queue sends more than the server can run, or
// keeps requests that can no longer meet their deadline.
TEST_CASE("the queue of a server limits load and refuses late requests") {
  ServerQueue queue = WarmQueue(4, 10);

  SUBCASE("at most as many requests run as the server has slots") {
    for (std::uint64_t i = 0; i < 6; ++i) {
      CHECK(!queue.TryEnqueue(MakeItem(i, i, 1000), kNow));
    }
    for (int i = 0; i < 4; ++i) CHECK(queue.PopNext(kNow));
    CHECK(!queue.PopNext(kNow));
    CHECK(queue.InFlight() == 4);
  }

  SUBCASE("the request with the earliest deadline is sent first") {
    CHECK(!queue.TryEnqueue(MakeItem(1, 1, 900), kNow));
    CHECK(!queue.TryEnqueue(MakeItem(2, 2, 300), kNow));
    CHECK(queue.PopNext(kNow) == 2U);
  }

  SUBCASE("a request that cannot meet its deadline is refused at once") {
    CHECK(queue.TryEnqueue(MakeItem(1, 1, 5), kNow) ==
          ErrorKind::kDeadlineTooShort);

    SUBCASE("a waiting request is refused once it cannot meet its deadline") {
      CHECK(!queue.TryEnqueue(MakeItem(2, 2, 50), kNow));
      const auto expired = queue.PopExpired(kNow + milliseconds(45));
      REQUIRE(expired.size() == 1);
      CHECK(expired[0].id == 2);
      CHECK(queue.WaitingCount() == 0);
    }
  }

  SUBCASE("a full queue refuses requests") {
    for (std::uint64_t i = 0; i < 8; ++i) {
      CHECK(!queue.TryEnqueue(MakeItem(i, i, 1000), kNow));
    }
    CHECK(queue.TryEnqueue(MakeItem(9, 9, 1000), kNow) ==
          ErrorKind::kQueueFull);
  }

  SUBCASE("a hot key leaves slots and queue places to other keys") {
    for (std::uint64_t i = 0; i < 4; ++i) {
      CHECK(!queue.TryEnqueue(MakeItem(i, 7, 1000), kNow));
    }
    CHECK(queue.TryEnqueue(MakeItem(5, 7, 1000), kNow) ==
          ErrorKind::kKeyShareExceeded);
    int running = 0;
    while (queue.PopNext(kNow)) running += 1;
    CHECK(running == 3);
    CHECK(!queue.TryEnqueue(MakeItem(6, 8, 2000), kNow));
    CHECK(queue.PopNext(kNow) == 6U);
  }

  SUBCASE("the concurrency falls when the server sheds load") {
    const double before = queue.ConcurrencyLimit();
    CHECK(!queue.TryEnqueue(MakeItem(1, 1, 1000), kNow));
    CHECK(queue.PopNext(kNow));
    queue.OnShed(1);
    CHECK(queue.ConcurrencyLimit() < before);
  }

  SUBCASE("a cold server starts with one request at a time") {
    queue.ResetConcurrency();
    CHECK(!queue.TryEnqueue(MakeItem(1, 1, 1000), kNow));
    CHECK(!queue.TryEnqueue(MakeItem(2, 2, 1000), kNow));
    CHECK(queue.PopNext(kNow));
    CHECK(!queue.PopNext(kNow));
  }

  SUBCASE(
      "a request that a frozen server keeps does not hold back the others") {
    queue.ResetConcurrency();
    CHECK(!queue.TryEnqueue(MakeItem(1, 1, 9000), kNow));
    CHECK(!queue.TryEnqueue(MakeItem(2, 2, 9000), kNow));
    CHECK(!queue.TryEnqueue(MakeItem(3, 3, 9000), kNow));
    CHECK(queue.PopNext(kNow));
    CHECK(!queue.PopNext(kNow + milliseconds(499)));
    CHECK(queue.PopNext(kNow + milliseconds(500)));
    SUBCASE("one by one") {
      CHECK(!queue.PopNext(kNow + milliseconds(999)));
      CHECK(queue.PopNext(kNow + milliseconds(1000)));
    }
    SUBCASE("of the same key either") {
      CHECK(queue.PopNext(kNow + milliseconds(1000)));
      queue.OnFailed(2);
      queue.OnFailed(3);
      // Now the limit is three, of which one key may use two.
      CHECK(!queue.TryEnqueue(MakeItem(4, 1, 9000), kNow));
      CHECK(!queue.TryEnqueue(MakeItem(5, 1, 9000), kNow));
      CHECK(queue.PopNext(kNow + milliseconds(1000)));
      CHECK(!queue.PopNext(kNow + milliseconds(1499)));
      CHECK(queue.PopNext(kNow + milliseconds(1500)));
    }
    SUBCASE("until the server has its slots filled") {
      for (std::uint64_t i = 4; i < 9; ++i)
        CHECK(!queue.TryEnqueue(MakeItem(i, i, 9000), kNow));
      for (int i = 2; i < 20; ++i) queue.PopNext(kNow + milliseconds(500 * i));
      CHECK(queue.InFlight() == 4);
    }
  }
}

// Failure: a request that may have run, and must not run twice, is sent again;
// or retries multiply an overload.
TEST_CASE("only requests that did not run or are idempotent are retried") {
  const FailedAttempt base{ErrorKind::kServerShed, 1, false,
                           kNow + kernel::seconds(5)};
  for (const auto& traits : kernel::AllErrorTraits()) {
    CAPTURE(traits.name);
    FailedAttempt attempt = base;
    attempt.failure = traits.kind;
    const bool retried = RetryDelay(attempt, 0.5, kNow).has_value();
    if (traits.outcome != kernel::Outcome::kNotRun) CHECK(!retried);
    if (retried) CHECK(traits.retryable);
  }
  SUBCASE("an idempotent request is retried after its answer was lost") {
    FailedAttempt attempt = base;
    attempt.failure = ErrorKind::kRelayLost;
    attempt.idempotent = true;
    CHECK(RetryDelay(attempt, 0.5, kNow));
  }
  SUBCASE("no request is retried past its deadline") {
    FailedAttempt attempt = base;
    attempt.deadline = kNow + milliseconds(1);
    CHECK(!RetryDelay(attempt, 0.5, kNow));
  }
  SUBCASE("the retry budget limits the number of retries") {
    RetryBudget budget(0.1, 2);
    CHECK(budget.TryConsume(kNow));
    CHECK(budget.TryConsume(kNow));
    CHECK(!budget.TryConsume(kNow));
    for (int i = 0; i < 11; ++i) budget.OnFirstAttempt(kNow);
    CHECK(budget.TryConsume(kNow));
  }
}

}  // namespace
}  // namespace chervilmux::policy
