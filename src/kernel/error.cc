#include "kernel/error.h"

#include <array>
#include <cstdio>
#include <cstdlib>

namespace chervilmux::kernel {
namespace {

using enum ErrorKind;

constexpr auto kNotRun = Outcome::kNotRun;
constexpr auto kUnknown = Outcome::kUnknown;

constexpr auto kTable = std::to_array<ErrorTraits>({
    {kBadRequest, "bad-request", 400, kNotRun, false, 0,
     "send /{service}/{key}[/{rest}] with valid percent escapes"},
    {kBodyTooLarge, "body-too-large", 413, kNotRun, false, 0,
     "send a smaller body or raise --max-body-bytes"},
    {kHeadersTooLarge, "headers-too-large", 431, kNotRun, false, 0,
     "send fewer or shorter headers"},
    {kRequestTimeout, "request-timeout", 408, kNotRun, false, 0,
     "send the whole request sooner"},
    {kUnknownService, "unknown-service", 404, kNotRun, false, 0,
     "use one of the suggested names, or add an alias to the manifest"},
    {kNoManifest, "no-manifest", 503, kNotRun, false, 1,
     "wait: this instance has not yet heard from the platform or a peer"},
    {kNoPrimary, "no-primary", 503, kNotRun, true, 1,
     "wait: no instance in charge of this key's cell is known yet"},
    {kPrimaryUnreachable, "primary-unreachable", 503, kNotRun, true, 1,
     "wait: the instance in charge of this key's cell cannot be reached"},
    {kNotPrimary, "not-primary", 503, kNotRun, true, 1,
     "wait: leadership of this key's cell is changing"},
    {kNoOwner, "no-owner", 503, kNotRun, true, 1,
     "wait: no backend server can own this key now"},
    {kOwnershipMoving, "ownership-moving", 503, kNotRun, true, 1,
     "wait: the key is moving to another backend server"},
    {kRightLapsed, "right-lapsed", 503, kNotRun, true, 1,
     "wait: this instance is cut off and may no longer decide"},
    {kQueueFull, "queue-full", 503, kNotRun, false, 1,
     "slow down: the backend server's queue is full"},
    {kMemoryShort, "memory-short", 503, kNotRun, false, 1,
     "send it again later: the instance has no memory for its body now"},
    {kKeyShareExceeded, "key-share-exceeded", 429, kNotRun, false, 1,
     "slow down: this key already uses its share of its backend server"},
    {kDeadlineTooShort, "deadline-too-short", 503, kNotRun, false, 1,
     "allow more time: the wait for a slot exceeds the deadline"},
    {kDeadlineExceeded, "deadline-exceeded", 504, kUnknown, false, 0,
     "check whether the request took effect before repeating it"},
    {kRetryBudgetExhausted, "retry-budget-exhausted", 503, kNotRun, false, 1,
     "slow down: too many requests are being retried"},
    {kStopping, "stopping", 503, kNotRun, true, 1,
     "retry: this instance is shutting down"},
    {kStopCutOff, "stop-cut-off", 504, kUnknown, false, 0,
     "check whether the request took effect before repeating it"},
    {kServerConnect, "server-connect", 503, kNotRun, true, 1,
     "wait: the owner does not accept connections"},
    {kServerShed, "server-shed", 503, kNotRun, true, 1,
     "slow down: the backend server refused for load"},
    {kServerFenced, "server-fenced", 503, kNotRun, true, 1,
     "wait: the backend server refused an outdated fencing token"},
    {kServerSilent, "server-silent", 504, kUnknown, false, 0,
     "check whether the request took effect before repeating it"},
    {kServerBroken, "server-broken", 502, kUnknown, false, 0,
     "check whether the request took effect before repeating it"},
    {kAnswerTruncated, "answer-truncated", 502, kUnknown, false, 0,
     "check whether the request took effect before repeating it"},
    {kAnswerTooLarge, "answer-too-large", 502, kUnknown, false, 0,
     "raise --max-body-bytes or ask for less"},
    {kRelayLost, "relay-lost", 502, kUnknown, false, 0,
     "check whether the request took effect before repeating it"},
    {kCallerGone, "caller-gone", 499, kUnknown, false, 0,
     "nothing: the caller closed its connection"},
    {kStoreUnavailable, "store-unavailable", 503, kNotRun, true, 1,
     "check the platform's table service"},
    {kStoreConflict, "store-conflict", 409, kNotRun, false, 0,
     "read the newest revision and try again"},
    {kStoreRegressed, "store-regressed", 503, kNotRun, false, 0,
     "check the platform's table service: it returned an older revision"},
    {kManifestInvalid, "manifest-invalid", 400, kNotRun, false, 0,
     "correct the named line of the manifest"},
    {kSettingInvalid, "setting-invalid", 400, kNotRun, false, 0,
     "correct the named flag or environment variable"},
    {kMessageMalformed, "message-malformed", 400, kNotRun, false, 0,
     "check that all instances run compatible versions"},
    {kInternal, "internal", 500, kUnknown, false, 0,
     "report this with the log line that names it"},
});

}  // namespace

std::span<const ErrorTraits> AllErrorTraits() { return kTable; }

const ErrorTraits& TraitsOf(ErrorKind kind) {
  const auto& traits = kTable.at(static_cast<std::size_t>(kind));
  if (traits.kind != kind) InternalError("error table is out of order");
  return traits;
}

std::string_view NameOf(Outcome outcome) {
  switch (outcome) {
    case Outcome::kAnswered:
      return "answered";
    case Outcome::kNotRun:
      return "not-run";
    case Outcome::kUnknown:
      return "unknown";
  }
  InternalError("outcome outside its list");
}

void InternalError(std::string_view what) {
  std::fprintf(stderr, "chervilmux: internal error: %.*s; please report it\n",
               static_cast<int>(what.size()), what.data());
  std::abort();
}

}  // namespace chervilmux::kernel
