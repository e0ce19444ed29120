// The part of Dispatcher that handles the outcome of an attempt at a server and
// sends the final answer.

#include <algorithm>
#include <iomanip>
#include <sstream>
#include <utility>

#include "dispatch/dispatcher.h"
#include "dispatch/dispatcher_state.h"
#include "observe/log.h"

namespace chervilmux::dispatch {
namespace {

using kernel::Duration;
using kernel::ErrorKind;
using kernel::Instant;
using kernel::milliseconds;
using policy::AttemptOutcome;

/// Delay before a request whose key the server rejected is sent again. A newer
/// table of owners has usually arrived by then.
constexpr Duration kRejectedKeyRetryDelay = milliseconds(60);
/// Sends allowed beyond the route's maximum number of attempts, for requests
/// that servers refuse without running them.
constexpr unsigned kExtraSends = 2;
/// Failed connection attempts after which a request is refused.
constexpr unsigned kMaxFailedConnects = 3;
/// One of this many requests answered without a server error is logged.
constexpr std::uint64_t kAnsweredLogSample = 64;
/// One of this many statements of servers that cannot be read is logged.
constexpr std::uint64_t kUnreadableLogSample = 64;

/// Metric labels for requests of `service` that ended with `outcome`.
std::string OutcomeLabels(std::string_view service, std::string_view outcome) {
  return observe::Label("service", service) + "," +
         observe::Label("outcome", outcome);
}

std::string FormatMs(Duration duration) {
  return std::to_string(kernel::ToMs(duration));
}

std::string FormatTenths(double number) {
  std::ostringstream text;
  text << std::fixed << std::setprecision(1) << number;
  return text.str();
}

}  // namespace

void Dispatcher::OnTransfer(std::uint64_t job_id, net::TransferResult result) {
  const auto found = this->jobs.find(job_id);
  if (found == this->jobs.end()) return;
  Job& job = *found->second;
  job.transfer.reset();
  const Instant now = kernel::Now();
  const std::string service = job.service;
  if (result.end == net::TransferEnd::kCancelled) {
    this->metrics.Count("chervilmux_callers_gone_total").Add();
    this->RecordCompletion(job, AttemptOutcome::kInconclusive, std::nullopt,
                           now);
    this->RemoveJob(job);
    this->DispatchQueue(this->GetOrCreateServiceState(service), now);
    return;
  }
  if (result.end == net::TransferEnd::kWithheld) {
    const auto notice = this->GetOrCreateServiceState(service).loads.FindNotice(
        job.server_id, job.keyed, now);
    this->CountWithheld(job,
                        notice ? notice->kind : policy::NoticeKind::kDraining);
  }
  if (result.possibly_sent) {
    job.tried_servers.push_back(job.server_id);
    job.tried_addresses.push_back(job.server_address);
  }
  this->DropUnidentifiedAnswer(job, result);
  if (result.end == net::TransferEnd::kComplete) {
    this->OnAnswer(job, std::move(result.answer), now);
  } else {
    this->OnFailedTransfer(job, result, now);
  }
  this->DispatchQueue(this->GetOrCreateServiceState(service), now);
}

/// An answer on a kept connection that names no request may be an earlier one,
/// written once more, while this request runs.
void Dispatcher::DropUnidentifiedAnswer(const Job& job,
                                        net::TransferResult& result) const {
  const bool is_certain =
      result.end != net::TransferEnd::kComplete || !result.reused_connection ||
      this->wire.ClassifyAnswer(result.answer).names_request;
  if (is_certain) return;
  observe::LogWarn("answer_unidentified",
                   {{"request", job.metadata.id},
                    {"server", job.server_id},
                    {"status", std::to_string(result.answer.status)}});
  result.end = net::TransferEnd::kBroken;
  result.answer = {};
}

void Dispatcher::RecordCompletion(
    Job& job, AttemptOutcome end,
    const std::optional<policy::ReportedLoad>& load, Instant now) {
  ServiceState& state = this->GetOrCreateServiceState(job.service);
  const bool was_ejected = state.loads.IsEjected(job.server_id, now);
  state.loads.OnCompletion(job.server_id, end, now - job.sent_at, load, now);
  state.rate.OnCompletion(now);
  if (!was_ejected && state.loads.IsEjected(job.server_id, now)) {
    this->LogEjection(job, end);
  }
}

void Dispatcher::LogEjection(const Job& job, AttemptOutcome cause) const {
  observe::LogWarn("server_ejected",
                   {{"service", job.service},
                    {"server", job.server_id},
                    {"cause", std::string(policy::NameOf(cause))},
                    {"sent_ms_ago", FormatMs(kernel::Now() - job.sent_at)},
                    {"open_connections",
                     std::to_string(this->links.OpenTo(job.server_address))}});
}

void Dispatcher::CountWithheld(const Job& job, policy::NoticeKind reason) {
  this->metrics
      .Count("chervilmux_withheld_total",
             observe::Label("service", job.service) + "," +
                 observe::Label("reason", policy::NameOf(reason)))
      .Add();
}

void Dispatcher::CountQueueRefusal(const Job& job, std::string_view reason) {
  this->metrics
      .Count(
          "chervilmux_queue_refusals_total",
          observe::Label("service", job.service) + "," +
              observe::Label("priority", std::to_string(job.route->priority)) +
              "," + observe::Label("reason", reason))
      .Add();
}

/// Takes in what a server says about itself, whether its answer is of use or
/// not.
void Dispatcher::OnStatements(const Job& job, const AnswerInfo& info,
                              Instant now) {
  const std::string service = observe::Label("service", job.service);
  if (!info.unreadable.empty()) {
    auto& unreadable = this->metrics.Count(
        "chervilmux_server_statements_unreadable_total", service);
    if (unreadable.Value() % kUnreadableLogSample == 0) {
      observe::LogWarn("server_statement_unreadable",
                       {{"request", job.metadata.id},
                        {"service", job.service},
                        {"server", job.server_id},
                        {"statement", info.unreadable}});
    }
    unreadable.Add();
  }
  policy::ServerLoads& loads = this->GetOrCreateServiceState(job.service).loads;
  const policy::ServerRun server{job.server_id, job.server_life};
  if (info.back_off &&
      loads.OnBackOff(server, *info.back_off, job.metadata.id, now)) {
    this->metrics.Count("chervilmux_back_off_notices_total", service).Add();
    const bool is_capped = *info.back_off > policy::kMaxBackOff;
    auto& capped =
        this->metrics.Count("chervilmux_back_offs_capped_total", service);
    if (is_capped) capped.Add();
    observe::LogWarn(
        "server_backs_off",
        {{"request", job.metadata.id},
         {"service", job.service},
         {"server", job.server_id},
         {"asked_ms", FormatMs(*info.back_off)},
         {"for_ms", FormatMs(loads.BackOffLeft(job.server_id, now))},
         {"sent_ms_ago", FormatMs(now - job.sent_at)}});
    if (this->on_server_notice) {
      const Duration counted = std::min(*info.back_off, policy::kMaxBackOff);
      this->on_server_notice(job.service, {server, policy::NoticeKind::kBackOff,
                                           now, now + counted});
    }
  }
  if (!info.draining || !loads.OnDraining(server, job.metadata.id, now)) return;
  this->metrics.Count("chervilmux_draining_notices_total", service).Add();
  observe::LogWarn("server_draining",
                   {{"request", job.metadata.id},
                    {"service", job.service},
                    {"server", job.server_id},
                    {"life", std::to_string(job.server_life)},
                    {"sent_ms_ago", FormatMs(now - job.sent_at)}});
  if (this->on_server_notice) {
    this->on_server_notice(job.service, {server, policy::NoticeKind::kDraining,
                                         now, kernel::kNever});
  }
}

void Dispatcher::OnAnswer(Job& job, net::HttpAnswer answer, Instant now) {
  const AnswerInfo info = this->wire.ClassifyAnswer(answer);
  this->OnStatements(job, info, now);
  if (info.not_run) {
    this->OnNotRun(job, info, now);
    return;
  }
  job.possible_runs += 1;
  const bool attempt_failed =
      answer.status >= 500 || info.status_implies_not_run;
  if (!attempt_failed && !info.signed_by_server && answer.status < 300) {
    this->RecordCompletion(job, AttemptOutcome::kBroken, info.load, now);
    if (this->RetryIfAllowed(job, ErrorKind::kAnswerTruncated, now)) return;
    this->Refuse(job, ErrorKind::kAnswerTruncated,
                 "the answer lacks the server's signature header", {});
    return;
  }
  AttemptOutcome end = AttemptOutcome::kServed;
  if (attempt_failed) end = AttemptOutcome::kServerError;
  if (info.back_off) end = AttemptOutcome::kBackOff;
  this->RecordCompletion(job, end, info.load, now);
  // No other server can serve the key.
  const bool can_retry = attempt_failed && !(job.keyed && info.back_off);
  if (can_retry && this->RetryIfAllowed(job, ErrorKind::kServerBroken, now))
    return;
  if (info.status_implies_not_run) {
    this->Refuse(job, ErrorKind::kServerBroken,
                 "the server's status implies 'not run' without confirming it",
                 {});
    return;
  }
  this->RecordAnswered(job, answer.status, now);
  this->Finish(job, this->wire.MakeCallerAnswer(std::move(answer)));
}

/// Handles an answer that states that the server did not run the request.
void Dispatcher::OnNotRun(Job& job, const AnswerInfo& info, Instant now) {
  AttemptOutcome end =
      info.back_off ? AttemptOutcome::kBackOff : AttemptOutcome::kShed;
  if (info.misdirected) {
    // In a service without keys, the address now belongs to another server, so
    // the intended one no longer exists. In a keyed service the server may only
    // have lost the key.
    end = job.keyed ? AttemptOutcome::kInconclusive
                    : AttemptOutcome::kUnreachable;
  }
  this->RecordCompletion(job, end, info.load, now);
  if (info.misdirected && job.keyed && this->on_stale_owners) {
    this->on_stale_owners(job.service);
    job.dispatch_after = now + kRejectedKeyRetryDelay;
    job.rejected_fence = job.owner_fence;
  }
  const ErrorKind kind =
      info.misdirected ? ErrorKind::kServerFenced : ErrorKind::kServerShed;
  // No other server can serve the key, so a retry would only add load to its
  // overloaded owner.
  const bool server_full = !info.load || !info.load->HasFreeSlot();
  const bool owner_full = job.keyed && kind == ErrorKind::kServerShed &&
                          (server_full || info.back_off);
  if (!owner_full && this->RetryIfAllowed(job, kind, now)) return;
  const policy::ServerLoads& loads =
      this->GetOrCreateServiceState(job.service).loads;
  constexpr std::string_view kWhy =
      "the server refused the request without running it";
  const Duration rest = loads.BackOffLeft(job.server_id, now);
  if (job.keyed && rest.count() > 0) {
    this->RefuseUntil(job, kind, kWhy, rest);
  } else {
    this->Refuse(job, kind, kWhy, loads.MeanServiceTime());
  }
}

void Dispatcher::RecordAnswered(const Job& job, unsigned status, Instant now) {
  this->metrics
      .Count("chervilmux_answered_total",
             observe::Label("service", job.service))
      .Add();
  this->metrics
      .Time("chervilmux_request_seconds",
            OutcomeLabels(job.service, "answered"))
      .Observe(now - job.arrived_at);
  this->metrics
      .Time("chervilmux_server_seconds", observe::Label("service", job.service))
      .Observe(now - job.sent_at);
  if (status < 500 && job.id % kAnsweredLogSample != 0) return;
  observe::LogInfo("answered",
                   {{"request", job.metadata.id},
                    {"service", job.service},
                    {"server", job.server_id},
                    {"status", std::to_string(status)},
                    {"took_ms", FormatMs(now - job.arrived_at)},
                    {"sends", std::to_string(job.tried_servers.size())}});
}

void Dispatcher::OnFailedTransfer(Job& job, const net::TransferResult& result,
                                  Instant now) {
  using net::TransferEnd;
  ErrorKind kind = ErrorKind::kServerBroken;
  AttemptOutcome end = AttemptOutcome::kBroken;
  switch (result.end) {
    case TransferEnd::kWithheld:
      kind = ErrorKind::kServerConnect;
      end = AttemptOutcome::kInconclusive;
      break;
    case TransferEnd::kNotSent:
      kind = ErrorKind::kServerConnect;
      end = AttemptOutcome::kUnreachable;
      job.failed_connects += 1;
      break;
    case TransferEnd::kTimedOut:
      this->CountTimeout(job);
      kind = this->stop_end && now >= *this->stop_end
                 ? ErrorKind::kStopCutOff
                 : ErrorKind::kServerSilent;
      end = AttemptOutcome::kTimedOut;
      break;
    case TransferEnd::kTruncated:
      kind = ErrorKind::kAnswerTruncated;
      break;
    case TransferEnd::kTooLarge:
      kind = ErrorKind::kAnswerTooLarge;
      break;
    case TransferEnd::kComplete:
    case TransferEnd::kBroken:
    case TransferEnd::kCancelled:
      break;
  }
  const bool may_be_down =
      end == AttemptOutcome::kUnreachable || end == AttemptOutcome::kTimedOut;
  if (may_be_down && !result.connected) {
    this->GetOrCreateServiceState(job.service)
        .loads.OnUnreachable(job.server_id, now);
  }
  const bool reset = result.connected && !result.reused_connection &&
                     (result.end == TransferEnd::kBroken ||
                      result.end == TransferEnd::kNotSent);
  // The key has no other server, and a full server resets connections.
  if (job.keyed && reset) end = AttemptOutcome::kReset;
  if (result.possibly_sent) {
    job.possible_runs += 1;
    // The cause may also have broken the other idle connections to the server.
    if (result.reused_connection) this->links.CloseIdle(job.server_address);
  }
  this->RecordCompletion(job, end, std::nullopt, now);
  if (this->RetryIfAllowed(job, kind, now)) return;
  if (job.possible_runs == 0) kind = ErrorKind::kServerConnect;
  this->Refuse(job, kind, "the server sent no usable answer",
               kNotReadyRetryAfter);
}

void Dispatcher::CountTimeout(const Job& job) {
  const policy::ServerLoads& loads =
      this->GetOrCreateServiceState(job.service).loads;
  const bool is_alive = loads.HasAnsweredSince(job.server_id, job.sent_at);
  this->metrics
      .Count("chervilmux_server_timeouts_total",
             observe::Label("service", job.service) + "," +
                 observe::Label("server", is_alive ? "answers" : "silent"))
      .Add();
}

bool Dispatcher::RetryIfAllowed(Job& job, ErrorKind failure, Instant now) {
  ServiceState& state = this->GetOrCreateServiceState(job.service);
  const bool never_sent = failure == ErrorKind::kServerConnect;
  const bool not_run = never_sent || failure == ErrorKind::kServerShed ||
                       failure == ErrorKind::kServerFenced;
  if (job.caller_disconnected || (!not_run && !job.route->idempotent))
    return false;
  if (now + state.loads.MeanServiceTime() / 2 >= job.deadline) return false;
  // The caller learns more from the last attempt than from the stop.
  if (!this->FinishesBeforeStop(job, state, now)) return false;
  const unsigned sends = static_cast<unsigned>(job.tried_servers.size());
  const bool attempts_exhausted =
      sends >= job.route->max_attempts + kExtraSends ||
      job.possible_runs >= job.route->max_attempts;
  if (never_sent ? job.failed_connects >= kMaxFailedConnects
                 : attempts_exhausted) {
    return false;
  }
  if (!never_sent && !state.budget.TryConsume(now)) {
    this->metrics.Count("chervilmux_repeat_denied_total").Add();
    return false;
  }
  this->metrics.CountError("chervilmux_repeats_total", failure);
  observe::LogInfo("repeat",
                   {{"request", job.metadata.id},
                    {"service", job.service},
                    {"after_server", job.server_id},
                    {"failure", std::string(kernel::TraitsOf(failure).name)},
                    {"left_ms", FormatMs(job.deadline - now)},
                    {"sends", std::to_string(sends)}});
  this->Dispatch(job, now);
  return true;
}

void Dispatcher::Refuse(Job& job, ErrorKind kind, std::string_view why,
                        Duration expected_wait) {
  const bool lacks_room = kind == ErrorKind::kQueueFull ||
                          kind == ErrorKind::kDeadlineTooShort ||
                          kind == ErrorKind::kServerShed;
  Duration retry_after{0};
  if (expected_wait.count() > 0) {
    retry_after = lacks_room
                      ? this->ReturnTime(job, expected_wait)
                      : policy::RetryAfter(expected_wait, this->RandomUnit());
  }
  this->RefuseWithRetryAfter(job, kind, why, retry_after);
}

Duration Dispatcher::ReturnTime(const Job& job, Duration until_room) {
  const Instant now = kernel::Now();
  ServiceState& state = this->GetOrCreateServiceState(job.service);
  const std::string owner = OwnerOf(job, state);
  policy::RoomForecast forecast;
  forecast.until_room = until_room;
  // Other instances send to the owner too, and ask their callers to return.
  forecast.requests_per_second =
      job.keyed ? state.loads.MaxThroughput(owner, now) /
                      static_cast<double>(this->instance_count)
                : state.rate.PerSecond(now);
  if (job.metadata.timeout) forecast.caller_time_left = job.deadline - now;
  return state.return_times.Next(owner, forecast, this->RandomUnit(), now);
}

void Dispatcher::RefuseUntil(Job& job, ErrorKind kind, std::string_view why,
                             Duration rest) {
  this->RefuseWithRetryAfter(
      job, kind, why, policy::RetryAfterBackOff(rest, this->RandomUnit()));
}

void Dispatcher::RefuseWithRetryAfter(Job& job, ErrorKind kind,
                                      std::string_view why,
                                      Duration retry_after) {
  // "Not run" is a guarantee about all attempts of the request, not only about
  // the last one.
  const bool claims_not_run =
      kernel::TraitsOf(kind).outcome == kernel::Outcome::kNotRun;
  if (job.possible_runs > 0 && claims_not_run) kind = ErrorKind::kServerBroken;
  // Conversely, no attempt that may have run means that it was not run.
  if (job.possible_runs == 0 && !claims_not_run) {
    kind = ErrorKind::kServerConnect;
    retry_after = std::max(retry_after, kNotReadyRetryAfter);
  }
  const kernel::Outcome outcome = kernel::TraitsOf(kind).outcome;
  const kernel::Error error{kind, std::string(why)};
  this->metrics.CountError("chervilmux_refused_total", kind);
  this->metrics
      .Time("chervilmux_request_seconds",
            OutcomeLabels(job.service, kernel::NameOf(outcome)))
      .Observe(kernel::Now() - job.arrived_at);
  this->LogRefusal(job, error);
  this->Finish(job,
               this->wire.MakeRefusal(error, retry_after, job.metadata.id));
}

std::optional<policy::NoticeSource> Dispatcher::StoppedBy(
    const Job& job, const std::string& owner) const {
  const auto state = this->services.find(job.service);
  if (state == this->services.end()) return std::nullopt;
  const policy::ServerLoads& loads = state->second->loads;
  const Instant now = kernel::Now();
  if (job.keyed) return loads.FindNotice(owner, true, now);
  return loads.UsableSlots(now) == 0 ? loads.NewestNotice(now) : std::nullopt;
}

void Dispatcher::LogRefusal(const Job& job, const kernel::Error& error) const {
  const Instant now = kernel::Now();
  const std::string version =
      this->config ? std::to_string(this->config->version) : "none";
  const auto state = this->services.find(job.service);
  const bool has_state = state != this->services.end();
  const std::size_t waiting =
      has_state ? state->second->waiting.Size() : std::size_t{0};
  std::string term;
  std::string owner;
  std::optional<policy::LoadEstimate> owner_load;
  const bool has_key = job.keyed && job.metadata.key.has_value();
  if (has_key && has_state && state->second->owners) {
    term = std::to_string(state->second->owners->term);
    const auto* range = state->second->owners->Find(*job.metadata.key);
    if (range != nullptr) owner = range->owner;
    owner_load = state->second->loads.EstimateLoad(owner, now);
  }
  const auto stopped_by = this->StoppedBy(job, owner);
  const bool has_report = owner_load && owner_load->report_age;
  observe::LogWarn(
      "refused",
      {{"request", job.metadata.id},
       {"kind", std::string(kernel::TraitsOf(error.kind).name)},
       {"why", error.detail},
       {"service", job.service},
       {"server", job.server_id},
       {"key", has_key ? std::to_string(*job.metadata.key) : ""},
       {"owners_term", term},
       {"owner", owner},
       {"owner_load", owner_load ? FormatTenths(owner_load->requests) : ""},
       {"owner_in_flight",
        owner_load ? std::to_string(owner_load->in_flight) : ""},
       {"owner_report_age_ms",
        has_report ? FormatMs(*owner_load->report_age) : ""},
       {"stopped_by", stopped_by ? stopped_by->request_id : ""},
       {"stopped_ms_ago",
        stopped_by ? FormatMs(now - stopped_by->received_at) : ""},
       {"config_version", version},
       {"left_ms", FormatMs(job.deadline - now)},
       {"held_ms", FormatMs(now - job.arrived_at)},
       {"waiting", std::to_string(waiting)},
       {"sends", std::to_string(job.tried_servers.size())},
       {"failed_connects", std::to_string(job.failed_connects)}});
}

void Dispatcher::Finish(Job& job, net::HttpAnswer answer) {
  const net::RequestRef ref = job.ref;
  const bool caller_disconnected = job.caller_disconnected;
  this->RemoveJob(job);
  if (!caller_disconnected) this->front->Answer(ref, std::move(answer));
}

void Dispatcher::RemoveJob(Job& job) {
  if (job.is_waiting)
    this->GetOrCreateServiceState(job.service).waiting.Remove(job.id);
  this->job_ids_by_ref.erase(job.ref);
  this->jobs.erase(job.id);
}

void Dispatcher::OnCallerDisconnected(const net::RequestRef& ref) {
  const auto found = this->job_ids_by_ref.find(ref);
  if (found == this->job_ids_by_ref.end()) return;
  Job& job = *this->jobs.at(found->second);
  this->metrics.Count("chervilmux_callers_gone_total").Add();
  // A request that is not idempotent is not cancelled at the server: the server
  // finishes it, and the log records the outcome.
  if (job.transfer && !job.route->idempotent) {
    job.caller_disconnected = true;
    return;
  }
  if (job.transfer) {
    this->links.Cancel(*job.transfer);
    this->RecordCompletion(job, AttemptOutcome::kInconclusive, std::nullopt,
                           kernel::Now());
  }
  const std::string service = job.service;
  this->RemoveJob(job);
  if (!service.empty()) {
    this->DispatchQueue(this->GetOrCreateServiceState(service), kernel::Now());
  }
}

}  // namespace chervilmux::dispatch
