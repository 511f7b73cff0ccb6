// Responses without a body end with their head: what follows on a connection is
// the response to the next request, or nothing.
#include <catch2/catch.hpp>
#include <string>

#include "fakes/gateway_fixture.h"

namespace wasabiwall::fakes {
namespace {

using std::chrono::milliseconds;

/// A response that has no body.
struct Bodiless {
  std::string method;
  int status = 0;
  /// Framing that the backend server announces all the same.
  std::string framing;
};

std::string RequestOf(const std::string& method, const std::string& path,
                      const std::string& id, const std::string& fields) {
  return method + " " + path + " HTTP/1.1\r\nHost: host\r\nAttempt: " + id +
         "\r\n" + fields + "\r\n";
}

/// Sends a call that gets such a response and, on the same connection, one that
/// gets an ordinary one.
/// @return All that the caller received.
std::string TwoResponses(const Bodiless& response, const std::string& path,
                         const std::string& fields) {
  GatewayFixture fleet;
  fleet.AddBackend("b", [&](const ScriptedBackend::Received& call) {
    const std::string id = *call.head.headers.Find("Attempt");
    if (id != "a1") {
      call.session->Write(PlainAnswer(id, 200, "second"));
      return;
    }
    call.session->Write("HTTP/1.1 " + std::to_string(response.status) +
                        " X\r\nAttempt: a1\r\nSeal: s\r\n" + response.framing +
                        "\r\n");
  });
  TestClient& client = fleet.Connect();
  client.Send(RequestOf(response.method, path, "a1", fields));
  CHECK(fleet.RunUntil([&] { return client.Has("\r\n\r\n"); }));
  fleet.RunFor(milliseconds(20));
  client.Send(RequestOf("GET", "/safe/x", "a2", ""));
  fleet.RunUntil([&] { return client.Has("second"); });
  return client.Received();
}

TEST_CASE("responses without a body end with their head") {
  const auto response = GENERATE(values<Bodiless>({{"GET", 204, ""},
                                                   {"POST", 204, ""},
                                                   {"GET", 304, ""},
                                                   {"HEAD", 200, ""},
                                                   {"HEAD", 404, ""}}));
  const auto framing = GENERATE(as<std::string>(), "", "Content-Length: 5\r\n",
                                "Transfer-Encoding: chunked\r\n",
                                "Content-Type: text/event-stream\r\n"
                                "Transfer-Encoding: chunked\r\n");
  const auto path =
      GENERATE(as<std::string>(), "/safe/x", "/once/x", "/chat/x", "/talk/x");
  const auto fields = GENERATE(as<std::string>(), "", "Last-Event-ID: 7\r\n");
  CAPTURE(response.method, response.status, framing, path, fields);
  const std::string received =
      TwoResponses({response.method, response.status, framing}, path, fields);
  const auto end = received.find("\r\n\r\n");
  REQUIRE(end != std::string::npos);
  const std::string head = received.substr(0, end);
  CHECK(head.substr(9, 3) == std::to_string(response.status));
  if (response.status == 204) {
    CHECK(head.find("Content-Length") == std::string::npos);
    CHECK(head.find("Transfer-Encoding") == std::string::npos);
  }
  const bool tells_length =
      response.method == "HEAD" && framing.starts_with("Content-Length");
  CHECK((head.find("Content-Length: 5") != std::string::npos) == tells_length);
  const std::string rest = received.substr(end + 4);
  CHECK(rest.starts_with("HTTP/1.1 200 "));
  CHECK(rest.ends_with("\r\n\r\nsecond"));
}

TEST_CASE("bytes after a response without a body reach no caller") {
  GatewayFixture fleet;
  ScriptedBackend& backend =
      fleet.AddBackend("b", [&](const ScriptedBackend::Received& call) {
        const std::string id = *call.head.headers.Find("Attempt");
        call.session->Write(id == "a1" ? "HTTP/1.1 204 X\r\nAttempt: a1\r\n"
                                         "Content-Length: 5\r\n\r\nextra"
                                       : PlainAnswer(id, 200, "second"));
      });
  TestClient& first = fleet.Call("/once/x", "a1");
  REQUIRE(fleet.RunUntil([&] { return first.Status() == 204; }));
  fleet.RunFor(milliseconds(20));
  TestClient& second = fleet.Call("/once/x", "a2");
  REQUIRE(fleet.RunUntil([&] { return second.Has("second"); }));
  CHECK_FALSE(first.Has("extra"));
  CHECK_FALSE(second.Has("extra"));
  CHECK(backend.Accepted() == 2);
}

TEST_CASE("a stream that is resumed when nothing is left is complete") {
  GatewayFixture fleet;
  fleet.AddBackend("b", [&](const ScriptedBackend::Received& call) {
    const std::string id = *call.head.headers.Find("Attempt");
    if (call.head.headers.Find("Last-Event-Id") != nullptr) {
      call.session->Write("HTTP/1.1 204 X\r\nAttempt: " + id + "\r\n\r\n");
      return;
    }
    call.session->Write(StreamHead(id) + EventChunk(1, "only"));
    call.session->Reset();
  });
  TestClient& client = fleet.Call("/chat/x", "a1");
  REQUIRE(fleet.RunUntil([&] { return client.Has("only"); }));
  REQUIRE(fleet.RunUntil([&] { return client.Has("\r\n0\r\n\r\n"); }));
  CHECK(client.Status() == 200);
}

TEST_CASE("the gateway's own answer to HEAD has no body") {
  GatewayFixture fleet;
  TestClient& client = fleet.Connect();
  client.Send(RequestOf("HEAD", "/nowhere/x", "a1", ""));
  REQUIRE(fleet.RunUntil([&] { return client.Has("\r\n\r\n"); }));
  fleet.RunFor(milliseconds(20));
  CHECK(client.Status() == 404);
  CHECK(client.Received().ends_with("\r\n\r\n"));
  SECTION("also when the request is rejected before it is complete") {
    TestClient& other = fleet.Connect();
    other.Send(
        RequestOf("HEAD", "/safe/x", "a2", "Content-Length: 999999999\r\n"));
    REQUIRE(fleet.RunUntil([&] { return other.Has("\r\n\r\n"); }));
    fleet.RunFor(milliseconds(20));
    CHECK(other.Status() == 413);
    CHECK(other.Received().ends_with("\r\n\r\n"));
  }
}

}  // namespace
}  // namespace wasabiwall::fakes
