/// \file
/// Defines generated histories: random faults against a VirtualCell.

#ifndef CHERVILMUX_TEST_SCENARIO_HISTORY_SEARCH_H_
#define CHERVILMUX_TEST_SCENARIO_HISTORY_SEARCH_H_

#include <cstdint>
#include <string>
#include <vector>

#include "virtual_cell.h"

namespace chervilmux::scenario {

/// One fault, or the end of one, and the time to run after it.
struct FaultStep {
  std::uint8_t kind = 0;
  std::uint8_t first = 0;
  std::uint8_t second = 0;
  std::uint16_t run_ms = 0;
};

struct HistoryResult {
  std::vector<std::string> violations;
  bool all_served_at_end = false;
  bool stored_at_end = false;
  std::string end_state;  ///< Set when something was wrong.
  ownership::CellCounters counters;
};

/// The history of `seed`: fills in the size, seed and timing of `config` and
/// returns `count` steps. The rules of `config` stay.
std::vector<FaultStep> MakeHistory(std::uint64_t seed, std::size_t count,
                                   VirtualCellConfig& config);

/// Runs `steps`, ends all faults and lets the cell settle.
HistoryResult RunHistory(const VirtualCellConfig& config,
                         const std::vector<FaultStep>& steps);

/// A readable form of `step`, for the report of a failed history.
std::string Describe(const FaultStep& step, const VirtualCellConfig& config);

}  // namespace chervilmux::scenario

#endif  // CHERVILMUX_TEST_SCENARIO_HISTORY_SEARCH_H_
