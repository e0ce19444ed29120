#include "ownership/cell_counters.h"

#include <array>

namespace chervilmux::ownership {
namespace {

constexpr auto kFields = std::to_array<CellCounterField>({
    {"takeovers", &CellCounters::takeovers},
    {"claims", &CellCounters::claims},
    {"creations", &CellCounters::creations},
    {"step_downs", &CellCounters::step_downs},
    {"hand_overs", &CellCounters::hand_overs},
    {"owner_changes", &CellCounters::owner_changes},
    {"changes_ahead_of_store", &CellCounters::changes_ahead_of_store},
    {"excluded_by_promise", &CellCounters::excluded_by_promise},
    {"excluded_by_list", &CellCounters::excluded_by_list},
    {"excluded_by_budget", &CellCounters::excluded_by_budget},
    {"standby_replacements", &CellCounters::standby_replacements},
    {"servers_lost", &CellCounters::servers_lost},
    {"servers_joined", &CellCounters::servers_joined},
    {"grants_accepted", &CellCounters::grants_accepted},
    {"grants_refused", &CellCounters::grants_refused},
    {"store_conflicts", &CellCounters::store_conflicts},
    {"store_failures", &CellCounters::store_failures},
    {"unknown_writes_resolved", &CellCounters::unknown_writes_resolved},
    {"reconciliations", &CellCounters::reconciliations},
    {"regressions_refused", &CellCounters::regressions_refused},
});

}  // namespace

std::span<const CellCounterField> CellCounterFields() { return kFields; }

void AddCounters(CellCounters& sum, const CellCounters& more) {
  for (const auto& field : kFields) sum.*field.member += more.*field.member;
}

}  // namespace chervilmux::ownership
