#include "caller/caller_front.h"

#include <charconv>
#include <optional>
#include <utility>

#include "kernel/json.h"
#include "observe/log.h"

namespace chervilmux::caller {
namespace {

using kernel::ErrorKind;
using kernel::Fail;

constexpr std::int64_t kMaxTimeoutMs = 600'000;

std::optional<kernel::Duration> ParseTimeout(std::string_view text) {
  std::int64_t ms = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, ms);
  const bool whole = parsed.ec == std::errc() && parsed.ptr == end;
  if (!whole || ms <= 0 || ms > kMaxTimeoutMs) return std::nullopt;
  return kernel::milliseconds(ms);
}

net::HttpAnswer ErrorAnswer(const kernel::Error& error) {
  const kernel::ErrorTraits& traits = kernel::TraitsOf(error.kind);
  Json::Value body(Json::objectValue);
  body["outcome"] = std::string(kernel::NameOf(traits.outcome));
  body["kind"] = std::string(traits.name);
  body["detail"] = error.detail;
  body["advice"] = std::string(traits.advice);
  net::HttpAnswer answer;
  answer.status = traits.status;
  answer.headers = {{"Content-Type", "application/json"},
                    {std::string(kOutcomeHeader),
                     std::string(kernel::NameOf(traits.outcome))},
                    {std::string(kErrorKindHeader), std::string(traits.name)}};
  if (traits.retry_after_s > 0) {
    answer.headers.push_back(
        {"Retry-After", std::to_string(traits.retry_after_s)});
  }
  answer.body = kernel::PrintJson(body) + "\n";
  return answer;
}

}  // namespace

net::HttpAnswer ToHttpAnswer(routing::Reply reply,
                             std::string_view request_id) {
  net::HttpAnswer answer;
  if (reply.answer) {
    answer = std::move(reply.answer).value();
    std::erase_if(answer.headers, [](const net::Header& header) {
      return net::SameHeaderName(header.name, kRequestIdHeader) ||
             net::SameHeaderName(header.name, kOutcomeHeader);
    });
    answer.headers.push_back({std::string(kOutcomeHeader), "answered"});
    answer.headers.push_back({std::string(kServerHeader), reply.server});
    answer.headers.push_back(
        {std::string(kEpochHeader), std::to_string(reply.epoch.term) + "." +
                                        std::to_string(reply.epoch.sequence)});
  } else {
    answer = ErrorAnswer(reply.answer.error());
  }
  answer.headers.push_back(
      {std::string(kRequestIdHeader), std::string(request_id)});
  return answer;
}

CallerFront::CallerFront(const kernel::Registry& registry, std::string instance,
                         const net::HttpServerOptions& options)
    : router(registry.Find<routing::RouterTask>(
          routing::RouterTask::kServiceName)),
      metrics(registry.Find<observe::Metrics>("metrics")),
      id_prefix(std::move(instance) + "-" +
                std::to_string(kernel::ToWire(kernel::Now())) + "-"),
      server(options,
             [this](net::ServerRequest request, net::Responder respond) {
               this->OnRequest(std::move(request), std::move(respond));
             }) {}

std::string CallerFront::NextRequestId() {
  return this->id_prefix + std::to_string(++this->last_id);
}

void CallerFront::OnRequest(net::ServerRequest request,
                            net::Responder respond) {
  // The id is always ours: two callers may choose the same one.
  const std::string id = this->NextRequestId();
  const auto refuse = [&](ErrorKind kind, const std::string& detail) {
    this->metrics.CountError("chervilmux_refusals_total", kind);
    this->metrics
        .Count("chervilmux_requests_total",
               observe::Label("outcome", "not-run"))
        .Add();
    respond(ToHttpAnswer({Fail(kind, detail), "", {}}, id));
  };
  if (request.body_too_large) {
    refuse(ErrorKind::kBodyTooLarge, "the body exceeds the limit");
    return;
  }
  routing::CallerRequest job;
  const std::string_view timeout =
      net::FindHeader(request.request.headers, kTimeoutHeader);
  if (!timeout.empty()) {
    const auto parsed = ParseTimeout(timeout);
    if (!parsed) {
      refuse(ErrorKind::kBadRequest, "X-Timeout-Ms must be 1 to 600000");
      return;
    }
    job.deadline = request.arrived_at + *parsed;
  }
  net::RemoveHopByHop(request.request.headers);
  job.request_id = id;
  job.request = std::move(request.request);
  job.arrived_at = request.arrived_at;
  job.reply = [respond = std::move(respond), id](routing::Reply reply) {
    if (!reply.answer) {
      const kernel::Error& error = reply.answer.error();
      observe::LogInfo(
          "request_refused",
          {{"request_id", id},
           {"kind", std::string(kernel::TraitsOf(error.kind).name)},
           {"detail", error.detail}});
    }
    respond(ToHttpAnswer(std::move(reply), id));
  };
  this->router.Submit(std::move(job));
}

}  // namespace chervilmux::caller
