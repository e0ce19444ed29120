#include "policy/server_choice.h"

namespace chervilmux::policy {

double CostOf(const ServerRecord& server, const LoadEstimator& estimates,
              const ServerLoadsTuning& tuning,
              std::string_view own_failure_domain, kernel::Instant now) {
  double penalty =
      IsLocal(server, own_failure_domain) ? 0 : tuning.cross_domain_penalty;
  if (!server.is_preferred) penalty += tuning.not_preferred_penalty;
  return estimates.ExpectedLatency(server, now) +
         penalty * estimates.ServiceTime(server, now);
}

}  // namespace chervilmux::policy
