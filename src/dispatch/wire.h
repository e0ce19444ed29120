/// \file
/// Defines the interface through which the dispatcher reads and writes the
/// protocols of callers and backend servers. A platform adapter implements it,
/// so that the dispatcher does not depend on header names.

#ifndef CHERVILMUX_DISPATCH_WIRE_H_
#define CHERVILMUX_DISPATCH_WIRE_H_

#include <optional>
#include <string>
#include <string_view>

#include "kernel/error.h"
#include "kernel/time.h"
#include "model/backend_server.h"
#include "net/http_message.h"
#include "policy/server_loads.h"
#include "ranges/range_table.h"

namespace chervilmux::dispatch {

/// Metadata that a request carries besides host and path.
struct RequestMetadata {
  std::string id;  ///< The caller's id for this attempt; may be empty.
  std::optional<kernel::Duration> timeout;  ///< How long the caller waits.
  std::optional<ranges::Key> key;
};

/// Properties of a backend server's answer.
struct AnswerInfo {
  /// The server states that it did not run the request.
  bool not_run = false;
  /// The request reached another server than intended, or the server does not
  /// own the key (HTTP 421).
  bool misdirected = false;
  /// Callers would take the status to mean that the request did not run, but
  /// the server does not state that.
  bool status_implies_not_run = false;
  bool names_request = false;     ///< States the id of its request.
  bool signed_by_server = false;  ///< Has the server's signature header.
  /// The server states that it is about to leave.
  bool draining = false;
  /// The server asks for no requests for so long.
  std::optional<kernel::Duration> back_off;
  /// A statement of the server that cannot be read, as it was sent; empty when
  /// there is none.
  std::string unreadable;
  std::optional<policy::ReportedLoad> load;
};

/// Translates between the dispatcher and the protocols on the wire.
class WireProtocol {
 public:
  virtual ~WireProtocol() = default;

  /// Reads the metadata of a caller's request. Errors: kBadRequest.
  virtual kernel::Result<RequestMetadata> DecodeMetadata(
      const net::HttpRequest& request) = 0;

  /// Returns the request to send to `server`, which has `time_left` to answer.
  virtual net::HttpRequest MakeServerRequest(const net::HttpRequest& request,
                                             const model::BackendServer& server,
                                             kernel::Duration time_left) = 0;

  /// Reads what the headers and status of a server's answer state.
  virtual AnswerInfo ClassifyAnswer(const net::HttpAnswer& answer) = 0;

  /// Whether `answer` may belong to the request with this id, which may be
  /// empty: it states no other id.
  virtual bool MatchesRequest(const net::HttpAnswer& answer,
                              std::string_view request_id) = 0;

  /// Returns the server's answer in the form that is sent to the caller.
  virtual net::HttpAnswer MakeCallerAnswer(net::HttpAnswer answer) = 0;

  /// Returns this system's answer to a request that gets none from a server.
  /// A `retry_after` of zero means that the answer names no retry time.
  virtual net::HttpAnswer MakeRefusal(const kernel::Error& error,
                                      kernel::Duration retry_after,
                                      std::string_view request_id) = 0;
};

}  // namespace chervilmux::dispatch

#endif  // CHERVILMUX_DISPATCH_WIRE_H_
