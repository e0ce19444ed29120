#include "rpc_client.h"

#include <jsonrpccpp/client.h>
#include <jsonrpccpp/client/connectors/httpclient.h>

namespace chervilmux {
namespace command {
namespace {

constexpr long kTimeoutMs = 3000;

}  // namespace

bool CallRpc(const std::string& address, const std::string& method,
             const Json::Value& parameters, Json::Value& result,
             std::string& problem) {
  try {
    jsonrpc::HttpClient connector("http://" + address + "/rpc");
    connector.SetTimeout(kTimeoutMs);
    jsonrpc::Client client(connector);
    result = client.CallMethod(method, parameters);
    return true;
  } catch (const jsonrpc::JsonRpcException& exception) {
    problem = exception.GetMessage();
    return false;
  }
}

}  // namespace command
}  // namespace chervilmux
