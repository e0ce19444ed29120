/// \file
/// Defines how an instance of chervilmux-node is asked for its view.

#ifndef CHERVILMUX_APPS_CHERVILMUX_NODE_VIEW_H_
#define CHERVILMUX_APPS_CHERVILMUX_NODE_VIEW_H_

#include <json/json.h>

#include <optional>

#include "net/address.h"

namespace chervilmux::command {

/// The status that the instance at `address` serves; nothing when it is no
/// chervilmux-node or does not answer in time.
std::optional<Json::Value> FetchNodeStatus(const net::Address& address);

/// Prints `status` for people.
void PrintNodeStatus(const Json::Value& status);

}  // namespace chervilmux::command

#endif  // CHERVILMUX_APPS_CHERVILMUX_NODE_VIEW_H_
