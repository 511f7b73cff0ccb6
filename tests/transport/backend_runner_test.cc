#include "wasabiwall/transport/backend_runner.h"

#include <catch2/catch.hpp>
#include <future>

#include "fakes/early_responder.h"
#include "fakes/test_port.h"
#include "wasabiwall/transport/http_server.h"

namespace wasabiwall::transport {
namespace {

constexpr std::chrono::milliseconds kTimeout{5000};

/// @return Error kind of an attempt at a backend server; empty for a complete
/// answer.
std::string ErrorOf(const std::string& address,
                    protocol::gen::SubmitRequest request) {
  BackendRunner runner([&] { return "http://" + address; }, 1,
                       [](const auto&) { return std::nullopt; });
  request.method = "POST";
  request.deadline_ms = kTimeout.count();
  const auto attempt = std::make_shared<state::Attempt>();
  std::promise<void> ended;
  runner.Run(request, attempt, [&] { ended.set_value(); });
  REQUIRE(ended.get_future().wait_for(kTimeout) == std::future_status::ready);
  runner.Stop();
  return attempt->Read(0, 1U << 20U, kTimeout).end.error_kind;
}

/// @return Error kind of an attempt at an engine that streams `answer` and then
/// ends its response; empty for a complete answer.
std::string ErrorAfter(const std::string& answer, int port,
                       const std::string& type = "text/event-stream") {
  HttpServer engine({.address = fakes::TestAddress(port)},
                    [&](const auto&, const auto& response) {
                      response->Begin(200, type);
                      response->Write(answer);
                      response->End();
                    });
  REQUIRE(engine.Start());
  protocol::gen::SubmitRequest request;
  request.path = "/v1/chat/completions";
  request.idempotent = true;
  request.streaming = true;
  std::string error = ErrorOf(fakes::TestAddress(port), request);
  engine.Stop(kTimeout);
  return error;
}

TEST_CASE("a chat answer that breaks off while it quotes the end mark is cut",
          "[runner]") {
  const std::string event = "data: {\"text\":\"a\"}\n\n";
  CHECK(ErrorAfter(event + "data: [DONE]\n\n", 8).empty());
  CHECK(ErrorAfter(event, 9) == "answer_cut");
  CHECK(ErrorAfter(event + "data: {\"text\":\"send data: [DONE] at", 10) ==
        "answer_cut");
}

TEST_CASE("a cut chat answer is cut however its media type is written",
          "[runner]") {
  const std::string event = "data: {\"text\":\"a\"}\n\n";
  CHECK(ErrorAfter(event, 12, "Text/Event-Stream; charset=utf-8") ==
        "answer_cut");
  CHECK(ErrorAfter(event, 13, "") == "answer_cut");
  CHECK(ErrorAfter("{}", 14, "application/json").empty());
}

/// @return Error kind of an upload to a backend server; empty for a complete
/// answer.
std::string ErrorOfUpload(const fakes::EarlyResponder& backend, bool idempotent,
                          std::size_t upload_bytes) {
  protocol::gen::SubmitRequest request;
  request.path = "/x";
  request.body = std::string(upload_bytes, 'u');
  request.idempotent = idempotent;
  return ErrorOf(backend.Address(), request);
}

// The end of the connection passed for the end of the body.
TEST_CASE("a part without a length that ends amid the upload is no answer",
          "[runner]") {
  using End = fakes::EarlyResponder::End;
  const auto end = GENERATE(End::kReset, End::kClose, End::kInOrder);
  const auto pause =
      GENERATE(std::chrono::milliseconds(0), std::chrono::milliseconds(60));
  CAPTURE(static_cast<int>(end), pause.count());
  const fakes::EarlyResponder backend(
      {.response = "HTTP/1.1 200 OK\r\n\r\npart of the body",
       .end = end,
       .pause = pause});
  constexpr std::size_t upload_bytes = 8U << 20U;
  CHECK(ErrorOfUpload(backend, true, upload_bytes) == "backend_server_crashed");
  CHECK(ErrorOfUpload(backend, false, upload_bytes) == "outcome_unknown");
}

// Callers were told that the call had not run.
TEST_CASE("a status outside of 100 to 599 is no answer of an engine",
          "[runner]") {
  const auto status = GENERATE(as<std::string>(), "000", "099", "20", "600",
                               "999", "1000", "101", "-20", "abc", "");
  CAPTURE(status);
  const fakes::EarlyResponder backend(
      {.response = "HTTP/1.1 " + status + " X\r\nContent-Length: 4\r\n\r\nbody",
       .end = fakes::EarlyResponder::End::kInOrder,
       .read_bytes = 200});
  // The call may have run, so that none of these errors may say it has not.
  const std::string repeatable = ErrorOfUpload(backend, true, 100);
  const bool is_failure = repeatable == "backend_server_crashed" ||
                          repeatable == "backend_server_failed";
  CHECK(is_failure);
  CHECK(ErrorOfUpload(backend, false, 100) == "outcome_unknown");
}

}  // namespace
}  // namespace wasabiwall::transport
