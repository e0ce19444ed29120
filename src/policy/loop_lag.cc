#include "policy/loop_lag.h"

#include <algorithm>

namespace chervilmux::policy {

using kernel::Duration;
using kernel::Instant;

void LoopLag::OnTick(Instant now) {
  if (this->last_tick != kernel::kNever) {
    this->gap_before = this->last_gap;
    this->last_gap = now - this->last_tick;
  }
  this->last_tick = now;
}

Duration LoopLag::Behind(Instant now) const {
  if (this->last_tick == kernel::kNever) return Duration(0);
  const Duration open_gap = now - this->last_tick;
  return std::min(this->last_gap, std::max(this->gap_before, open_gap));
}

bool LoopLag::Refuses(Duration max_wait, Instant now) const {
  return this->Behind(now) > max_wait;
}

}  // namespace chervilmux::policy
