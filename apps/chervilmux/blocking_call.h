/// \file
/// Defines how a command that runs once waits for an asynchronous answer.

#ifndef CHERVILMUX_APPS_CHERVILMUX_BLOCKING_CALL_H_
#define CHERVILMUX_APPS_CHERVILMUX_BLOCKING_CALL_H_

#include <future>
#include <memory>
#include <utility>

#include "kernel/task.h"

namespace chervilmux::command {

/// Runs `start` on the task's thread, gives it a callback and waits for the
/// reply that the callback gets. What `start` refers to stays alive meanwhile.
template <typename Reply, typename Start>
Reply WaitForReply(kernel::ReactorTask& task, Start start) {
  // Shared: the setter may still touch it when the getter has returned.
  auto promise = std::make_shared<std::promise<Reply>>();
  auto future = promise->get_future();
  task.Post([start, promise] {
    start([promise](Reply reply) { promise->set_value(std::move(reply)); });
  });
  return future.get();
}

}  // namespace chervilmux::command

#endif  // CHERVILMUX_APPS_CHERVILMUX_BLOCKING_CALL_H_
