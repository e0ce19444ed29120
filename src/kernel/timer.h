/// \file
/// Defines a timer that belongs to one task.
///
/// ACE's own reactor timers round the wait down to whole milliseconds and then
/// spin until the deadline, which costs up to a millisecond of processor time
/// for each expiry. This timer is a kernel timer descriptor instead.

#ifndef CHERVILMUX_KERNEL_TIMER_H_
#define CHERVILMUX_KERNEL_TIMER_H_

#include <ace/Event_Handler.h>
#include <ace/Reactor.h>

#include <functional>

#include "kernel/time.h"

namespace chervilmux::kernel {

class Timer : public ACE_Event_Handler {
 public:
  /// `action` runs on the reactor's thread at each expiry.
  Timer(ACE_Reactor& reactor, std::function<void()> action);
  ~Timer() override;
  Timer(const Timer&) = delete;
  Timer& operator=(const Timer&) = delete;

  /// Expires once after `delay`, or at once for zero. Replaces what was set.
  void SetOnce(Duration delay);

  /// Expires every `period`.
  void SetEvery(Duration period);

  void Cancel();

  ACE_HANDLE get_handle() const override { return this->descriptor; }
  int handle_input(ACE_HANDLE handle) override;

 private:
  void Set(Duration first, Duration period);

  ACE_Reactor& owner;
  std::function<void()> action;
  int descriptor;
};

}  // namespace chervilmux::kernel

#endif  // CHERVILMUX_KERNEL_TIMER_H_
