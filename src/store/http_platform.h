/// \file
/// Defines the platform adapter that speaks HTTP with JSON.

#ifndef CHERVILMUX_STORE_HTTP_PLATFORM_H_
#define CHERVILMUX_STORE_HTTP_PLATFORM_H_

#include <functional>
#include <string>

#include "kernel/task.h"
#include "kernel/time.h"
#include "net/address.h"
#include "net/http_client.h"
#include "store/platform.h"

namespace chervilmux::store {

class HttpPlatform : public Platform {
 public:
  /// Each call fails after `timeout`.
  HttpPlatform(kernel::ReactorTask& task, const net::Address& address,
               kernel::Duration timeout);

  void ReadRow(std::string_view key,
               std::function<void(TableReply)> done) override;
  void WriteRow(std::string_view key, std::string_view value,
                std::uint64_t expected,
                std::function<void(TableReply)> done) override;
  void ReadObject(std::string_view name,
                  std::function<void(ObjectReply)> done) override;
  void WriteObject(std::string_view name, std::string_view content,
                   std::function<void(bool stored)> done) override;
  void ReadList(std::function<void(InstanceList)> done) override;

 private:
  void Send(std::string_view method, const std::string& path,
            std::string_view body, bool may_repeat, net::TransferDone done);

  net::HttpClient client;
  net::Address address;
  kernel::Duration timeout;
};

/// Parses the instance list's JSON text; `usable` is false when malformed.
InstanceList ParseInstanceList(std::string_view text);

}  // namespace chervilmux::store

#endif  // CHERVILMUX_STORE_HTTP_PLATFORM_H_
