#include "wasabiwall/transport/backend_runner.h"

#include <optional>
#include <utility>

#include "wasabiwall/protocol/event_stream.h"
#include "wasabiwall/transport/http1_message.h"
#include "wasabiwall/transport/http_client.h"

namespace wasabiwall::transport {
namespace {

using protocol::ErrorKind;
using protocol::RowOf;

constexpr std::size_t kMaxQueuedAttempts = 4096;
/// Bytes at the end of an answer that are kept to look for its end mark.
constexpr std::size_t kTailBytes = 64;

ErrorKind KindOf(HttpFailure failure, bool idempotent) {
  switch (failure) {
    case HttpFailure::kNotConnected:
      return ErrorKind::kNoBackendServer;
    case HttpFailure::kCancelled:
      return ErrorKind::kCancelled;
    case HttpFailure::kTimeout:
      return idempotent ? ErrorKind::kDeadlineExceeded
                        : ErrorKind::kOutcomeUnknown;
    case HttpFailure::kBroken:
      return idempotent ? ErrorKind::kBackendServerCrashed
                        : ErrorKind::kOutcomeUnknown;
    case HttpFailure::kTooLarge:
      return ErrorKind::kAnswerCut;
  }
  return ErrorKind::kInternal;
}

/// Why a response that arrived is no answer.
std::optional<ErrorKind> FaultOf(const HttpResponse& response, bool saw_end,
                                 const protocol::gen::SubmitRequest& request) {
  // What a non-idempotent call answered is its outcome, whatever the status.
  if (!request.idempotent) return std::nullopt;
  if (response.status >= 500) return ErrorKind::kBackendServerFailed;
  const bool typed = !response.content_type.empty();
  const bool stream =
      protocol::MayBeEventStream(response.content_type) &&
      (typed || (request.streaming && IsSuccess(response.status)));
  if (stream && !saw_end) return ErrorKind::kAnswerCut;
  return std::nullopt;
}

}  // namespace

BackendRunner::BackendRunner(
    std::function<std::string()> base_url, int max_threads,
    std::function<std::optional<ErrorKind>(const protocol::gen::SubmitRequest&)>
        check)
    : m_base_url(std::move(base_url)),
      m_check(std::move(check)),
      m_workers(max_threads, kMaxQueuedAttempts) {}

void BackendRunner::Run(const protocol::gen::SubmitRequest& request,
                        const std::shared_ptr<state::Attempt>& answer,
                        const std::function<void()>& on_ended) {
  auto task = [this, request, answer, on_ended] {
    RunNow(request, answer.get());
    on_ended();
  };
  if (m_workers.Run(std::move(task))) return;
  answer->Finish(RowOf(ErrorKind::kOverloaded).name, "");
  on_ended();
}

void BackendRunner::Stop() { m_workers.Stop(); }

void BackendRunner::RunNow(const protocol::gen::SubmitRequest& request,
                           state::Attempt* answer) {
  const std::optional<ErrorKind> refusal = m_check(request);
  if (refusal) {
    answer->Finish(RowOf(*refusal).name, "");
    return;
  }
  HttpRequest http;
  http.send_once = true;
  http.method = request.method;
  http.url = m_base_url() + request.path;
  http.body = request.body;
  http.headers = {{"Content-Type", "application/json"},
                  {"X-Request-Id", request.request_id},
                  {"X-Attempt-Id", request.attempt_id},
                  {"X-Chat-Id", request.chat_id}};
  if (!request.idempotency_key.empty()) {
    http.headers.push_back({"Idempotency-Key", request.idempotency_key});
  }
  http.total_timeout = std::chrono::milliseconds(request.deadline_ms);
  std::string tail;
  bool failed = false;
  http.on_head = [&](int status, const std::string& content_type) {
    failed = request.idempotent && status >= 500;
    answer->SetHead(status, content_type);
  };
  http.on_data = [&](std::string_view data) {
    if (failed) return;
    answer->Append(data);
    tail.append(data);
    if (tail.size() > kTailBytes) tail.erase(0, tail.size() - kTailBytes);
  };
  http.cancelled = [&] { return answer->IsCancelled(); };
  const auto response = HttpClient::Send(http);
  if (!response) {
    answer->Finish(RowOf(KindOf(response.error(), request.idempotent)).name,
                   "");
    return;
  }
  const bool saw_end = protocol::EndsWithDoneMark(tail);
  const std::optional<ErrorKind> fault = FaultOf(*response, saw_end, request);
  answer->Finish(fault ? RowOf(*fault).name : "", "");
}

}  // namespace wasabiwall::transport
