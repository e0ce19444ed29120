// search-histories: runs generated histories and reports violations and how
// often each rule was reached, as JSON.
//
// Usage: search-histories COUNT FIRST_SEED [STEPS]

#include <cstdio>
#include <cstdlib>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "history_search.h"

namespace chervilmux::scenario {
namespace {

struct Totals {
  std::mutex mutex;
  std::uint64_t histories = 0;
  std::uint64_t violated = 0;
  std::uint64_t unserved = 0;
  std::uint64_t unstored = 0;
  ownership::CellCounters counters;
};

void Report(std::uint64_t seed, const VirtualCellConfig& config,
            const std::vector<FaultStep>& steps, const HistoryResult& result) {
  std::fprintf(stderr, "seed %llu%s\n", static_cast<unsigned long long>(seed),
               config.servers_check_tokens ? "" : " (servers do not check)");
  for (const auto& step : steps) {
    std::fprintf(stderr, "  %s\n", Describe(step, config).c_str());
  }
  for (const auto& violation : result.violations) {
    std::fprintf(stderr, "  VIOLATION %s\n", violation.c_str());
  }
  if (!result.all_served_at_end) std::fprintf(stderr, "  NOT SERVED at end\n");
  if (!result.stored_at_end) std::fprintf(stderr, "  NOT STORED at end\n");
  std::fprintf(stderr, "%s", result.end_state.c_str());
}

void RunSeed(std::uint64_t seed, std::size_t step_count, Totals& totals) {
  VirtualCellConfig config;
  const auto steps = MakeHistory(seed, step_count, config);
  const HistoryResult result = RunHistory(config, steps);
  const std::lock_guard lock(totals.mutex);
  totals.histories += 1;
  if (!result.violations.empty()) totals.violated += 1;
  if (!result.all_served_at_end) totals.unserved += 1;
  if (!result.stored_at_end) totals.unstored += 1;
  const bool bad = !result.violations.empty() || !result.all_served_at_end ||
                   !result.stored_at_end;
  if (bad && totals.violated < 6) {
    Report(seed, config, steps, result);
  }
  ownership::AddCounters(totals.counters, result.counters);
}

int Main(std::uint64_t count, std::uint64_t first, std::size_t steps) {
  Totals totals;
  std::vector<std::thread> threads;
  const unsigned workers = std::max(1U, std::thread::hardware_concurrency());
  for (unsigned w = 0; w < workers; ++w) {
    threads.emplace_back([&, w] {
      for (std::uint64_t i = w; i < count; i += workers) {
        RunSeed(first + i, steps, totals);
      }
    });
  }
  for (auto& thread : threads) thread.join();
  const auto n = [](std::uint64_t value) {
    return static_cast<unsigned long long>(value);
  };
  std::printf(
      "{\"histories\": %llu, \"first_seed\": %llu, \"steps\": %llu, "
      "\"violated\": %llu, \"unserved_at_end\": %llu, "
      "\"unstored_at_end\": %llu",
      n(totals.histories), n(first), n(steps), n(totals.violated),
      n(totals.unserved), n(totals.unstored));
  for (const auto& field : ownership::CellCounterFields()) {
    std::printf(", \"%.*s\": %llu", static_cast<int>(field.name.size()),
                field.name.data(), n(totals.counters.*field.member));
  }
  std::printf("}\n");
  return totals.violated + totals.unserved + totals.unstored == 0 ? 0 : 1;
}

}  // namespace
}  // namespace chervilmux::scenario

int main(int argc, char** argv) {
  if (argc < 3) {
    std::fprintf(stderr, "usage: search-histories COUNT FIRST_SEED [STEPS]\n");
    return 2;
  }
  return chervilmux::scenario::Main(
      std::strtoull(argv[1], nullptr, 10), std::strtoull(argv[2], nullptr, 10),
      argc > 3 ? std::strtoull(argv[3], nullptr, 10) : 12);
}
