#include "wasabiwall/protocol/error_kind.h"

#include <nlohmann/json.hpp>

namespace wasabiwall::protocol {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kNever{0};
constexpr milliseconds kSoon{500};
constexpr milliseconds kLater{2000};
constexpr milliseconds kMuchLater{30000};

constexpr std::array<ErrorRow, kErrorKindCount> kTable = {{
    {ErrorKind::kBadRequest, "bad_request", 400, "The request is malformed.",
     true, kNever},
    {ErrorKind::kUnauthorized, "unauthorized", 401,
     "The bearer token is missing or wrong.", true, kNever},
    {ErrorKind::kUnknownWorkspace, "unknown_workspace", 403,
     "The workspace does not exist or the token is not its own.", true, kNever},
    {ErrorKind::kUnknownModel, "unknown_model", 404,
     "No pool serves this model.", true, kNever},
    {ErrorKind::kUnknownService, "unknown_service", 404,
     "No such service is configured.", true, kNever},
    {ErrorKind::kUnknownCall, "unknown_call", 404,
     "The service has no such call.", true, kNever},
    {ErrorKind::kNotFound, "not_found", 404, "No such path.", true, kNever},
    {ErrorKind::kMethodNotAllowed, "method_not_allowed", 405,
     "The path does not take this method.", true, kNever},
    {ErrorKind::kBodyTooLarge, "body_too_large", 413,
     "The request is larger than the limit.", true, kNever},
    {ErrorKind::kHeadTooLarge, "head_too_large", 431,
     "The headers are larger than the limit.", true, kNever},
    {ErrorKind::kSlowRequest, "slow_request", 408,
     "The request did not arrive in time.", true, kSoon},
    {ErrorKind::kOverloaded, "overloaded", 503,
     "Every backend server is at its limit.", true, kLater},
    {ErrorKind::kWarmingUp, "warming_up", 503,
     "The backend server is warming up.", true, kLater},
    {ErrorKind::kDraining, "draining", 503,
     "The backend server takes no new work.", true, kSoon},
    {ErrorKind::kNoBackendServer, "no_backend_server", 503,
     "No backend server can be reached.", true, kLater},
    {ErrorKind::kDeadlineTooShort, "deadline_too_short", 503,
     "The work cannot finish before the deadline.", true, kLater},
    {ErrorKind::kWorkspaceLimit, "workspace_limit", 429,
     "The workspace has used its share.", true, kLater},
    {ErrorKind::kQuarantined, "quarantined", 422,
     "This request has crashed backend servers and is held off.", true,
     kMuchLater},
    {ErrorKind::kKeyReused, "key_reused", 422,
     "The idempotency key was used with another body.", true, kNever},
    {ErrorKind::kKeyExpired, "key_expired", 422,
     "The idempotency key is older than the retention.", true, kNever},
    {ErrorKind::kNotOwner, "not_owner", 503,
     "Another backend server owns the key.", true, kSoon},
    {ErrorKind::kStoreUnavailable, "store_unavailable", 503,
     "The booking could not be recorded and was not run.", true, kLater},
    {ErrorKind::kStaleConfiguration, "stale_configuration", 503,
     "The process has an older configuration.", true, kSoon},
    {ErrorKind::kUnauthenticatedPeer, "unauthenticated_peer", 502,
     "The processes do not share a secret.", true, kNever},
    {ErrorKind::kTombstoned, "tombstoned", 503,
     "The attempt was called off before it started.", true, kSoon},
    {ErrorKind::kUnknownAttempt, "unknown_attempt", 502,
     "The attempt is not known.", false, kSoon},
    {ErrorKind::kBackendServerFailed, "backend_server_failed", 502,
     "The backend server failed.", false, kSoon},
    {ErrorKind::kBackendServerCrashed, "backend_server_crashed", 502,
     "The backend server crashed during the call.", false, kSoon},
    {ErrorKind::kAnswerCut, "answer_cut", 502, "The answer is incomplete.",
     false, kSoon},
    {ErrorKind::kDeadlineExceeded, "deadline_exceeded", 504,
     "The answer was not complete at the deadline.", false, kSoon},
    {ErrorKind::kCancelled, "cancelled", 499, "The call was cancelled.", false,
     kNever},
    {ErrorKind::kOutcomeUnknown, "outcome_unknown", 502,
     "The call may have run; it will not be run again.", false, kNever},
    {ErrorKind::kInternal, "internal", 500, "Internal error.", false, kSoon},
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
