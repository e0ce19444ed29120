#include "kernel/timer.h"

#include <sys/timerfd.h>
#include <unistd.h>

#include <algorithm>
#include <cstdint>
#include <utility>

#include "kernel/error.h"

namespace chervilmux::kernel {
namespace {

timespec ToTimespec(Duration duration) {
  timespec spec{};
  spec.tv_sec = duration.count() / 1'000'000;
  spec.tv_nsec = duration.count() % 1'000'000 * 1000;
  return spec;
}

}  // namespace

Timer::Timer(ACE_Reactor& reactor, std::function<void()> action)
    : owner(reactor),
      action(std::move(action)),
      descriptor(timerfd_create(CLOCK_MONOTONIC, TFD_NONBLOCK | TFD_CLOEXEC)) {
  if (this->descriptor < 0) InternalError("no timer descriptor left");
  this->owner.register_handler(this, ACE_Event_Handler::READ_MASK);
}

Timer::~Timer() {
  this->owner.remove_handler(
      this, ACE_Event_Handler::READ_MASK | ACE_Event_Handler::DONT_CALL);
  close(this->descriptor);
}

void Timer::Set(Duration first, Duration period) {
  itimerspec spec{};
  spec.it_value = ToTimespec(first);
  spec.it_interval = ToTimespec(period);
  timerfd_settime(this->descriptor, 0, &spec, nullptr);
}

void Timer::SetOnce(Duration delay) {
  // A zero value would disarm the timer.
  this->Set(std::max(delay, Duration(1)), Duration(0));
}

void Timer::SetEvery(Duration period) { this->Set(period, period); }

void Timer::Cancel() { this->Set(Duration(0), Duration(0)); }

int Timer::handle_input(ACE_HANDLE /*handle*/) {
  std::uint64_t expirations = 0;
  const ssize_t size =
      read(this->descriptor, &expirations, sizeof(expirations));
  if (size == sizeof(expirations)) this->action();
  return 0;
}

}  // namespace chervilmux::kernel
