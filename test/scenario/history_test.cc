// Guards a cell under random faults. Failures: two servers own the same key,
// keys stay unserved after all faults have ended, or the store does not get the
// newest row.

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <string>

#include "history_search.h"

namespace chervilmux::scenario {
namespace {

constexpr std::size_t kSteps = 12;

HistoryResult RunSeed(std::uint64_t seed, ownership::SafetyRules rules = {}) {
  VirtualCellConfig config;
  config.rules = rules;
  const auto steps = MakeHistory(seed, kSteps, config);
  return RunHistory(config, steps);
}

/// Number of histories that violate an invariant, of those with seeds from 1 to
/// `histories`.
int CountHistoriesWithViolations(int histories, ownership::SafetyRules rules) {
  int count = 0;
  for (int seed = 1; seed <= histories; ++seed) {
    const auto result = RunSeed(static_cast<std::uint64_t>(seed), rules);
    if (!result.violations.empty()) count += 1;
  }
  return count;
}

void CheckNoFailure(const HistoryResult& result) {
  CHECK(result.violations.empty());
  CHECK(result.all_served_at_end);
  CHECK(result.stored_at_end);
  if (!result.end_state.empty()) MESSAGE(result.end_state);
}

// Failure: a fault that a search has found before comes back. Each entry names
// the fault that the history of its seed showed.
TEST_CASE("histories that failed before pass") {
  struct KnownHistory {
    std::uint64_t seed;
    const char* cause;
  };
  constexpr KnownHistory kKnownHistories[] = {
      {1, "a restarted server always refused deadlines by its previous clock"},
      {2, "a claimed row and the row it served had the same version"},
      {11, "excluded servers could never be used again"},
      {21, "a request ran after a move at a server that checks no tokens"},
      {22, "a standby without any contact waited for its primary forever"},
      {286, "an instance was a former member in its own row"},
      {474, "a late grant reached a server that checks no tokens"},
      {297, "a repeated hand-over reset the new primary to the old row"},
      {1591, "a standby that took over in a move granted by the old row only"},
      {2330, "a server that refused a token was treated as lost"},
      {2436, "an early promise was applied to a later take-over"},
  };
  for (const auto& known : kKnownHistories) {
    CAPTURE(known.seed);
    CAPTURE(known.cause);
    CheckNoFailure(RunSeed(known.seed));
  }
}

// Failure: a combination of faults gives a key two owners, or the cell does not
// recover from it. The fault steps come from a property-based generator.
TEST_CASE("no generated fault sequence gives a key two owners") {
  // CTest sets the seed of the generator in RC_PARAMS.
  const bool passed = rc::check(
      "any fault steps on any cell",
      [](const std::vector<std::uint32_t>& words) {
        std::vector<FaultStep> steps;
        steps.reserve(words.size());
        for (const std::uint32_t word : words) {
          steps.push_back({static_cast<std::uint8_t>(word),
                           static_cast<std::uint8_t>(word >> 8U),
                           static_cast<std::uint8_t>(word >> 12U),
                           static_cast<std::uint16_t>((word >> 16U) % 1200)});
        }
        VirtualCellConfig config;
        (void)MakeHistory(words.size() * 7919 + 1, 0, config);
        const auto result = RunHistory(config, steps);
        RC_ASSERT(result.violations.empty());
        RC_ASSERT(result.all_served_at_end);
        RC_ASSERT(result.stored_at_end);
      });
  CHECK(passed);
}

// Failure: a violation, or a search that no longer exercises the rules: each
// counter shows that one of them was used.
TEST_CASE("300 fixed histories pass and use every safety rule") {
  ownership::CellCounters sum;
  for (std::uint64_t seed = 5000; seed < 5300; ++seed) {
    CAPTURE(seed);
    const HistoryResult result = RunSeed(seed);
    CheckNoFailure(result);
    ownership::AddCounters(sum, result.counters);
  }
  CHECK(sum.takeovers > 0);
  CHECK(sum.claims > 0);
  CHECK(sum.hand_overs > 0);
  CHECK(sum.owner_changes > 0);
  CHECK(sum.changes_ahead_of_store > 0);
  CHECK(sum.excluded_by_promise > 0);
  CHECK(sum.excluded_by_list > 0);
  CHECK(sum.excluded_by_budget > 0);
  CHECK(sum.standby_replacements > 0);
  CHECK(sum.unknown_writes_resolved > 0);
  CHECK(sum.reconciliations > 0);
  CHECK(sum.store_conflicts > 0);
}

// Failure: the checks overlook a violation. Each section disables one safety
// rule and expects that the search finds a violation.
TEST_CASE("the search finds a violation when a safety rule is disabled") {
  constexpr int kHistories = 400;
  ownership::SafetyRules rules;

  SUBCASE("without waiting until other instances have stopped") {
    rules.wait_for_other_instances = false;
  }
  SUBCASE("without waiting until servers that give up keys have stopped") {
    rules.wait_for_server_stop = false;
  }
  CHECK(CountHistoriesWithViolations(kHistories, rules) > 0);
}

}  // namespace
}  // namespace chervilmux::scenario
