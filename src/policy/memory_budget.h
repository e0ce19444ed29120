/// \file
/// Defines how much memory messages may use, given what the process holds
/// beside them.
///
/// A share of the limit alone is no bound: an instance that keeps large tables
/// holds several times as much at rest as one with small tables.

#ifndef CHERVILMUX_POLICY_MEMORY_BUDGET_H_
#define CHERVILMUX_POLICY_MEMORY_BUDGET_H_

#include <cstddef>

namespace chervilmux::policy {

/// All in bytes.
struct MemoryUse {
  std::size_t limit = 0;     ///< The process ends when it exceeds this.
  std::size_t resident = 0;  ///< 0: not known.
  std::size_t messages = 0;  ///< The part of `resident` that the budget covers.
  std::size_t requests = 0;  ///< What requests are charged with now.
};

/// The most that each kind of message may hold, in bytes.
struct MemoryBudget {
  std::size_t server_answers = 0;   ///< Unfinished answers of servers.
  std::size_t control_answers = 0;  ///< Those of the store and of peers.
  std::size_t unsent_answers = 0;   ///< Answers that callers have not taken.
  /// Requests of callers, with their copies. What they use is taken from the
  /// other kinds.
  std::size_t requests = 0;
  std::size_t request_alone = 0;  ///< One large request alone.
};

/// What unfinished answers of servers may hold before the larger ones are read
/// more slowly, while `unsent` bytes of answers wait for their callers. Both
/// are held for the same callers, who may take nothing of them.
std::size_t ServerReadLimit(const MemoryBudget& budget, std::size_t unsent);

/// Shares what the process has left. Each kind keeps a small share where
/// nothing is left, so that small messages go on.
MemoryBudget ShareMemory(const MemoryUse& use);

}  // namespace chervilmux::policy

#endif  // CHERVILMUX_POLICY_MEMORY_BUDGET_H_
