#include "node/view_history.h"

namespace chervilmux::node {
namespace {

/// A change reaches all instances within this time, over a few steps of the
/// tree in which it is passed on.
constexpr kernel::Duration kSpreadingTime = kernel::milliseconds(400);

}  // namespace

void ViewHistory::Add(const ViewVersion& version, kernel::Instant now) {
  this->ForgetOlder(now);
  this->entries.push_back({version, now});
}

void ViewHistory::ForgetOlder(kernel::Instant now) {
  while (this->entries.size() > 1 &&
         this->entries[1].since + kSpreadingTime <= now) {
    this->entries.pop_front();
  }
}

ViewVersion ViewHistory::HeardByAll(kernel::Instant now) {
  this->ForgetOlder(now);
  const bool has_settled = !this->entries.empty() &&
                           this->entries.front().since + kSpreadingTime <= now;
  return has_settled ? this->entries.front().version : ViewVersion();
}

}  // namespace chervilmux::node
