#include "kernel/task.h"

#include <ace/Dev_Poll_Reactor.h>

#include <utility>

namespace chervilmux::kernel {
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

ReactorTask::ReactorTask()
    : wakeup(std::make_unique<Wakeup>(*this)),
      reactor_of_task(
          std::make_unique<ACE_Reactor>(new ACE_Dev_Poll_Reactor, true)) {}

ReactorTask::~ReactorTask() { this->Stop(); }

void ReactorTask::Start() {
  this->running = true;
  this->activate(THR_NEW_LWP | THR_JOINABLE, 1);
}

void ReactorTask::Stop() {
  if (!this->running) return;
  this->running = false;
  this->Post([this] { this->ending = true; });
  this->wait();
  this->timers.clear();
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
  this->timers.push_back(
      std::make_unique<Timer>(*this->reactor_of_task, std::move(action)));
  this->timers.back()->SetEvery(period);
}

int ReactorTask::svc() {
  this->reactor_of_task->owner(ACE_Thread::self());
  // ACE's own loop ends when a signal interrupts the wait, as SIGCONT does.
  while (!this->ending) this->reactor_of_task->handle_events();
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
