/// \file
/// Defines what servers of one keyed service told this instance and its leader
/// has not heard from here: the leader moves the keys of servers that drain,
/// and gives none to servers that want no requests.

#ifndef CHERVILMUX_NODE_NOTICE_OUTBOX_H_
#define CHERVILMUX_NODE_NOTICE_OUTBOX_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <utility>
#include <vector>

#include "kernel/time.h"
#include "model/backend_server.h"
#include "policy/server_notices.h"

namespace chervilmux::node {

/// A leader and the term in which it leads. What one was told, the next one has
/// not heard.
struct LeaderTerm {
  std::string leader;
  std::uint64_t term = 0;

  auto operator<=>(const LeaderTerm&) const = default;
};

/// Notices on their way to a leader.
struct NoticeBatch {
  LeaderTerm receiver;
  std::vector<policy::ServerNotice> notices;
};

using NoticesByService = std::map<std::string, NoticeBatch>;

class NoticeOutbox {
 public:
  /// `urgent`: the leader has something to do at once.
  void Add(const policy::ServerNotice& notice, bool urgent);

  /// Notices of listed servers that `leader` has not heard, at most `count`.
  NoticeBatch Untold(const LeaderTerm& leader, std::size_t count,
                     kernel::Instant now);
  /// The receiver has answered. Without an answer the batch stays untold.
  void OnTold(const NoticeBatch& batch);

  /// Whether there is an urgent notice that was not sent yet.
  bool IsDue() const { return this->is_due; }

  /// Forgets servers that have not been on the list for long.
  void Update(std::span<const model::BackendServer> listed,
              kernel::Instant now);

 private:
  struct Entry {
    policy::ServerNotice notice;
    bool urgent = false;
    bool told = false;  ///< To `receiver`.
    bool listed = true;
    kernel::Instant forget_at = kernel::kNever;  ///< Unless listed until then.
  };

  using Key = std::pair<policy::ServerRun, policy::NoticeKind>;

  std::map<Key, Entry> entries;
  LeaderTerm receiver;
  bool is_due = false;
};

}  // namespace chervilmux::node

#endif  // CHERVILMUX_NODE_NOTICE_OUTBOX_H_
