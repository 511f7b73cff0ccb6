#include "wasabiwall/protocol/error_kind.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <set>

namespace wasabiwall::protocol {

TEST_CASE("every error kind has a complete row with a unique name",
          "[error_kind]") {
  std::set<std::string> names;
  for (std::size_t i = 0; i < kErrorKindCount; ++i) {
    const auto kind = static_cast<ErrorKind>(i);
    const ErrorRow& row = RowOf(kind);
    INFO(row.name);
    CHECK(row.kind == kind);
    CHECK(names.insert(row.name).second);
    CHECK(row.http_status >= 400);
    CHECK(row.http_status <= 599);
    CHECK(ParseErrorKind(row.name) == kind);
    const auto body = nlohmann::json::parse(ErrorBody({kind, "", {}}));
    CHECK(body["error"]["type"] == row.name);
    CHECK(body["error"]["not_run"] == row.not_run);
    CHECK(body["error"].contains("retry_after_ms") ==
          (row.retry_after.count() > 0));
  }
}

TEST_CASE("errors with status 429 or 503 have a retry delay", "[error_kind]") {
  for (const ErrorRow& row : ErrorTable()) {
    INFO(row.name);
    const bool rejected = row.http_status == 503 || row.http_status == 429;
    if (rejected) CHECK(row.retry_after.count() > 0);
  }
}

TEST_CASE("errors that can occur after dispatch are not marked as not run",
          "[error_kind]") {
  const ErrorKind kinds[] = {
      ErrorKind::kBackendServerFailed, ErrorKind::kBackendServerCrashed,
      ErrorKind::kAnswerCut,           ErrorKind::kDeadlineExceeded,
      ErrorKind::kCancelled,           ErrorKind::kOutcomeUnknown,
      ErrorKind::kUnknownAttempt,      ErrorKind::kInternal,
  };
  for (const ErrorKind kind : kinds) CHECK_FALSE(RowOf(kind).not_run);
}

TEST_CASE(
    "quotes, newlines and invalid UTF-8 in a detail yield a valid JSON body",
    "[error_kind]") {
  const std::string body = ErrorBody({ErrorKind::kBadRequest, "a\"\n\xff", {}});
  CHECK(nlohmann::json::parse(body).is_object());
}

}  // namespace wasabiwall::protocol
