#include "policy/memory_budget.h"

#include <algorithm>

namespace chervilmux::policy {
namespace {

/// Of the limit, at most and at least.
constexpr double kServerAnswersShare = 0.15;
constexpr double kControlAnswersShare = 0.1;
constexpr double kUnsentAnswersShare = 0.25;
constexpr double kRequestsShare = 0.65;
constexpr double kLeastShare = 1.0 / 64;

/// Of what is left beside the messages. The rest is for what the count does not
/// see: copies on the way, the allocator.
constexpr double kServerAnswersOfRoom = 0.15;
constexpr double kControlAnswersOfRoom = 0.1;
constexpr double kUnsentAnswersOfRoom = 0.2;
/// Of the three kinds of answers.
constexpr double kAnswersOfRoom =
    kServerAnswersOfRoom + kControlAnswersOfRoom + kUnsentAnswersOfRoom;
/// Requests may use what the others do not: each other kind has its share of
/// what requests hold beyond kRequestsOwnOfRoom less.
constexpr double kRequestsOfRoom = 0.65;
constexpr double kRequestsOwnOfRoom = 0.3;
constexpr double kRequestAloneOfRoom = 0.8;

/// Of a limit: from here on answers are read more slowly. The rest is for those
/// that are read on.
constexpr double kNearLimit = 0.6;

std::size_t Part(double share, std::size_t bytes) {
  return static_cast<std::size_t>(share * static_cast<double>(bytes));
}

}  // namespace

MemoryBudget ShareMemory(const MemoryUse& use) {
  const std::size_t rest = use.resident - std::min(use.resident, use.messages);
  const std::size_t room = use.limit - std::min(use.limit, rest);
  const auto part = [&use](double share, double of_room, std::size_t bytes) {
    const std::size_t most =
        std::min(Part(share, use.limit), Part(of_room, bytes));
    return std::max(most, Part(kLeastShare, use.limit));
  };
  MemoryBudget budget;
  budget.requests = part(kRequestsShare, kRequestsOfRoom, room);
  budget.request_alone =
      std::max(budget.requests, Part(kRequestAloneOfRoom, room));
  const std::size_t own = Part(kRequestsOwnOfRoom, room);
  const std::size_t excess = use.requests - std::min(use.requests, own);
  const std::size_t others =
      room - std::min(room, Part(1 / kAnswersOfRoom, excess));
  budget.server_answers =
      part(kServerAnswersShare, kServerAnswersOfRoom, others);
  budget.control_answers =
      part(kControlAnswersShare, kControlAnswersOfRoom, others);
  budget.unsent_answers =
      part(kUnsentAnswersShare, kUnsentAnswersOfRoom, others);
  return budget;
}

std::size_t ServerReadLimit(const MemoryBudget& budget, std::size_t unsent) {
  const std::size_t near = Part(kNearLimit, budget.server_answers);
  const std::size_t both =
      Part(kNearLimit, budget.server_answers + budget.unsent_answers);
  return std::min(near, both - std::min(both, unsent));
}

}  // namespace chervilmux::policy
