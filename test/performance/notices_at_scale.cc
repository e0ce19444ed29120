// notices-at-scale: what callers and servers get while many servers leave or
// ask for quiet at once, in virtual time, as a table.
// Usage: notices-at-scale [SEED]

#include <array>
#include <cstdio>
#include <cstdlib>
#include <future>
#include <string>
#include <vector>

#include "notice_world.h"

namespace chervilmux::performance {
namespace {

struct Size {
  unsigned servers;
  unsigned instances;
};

std::string Measure(const scenario::NoticeTrial& trial) {
  const scenario::NoticeCounts counts = scenario::PlayNotices(trial);
  std::array<char, 512> line{};
  std::snprintf(
      line.data(), line.size(),
      "| %u/%u%s | %s | %zu of %zu | %zu of %zu | %.4f / %.4f | %.4f | %.0f "
      "| %.2f, %.2f, %.2f | %zu of %zu | %.1f |",
      trial.servers, trial.instances, trial.keyed ? ", keys" : "",
      trial.name.c_str(), counts.past_drain_bound, counts.drain_notices,
      counts.most_within_quiet, counts.back_off_notices,
      counts.ServedFirstShare(), counts.ServedShare(),
      counts.RepeatsPerRequest(), counts.repeats_over_limit,
      counts.most_returned_per_slot, counts.most_after_quiet_per_slot,
      counts.most_before_per_slot, counts.told_too_early, counts.told,
      counts.messages_per_instance);
  return line.data();
}

}  // namespace

int Main(std::uint64_t seed) {
  constexpr auto kSizes = std::to_array<Size>({{30, 8}, {100, 80}, {300, 300}});
  std::printf("Seed %llu.\n\n", static_cast<unsigned long long>(seed));
  std::printf(
      "| servers/instances | trial | past the drain bound, of notices | most "
      "within quiet, of notices | served first / in the end | repeats a "
      "request "
      "| over the limit | most per slot in 100 ms after quiet: of those turned "
      "away, of all, before | told too early "
      "| messages an instance a second |\n"
      "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n");
  for (const bool keyed : {false, true}) {
    for (const auto& size : kSizes) {
      for (std::size_t i = 0; i < scenario::kNoticeTrialCount; ++i) {
        const auto trial = scenario::MakeNoticeTrial(
            i, size.servers, size.instances, keyed, seed);
        std::printf("%s\n", Measure(trial).c_str());
        std::fflush(stdout);
      }
    }
  }
  return 0;
}

}  // namespace chervilmux::performance

int main(int argc, char** argv) {
  constexpr std::uint64_t kDefaultSeed = 20261205;
  return chervilmux::performance::Main(
      argc > 1 ? std::strtoull(argv[1], nullptr, 10) : kDefaultSeed);
}
