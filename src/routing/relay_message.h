/// \file
/// Defines the frames by which an entry instance relays a request to the
/// primary of its cell, and gets the answer.

#ifndef CHERVILMUX_ROUTING_RELAY_MESSAGE_H_
#define CHERVILMUX_ROUTING_RELAY_MESSAGE_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

#include "kernel/error.h"
#include "kernel/time.h"
#include "net/http_message.h"
#include "ownership/row.h"

namespace chervilmux::routing {

struct RelayRequest {
  std::uint64_t id = 0;  ///< Chosen by the sender, unique per link.
  std::string request_id;
  std::string service;
  std::string cell;
  std::uint64_t key_hash = 0;
  kernel::Duration remaining{0};
  bool idempotent = false;
  bool retried = false;
  net::HttpRequest request;
};

/// What became of a request: a whole answer with who gave it, or an error.
struct Reply {
  kernel::Result<net::HttpAnswer> answer =
      kernel::Fail(kernel::ErrorKind::kInternal, "no reply");
  std::string server;
  ownership::RowVersion epoch;
};

struct RelayReply {
  std::uint64_t id = 0;
  std::string request_id;
  Reply reply;
};

struct RelayCancel {
  std::uint64_t id = 0;
};

using RelayFrame = std::variant<RelayRequest, RelayReply, RelayCancel>;

std::string Encode(const RelayFrame& frame);

/// Errors: kMessageMalformed.
kernel::Result<RelayFrame> Decode(std::string_view bytes);

}  // namespace chervilmux::routing

#endif  // CHERVILMUX_ROUTING_RELAY_MESSAGE_H_
