/// \file
/// Defines which failure domains operators have evacuated, and until when the
/// servers there may still get requests for keys that they own.
///
/// Evacuation handles planned work on a whole failure domain. Requests without
/// keys leave it at once. The owners of keys go on serving while their keys are
/// handed over, and get nothing once the order has to be carried out.

#ifndef CHERVILMUX_POLICY_EVACUATION_H_
#define CHERVILMUX_POLICY_EVACUATION_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "kernel/time.h"

namespace chervilmux::policy {

using FailureDomains = std::set<std::string, std::less<>>;

/// What changed with an update.
struct EvacuationChange {
  std::vector<std::string> begun;
  std::vector<std::string> ended;
  bool has_moved_deadlines = false;  ///< Of evacuations that go on.
  bool IsEmpty() const {
    return this->begun.empty() && this->ended.empty() &&
           !this->has_moved_deadlines;
  }
};

class Evacuation {
 public:
  /// Replaces the evacuated domains. Those that are new were not evacuated
  /// before `not_before`, kNever when that is unknown. All of them get no
  /// requests when `bound` has passed since they were not yet evacuated.
  EvacuationChange Update(const FailureDomains& domains,
                          kernel::Instant not_before, kernel::Duration bound);

  bool Covers(std::string_view domain) const {
    return this->entries.contains(domain);
  }

  /// The time after which the owners of keys in `domain` get no requests;
  /// kNever when they get none at all, nothing when it is not evacuated.
  std::optional<kernel::Instant> OwnerDeadline(std::string_view domain) const;

  FailureDomains Domains() const;
  bool IsEmpty() const { return this->entries.empty(); }

 private:
  struct Entry {
    kernel::Instant not_before = kernel::kNever;
    kernel::Instant owner_deadline = kernel::kNever;
  };
  std::map<std::string, Entry, std::less<>> entries;
};

}  // namespace chervilmux::policy

#endif  // CHERVILMUX_POLICY_EVACUATION_H_
