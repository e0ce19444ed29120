/// \file
/// Defines the events of the notice world, in virtual time.

#ifndef CHERVILMUX_TEST_SCENARIO_NOTICE_EVENTS_H_
#define CHERVILMUX_TEST_SCENARIO_NOTICE_EVENTS_H_

#include <functional>
#include <map>
#include <utility>

#include "kernel/time.h"
#include "notice_trial.h"

namespace chervilmux::scenario {

class NoticeEvents {
 public:
  void At(double at, std::function<void()> action) {
    this->events.emplace(at, std::move(action));
  }
  void After(double delay, std::function<void()> action) {
    this->At(this->now + delay, std::move(action));
  }

  /// Plays the events in order of their times until none is left.
  void Play() {
    while (!this->events.empty()) {
      const auto event = this->events.begin();
      const auto action = std::move(event->second);
      this->now = event->first;
      this->events.erase(event);
      action();
    }
  }

  double NowS() const { return this->now; }
  kernel::Instant Now() const {
    return kernel::Instant(kernel::FromSeconds(this->now));
  }

 private:
  double now = kFirstAskedS / 2;
  std::multimap<double, std::function<void()>> events;
};

}  // namespace chervilmux::scenario

#endif  // CHERVILMUX_TEST_SCENARIO_NOTICE_EVENTS_H_
