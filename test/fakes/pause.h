/// \file
/// Defines what keeps a task from running: an instance that is behind.

#ifndef CHERVILMUX_TEST_FAKES_PAUSE_H_
#define CHERVILMUX_TEST_FAKES_PAUSE_H_

#include <functional>
#include <future>

#include "kernel/task.h"

namespace chervilmux::fakes {

/// Keeps a task from running, after it has done `first`.
class Pause {
 public:
  explicit Pause(
      kernel::ReactorTask& task, const std::function<void()>& first = [] {}) {
    std::promise<void> begun;
    task.Post([&begun, first, end = this->end.get_future().share()] {
      first();
      begun.set_value();
      end.wait();
    });
    begun.get_future().get();
  }
  ~Pause() { this->end.set_value(); }
  Pause(const Pause&) = delete;
  Pause& operator=(const Pause&) = delete;

 private:
  std::promise<void> end;
};

}  // namespace chervilmux::fakes

#endif  // CHERVILMUX_TEST_FAKES_PAUSE_H_
