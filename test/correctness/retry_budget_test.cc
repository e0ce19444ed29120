// The limit on retries that many instances share.

#include <doctest/doctest.h>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <random>
#include <vector>

#include "policy/retry_policy.h"

namespace chervilmux::policy {
namespace {

using kernel::Duration;
using kernel::Instant;
using kernel::milliseconds;
using kernel::seconds;

constexpr double kRatio = 0.2;
constexpr double kSlack = 50;
/// The limit holds for each span of this length.
constexpr Duration kWindow = seconds(10);

/// Instances that share the limit, each with requests at random.
class Fleet {
 public:
  Fleet(std::size_t count, std::uint64_t seed)
      : budgets(count,
                RetryBudget(kRatio, kSlack / static_cast<double>(count))),
        random(seed) {}

  /// All instances together get `rate` requests a second; each of `failing`
  /// fails, and so does each retry of it.
  void Run(Duration length, double rate, double failing) {
    const Instant end = this->now + length;
    std::exponential_distribution<double> pause(rate);
    std::bernoulli_distribution fails(failing);
    while (this->now < end) {
      this->now += kernel::FromSeconds(pause(this->random));
      RetryBudget& budget =
          this->budgets[this->random() % this->budgets.size()];
      budget.OnFirstAttempt(this->now);
      this->first_attempts.push_back(this->now);
      while (fails(this->random) && budget.TryConsume(this->now))
        this->retries.push_back(this->now);
      this->CheckWindow();
    }
  }

  std::size_t Retries() const { return this->retries.size(); }
  std::size_t Violations() const { return this->violations; }

 private:
  /// The limit counts the requests of the window, of the one before it or of
  /// the one half a window before it, whichever has most.
  void CheckWindow() {
    const Instant begin = this->now - kWindow;
    const auto most = std::max({this->FirstAttempts(begin),
                                this->FirstAttempts(begin - kWindow / 2),
                                this->FirstAttempts(begin - kWindow)});
    const double allowed = kRatio * static_cast<double>(most) + kSlack;
    const auto retried =
        this->retries.end() - std::ranges::lower_bound(this->retries, begin);
    if (static_cast<double>(retried) > allowed) this->violations += 1;
  }

  /// In the window that begins at `begin`.
  std::ptrdiff_t FirstAttempts(Instant begin) const {
    return std::ranges::upper_bound(this->first_attempts, begin + kWindow) -
           std::ranges::lower_bound(this->first_attempts, begin);
  }

  std::vector<RetryBudget> budgets;
  std::mt19937_64 random;
  Instant now{seconds(100)};
  std::vector<Instant> first_attempts;
  std::vector<Instant> retries;
  std::size_t violations = 0;
};

}  // namespace

// Failure: instances that are so many that the share of each is less than one
// retry never retry anything.
TEST_CASE("an instance among many retries a request that was turned away") {
  for (const std::size_t instances : {8, 66, 79, 300}) {
    CAPTURE(instances);
    RetryBudget budget(kRatio, kSlack / static_cast<double>(instances));
    for (int i = 0; i < 5; ++i) budget.OnFirstAttempt(Instant(seconds(100)));
    CHECK(budget.TryConsume(Instant(seconds(100))));
  }
}

// Failure: the instances together retry more than the limit allows.
TEST_CASE("the retries of all instances stay within the limit in each window") {
  double later_rate = 1;
  double failing = 1;
  SUBCASE("when all requests fail from some moment on") {}
  SUBCASE("when there are few requests, which all fail, after many") {
    later_rate = 0.05;
  }
  SUBCASE("when a part fails") { failing = 0.3; }
  for (const std::size_t instances : {8, 66, 300, 2000}) {
    for (const double rate : {20.0, 400.0, 3000.0}) {
      CAPTURE(instances);
      CAPTURE(rate);
      Fleet fleet(instances, 20261205);
      fleet.Run(seconds(20), rate, 0);
      fleet.Run(seconds(12), rate * later_rate, failing);
      CHECK(fleet.Violations() == 0);
    }
  }
}

// Failure: an instance whose share is several retries gets fewer than the
// bucket holds, since its first attempts count for a shorter time.
TEST_CASE("an instance among few retries all that its first attempts add") {
  RetryBudget budget(0.08, 5);
  unsigned retries = 0;
  constexpr unsigned kAttempts = 6000;
  for (unsigned i = 0; i < kAttempts; ++i) {
    const Instant now = Instant(seconds(100)) + i * milliseconds(10);
    budget.OnFirstAttempt(now);
    if (budget.TryConsume(now)) retries += 1;
  }
  CHECK(retries >= 0.08 * kAttempts);
}

// Failure: a retry that was saved long ago adds to those of a window without
// requests.
TEST_CASE("an instance among many retries nothing without recent requests") {
  RetryBudget budget(kRatio, 0.1);
  for (int i = 0; i < 100; ++i) budget.OnFirstAttempt(Instant(seconds(100)));
  CHECK_FALSE(budget.TryConsume(Instant(seconds(112))));
}

}  // namespace chervilmux::policy
