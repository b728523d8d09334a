// All error kinds, and the table that maps each kind to the answer that a
// caller gets. The HTTP status of an error is defined only here.

#ifndef QH_CORE_ERRORS_ERROR_KIND_H_
#define QH_CORE_ERRORS_ERROR_KIND_H_

#include <chrono>
#include <span>
#include <string_view>
#include <system_error>

namespace qh {

// Whether a backend server executed a refused or failed request. kNo guarantees
// that no byte of the request can have reached a backend server.
enum class Executed { kNo, kYes, kUnknown };

enum class LogLevel { kDebug, kInfo, kWarning, kError };

enum class ErrorKind {
  // Errors of the caller.
  kMalformedRequest,
  kUnauthorized,
  kForbidden,
  kUnknownModel,
  kUnknownRoute,
  kUnknownRequest,
  kBodyTooLarge,
  kHeadersTooLarge,
  kMissingIdempotencyKey,
  kIdempotencyKeyReused,
  kRequestInProgress,
  kRequestTimeout,
  // Refusals: the request was not executed.
  kTeamLimit,
  kOverloaded,
  kDeadlineUnreachable,
  kNoServer,
  kClaimUnavailable,
  kNotReady,
  kDraining,
  kQuarantined,
  kPromptPartBlocked,
  // Failures after dispatch.
  kServerFailed,
  kServerTimeout,
  kOutcomeUnknown,
  kAnswerNotKept,
  kMalformedAnswer,
  // Internal errors, and errors shown to operators.
  kConfigInvalid,
  kConfigConflict,
  kStoreUnavailable,
  kStoreConflict,
  kStoreNotFound,
  kStoreAmbiguous,
  kStoreThrottled,
  kLeaseLost,
  kPeerUnreachable,
  kPeerMalformed,
  kInternal,
};

// One row of the answer table.
struct ErrorAnswer {
  ErrorKind kind;
  // Name in problem documents, logs and metrics; never changes.
  std::string_view name;
  // HTTP status of the answer.
  int status;
  Executed executed;
  // Shortest time after which the caller should retry; zero sends no
  // Retry-After.
  std::chrono::seconds retry_after;
  LogLevel level;
  // One sentence for human readers.
  std::string_view title;
};

// Returns the row for `kind`.
const ErrorAnswer& AnswerFor(ErrorKind kind);

// Returns every row, in the order of the enum.
std::span<const ErrorAnswer> AnswerTable();

// Returns "no", "yes" or "unknown".
std::string_view ToString(Executed executed);

// Converts `kind` to a std::error_code.
std::error_code make_error_code(ErrorKind kind);

}  // namespace qh

template <>
struct std::is_error_code_enum<qh::ErrorKind> : std::true_type {};

#endif  // QH_CORE_ERRORS_ERROR_KIND_H_
