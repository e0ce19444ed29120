/// \file
/// Defines the frames with which an instance relays a request to the primary of
/// the cell that owns the key, and receives the answer.

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
  std::uint64_t id = 0;  ///< Assigned by the sender, unique per link.
  std::string request_id;
  std::string service;
  std::string cell;
  std::uint64_t key_hash = 0;
  kernel::Duration remaining{0};  ///< Time left until the deadline.
  bool idempotent = false;
  bool retried = false;  ///< An earlier attempt failed.
  net::HttpRequest request;
};

/// Result of a request: the complete answer of a backend server, with the
/// server's name and the epoch of its ownership, or an error.
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

/// Cancels the RelayRequest with the same id on the same link.
struct RelayCancel {
  std::uint64_t id = 0;
};

using RelayFrame = std::variant<RelayRequest, RelayReply, RelayCancel>;

std::string Encode(const RelayFrame& frame);

/// Errors: kMessageMalformed.
kernel::Result<RelayFrame> Decode(std::string_view bytes);

}  // namespace chervilmux::routing

#endif  // CHERVILMUX_ROUTING_RELAY_MESSAGE_H_
