#include "backend/server_protocol.h"

#include <algorithm>
#include <utility>

#include "kernel/json.h"

namespace chervilmux::backend {
namespace {

using kernel::ErrorKind;
using kernel::Fail;
using net::TransferEnd;

constexpr std::string_view kRequestIdHeader = "X-Request-Id";

Json::Value ToJson(ownership::RowVersion version) {
  Json::Value value(Json::arrayValue);
  value.append(Json::UInt64{version.term});
  value.append(Json::UInt64{version.sequence});
  return value;
}

/// The kind for a transfer that gave no whole answer.
ErrorKind KindOf(const net::TransferResult& result) {
  switch (result.end) {
    case TransferEnd::kNotSent:
    case TransferEnd::kWithheld:
      return ErrorKind::kServerConnect;
    case TransferEnd::kTimedOut:
      return ErrorKind::kServerSilent;
    case TransferEnd::kTruncated:
      return ErrorKind::kAnswerTruncated;
    case TransferEnd::kTooLarge:
      return ErrorKind::kAnswerTooLarge;
    case TransferEnd::kCancelled:
      return ErrorKind::kCallerGone;
    case TransferEnd::kComplete:
    case TransferEnd::kBroken:
      break;
  }
  return ErrorKind::kServerBroken;
}

}  // namespace

net::HttpRequest BuildGrant(const net::Address& server, std::string_view cell,
                            const ownership::GrantOrder& order) {
  Json::Value body(Json::objectValue);
  body["cell"] = std::string(cell);
  body["term"] = Json::UInt64{order.token.term};
  body["counter"] = Json::UInt64{order.token.counter};
  body["version"] = ToJson(order.version);
  body["serving"] = ToJson(order.serving);
  body["deadline_us"] = Json::Int64{order.deadline_us};
  body["incarnation"] = Json::UInt64{order.incarnation};
  return {"POST",
          "http://" + server.ToString() + "/_grant",
          {},
          kernel::PrintJson(body)};
}

std::optional<ownership::GrantReply> ParseGrantReply(
    std::string_view server, const ownership::GrantOrder& order,
    kernel::Instant ordered_at, const net::TransferResult& result) {
  if (result.end != TransferEnd::kComplete) return std::nullopt;
  if (result.answer.status != 200) return std::nullopt;
  auto parsed = kernel::ParseJson(result.answer.body);
  if (!parsed || !parsed.value().isObject()) return std::nullopt;
  const Json::Value& body = parsed.value();
  if (!body["clock_us"].isInt64() || !body["accepted"].isBool()) {
    return std::nullopt;
  }
  ownership::GrantReply reply;
  reply.server = std::string(server);
  reply.token = order.token;
  reply.version = order.version;
  reply.serving = order.serving;
  reply.deadline_us = order.deadline_us;
  reply.ordered_at = ordered_at;
  reply.accepted = body["accepted"].asBool();
  reply.highest_token = {kernel::UintOr(body, "highest_term"),
                         kernel::UintOr(body, "highest_counter")};
  reply.clock_us = body["clock_us"].asInt64();
  reply.incarnation = kernel::UintOr(body, "incarnation");
  const Json::Value& checks = body["checks_tokens"];
  reply.checks_tokens = checks.isBool() && checks.asBool();
  return reply;
}

net::HttpRequest BuildRequest(const net::Address& server,
                              const net::HttpRequest& request,
                              const RequestStamp& stamp) {
  net::HttpRequest stamped = request;
  stamped.url = "http://" + server.ToString() + request.url;
  std::erase_if(stamped.headers, [](const net::Header& header) {
    return net::SameHeaderName(header.name, kRequestIdHeader) ||
           net::SameHeaderName(header.name, "X-Grant-Cell") ||
           net::SameHeaderName(header.name, "X-Grant-Token") ||
           net::SameHeaderName(header.name, "X-Deadline-Ms");
  });
  stamped.headers.push_back({"X-Grant-Cell", stamp.cell});
  stamped.headers.push_back(
      {"X-Grant-Token", std::to_string(stamp.token.term) + "." +
                            std::to_string(stamp.token.counter)});
  stamped.headers.push_back({std::string(kRequestIdHeader), stamp.request_id});
  stamped.headers.push_back(
      {"X-Deadline-Ms", std::to_string(std::max<std::int64_t>(
                            0, kernel::ToMs(stamp.remaining)))});
  return stamped;
}

net::HttpRequest BuildCancel(const net::Address& server,
                             std::string_view request_id) {
  return {"POST",
          "http://" + server.ToString() + "/_cancel",
          {{std::string(kRequestIdHeader), std::string(request_id)}},
          ""};
}

kernel::Result<net::HttpAnswer> ReadAnswer(net::TransferResult result,
                                           std::string_view request_id) {
  if (result.end != TransferEnd::kComplete) {
    return Fail(KindOf(result), "no whole answer from the backend server");
  }
  const auto& headers = result.answer.headers;
  const std::string_view answered_id =
      net::FindHeader(headers, kRequestIdHeader);
  // A server that names the request it answers must name this one.
  if (!answered_id.empty() && answered_id != request_id) {
    return Fail(ErrorKind::kServerBroken, "answer belongs to another request");
  }
  const std::string_view not_run = net::FindHeader(headers, kNotRunHeader);
  if (not_run == "fenced") return Fail(ErrorKind::kServerFenced, "fenced");
  if (!not_run.empty()) {
    return Fail(ErrorKind::kServerShed, std::string(not_run));
  }
  net::RemoveHopByHop(result.answer.headers);
  return std::move(result.answer);
}

}  // namespace chervilmux::backend
