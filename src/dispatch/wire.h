/// \file
/// Defines what the dispatcher needs to know of the callers' and the servers'
/// protocols. An adapter implements it; the dispatcher knows no header names.

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

/// What a request says of itself, apart from host and path.
struct RequestMetadata {
  std::string id;  ///< The caller's id of this attempt; may be empty.
  std::optional<kernel::Duration> timeout;  ///< How long the caller waits.
  std::optional<ranges::Key> key;
};

/// What a backend server's answer says.
struct AnswerInfo {
  bool not_run = false;      ///< The server did not run the request.
  bool misdirected = false;  ///< Another server, or not the key's owner.
  /// Its status would tell the caller "not run", which the server did not say.
  bool status_implies_not_run = false;
  bool signed_by_server = false;  ///< Bears the server's mark of a real answer.
  std::optional<policy::ReportedLoad> load;
};

class WireProtocol {
 public:
  virtual ~WireProtocol() = default;

  /// Errors: kBadRequest.
  virtual kernel::Result<RequestMetadata> DecodeMetadata(
      const net::HttpRequest& request) = 0;

  /// The request as it goes to `server`, which has `left` to answer.
  virtual net::HttpRequest MakeServerRequest(const net::HttpRequest& request,
                                             const model::BackendServer& server,
                                             kernel::Duration time_left) = 0;

  virtual AnswerInfo ClassifyAnswer(const net::HttpAnswer& answer) = 0;

  /// Whether `answer` is to the request of this id.
  virtual bool MatchesRequest(const net::HttpAnswer& answer,
                              std::string_view request_id) = 0;

  /// The server's answer as the caller gets it.
  virtual net::HttpAnswer MakeCallerAnswer(net::HttpAnswer answer) = 0;

  /// Our own answer to a request that got none from a server.
  virtual net::HttpAnswer MakeRefusal(const kernel::Error& error,
                                      kernel::Duration retry_after,
                                      std::string_view request_id) = 0;
};

}  // namespace chervilmux::dispatch

#endif  // CHERVILMUX_DISPATCH_WIRE_H_
