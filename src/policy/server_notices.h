/// \file
/// Defines what this instance knows from servers' own answers: that a server
/// drains, or wants no requests for a while (back-off). Lists of servers, peers
/// and a restored store may be older than such an answer and do not change it.

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

enum class NoticeKind : std::uint8_t { kDraining, kBackOff };

/// The name of `kind` in metrics.
std::string_view NameOf(NoticeKind kind);

/// Longest time that a server can ask for with one answer: a faulty one may
/// name any time. A server that wants three times as long says so again to the
/// one request that it gets after each third.
inline constexpr kernel::Duration kMaxBackOff = kernel::seconds(10);

/// What one answer of a server told about it, as other instances hear it.
struct ServerNotice {
  ServerRun server;
  NoticeKind kind = NoticeKind::kDraining;
  kernel::Instant received_at = kernel::kNever;
  kernel::Instant until = kernel::kNever;  ///< End of a back-off.

  bool operator==(const ServerNotice&) const = default;
};

/// The answer that made this instance stop sending to a server.
struct NoticeSource {
  NoticeKind kind = NoticeKind::kDraining;
  std::string request_id;
  kernel::Instant received_at = kernel::kNever;
};

/// The answer in which a server stated that it drains.
struct DrainNotice {
  NoticeSource source;
  /// Owners of keys get no requests after this time, other servers none at all.
  kernel::Instant deadline = kernel::kNever;
};

/// How long a server gets no requests of this instance.
struct BackOffTime {
  kernel::Duration asked{0};  ///< By the server.
  /// Added by this instance, so that not all instances return in one instant.
  kernel::Duration delay{0};
};

/// The answer in which a server asked for no requests for a while. Afterwards
/// it gets one request at a time, and one more for each that it serves.
struct BackOffNotice {
  NoticeSource source;
  kernel::Instant asked_until = kernel::kNever;
  /// `asked_until` and the delay of this instance.
  kernel::Instant until = kernel::kNever;
  unsigned max_in_flight = 1;
  unsigned in_flight = 0;  ///< Requests sent since `until`.
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

  /// Records that an answer of `server` asked for no requests for `time.asked`,
  /// of which at most kMaxBackOff count. Returns false when an earlier answer
  /// named a later end, which stays.
  bool OnBackOff(const ServerRun& server, const BackOffTime& time,
                 std::string_view request_id, kernel::Instant now);

  /// The end of the time for which this run of `id` gets no requests because it
  /// asked for none, or kNever when there is none.
  kernel::Instant BackOffEnd(std::string_view id, std::uint64_t life) const;

  /// The back-off of this run of `id`, or null when it is over and the server
  /// has served as many requests as it has slots.
  const BackOffNotice* FindBackOff(std::string_view id,
                                   std::uint64_t life) const;

  /// Whether this run of `id` can get another request: its back-off is over and
  /// the requests sent since then have been served.
  bool MayStart(std::string_view id, std::uint64_t life,
                kernel::Instant now) const;

  /// The server was not on the list before, so that the ends of earlier
  /// requests go unnoticed.
  void OnListedAnew(const ServerRun& server);
  void OnSent(const model::BackendServer& server);
  /// Records that a request that was sent at `sent_at` ended.
  void OnCompletion(const model::BackendServer& server, kernel::Instant sent_at,
                    bool served);

  /// Forgets servers that have not been on the list for long.
  void Update(std::span<const model::BackendServer> listed,
              kernel::Instant now);

  std::size_t DrainingCount() const { return this->draining.size(); }

 private:
  std::map<ServerRun, DrainNotice> draining;
  std::map<ServerRun, BackOffNotice> back_offs;
  /// When to forget a server, unless it is listed until then.
  std::map<ServerRun, kernel::Instant> forget_at;
};

}  // namespace chervilmux::policy

#endif  // CHERVILMUX_POLICY_SERVER_NOTICES_H_
