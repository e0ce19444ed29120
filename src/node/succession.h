/// \file
/// Defines how an instance that stops finds the next leader of the owners of
/// one service.
///
/// The leader renews grants until another instance has agreed to lead, so that
/// they do not run out while instances stop one after the other. It asks a few
/// instances at a time and takes the one with the most processor time of those
/// that agree. While none agrees, because all stop, it goes on leading and asks
/// others.

#ifndef CHERVILMUX_NODE_SUCCESSION_H_
#define CHERVILMUX_NODE_SUCCESSION_H_

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "kernel/error.h"
#include "kernel/time.h"

namespace chervilmux::node {

inline constexpr std::string_view kSuccessionPath = "/peer/succession";

/// "Would you lead?", and, once the lease is free, "lead now".
struct SuccessionRequest {
  std::string service;
  bool lease_is_free = false;
};

struct SuccessionReply {
  bool agrees = false;
  double processor_share = 0;  ///< Cores of the instance that replies.
};

std::string EncodeSuccession(const SuccessionRequest& request);
/// Errors: kMessageMalformed.
kernel::Result<SuccessionRequest> DecodeSuccession(std::string_view text);
std::string EncodeSuccessionReply(const SuccessionReply& reply);
kernel::Result<SuccessionReply> DecodeSuccessionReply(std::string_view text);

class Succession {
 public:
  /// Whether to ask instances now: not while replies are due, shortly after all
  /// that were asked have declined, or once there is a successor.
  bool IsDue(kernel::Instant now) const {
    return !this->successor && this->awaited.empty() &&
           now >= this->next_round_at;
  }

  /// Returns those of `instances` that are to be asked now.
  std::vector<std::string> BeginRound(std::span<const std::string> instances,
                                      kernel::Instant now,
                                      std::mt19937_64& random);

  /// Records the reply of `instance`; nothing if it gave none.
  void OnReply(std::string_view instance,
               const std::optional<SuccessionReply>& reply,
               kernel::Instant now);

  /// The instance that leads next, once it is settled.
  const std::optional<std::string>& Successor() const {
    return this->successor;
  }

 private:
  std::set<std::string, std::less<>> awaited;
  std::map<std::string, double, std::less<>> agreed;  ///< With their cores.
  std::optional<std::string> successor;
  kernel::Instant next_round_at = kernel::kNever;
};

}  // namespace chervilmux::node

#endif  // CHERVILMUX_NODE_SUCCESSION_H_
