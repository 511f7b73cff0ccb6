// Responses that begin, and end with their connection, while the request is
// still being written: a part must not pass for the whole.
#include <catch2/catch.hpp>
#include <string>

#include "fakes/early_responder.h"
#include "fakes/gateway_fixture.h"

namespace wasabiwall::fakes {
namespace {

using std::chrono::milliseconds;
using End = EarlyResponder::End;

/// More than the sockets of a connection hold.
constexpr std::size_t kUploadBytes = 8U << 20U;

std::string Head(const std::string& fields) {
  return "HTTP/1.1 200 OK\r\nAttempt: a1\r\nSeal: s\r\n" + fields + "\r\n";
}

/// Uploads a long body to a backend server that answers early.
/// @return The caller's connection once its response has ended.
TestClient& Upload(GatewayFixture* fleet, const EarlyResponder& backend,
                   const std::string& path) {
  auto config = GatewayFixture::MakeConfig(2);
  config->limits.max_body_bytes = kUploadBytes;
  fleet->context.ApplyConfig(config);
  fleet->Register("b", backend.Address());
  TestClient& client = fleet->Connect();
  client.Send("POST " + path + " HTTP/1.1\r\nHost: host\r\nAttempt: a1\r\n" +
              "Content-Length: " + std::to_string(kUploadBytes) + "\r\n\r\n" +
              std::string(kUploadBytes, 'u'));
  fleet->RunUntil([&] { return client.Has("\r\n\r\n") || client.Ended(); });
  fleet->RunFor(milliseconds(300));
  return client;
}

TEST_CASE("a part without a length that ends amid the upload is no response") {
  const auto end = GENERATE(End::kReset, End::kClose, End::kInOrder);
  const auto read_bytes = GENERATE(as<std::size_t>(), 1, 200000);
  const auto pause = GENERATE(milliseconds(0), milliseconds(60));
  CAPTURE(static_cast<int>(end), read_bytes, pause.count());
  EarlyResponder backend({.response = Head("") + "part of the body",
                          .end = end,
                          .read_bytes = read_bytes,
                          .pause = pause});
  GatewayFixture fleet;
  const TestClient& client = Upload(&fleet, backend, "/once/x");
  CHECK(client.Status() == 502);
  CHECK_FALSE(client.Has("part of the body"));
  CHECK(backend.Requests() == 1);
}

TEST_CASE("a stream without a length that ends amid the upload is cut") {
  const auto end = GENERATE(End::kReset, End::kClose, End::kInOrder);
  const auto events =
      GENERATE(std::string(), std::string("id: 1\ndata: x\n\n"));
  CAPTURE(static_cast<int>(end), events);
  EarlyResponder backend(
      {.response = Head("Content-Type: text/event-stream\r\n") + events,
       .end = end});
  GatewayFixture fleet;
  const TestClient& client = Upload(&fleet, backend, "/talk/x");
  const bool is_cut = client.Status() == 502 || client.Broken();
  CHECK(is_cut);
  CHECK_FALSE(client.Has("\r\n0\r\n\r\n"));
}

TEST_CASE("a response whose length says so is complete amid the upload") {
  const auto end = GENERATE(End::kReset, End::kInOrder);
  EarlyResponder backend(
      {.response = Head("Content-Length: 5\r\n") + "whole", .end = end});
  GatewayFixture fleet;
  const TestClient& client = Upload(&fleet, backend, "/once/x");
  CHECK(client.Status() == 200);
  CHECK(client.Has("whole"));
}

}  // namespace
}  // namespace wasabiwall::fakes
