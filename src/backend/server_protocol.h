/// \file
/// Defines the wire protocol towards backend servers: grants and requests.
///
/// The users say later which of their servers speak what; only this pair of
/// files then changes. A server that answers a grant without saying that it
/// checks tokens counts as one that does not.

#ifndef CHERVILMUX_BACKEND_SERVER_PROTOCOL_H_
#define CHERVILMUX_BACKEND_SERVER_PROTOCOL_H_

#include <optional>
#include <string>
#include <string_view>

#include "kernel/error.h"
#include "kernel/time.h"
#include "net/address.h"
#include "net/http_client.h"
#include "net/http_message.h"
#include "ownership/cell_events.h"

namespace chervilmux::backend {

/// Header by which a server says truthfully that it did not run a request;
/// its value is "shed", "fenced" or "draining".
inline constexpr std::string_view kNotRunHeader = "X-Not-Run";

/// The HTTP form of a grant order for `cell`.
net::HttpRequest BuildGrant(const net::Address& server, std::string_view cell,
                            const ownership::GrantOrder& order);

/// Reads the answer to BuildGrant(); nothing when there was no usable answer.
std::optional<ownership::GrantReply> ParseGrantReply(
    std::string_view server, const ownership::GrantOrder& order,
    kernel::Instant ordered_at, const net::TransferResult& result);

/// What a request carries besides the caller's own content.
struct RequestStamp {
  std::string cell;
  ownership::Token token;
  std::string request_id;
  kernel::Duration remaining{0};  ///< Until the caller's deadline.
};

/// The HTTP form of a caller's request for a server.
net::HttpRequest BuildRequest(const net::Address& server,
                              const net::HttpRequest& request,
                              const RequestStamp& stamp);

/// Asks the server to stop working on a request whose caller has gone.
net::HttpRequest BuildCancel(const net::Address& server,
                             std::string_view request_id);

/// The whole answer for the caller, or why there is none.
kernel::Result<net::HttpAnswer> ReadAnswer(net::TransferResult result,
                                           std::string_view request_id);

}  // namespace chervilmux::backend

#endif  // CHERVILMUX_BACKEND_SERVER_PROTOCOL_H_
