#include "store/http_platform.h"

#include <utility>

#include "kernel/json.h"

namespace chervilmux::store {
namespace {

constexpr long kMaxConnections = 4;
constexpr std::size_t kMaxAnswerBytes = 64U << 20U;

TableReply ParseTableReply(const net::TransferResult& result) {
  TableReply reply;
  if (result.end != net::TransferEnd::kComplete) return reply;
  const std::uint16_t status = result.answer.status;
  if (status == 404) {
    reply.status = TableReply::Status::kAbsent;
    return reply;
  }
  auto body = kernel::ParseJson(result.answer.body);
  if (!body || !body.value().isObject()) return reply;
  reply.revision = kernel::UintOr(body.value(), "revision");
  reply.value = kernel::StringOr(body.value(), "value");
  const bool has_value = body.value().isMember("value");
  if (status == 200 && reply.revision > 0) {
    reply.status =
        has_value ? TableReply::Status::kValue : TableReply::Status::kWritten;
  }
  if (status == 409) {
    reply.status = TableReply::Status::kConflict;
  }
  return reply;
}

ListedState ParseState(const std::string& state) {
  if (state == "leaving") return ListedState::kLeaving;
  return state == "gone" ? ListedState::kGone : ListedState::kLive;
}

net::Address AddressOr(const Json::Value& value, const char* name) {
  auto parsed = net::ParseAddress(kernel::StringOr(value, name));
  return parsed ? std::move(parsed).value() : net::Address{};
}

}  // namespace

std::string CellRowKey(std::string_view cell) {
  return "cell:" + std::string(cell);
}

std::string ManifestObject(std::uint64_t revision, std::string_view writer) {
  return "manifest-" + std::to_string(revision) + "-" + std::string(writer);
}

InstanceList ParseInstanceList(std::string_view text) {
  InstanceList list;
  auto body = kernel::ParseJson(text);
  if (!body || !body.value().isObject()) return list;
  for (const auto& entry : body.value()["instances"]) {
    ListedInstance instance;
    instance.name = kernel::StringOr(entry, "name");
    instance.incarnation = kernel::UintOr(entry, "incarnation");
    instance.failure_domain = kernel::StringOr(entry, "failure_domain");
    instance.peer_address = AddressOr(entry, "peer_address");
    instance.operator_address = AddressOr(entry, "operator_address");
    instance.state = ParseState(kernel::StringOr(entry, "state"));
    if (!instance.name.empty()) list.instances.push_back(std::move(instance));
  }
  for (const auto& entry : body.value()["servers"]) {
    list.servers.push_back({kernel::StringOr(entry, "name"),
                            ParseState(kernel::StringOr(entry, "state"))});
  }
  list.usable = true;
  return list;
}

HttpPlatform::HttpPlatform(kernel::ReactorTask& task,
                           const net::Address& address,
                           kernel::Duration timeout)
    : client(task, kMaxConnections), address(address), timeout(timeout) {}

void HttpPlatform::Send(std::string_view method, const std::string& path,
                        std::string_view body, bool may_repeat,
                        net::TransferDone done) {
  net::HttpRequest request;
  request.method = std::string(method);
  request.url = "http://" + this->address.ToString() + path;
  request.body = std::string(body);
  net::TransferOptions options;
  options.deadline = kernel::Now() + this->timeout;
  options.max_answer_bytes = kMaxAnswerBytes;
  options.may_repeat = may_repeat;
  this->client.Start(request, options, std::move(done));
}

void HttpPlatform::ReadRow(std::string_view key,
                           std::function<void(TableReply)> done) {
  this->Send("GET", "/table/" + std::string(key), "", true,
             [done = std::move(done)](const net::TransferResult& result) {
               done(ParseTableReply(result));
             });
}

void HttpPlatform::WriteRow(std::string_view key, std::string_view value,
                            std::uint64_t expected,
                            std::function<void(TableReply)> done) {
  this->Send(
      "PUT",
      "/table/" + std::string(key) + "?expected=" + std::to_string(expected),
      value, false,
      [done = std::move(done)](const net::TransferResult& result) {
        done(ParseTableReply(result));
      });
}

void HttpPlatform::ReadObject(std::string_view name,
                              std::function<void(ObjectReply)> done) {
  this->Send("GET", "/objects/" + std::string(name), "", true,
             [done = std::move(done)](const net::TransferResult& result) {
               const bool found = result.end == net::TransferEnd::kComplete &&
                                  result.answer.status == 200;
               done({found, found ? result.answer.body : std::string()});
             });
}

void HttpPlatform::WriteObject(std::string_view name, std::string_view content,
                               std::function<void(bool)> done) {
  this->Send("PUT", "/objects/" + std::string(name), content, true,
             [done = std::move(done)](const net::TransferResult& result) {
               done(result.end == net::TransferEnd::kComplete &&
                    result.answer.status == 200);
             });
}

void HttpPlatform::ReadList(std::function<void(InstanceList)> done) {
  this->Send(
      "GET", "/instances", "", true,
      [done = std::move(done)](const net::TransferResult& result) {
        const bool answered = result.end == net::TransferEnd::kComplete &&
                              result.answer.status == 200;
        done(answered ? ParseInstanceList(result.answer.body) : InstanceList{});
      });
}

}  // namespace chervilmux::store
