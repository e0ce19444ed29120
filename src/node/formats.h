/// \file
/// Defines what an adapter knows of the platform's formats: how its rows read
/// and how orders to backend servers are spelled. It decides nothing.

#ifndef CHERVILMUX_NODE_FORMATS_H_
#define CHERVILMUX_NODE_FORMATS_H_

#include <string_view>

#include "kernel/error.h"
#include "model/backend_server.h"
#include "model/configuration.h"
#include "net/http_message.h"
#include "ranges/range_grantor.h"

namespace chervilmux::node {

class Formats {
 public:
  virtual ~Formats() = default;

  /// Table and key of the operator's configuration, and the table of servers.
  virtual std::string_view ConfigurationTable() const = 0;
  virtual std::string_view ConfigurationKey() const = 0;
  virtual std::string_view ServerTable() const = 0;
  /// Begins the keys of the rows in the configuration's table by which
  /// operators evacuate failure domains; the name of the domain follows.
  virtual std::string_view EvacuationPrefix() const = 0;

  /// Entries that cannot be read are left out and named in the result. Errors:
  /// kManifestInvalid, if there is no version or no list of entries.
  virtual kernel::Result<model::Configuration> DecodeConfiguration(
      std::string_view value) const = 0;

  /// Errors: kMessageMalformed; such a row names no server.
  virtual kernel::Result<model::BackendServer> DecodeServer(
      std::string_view id, std::string_view value) const = 0;

  virtual net::HttpRequest EncodeOrder(
      const ranges::RangeOrder& order) const = 0;

  /// Whether `answer` may be to an order: it names no caller's request.
  virtual bool MayAnswerOrder(const net::HttpAnswer& answer) const = 0;

  /// The outcome of an order that was answered.
  virtual ranges::OrderReply DecodeOrderAnswer(
      std::uint64_t order_id, const net::HttpAnswer& answer) const = 0;

  /// The path at which the platform asks whether this instance is ready.
  virtual std::string_view ReadinessPath() const = 0;
};

}  // namespace chervilmux::node

#endif  // CHERVILMUX_NODE_FORMATS_H_
