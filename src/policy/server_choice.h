/// \file
/// Defines how a server is chosen among those that can accept a request: which
/// of them are candidates, and what a request costs at each.

#ifndef CHERVILMUX_POLICY_SERVER_CHOICE_H_
#define CHERVILMUX_POLICY_SERVER_CHOICE_H_

#include <cstddef>
#include <string_view>
#include <utility>
#include <vector>

#include "kernel/time.h"
#include "policy/load_estimate.h"
#include "policy/server_record.h"

namespace chervilmux::policy {

/// A listed server with its id.
using ServerEntry = ServerRecords::value_type;
using ServerEntries = std::vector<const ServerEntry*>;

/// The servers that can accept a request: those in this instance's failure
/// domain, and those in others.
struct UsableServerEntries {
  ServerEntries preferred_local;
  ServerEntries other_local;
  ServerEntries preferred_remote;
  ServerEntries other_remote;
};

template <typename Random>
void KeepRandomSample(ServerEntries& entries, std::size_t count,
                      Random&& random) {
  for (std::size_t i = 0; i < entries.size() && i < count; ++i) {
    const auto remaining = static_cast<double>(entries.size() - i);
    const auto pick = i + static_cast<std::size_t>(random() * remaining);
    std::swap(entries[i], entries[pick]);
  }
  if (entries.size() > count) entries.resize(count);
}

/// Returns a few random candidates: instances that share the same stale load
/// reports would otherwise all choose the same server.
template <typename Random>
ServerEntries SampleCandidates(UsableServerEntries usable, Random&& random) {
  constexpr std::size_t kPreferredCandidateCount = 3;
  constexpr std::size_t kOtherCandidateCount = 2;
  ServerEntries candidates;
  const auto add_sample = [&](ServerEntries& entries, std::size_t count) {
    KeepRandomSample(entries, count, random);
    candidates.insert(candidates.end(), entries.begin(), entries.end());
  };
  add_sample(usable.preferred_local, kPreferredCandidateCount);
  add_sample(usable.other_local, kOtherCandidateCount);
  const bool has_preferred = !usable.preferred_remote.empty();
  add_sample(has_preferred ? usable.preferred_remote : usable.other_remote,
             kOtherCandidateCount);
  return candidates;
}

/// Whether a server in `own_failure_domain` is a server of the same domain.
inline bool IsLocal(const ServerRecord& server,
                    std::string_view own_failure_domain) {
  return server.listed.failure_domain == own_failure_domain;
}

/// Expected latency at `server` in seconds, plus what sending there costs
/// beside it.
double CostOf(const ServerRecord& server, const LoadEstimator& estimates,
              const ServerLoadsTuning& tuning,
              std::string_view own_failure_domain, kernel::Instant now);

}  // namespace chervilmux::policy

#endif  // CHERVILMUX_POLICY_SERVER_CHOICE_H_
