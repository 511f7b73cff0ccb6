#pragma once

#include <array>
#include <chrono>
#include <optional>
#include <string>
#include <tl/expected.hpp>

namespace wasabiwall::protocol {

/// Every way in which a call can fail; the table in error_kind.cc has a row for
/// each.
enum class ErrorKind {
  kBadRequest,
  kUnauthorized,
  kUnknownWorkspace,
  kUnknownModel,
  kUnknownService,
  kUnknownCall,
  kNotFound,
  kMethodNotAllowed,
  kBodyTooLarge,
  kHeadTooLarge,
  kSlowRequest,
  kOverloaded,
  kWarmingUp,
  kDraining,
  kNoBackendServer,
  kDeadlineTooShort,
  kWorkspaceLimit,
  kQuarantined,
  kCrashSuspect,
  kKeyReused,
  kKeyExpired,
  kNotOwner,
  kStoreUnavailable,
  kStaleConfiguration,
  kUnauthenticatedPeer,
  kTombstoned,
  kUnknownAttempt,
  kBackendServerFailed,
  kBackendServerCrashed,
  kAnswerCut,
  kDeadlineExceeded,
  kCancelled,
  kOutcomeUnknown,
  kInternal,
};

/// Response to the caller for an error kind.
struct ErrorRow {
  ErrorKind kind;
  /// Name used in response bodies, logs, metrics and between processes.
  const char* name;
  int http_status;
  /// Message to the caller.
  const char* message;
  /// Whether the call is guaranteed not to have run and not to run later.
  bool not_run;
  /// Delay before the caller may retry; zero when a retry cannot help.
  std::chrono::milliseconds retry_after;
};

inline constexpr std::size_t kErrorKindCount =
    static_cast<std::size_t>(ErrorKind::kInternal) + 1;

/// @return All rows in the order of the enumeration.
const std::array<ErrorRow, kErrorKindCount>& ErrorTable();

/// @return The row of a kind.
const ErrorRow& RowOf(ErrorKind kind);

/// @return The kind with this name, or nothing.
std::optional<ErrorKind> ParseErrorKind(const std::string& name);

/// A failure with its kind and a detail that is safe to show to the caller.
struct Error {
  ErrorKind kind = ErrorKind::kInternal;
  std::string detail;
  /// Overrides the retry delay of the table if set.
  std::optional<std::chrono::milliseconds> retry_after;

  /// @return Delay before the caller may retry, from this error or the table.
  std::chrono::milliseconds RetryAfter() const;
};

/// @return An error with the retry delay of the table, for use in `return`.
tl::unexpected<Error> Fail(ErrorKind kind, std::string detail = "");

/// Result of an operation that may fail with one of the kinds.
template <typename Value>
using Result = tl::expected<Value, Error>;

/// @return The JSON body of the response for an error.
std::string ErrorBody(const Error& error);

}  // namespace wasabiwall::protocol
