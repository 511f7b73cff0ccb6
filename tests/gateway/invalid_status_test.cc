// Status lines that are no answer: the call fails at once, and callers never
// get the status.
#include <catch2/catch.hpp>
#include <string>
#include <utility>

#include "fakes/gateway_fixture.h"

namespace wasabiwall::fakes {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

/// Far below each route's timeout.
constexpr milliseconds kAtOnce{1000};

std::string Response(const std::string& status, const std::string& id) {
  return "HTTP/1.1 " + status + " X\r\nAttempt: " + id +
         "\r\nSeal: s\r\nContent-Length: 4\r\n\r\nbody";
}

/// Answers the first request of a call with an invalid status and its repeats
/// well.
/// @return The caller's connection once it has a response.
TestClient& CallWith(GatewayFixture* fleet, const std::string& status,
                     const std::string& path, bool is_kept) {
  bool has_failed = false;
  fleet->AddBackend("b", [=](const ScriptedBackend::Received& call) mutable {
    const std::string id = *call.head.headers.Find("Attempt");
    if (id == "a0") {
      call.session->Write(PlainAnswer(id, 200, "first"));
    } else if (!std::exchange(has_failed, true)) {
      call.session->Write(Response(status, id));
    } else if (path.starts_with("/chat")) {
      call.session->Write(StreamHead(id) + EventChunk(1, "served") +
                          "0\r\n\r\n");
    } else {
      call.session->Write(PlainAnswer(id, 200, "served"));
    }
  });
  if (is_kept) {
    TestClient& first = fleet->Call("/once/x", "a0");
    REQUIRE(fleet->RunUntil([&] { return first.Status() == 200; }));
  }
  const auto begin = steady_clock::now();
  TestClient& client = fleet->Call(path, "a1");
  REQUIRE(fleet->RunUntil([&] { return client.Has("\r\n\r\n"); }));
  CHECK(steady_clock::now() - begin < kAtOnce);
  fleet->RunFor(milliseconds(50));
  return client;
}

TEST_CASE("a status outside of 100 to 599 is no answer") {
  const auto status =
      GENERATE(as<std::string>(), "000", "099", "20", "7", "600", "999", "1000",
               "101", "-20", "2x0", "abc", "");
  const bool is_kept = GENERATE(false, true);
  CAPTURE(status, is_kept);
  GatewayFixture fleet;
  SECTION("of a call that runs once") {
    const TestClient& client = CallWith(&fleet, status, "/once/x", is_kept);
    CHECK(client.Status() == 502);
    CHECK_FALSE(client.Has("body"));
  }
  SECTION("of a call that may run again") {
    const TestClient& client = CallWith(&fleet, status, "/safe/x", is_kept);
    CHECK(client.Status() == 200);
    CHECK(client.Has("served"));
  }
  SECTION("of a stream that may be resumed") {
    const TestClient& client = CallWith(&fleet, status, "/chat/x", is_kept);
    CHECK(client.Status() == 200);
    CHECK(client.Has("served"));
    CHECK_FALSE(client.Has("body"));
  }
}

TEST_CASE("a final answer after an interim one is passed on") {
  const auto interim = GENERATE(as<std::string>(), "100", "103", "199");
  GatewayFixture fleet;
  fleet.AddBackend("b", [=](const ScriptedBackend::Received& call) {
    const std::string id = *call.head.headers.Find("Attempt");
    call.session->Write("HTTP/1.1 " + interim + " X\r\n\r\n" +
                        PlainAnswer(id, 200, "served"));
  });
  const TestClient& client = fleet.Call("/once/x", "a1");
  REQUIRE(fleet.RunUntil([&] { return client.Has("served"); }));
  CHECK(client.Status() == 200);
}

}  // namespace
}  // namespace wasabiwall::fakes
