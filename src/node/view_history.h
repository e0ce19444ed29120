/// \file
/// Defines which of the recent changes of owners an instance may not have heard
/// yet because they are still on their way.

#ifndef CHERVILMUX_NODE_VIEW_HISTORY_H_
#define CHERVILMUX_NODE_VIEW_HISTORY_H_

#include <cstddef>
#include <deque>

#include "kernel/time.h"
#include "node/peer_message.h"

namespace chervilmux::node {

class ViewHistory {
 public:
  /// Records that the view of owners had `version` from `now` on.
  void Add(const ViewVersion& version, kernel::Instant now);

  /// The version that all instances should have heard by `now`. One that has an
  /// older version missed a change and needs the whole view.
  ViewVersion HeardByAll(kernel::Instant now);

  std::size_t Size() const { return this->entries.size(); }

 private:
  struct Entry {
    ViewVersion version;
    kernel::Instant since;
  };

  /// Forgets what is older than the version that HeardByAll() returns.
  void ForgetOlder(kernel::Instant now);

  std::deque<Entry> entries;  ///< Oldest first.
};

}  // namespace chervilmux::node

#endif  // CHERVILMUX_NODE_VIEW_HISTORY_H_
