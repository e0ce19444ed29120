#include "kernel/task.h"

#include <ace/Dev_Poll_Reactor.h>
#include <ace/Time_Value.h>

#include <utility>

namespace chervilmux::kernel {
namespace {

ACE_Time_Value ToAce(Duration duration) {
  ACE_Time_Value value;
  value.set(static_cast<double>(duration.count()) / 1e6);
  return value;
}

}  // namespace

/// Runs the task's messages when the reactor is notified.
class ReactorTask::Wakeup : public ACE_Event_Handler {
 public:
  explicit Wakeup(ReactorTask& task) : task(task) {}

  int handle_exception(ACE_HANDLE /*handle*/) override {
    this->task.RunMessages();
    return 0;
  }

 private:
  ReactorTask& task;
};

/// Calls one action periodically.
class ReactorTask::Timer : public ACE_Event_Handler {
 public:
  explicit Timer(std::function<void()> action) : action(std::move(action)) {}

  int handle_timeout(const ACE_Time_Value& /*now*/,
                     const void* /*act*/) override {
    this->action();
    return 0;
  }

 private:
  std::function<void()> action;
};

ReactorTask::ReactorTask()
    : reactor_of_task(
          std::make_unique<ACE_Reactor>(new ACE_Dev_Poll_Reactor, true)),
      wakeup(std::make_unique<Wakeup>(*this)) {}

ReactorTask::~ReactorTask() { this->Stop(); }

void ReactorTask::Start() {
  this->running = true;
  this->activate(THR_NEW_LWP | THR_JOINABLE, 1);
}

void ReactorTask::Stop() {
  if (!this->running) return;
  this->running = false;
  this->Post([this] { this->reactor_of_task->end_reactor_event_loop(); });
  this->wait();
  for (auto& timer : this->timers) {
    this->reactor_of_task->cancel_timer(timer.get());
  }
}

void ReactorTask::Post(Message message) {
  bool first = false;
  {
    const std::lock_guard lock(this->mutex);
    first = this->inbox.empty();
    this->inbox.push_back(std::move(message));
  }
  // One notification drains the whole inbox, so the pipe cannot fill up.
  if (first) this->reactor_of_task->notify(this->wakeup.get());
}

void ReactorTask::Every(Duration period, std::function<void()> action) {
  this->timers.push_back(std::make_unique<Timer>(std::move(action)));
  const ACE_Time_Value interval = ToAce(period);
  this->reactor_of_task->schedule_timer(this->timers.back().get(), nullptr,
                                        interval, interval);
}

int ReactorTask::svc() {
  this->reactor_of_task->owner(ACE_Thread::self());
  this->reactor_of_task->run_reactor_event_loop();
  return 0;
}

void ReactorTask::RunMessages() {
  std::vector<Message> messages;
  {
    const std::lock_guard lock(this->mutex);
    messages.swap(this->inbox);
  }
  for (auto& message : messages) message();
}

}  // namespace chervilmux::kernel
