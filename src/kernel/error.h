/// \file
/// Defines the closed list of error kinds and the table from kind to answer.
///
/// Every refusal that a caller can see, and every internal failure, is one of
/// these kinds. A kind decides the HTTP status, the outcome that the caller is
/// told and whether waiting helps, so that two places never word the same
/// failure differently.

#ifndef CHERVILMUX_KERNEL_ERROR_H_
#define CHERVILMUX_KERNEL_ERROR_H_

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/all_narrow.hpp>
#include <boost/outcome/try.hpp>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <utility>

namespace chervilmux::kernel {

/// What a caller may conclude about its request.
enum class Outcome : std::uint8_t {
  kAnswered,  ///< The backend server's whole answer is enclosed.
  kNotRun,    ///< The request was not and will not be executed.
  kUnknown,   ///< The request may or may not have been executed.
};

enum class ErrorKind : std::uint8_t {
  kBadRequest,
  kBodyTooLarge,
  kHeadersTooLarge,
  kRequestTimeout,
  kUnknownService,
  kNoManifest,
  kNoPrimary,
  kPrimaryUnreachable,
  kNotPrimary,
  kNoOwner,
  kOwnershipMoving,
  kRightLapsed,
  kQueueFull,
  kMemoryShort,
  kKeyShareExceeded,
  kDeadlineTooShort,
  kDeadlineExceeded,
  kRetryBudgetExhausted,
  kStopping,
  kStopCutOff,
  kServerConnect,
  kServerShed,
  kServerFenced,
  kServerSilent,
  kServerBroken,
  kAnswerTruncated,
  kAnswerTooLarge,
  kRelayLost,
  kCallerGone,
  kStoreUnavailable,
  kStoreConflict,
  kStoreRegressed,
  kManifestInvalid,
  kSettingInvalid,
  kMessageMalformed,
  kInternal,
};

/// How one error kind is answered.
struct ErrorTraits {
  ErrorKind kind;
  std::string_view name;  ///< Stable machine-readable name.
  std::uint16_t status;   ///< HTTP status towards callers.
  Outcome outcome;        ///< What the caller may conclude.
  bool retryable;         ///< Whether this system may try again by itself.
  std::uint16_t retry_after_s;  ///< Seconds for Retry-After; 0 means none.
  std::string_view advice;      ///< What the reader can do about it.
};

/// The whole table, in the order of ErrorKind.
std::span<const ErrorTraits> AllErrorTraits();

/// The row of `kind`.
const ErrorTraits& TraitsOf(ErrorKind kind);

/// The name callers and logs see for `outcome`.
std::string_view NameOf(Outcome outcome);

/// One failure: its kind and what exactly went wrong.
struct Error {
  ErrorKind kind;
  std::string detail;
};

/// Either a value or an Error.
template <typename T>
using Result = BOOST_OUTCOME_V2_NAMESPACE::basic_result<
    T, Error, BOOST_OUTCOME_V2_NAMESPACE::policy::all_narrow>;

/// Builds the failure side of a Result.
inline auto Fail(ErrorKind kind, std::string detail) {
  return BOOST_OUTCOME_V2_NAMESPACE::failure(Error{kind, std::move(detail)});
}

/// The success side of a Result<void>.
inline auto Ok() { return BOOST_OUTCOME_V2_NAMESPACE::success(); }

/// An invariant of this program is broken: a fault in chervilmux, not in what
/// the user did. Logs and aborts, because continuing could break a promise.
[[noreturn]] void InternalError(std::string_view what);

}  // namespace chervilmux::kernel

#endif  // CHERVILMUX_KERNEL_ERROR_H_
