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
/// Twice what common browsers and proxies send at most.
constexpr std::size_t kMaxHeadBytes = 32U << 10U;
/// A caller on a slow line may take this long for one request, or stay idle
/// between two.
constexpr kernel::Duration kRequestTimeout = kernel::seconds(30);
constexpr kernel::Duration kIdleTimeout = kernel::seconds(30);

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

void LogRefusal(const std::string& request_id, const kernel::Error& error) {
  observe::LogInfo("request_refused",
                   {{"request_id", request_id},
                    {"kind", std::string(kernel::TraitsOf(error.kind).name)},
                    {"detail", error.detail}});
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
                         CallerFrontOptions options)
    : router(registry.Find<routing::RouterTask>(
          routing::RouterTask::kServiceName)),
      metrics(registry.Find<observe::Metrics>("metrics")),
      id_prefix(std::move(instance) + "-" +
                std::to_string(kernel::ToWire(kernel::Now())) + "-"),
      options(std::move(options)),
      front(this->task,
            {[this](const net::RequestRef& ref, net::HttpRequest request) {
               this->OnRequest(ref, std::move(request));
             },
             [this](const net::RequestRef& ref) { this->OnGone(ref); },
             [this](const kernel::Error& error) {
               return this->Refuse(error, this->NextRequestId());
             }}) {
  net::FrontLimits limits;
  limits.read = {kMaxHeadBytes, this->options.max_body_bytes};
  limits.request_timeout = kRequestTimeout;
  limits.idle_timeout = kIdleTimeout;
  this->front.SetLimits(limits);
}

kernel::Result<void> CallerFront::Start() {
  BOOST_OUTCOME_TRY(this->front.Listen(this->options.address));
  this->task.Start();
  return kernel::Ok();
}

void CallerFront::CloseAfterAnswers() {
  this->task.Post([this] { this->front.CloseAfterAnswers(); });
}

void CallerFront::Quiesce() {
  this->task.Post([this] { this->front.StopAccepting(); });
}

std::string CallerFront::NextRequestId() {
  return this->id_prefix + std::to_string(++this->last_id);
}

net::HttpAnswer CallerFront::Refuse(const kernel::Error& error,
                                    const std::string& request_id) {
  this->metrics.CountError("chervilmux_refusals_total", error.kind);
  this->metrics
      .Count("chervilmux_requests_total", observe::Label("outcome", "not-run"))
      .Add();
  LogRefusal(request_id, error);
  return ToHttpAnswer({Fail(error.kind, error.detail), "", {}}, request_id);
}

void CallerFront::Answer(const net::RequestRef& ref, net::HttpAnswer answer) {
  this->open.erase(ref);
  this->front.Answer(ref, std::move(answer));
}

void CallerFront::OnRequest(const net::RequestRef& ref,
                            net::HttpRequest request) {
  // The id is always ours: two callers may choose the same one.
  const std::string id = this->NextRequestId();
  routing::CallerRequest job;
  job.arrived_at = kernel::Now();
  const std::string_view timeout =
      net::FindHeader(request.headers, kTimeoutHeader);
  if (!timeout.empty()) {
    const auto parsed = ParseTimeout(timeout);
    if (!parsed) {
      this->Answer(ref, this->Refuse({ErrorKind::kBadRequest,
                                      "X-Timeout-Ms must be 1 to 600000"},
                                     id));
      return;
    }
    job.deadline = job.arrived_at + *parsed;
  }
  net::RemoveHopByHop(request.headers);
  job.request_id = id;
  job.request = std::move(request);
  job.reply = [this, ref, id](routing::Reply reply) {
    this->task.Post([this, ref, id, reply = std::move(reply)]() mutable {
      this->OnReply(ref, id, std::move(reply));
    });
  };
  this->open[ref] = id;
  this->router.Submit(std::move(job));
}

void CallerFront::OnReply(const net::RequestRef& ref,
                          const std::string& request_id, routing::Reply reply) {
  if (!reply.answer) LogRefusal(request_id, reply.answer.error());
  this->Answer(ref, ToHttpAnswer(std::move(reply), request_id));
}

void CallerFront::OnGone(const net::RequestRef& ref) {
  const auto found = this->open.find(ref);
  if (found == this->open.end()) return;
  this->router.OnCallerDisconnected(found->second);
  this->open.erase(found);
}

}  // namespace chervilmux::caller
