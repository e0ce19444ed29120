// Dispatcher: what follows an attempt at a server, and the one final answer.

#include <algorithm>
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

/// After an answer that a server does not own the key, until a newer table is
/// likely to be here.
constexpr Duration kOwnerRefresh = milliseconds(60);
/// Sends beyond a route's attempts that servers may refuse without running.
constexpr unsigned kExtraSends = 2;
/// Connections that may fail before a request is given up.
constexpr unsigned kMaxFailedConnects = 3;
/// One in so many answered requests gets a line in the log.
constexpr std::uint64_t kAnsweredLogSample = 64;

/// The labels of a service's requests that ended in one way.
std::string Outcome(std::string_view service, std::string_view outcome) {
  return observe::Label("service", service) + "," +
         observe::Label("outcome", outcome);
}

std::string Ms(Duration duration) {
  return std::to_string(kernel::ToMs(duration));
}

}  // namespace

void Dispatcher::OnTransfer(std::uint64_t job_id, net::TransferResult result) {
  const auto found = this->jobs.find(job_id);
  if (found == this->jobs.end()) return;
  Job& job = *found->second;
  job.transfer.reset();
  const Instant now = kernel::Now();
  const std::string service = job.service;
  if (result.possibly_sent) {
    job.tried.push_back(job.server_id);
  }
  if (result.end == net::TransferEnd::kComplete) {
    this->OnAnswer(job, std::move(result.answer), now);
  } else {
    this->OnFailedTransfer(job, result, now);
  }
  this->PlaceWaiting(this->StateOf(service), now);
}

void Dispatcher::NoteEnd(Job& job, AttemptOutcome end,
                         const std::optional<policy::ReportedLoad>& load,
                         Instant now) {
  ServiceState& state = this->StateOf(job.service);
  state.loads.OnCompletion(job.server_id, end, now - job.sent_at, load, now);
  state.rate.OnCompletion(now);
}

void Dispatcher::OnAnswer(Job& job, net::HttpAnswer answer, Instant now) {
  const AnswerInfo info = this->wire.ClassifyAnswer(answer);
  if (info.not_run) {
    this->OnNotRun(job, info, now);
    return;
  }
  job.possible_runs += 1;
  const bool failed = answer.status >= 500 || info.status_implies_not_run;
  if (!failed && !info.signed_by_server && answer.status < 300) {
    this->NoteEnd(job, AttemptOutcome::kBroken, info.load, now);
    if (this->MayRepeat(job, ErrorKind::kAnswerTruncated, now)) return;
    this->Refuse(job, ErrorKind::kAnswerTruncated,
                 "the answer lacks the server's mark", {});
    return;
  }
  this->NoteEnd(job,
                failed ? AttemptOutcome::kServerError : AttemptOutcome::kServed,
                info.load, now);
  if (failed && this->MayRepeat(job, ErrorKind::kServerBroken, now)) return;
  if (info.status_implies_not_run) {
    this->Refuse(job, ErrorKind::kServerBroken,
                 "the server's status would say that nothing was run", {});
    return;
  }
  this->NoteAnswered(job, answer.status, now);
  this->Finish(job, this->wire.MakeCallerAnswer(std::move(answer)));
}

/// The server said that it did not run the request.
void Dispatcher::OnNotRun(Job& job, const AnswerInfo& info, Instant now) {
  AttemptOutcome end = AttemptOutcome::kShed;
  if (info.misdirected) {
    // Without keys, another server at the address means that this one is gone.
    end = job.keyed ? AttemptOutcome::kAbandoned : AttemptOutcome::kUnreachable;
  }
  this->NoteEnd(job, end, info.load, now);
  if (info.misdirected && job.keyed && this->on_stale_owners) {
    this->on_stale_owners(job.service);
    job.place_after = now + kOwnerRefresh;
    job.disowned_fence = job.owner_fence;
  }
  const ErrorKind kind =
      info.misdirected ? ErrorKind::kServerFenced : ErrorKind::kServerShed;
  // A server that refuses for load knows best, and a key has no other one.
  const bool full = !info.load || !info.load->HasFreeSlot();
  const bool owner_full = job.keyed && full && kind == ErrorKind::kServerShed;
  if (!owner_full && this->MayRepeat(job, kind, now)) return;
  this->Refuse(job, kind, "the server did not run it",
               this->StateOf(job.service).loads.WorkTime());
}

void Dispatcher::NoteAnswered(const Job& job, unsigned status, Instant now) {
  this->metrics
      .Count("chervilmux_answered_total",
             observe::Label("service", job.service))
      .Add();
  this->metrics
      .Time("chervilmux_request_seconds", Outcome(job.service, "answered"))
      .Observe(now - job.arrived);
  this->metrics
      .Time("chervilmux_server_seconds", observe::Label("service", job.service))
      .Observe(now - job.sent_at);
  if (status < 500 && job.id % kAnsweredLogSample != 0) return;
  observe::LogInfo("answered", {{"request", job.metadata.id},
                                {"service", job.service},
                                {"server", job.server_id},
                                {"status", std::to_string(status)},
                                {"took_ms", Ms(now - job.arrived)},
                                {"sends", std::to_string(job.tried.size())}});
}

