/// \file
/// Defines one call to an instance's operator side.
///
/// libjsonrpccpp's client headers are not valid C++17, so this pair of files is
/// compiled as C++14 and keeps to it.

#ifndef CHERVILMUX_APPS_CHERVILMUX_RPC_CLIENT_H_
#define CHERVILMUX_APPS_CHERVILMUX_RPC_CLIENT_H_

#include <json/json.h>

#include <string>

namespace chervilmux {
namespace command {

/// Calls `method` at `address` (ip:port). Returns whether it answered; fills in
/// `result`, or `problem` with the reason.
bool CallRpc(const std::string& address, const std::string& method,
             const Json::Value& parameters, Json::Value& result,
             std::string& problem);

}  // namespace command
}  // namespace chervilmux

#endif  // CHERVILMUX_APPS_CHERVILMUX_RPC_CLIENT_H_
