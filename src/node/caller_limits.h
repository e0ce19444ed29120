/// \file
/// Defines how the limits told to callers, and the size of the instance, bound
/// the connections that callers open to it.

#ifndef CHERVILMUX_NODE_CALLER_LIMITS_H_
#define CHERVILMUX_NODE_CALLER_LIMITS_H_

#include "model/configuration.h"
#include "net/http_front.h"
#include "node/node_settings.h"

namespace chervilmux::node {

/// What callers' connections are held to when callers are told `told`.
net::FrontLimits CallerFrontLimits(const model::CallerLimits& told,
                                   const NodeSettings& settings);

}  // namespace chervilmux::node

#endif  // CHERVILMUX_NODE_CALLER_LIMITS_H_
