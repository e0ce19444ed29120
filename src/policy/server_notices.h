/// \file
/// Defines what this instance knows from servers' own answers: that a server
/// drains. Lists of servers, peers and a restored store may be older than such
/// an answer and do not change it.

#ifndef CHERVILMUX_POLICY_SERVER_NOTICES_H_
#define CHERVILMUX_POLICY_SERVER_NOTICES_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>

#include "kernel/time.h"
#include "model/backend_server.h"

namespace chervilmux::policy {

/// One run of a server. Another server at its address and a later run under its
/// id are different servers.
struct ServerRun {
  std::string id;
  std::uint64_t life = 0;  ///< Incarnation.

  auto operator<=>(const ServerRun&) const = default;
};

/// The answer that made this instance stop sending to a server.
struct NoticeSource {
  std::string request_id;
  kernel::Instant received_at = kernel::kNever;
};

/// The answer in which a server stated that it drains.
struct DrainNotice {
  NoticeSource source;
  /// Owners of keys get no requests after this time, other servers none at all.
  kernel::Instant deadline = kernel::kNever;
};

/// The notices of the servers of one service.
class ServerNotices {
 public:
  /// Records that an answer of `server` stated that it drains. Returns false
  /// when an earlier answer did: its deadline stays.
  bool OnDraining(const ServerRun& server, std::string_view request_id,
                  kernel::Instant now);

  /// The notice of this run of the server `id`, or null.
  const DrainNotice* FindDraining(std::string_view id,
                                  std::uint64_t life) const;

  /// Forgets servers that have not been on the list for long.
  void Update(std::span<const model::BackendServer> listed,
              kernel::Instant now);

  std::size_t DrainingCount() const { return this->draining.size(); }

 private:
  std::map<ServerRun, DrainNotice> draining;
  /// When to forget a server, unless it is listed until then.
  std::map<ServerRun, kernel::Instant> forget_at;
};

}  // namespace chervilmux::policy

#endif  // CHERVILMUX_POLICY_SERVER_NOTICES_H_
