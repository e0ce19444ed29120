/// \file
/// Defines blocking calls to the platform for a command that runs once.

#ifndef CHERVILMUX_APPS_CHERVILMUX_STORE_SESSION_H_
#define CHERVILMUX_APPS_CHERVILMUX_STORE_SESSION_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

#include "blocking_call.h"
#include "kernel/task.h"
#include "store/http_platform.h"

namespace chervilmux::command {

class PlatformSession {
 public:
  PlatformSession(const net::Address& address, kernel::Duration timeout)
      : platform(this->task, address, timeout) {
    this->task.Start();
  }

  /// The task must be idle before its sockets go.
  ~PlatformSession() { this->task.Stop(); }
  PlatformSession(const PlatformSession&) = delete;
  PlatformSession& operator=(const PlatformSession&) = delete;

  store::TableReply ReadRow(std::string_view key) {
    return WaitForReply<store::TableReply>(this->task, [&](auto done) {
      this->platform.ReadRow(key, std::move(done));
    });
  }

  store::TableReply WriteRow(std::string_view key, std::string_view value,
                             std::uint64_t expected) {
    return WaitForReply<store::TableReply>(this->task, [&](auto done) {
      this->platform.WriteRow(key, value, expected, std::move(done));
    });
  }

  store::ObjectReply ReadObject(std::string_view name) {
    return WaitForReply<store::ObjectReply>(this->task, [&](auto done) {
      this->platform.ReadObject(name, std::move(done));
    });
  }

  bool WriteObject(std::string_view name, std::string_view content) {
    return WaitForReply<bool>(this->task, [&](auto done) {
      this->platform.WriteObject(name, content, std::move(done));
    });
  }

 private:
  kernel::ReactorTask task;
  store::HttpPlatform platform;
};

}  // namespace chervilmux::command

#endif  // CHERVILMUX_APPS_CHERVILMUX_STORE_SESSION_H_
