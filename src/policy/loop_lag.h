/// \file
/// Defines when an instance refuses requests because its own event loop is
/// behind.
///
/// An instance whose processor is overloaded handles its periodic tasks late.
/// Each request that it still accepts makes all others later. Other instances
/// can serve the caller sooner.

#ifndef CHERVILMUX_POLICY_LOOP_LAG_H_
#define CHERVILMUX_POLICY_LOOP_LAG_H_

#include "kernel/time.h"

namespace chervilmux::policy {

class LoopLag {
 public:
  /// Records that the loop handles its periodic task.
  void OnTick(kernel::Instant now);

  /// How late the loop was with its last two ticks, the less late of them: one
  /// late tick is a pause that is over. What the next tick is late by now
  /// counts as well.
  kernel::Duration Behind(kernel::Instant now) const;

  /// Whether a request that can wait for `max_wait` at this instance is
  /// refused.
  bool Refuses(kernel::Duration max_wait, kernel::Instant now) const;

 private:
  kernel::Instant last_tick = kernel::kNever;
  kernel::Duration last_gap{0};
  kernel::Duration gap_before{0};
};

}  // namespace chervilmux::policy

#endif  // CHERVILMUX_POLICY_LOOP_LAG_H_
