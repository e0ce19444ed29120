#include "policy/memory_budget.h"

#include <algorithm>

namespace chervilmux::policy {
namespace {

/// Of the limit, at most and at least.
constexpr double kServerAnswersShare = 0.2;
constexpr double kControlAnswersShare = 0.1;
constexpr double kUnsentAnswersShare = 0.25;
constexpr double kLeastShare = 1.0 / 64;

/// Of what is left beside the messages. The rest is for what the count does not
/// see: copies on the way, requests, the allocator.
constexpr double kServerAnswersOfRoom = 0.35;
constexpr double kControlAnswersOfRoom = 0.1;
constexpr double kUnsentAnswersOfRoom = 0.35;

std::size_t Part(double share, std::size_t bytes) {
  return static_cast<std::size_t>(share * static_cast<double>(bytes));
}

}  // namespace

MemoryBudget ShareMemory(const MemoryUse& use) {
  const std::size_t rest = use.resident - std::min(use.resident, use.messages);
  const std::size_t room = use.limit - std::min(use.limit, rest);
  const auto budget = [&use, room](double share, double of_room) {
    const std::size_t most =
        std::min(Part(share, use.limit), Part(of_room, room));
    return std::max(most, Part(kLeastShare, use.limit));
  };
  return {budget(kServerAnswersShare, kServerAnswersOfRoom),
          budget(kControlAnswersShare, kControlAnswersOfRoom),
          budget(kUnsentAnswersShare, kUnsentAnswersOfRoom)};
}

}  // namespace chervilmux::policy