void Dispatcher::OnFailedTransfer(Job& job, const net::TransferResult& result,
                                  Instant now) {
  using net::TransferEnd;
  ErrorKind kind = ErrorKind::kServerBroken;
  AttemptOutcome end = AttemptOutcome::kBroken;
  switch (result.end) {
    case TransferEnd::kNotSent:
      kind = ErrorKind::kServerConnect;
      end = AttemptOutcome::kUnreachable;
      job.failed_connects += 1;
      break;
    case TransferEnd::kTimedOut:
      kind = ErrorKind::kServerSilent;
      end = AttemptOutcome::kSilent;
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
  if (result.possibly_sent) {
    job.possible_runs += 1;
    // What ended this connection may have ended its idle companions too.
    if (result.reused_connection) this->links.CloseIdle(job.server_address);
  }
  this->NoteEnd(job, end, std::nullopt, now);
  if (this->MayRepeat(job, kind, now)) return;
  if (job.possible_runs == 0) kind = ErrorKind::kServerConnect;
  this->Refuse(job, kind, "the exchange with the server failed", kNotReadyWait);
}

bool Dispatcher::MayRepeat(Job& job, ErrorKind failure, Instant now) {
  ServiceState& state = this->StateOf(job.service);
  const bool never_sent = failure == ErrorKind::kServerConnect;
  const bool not_run = never_sent || failure == ErrorKind::kServerShed ||
                       failure == ErrorKind::kServerFenced;
  if (job.caller_left || (!not_run && !job.route->idempotent)) return false;
  if (now + state.loads.WorkTime() / 2 >= job.deadline) return false;
  const unsigned sends = static_cast<unsigned>(job.tried.size());
  const bool enough_sends = sends >= job.route->max_attempts + kExtraSends ||
                            job.possible_runs >= job.route->max_attempts;
  if (never_sent ? job.failed_connects >= kMaxFailedConnects : enough_sends) {
    return false;
  }
  if (!never_sent && !state.budget.TryConsume()) {
    this->metrics.Count("chervilmux_repeat_denied_total").Add();
    return false;
  }
  this->metrics.CountError("chervilmux_repeats_total", failure);
  observe::LogInfo("repeat",
                   {{"request", job.metadata.id},
                    {"service", job.service},
                    {"after_server", job.server_id},
                    {"failure", std::string(kernel::TraitsOf(failure).name)},
                    {"left_ms", Ms(job.deadline - now)},
                    {"sends", std::to_string(sends)}});
  this->Place(job, now);
  return true;
}

void Dispatcher::Refuse(Job& job, ErrorKind kind, std::string_view why,
                        Duration expected_wait) {
  // "Not run" must be true also after an earlier attempt of this request.
  const bool says_not_run =
      kernel::TraitsOf(kind).outcome == kernel::Outcome::kNotRun;
  if (job.possible_runs > 0 && says_not_run) kind = ErrorKind::kServerBroken;
  const kernel::Outcome outcome = kernel::TraitsOf(kind).outcome;
  const kernel::Error error{kind, std::string(why)};
  this->metrics.CountError("chervilmux_refused_total", kind);
  this->metrics
      .Time("chervilmux_request_seconds",
            Outcome(job.service, kernel::NameOf(outcome)))
      .Observe(kernel::Now() - job.arrived);
  this->LogFailure(job, error);
  const Duration come_back =
      expected_wait.count() > 0
          ? policy::RetryAfter(expected_wait, this->Random())
          : Duration(0);
  this->Finish(job, this->wire.MakeRefusal(error, come_back, job.metadata.id));
}

void Dispatcher::LogFailure(const Job& job, const kernel::Error& error) const {
  const Instant now = kernel::Now();
  const std::string version =
      this->config ? std::to_string(this->config->version) : "none";
  const auto state = this->services.find(job.service);
  const bool has_state = state != this->services.end();
  const std::size_t waiting =
      has_state ? state->second->waiting.size() : std::size_t{0};
  std::string term;
  if (job.keyed && has_state && state->second->owners) {
    term = std::to_string(state->second->owners->term);
  }
  observe::LogWarn("refused",
                   {{"request", job.metadata.id},
                    {"kind", std::string(kernel::TraitsOf(error.kind).name)},
                    {"why", error.detail},
                    {"service", job.service},
                    {"server", job.server_id},
                    {"key", job.keyed ? std::to_string(*job.metadata.key) : ""},
                    {"owners_term", term},
                    {"config_version", version},
                    {"left_ms", Ms(job.deadline - now)},
                    {"held_ms", Ms(now - job.arrived)},
                    {"waiting", std::to_string(waiting)},
                    {"sends", std::to_string(job.tried.size())},
                    {"failed_connects", std::to_string(job.failed_connects)}});
}

void Dispatcher::Finish(Job& job, net::HttpAnswer answer) {
  const net::RequestRef ref = job.ref;
  const bool caller_left = job.caller_left;
  this->Forget(job);
  if (!caller_left) this->front->Answer(ref, std::move(answer));
}

void Dispatcher::Forget(Job& job) {
  if (job.waits) std::erase(this->StateOf(job.service).waiting, job.id);
  this->by_ref.erase(job.ref);
  this->jobs.erase(job.id);
}

void Dispatcher::OnCallerDisconnected(const net::RequestRef& ref) {
  const auto found = this->by_ref.find(ref);
  if (found == this->by_ref.end()) return;
  Job& job = *this->jobs.at(found->second);
  this->metrics.Count("chervilmux_callers_gone_total").Add();
  // Work that must not be repeated is not cut off halfway: the server finishes
  // it, and the log tells its outcome.
  if (job.transfer && !job.route->idempotent) {
    job.caller_left = true;
    return;
  }
  if (job.transfer) {
    this->links.Cancel(*job.transfer);
    this->NoteEnd(job, AttemptOutcome::kAbandoned, std::nullopt, kernel::Now());
  }
  const std::string service = job.service;
  this->Forget(job);
  if (!service.empty()) {
    this->PlaceWaiting(this->StateOf(service), kernel::Now());
  }
}

}  // namespace chervilmux::dispatch
