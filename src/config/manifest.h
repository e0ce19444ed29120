/// \file
/// Defines the manifest: the whole configuration that operators commit, and its
/// validation.
///
/// A manifest is taken whole or refused whole. Every complaint names the line
/// and the field, because operators correct manifests by hand.

#ifndef CHERVILMUX_CONFIG_MANIFEST_H_
#define CHERVILMUX_CONFIG_MANIFEST_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "kernel/error.h"
#include "kernel/time.h"
#include "net/address.h"

namespace chervilmux::config {

/// A backend server as the manifest describes it.
struct BackendServer {
  std::string name;
  std::string failure_domain;
  net::Address address;
  double weight = 1.0;
  unsigned slots = 1;         ///< Requests that it runs at once.
  unsigned connections = 16;  ///< Connections that it accepts.
};

/// How the costs of moving keys are weighed for one service.
struct BalanceWeights {
  double imbalance = 1.0;
  double churn = 1.0;
  double unavailable = 1.0;
};

struct Service {
  std::string name;
  std::vector<std::string> aliases;
  std::vector<std::string> failure_domains;  ///< Cells; fixed once created.
  unsigned shards = 64;                      ///< Fixed once created.
  kernel::Duration default_timeout = kernel::seconds(5);
  kernel::Duration max_timeout = kernel::seconds(10);
  kernel::Duration isolation_budget = kernel::seconds(7200);
  /// Methods, beyond the idempotent ones of HTTP, that may be repeated.
  std::vector<std::string> idempotent_methods;
  std::vector<BackendServer> servers;
  /// Key -> server: moves single keys.
  std::map<std::string, std::string> pinned_keys;
  BalanceWeights balance;
};

struct Manifest {
  std::uint64_t revision = 0;
  std::vector<Service> services;
  std::string text;  ///< As it was read, so that it is passed on unchanged.

  /// The service with exactly this name, or nullptr.
  const Service* Find(std::string_view name) const;
};

/// One complaint about a manifest.
struct ManifestProblem {
  unsigned line = 0;
  std::string field;
  std::string what;

  std::string ToString() const;
};

/// Reads and validates a manifest. Appends every problem found to `problems`.
/// Errors: kManifestInvalid with the first problem.
kernel::Result<Manifest> ParseManifest(std::string_view text,
                                       std::vector<ManifestProblem>& problems);

/// Checks that `next` may follow `current`: the revision grows, and no service
/// changes its shards or failure domains. Errors: kManifestInvalid.
kernel::Result<void> CheckSuccession(const Manifest& current,
                                     const Manifest& next);

}  // namespace chervilmux::config

#endif  // CHERVILMUX_CONFIG_MANIFEST_H_
