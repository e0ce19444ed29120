#include "history_search.h"

#include <random>

namespace chervilmux::scenario {
namespace {

using kernel::milliseconds;

constexpr kernel::Duration kStart = milliseconds(1500);
/// Longer than the isolation budget, the delay of the instance list, a lease, a
/// request and the return of a server together.
constexpr kernel::Duration kRecoveryTime = kernel::seconds(14);
constexpr kernel::Duration kRecoveryStep = milliseconds(250);
constexpr int kMaxRecoverySteps = 40;

struct Fault {
  const char* name;
  void (*apply)(VirtualCell&, std::size_t first, std::size_t second);
};

std::size_t NodeCount(const VirtualCell& cell) { return cell.StoreNode() + 1; }

// The arguments of a fault are the index of an instance and the index of a
// server; faults of a link between two instances use the second one as an
// instance.
constexpr Fault kFaults[] = {
    {"run", [](VirtualCell&, std::size_t, std::size_t) {}},
    {"kill instance", [](VirtualCell& cell, std::size_t a,
                         std::size_t) { cell.KillInstance(a); }},
    {"restart instance", [](VirtualCell& cell, std::size_t a,
                            std::size_t) { cell.RestartInstance(a); }},
    {"pause instance", [](VirtualCell& cell, std::size_t a,
                          std::size_t) { cell.PauseInstance(a); }},
    {"resume instance", [](VirtualCell& cell, std::size_t a,
                           std::size_t) { cell.ResumeInstance(a); }},
    {"stop instance", [](VirtualCell& cell, std::size_t a,
                         std::size_t) { cell.StopInstance(a); }},
    {"kill server",
     [](VirtualCell& cell, std::size_t, std::size_t b) { cell.KillServer(b); }},
    {"restart server", [](VirtualCell& cell, std::size_t,
                          std::size_t b) { cell.RestartServer(b); }},
    {"pause server", [](VirtualCell& cell, std::size_t,
                        std::size_t b) { cell.PauseServer(b); }},
    {"resume server", [](VirtualCell& cell, std::size_t,
                         std::size_t b) { cell.ResumeServer(b); }},
    {"server leaves", [](VirtualCell& cell, std::size_t,
                         std::size_t b) { cell.SetLeaving(b, true); }},
    {"server no longer leaves",
     [](VirtualCell& cell, std::size_t, std::size_t b) {
       cell.SetLeaving(b, false);
     }},
    {"weight 2", [](VirtualCell& cell, std::size_t,
                    std::size_t b) { cell.SetWeight(b, 2); }},
    {"weight 0.5", [](VirtualCell& cell, std::size_t,
                      std::size_t b) { cell.SetWeight(b, 0.5); }},
    {"pin a key", [](VirtualCell& cell, std::size_t a,
                     std::size_t b) { cell.PinKey(a, b); }},
    {"cut link to an instance one way",
     [](VirtualCell& cell, std::size_t a, std::size_t b) {
       cell.CutLink(a, b);
     }},
    {"cut link to an instance both ways",
     [](VirtualCell& cell, std::size_t a, std::size_t b) {
       cell.CutBothWays(a, b);
     }},
    {"cut instance from server",
     [](VirtualCell& cell, std::size_t a, std::size_t b) {
       cell.CutBothWays(a, cell.ServerNode(b));
     }},
    {"cut instance from store",
     [](VirtualCell& cell, std::size_t a, std::size_t) {
       cell.CutBothWays(a, cell.StoreNode());
     }},
    {"isolate instance",
     [](VirtualCell& cell, std::size_t a, std::size_t) {
       for (std::size_t other = 0; other < NodeCount(cell); ++other) {
         if (other != a) cell.CutBothWays(a, other);
       }
     }},
    {"restore links",
     [](VirtualCell& cell, std::size_t, std::size_t) { cell.RestoreLinks(); }},
    {"store down", [](VirtualCell& cell, std::size_t,
                      std::size_t) { cell.SetStoreMode(StoreMode::kDown); }},
    {"store silent",
     [](VirtualCell& cell, std::size_t, std::size_t) {
       cell.SetStoreMode(StoreMode::kSilent);
     }},
    {"store loses answers",
     [](VirtualCell& cell, std::size_t, std::size_t) {
       cell.SetStoreMode(StoreMode::kLosesAnswers);
     }},
    {"store slow", [](VirtualCell& cell, std::size_t,
                      std::size_t) { cell.SetStoreMode(StoreMode::kSlow); }},
    {"store up", [](VirtualCell& cell, std::size_t,
                    std::size_t) { cell.SetStoreMode(StoreMode::kUp); }},
};
constexpr std::size_t kFaultCount = std::size(kFaults);

const Fault& FaultOfStep(const FaultStep& step) {
  return kFaults[step.kind % kFaultCount];
}

}  // namespace

std::vector<FaultStep> MakeHistory(std::uint64_t seed, std::size_t count,
                                   VirtualCellConfig& config) {
  constexpr std::uint64_t kMaxRunMs = 1200;
  std::mt19937_64 random(seed);
  config.seed = seed;
  config.instances = 2 + random() % 3;
  config.servers = 2 + random() % 3;
  config.servers_check_tokens = random() % 4 != 0;
  config.timing = TestTiming();
  std::vector<FaultStep> steps(count);
  for (auto& step : steps) {
    step.kind = static_cast<std::uint8_t>(random());
    step.first = static_cast<std::uint8_t>(random());
    step.second = static_cast<std::uint8_t>(random());
    step.run_ms = static_cast<std::uint16_t>(random() % kMaxRunMs);
  }
  return steps;
}

HistoryResult RunHistory(const VirtualCellConfig& config,
                         const std::vector<FaultStep>& steps) {
  VirtualCell cell(config);
  cell.Run(kStart);
  for (const auto& step : steps) {
    FaultOfStep(step).apply(cell, step.first % config.instances,
                            step.second % config.servers);
    cell.Run(milliseconds(step.run_ms));
  }
  cell.EndFaults();
  cell.Run(kRecoveryTime);
  // Slow messages make servers look lost for a moment even without faults.
  const auto recovered = [&] {
    const auto leader = cell.Leader();
    return cell.ServedKeys() == cell.KeyCount() && leader &&
           cell.StoredVersion() == cell.Machine(*leader).NewestRow().version;
  };
  for (int i = 0; i < kMaxRecoverySteps && !recovered(); ++i)
    cell.Run(kRecoveryStep);
  HistoryResult result;
  result.violations = cell.Violations();
  result.all_served_at_end = cell.ServedKeys() == cell.KeyCount();
  const auto leader = cell.Leader();
  result.stored_at_end =
      leader &&
      cell.StoredVersion() == cell.Machine(*leader).NewestRow().version;
  result.counters = cell.Counters();
  const bool passed = result.violations.empty() && result.all_served_at_end &&
                      result.stored_at_end;
  if (!passed) result.end_state = cell.Describe();
  return result;
}

std::string Describe(const FaultStep& step, const VirtualCellConfig& config) {
  return std::string(FaultOfStep(step).name) + " (i" +
         std::to_string(step.first % config.instances) + ", s" +
         std::to_string(step.second % config.servers) + "), run " +
         std::to_string(step.run_ms) + " ms";
}

}  // namespace chervilmux::scenario
