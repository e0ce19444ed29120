/// \file
/// Defines ReactorTask: a thread with its own ACE reactor and mailbox.
///
/// A task owns its sockets and state; nobody else touches them. Others reach it
/// only by posting messages, which run on the task's thread in order.

#ifndef CHERVILMUX_KERNEL_TASK_H_
#define CHERVILMUX_KERNEL_TASK_H_

#include <ace/Event_Handler.h>
#include <ace/Reactor.h>
#include <ace/Task.h>

#include <functional>
#include <memory>
#include <mutex>
#include <vector>

#include "kernel/time.h"
#include "kernel/timer.h"

namespace chervilmux::kernel {

/// A message: what the receiving task does with it, bound to its content.
using Message = std::function<void()>;

/// Base of all tasks. Start() runs the reactor loop on a new thread; Stop()
/// ends the loop after the messages posted before it and joins the thread.
class ReactorTask : public ACE_Task_Base {
 public:
  ReactorTask();
  ~ReactorTask() override;
  ReactorTask(const ReactorTask&) = delete;
  ReactorTask& operator=(const ReactorTask&) = delete;

  void Start();
  void Stop();

  /// Queues `message` for this task's thread. Safe from any thread.
  void Post(Message message);

  /// Calls `action` on the task's thread every `period` until Stop().
  /// Call on the task's thread or before Start().
  void Every(Duration period, std::function<void()> action);

  /// The reactor, for handlers that belong to this task.
  ACE_Reactor& Reactor() { return *this->reactor_of_task; }

  int svc() override;

 private:
  class Wakeup;

  void RunMessages();

  // The reactor's pending notifications refer to `wakeup`, which must therefore
  // outlive it.
  std::unique_ptr<Wakeup> wakeup;
  std::unique_ptr<ACE_Reactor> reactor_of_task;
  std::vector<std::unique_ptr<Timer>> timers;
  std::mutex mutex;
  std::vector<Message> inbox;
  bool running = false;
  bool ending = false;  ///< Touched by the task's thread only.
};

}  // namespace chervilmux::kernel

#endif  // CHERVILMUX_KERNEL_TASK_H_
