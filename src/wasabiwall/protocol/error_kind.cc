#include "wasabiwall/protocol/error_kind.h"

#include <nlohmann/json.hpp>

namespace wasabiwall::protocol {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kNoRetry{0};
constexpr milliseconds kShortDelay{500};
constexpr milliseconds kMediumDelay{2000};
constexpr milliseconds kLongDelay{30000};

constexpr std::array<ErrorRow, kErrorKindCount> kTable = {{
    {ErrorKind::kBadRequest, "bad_request", 400, "The request is malformed.",
     true, kNoRetry},
    {ErrorKind::kUnauthorized, "unauthorized", 401,
     "The bearer token is missing or wrong.", true, kNoRetry},
    {ErrorKind::kUnknownWorkspace, "unknown_workspace", 403,
     "The workspace does not exist or the token is not its own.", true,
     kNoRetry},
    {ErrorKind::kUnknownModel, "unknown_model", 404,
     "No pool serves this model.", true, kNoRetry},
    {ErrorKind::kUnknownService, "unknown_service", 404,
     "No such service is configured.", true, kNoRetry},
    {ErrorKind::kUnknownCall, "unknown_call", 404,
     "The service has no such call.", true, kNoRetry},
    {ErrorKind::kNotFound, "not_found", 404, "No such path.", true, kNoRetry},
    {ErrorKind::kMethodNotAllowed, "method_not_allowed", 405,
     "The path does not take this method.", true, kNoRetry},
    {ErrorKind::kBodyTooLarge, "body_too_large", 413,
     "The request is larger than the limit.", true, kNoRetry},
    {ErrorKind::kHeadTooLarge, "head_too_large", 431,
     "The headers are larger than the limit.", true, kNoRetry},
    {ErrorKind::kSlowRequest, "slow_request", 408,
     "The request did not arrive in time.", true, kShortDelay},
    {ErrorKind::kOverloaded, "overloaded", 503,
     "Every backend server is at its limit.", true, kMediumDelay},
    {ErrorKind::kWarmingUp, "warming_up", 503,
     "The backend server is warming up.", true, kMediumDelay},
    {ErrorKind::kDraining, "draining", 503,
     "The backend server takes no new work.", true, kShortDelay},
    {ErrorKind::kNoBackendServer, "no_backend_server", 503,
     "No backend server can be reached.", true, kMediumDelay},
    {ErrorKind::kDeadlineTooShort, "deadline_too_short", 503,
     "The work cannot finish before the deadline.", true, kMediumDelay},
    {ErrorKind::kWorkspaceLimit, "workspace_limit", 429,
     "The workspace has used its share.", true, kMediumDelay},
    {ErrorKind::kQuarantined, "quarantined", 422,
     "This request has crashed backend servers and is held off.", true,
     kLongDelay},
    {ErrorKind::kCrashSuspect, "crash_suspect", 503,
     "Backend servers ended while they ran this request.", true, kLongDelay},
    {ErrorKind::kKeyReused, "key_reused", 422,
     "The idempotency key was used with another body.", true, kNoRetry},
    {ErrorKind::kKeyExpired, "key_expired", 422,
     "The idempotency key is older than the retention.", true, kNoRetry},
    {ErrorKind::kNotOwner, "not_owner", 503,
     "Another backend server owns the key.", true, kShortDelay},
    {ErrorKind::kStoreUnavailable, "store_unavailable", 503,
     "The booking could not be recorded and was not run.", true, kMediumDelay},
    {ErrorKind::kStaleConfiguration, "stale_configuration", 503,
     "The process has an older configuration.", true, kShortDelay},
    {ErrorKind::kUnauthenticatedPeer, "unauthenticated_peer", 502,
     "The processes do not share a secret.", true, kNoRetry},
    {ErrorKind::kTombstoned, "tombstoned", 503,
     "The attempt was called off before it started.", true, kShortDelay},
    {ErrorKind::kUnknownAttempt, "unknown_attempt", 502,
     "The attempt is not known.", false, kShortDelay},
    {ErrorKind::kBackendServerFailed, "backend_server_failed", 502,
     "The backend server failed.", false, kShortDelay},
    {ErrorKind::kBackendServerCrashed, "backend_server_crashed", 502,
     "The backend server crashed during the call.", false, kShortDelay},
    {ErrorKind::kAnswerCut, "answer_cut", 502, "The answer is incomplete.",
     false, kShortDelay},
    {ErrorKind::kDeadlineExceeded, "deadline_exceeded", 504,
     "The answer was not complete at the deadline.", false, kShortDelay},
    {ErrorKind::kCancelled, "cancelled", 499, "The call was cancelled.", false,
     kNoRetry},
    {ErrorKind::kOutcomeUnknown, "outcome_unknown", 502,
     "The call may have run; it will not be run again.", false, kNoRetry},
    {ErrorKind::kInternal, "internal", 500, "Internal error.", false,
     kShortDelay},
}};

}  // namespace

const std::array<ErrorRow, kErrorKindCount>& ErrorTable() { return kTable; }

const ErrorRow& RowOf(ErrorKind kind) {
  return kTable.at(static_cast<std::size_t>(kind));
}

std::optional<ErrorKind> ParseErrorKind(const std::string& name) {
  for (const ErrorRow& row : kTable) {
    if (name == row.name) return row.kind;
  }
  return std::nullopt;
}

milliseconds Error::RetryAfter() const {
  return retry_after.value_or(RowOf(kind).retry_after);
}

tl::unexpected<Error> Fail(ErrorKind kind, std::string detail) {
  return tl::make_unexpected(Error{kind, std::move(detail), std::nullopt});
}

std::string ErrorBody(const Error& error) {
  const ErrorRow& row = RowOf(error.kind);
  nlohmann::json body = {
      {"type", row.name}, {"message", row.message}, {"not_run", row.not_run}};
  if (!error.detail.empty()) body["detail"] = error.detail;
  if (error.RetryAfter().count() > 0) {
    body["retry_after_ms"] = error.RetryAfter().count();
  }
  return nlohmann::json{{"error", body}}.dump(
      -1, ' ', false, nlohmann::json::error_handler_t::replace);
}

}  // namespace wasabiwall::protocol
