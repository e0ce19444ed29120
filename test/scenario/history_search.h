/// \file
/// Defines histories: sequences of random faults that run against a
/// VirtualCell, and what they showed.

#ifndef CHERVILMUX_TEST_SCENARIO_HISTORY_SEARCH_H_
#define CHERVILMUX_TEST_SCENARIO_HISTORY_SEARCH_H_

#include <cstdint>
#include <string>
#include <vector>

#include "virtual_cell.h"

namespace chervilmux::scenario {

/// One fault, or the end of one, and the time to run after it. Each number is
/// taken modulo the number of kinds, instances or servers.
struct FaultStep {
  std::uint8_t kind = 0;
  std::uint8_t first = 0;   ///< An instance.
  std::uint8_t second = 0;  ///< A server, or another instance.
  std::uint16_t run_ms = 0;
};

struct HistoryResult {
  std::vector<std::string> violations;
  bool all_served_at_end = false;  ///< Every key was served.
  bool stored_at_end = false;      ///< The store had the leader's newest row.
  std::string end_state;  ///< State of all nodes, if the history failed.
  ownership::CellCounters counters;
};

/// Returns `count` random steps for `seed` and sets the size, seed, timing and
/// token checks of `config`. The safety rules of `config` stay as they are.
std::vector<FaultStep> MakeHistory(std::uint64_t seed, std::size_t count,
                                   VirtualCellConfig& config);

/// Runs `steps`, ends all faults and waits until the cell has recovered.
HistoryResult RunHistory(const VirtualCellConfig& config,
                         const std::vector<FaultStep>& steps);

/// `step` as text, for the report of a failed history.
std::string Describe(const FaultStep& step, const VirtualCellConfig& config);

}  // namespace chervilmux::scenario

#endif  // CHERVILMUX_TEST_SCENARIO_HISTORY_SEARCH_H_
