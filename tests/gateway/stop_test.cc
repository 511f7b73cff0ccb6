// Graceful stops: calls in progress finish, and calls that may not end before
// the process does are refused.
#include <catch2/catch.hpp>

#include "fakes/gateway_fixture.h"

namespace wasabiwall::fakes {
namespace {

using std::chrono::milliseconds;

/// Longer than a stopping gateway counts as in rotation.
constexpr milliseconds kOutOfRotation{2600};

transport::GatewayOptions OptionsWithStopTimeout(milliseconds timeout) {
  auto options = GatewayFixture::DefaultOptions();
  options.stop_timeout = timeout;
  return options;
}

TEST_CASE(
    "a graceful stop waits for the stream in progress and then ends at once") {
  GatewayFixture fixture(OptionsWithStopTimeout(milliseconds(8000)));
  transport::Timer later(&fixture.loop);
  fixture.AddBackend("b", [&](const ScriptedBackend::Received& call) {
    call.session->Write(StreamHead("a1") + EventChunk(1, "x"));
    later.Start(milliseconds(2800), [session = call.session] {
      session->Write(EventChunk(2, "y") + std::string(transport::kLastChunk));
    });
  });
  TestClient& client = fixture.Call("/talk/x", "a1");
  REQUIRE(fixture.RunUntil([&] { return client.Has("data: x"); }));
  fixture.gateway.Stop();
  CHECK_FALSE(fixture.gateway.IsReady());
  REQUIRE(fixture.RunUntil([&] { return fixture.stopped; }));
  CHECK(client.Has("data: y"));
  CHECK(client.Has(std::string(transport::kLastChunk)));
}

TEST_CASE(
    "a stopping gateway serves callers whose calls end in time, refuses "
    "others") {
  GatewayFixture fixture(OptionsWithStopTimeout(milliseconds(6000)));
  std::shared_ptr<ScriptedBackend::Session> open_stream;
  fixture.AddBackend("b", [&](const ScriptedBackend::Received& call) {
    const std::string id = *call.head.headers.Find("Attempt");
    if (call.head.target.starts_with("/talk/")) {
      open_stream = call.session;
      call.session->Write(StreamHead(id) + EventChunk(1, "x"));
      return;
    }
    call.session->Write(PlainAnswer(id, 200, "done"));
  });
  TestClient& busy = fixture.Call("/talk/x", "a1");
  REQUIRE(fixture.RunUntil([&] { return busy.Has("data: x"); }));
  fixture.gateway.Stop();
  fixture.RunFor(kOutOfRotation);
  SECTION("a call that ends before the process does is served") {
    TestClient& plain = fixture.Call("/safe/x", "a2");
    REQUIRE(fixture.RunUntil([&] { return plain.Status() != 0; }));
    CHECK(plain.Status() == 200);
    CHECK(plain.Has("Connection: close"));
  }
  SECTION("a call that may take longer is refused as not run") {
    TestClient& late = fixture.Call("/talk/x", "a2");
    REQUIRE(fixture.RunUntil([&] { return late.Status() != 0; }));
    CHECK(late.Status() == 503);
    CHECK(late.Has("Retry-After: "));
  }
  open_stream->Reset();
}

TEST_CASE("the process does not wait beyond the stop timeout") {
  GatewayFixture fixture(OptionsWithStopTimeout(milliseconds(400)));
  fixture.AddBackend("b", [](const ScriptedBackend::Received&) {});
  fixture.Call("/talk/x", "a1");
  fixture.RunFor(milliseconds(50));
  fixture.gateway.Stop();
  const auto start = fixture.loop.Now();
  REQUIRE(fixture.RunUntil([&] { return fixture.stopped; }));
  CHECK(fixture.loop.Now() - start < milliseconds(1000));
}

}  // namespace
}  // namespace wasabiwall::fakes
