// Orderly stops: nothing in progress is cut, nothing hopeless is begun.
#include <catch2/catch.hpp>

#include "fakes/gateway_fixture.h"

namespace wasabiwall::fakes {
namespace {

using std::chrono::milliseconds;

/// Time until a stopping gateway counts as out of rotation, and some more.
constexpr milliseconds kOutOfRotation{2600};

transport::GatewayOptions OptionsWithStopTimeout(milliseconds timeout) {
  auto options = GatewayFixture::DefaultOptions();
  options.stop_timeout = timeout;
  return options;
}

TEST_CASE("a stop waits for the stream in progress and then ends at once") {
  GatewayFixture fleet(OptionsWithStopTimeout(milliseconds(8000)));
  transport::Timer later(&fleet.loop);
  fleet.AddBackend("b", [&](const ScriptedBackend::Received& call) {
    call.session->Write(StreamHead("a1") + EventChunk(1, "x"));
    later.Start(milliseconds(2800), [session = call.session] {
      session->Write(EventChunk(2, "y") + std::string(transport::kLastChunk));
    });
  });
  TestClient& client = fleet.Call("/talk/x", "a1");
  REQUIRE(fleet.RunUntil([&] { return client.Has("data: x"); }));
  fleet.gateway.Stop();
  CHECK_FALSE(fleet.gateway.IsReady());
  REQUIRE(fleet.RunUntil([&] { return fleet.stopped; }));
  CHECK(client.Has("data: y"));
  CHECK(client.Has(std::string(transport::kLastChunk)));
}

TEST_CASE("callers without another gateway are served or told to come back") {
  GatewayFixture fleet(OptionsWithStopTimeout(milliseconds(6000)));
  std::shared_ptr<ScriptedBackend::Session> open_stream;
  fleet.AddBackend("b", [&](const ScriptedBackend::Received& call) {
    const std::string id = *call.head.headers.Find("Attempt");
    if (call.head.target.starts_with("/talk/")) {
      open_stream = call.session;
      call.session->Write(StreamHead(id) + EventChunk(1, "x"));
      return;
    }
    call.session->Write(PlainAnswer(id, 200, "done"));
  });
  TestClient& busy = fleet.Call("/talk/x", "a1");
  REQUIRE(fleet.RunUntil([&] { return busy.Has("data: x"); }));
  fleet.gateway.Stop();
  fleet.RunFor(kOutOfRotation);
  SECTION("a call that ends before the process does is served") {
    TestClient& plain = fleet.Call("/safe/x", "a2");
    REQUIRE(fleet.RunUntil([&] { return plain.Status() != 0; }));
    CHECK(plain.Status() == 200);
    CHECK(plain.Has("Connection: close"));
  }
  SECTION("a call that may take longer is refused as not run") {
    TestClient& late = fleet.Call("/talk/x", "a2");
    REQUIRE(fleet.RunUntil([&] { return late.Status() != 0; }));
    CHECK(late.Status() == 503);
    CHECK(late.Has("Retry-After: "));
  }
  open_stream->Reset();
}

TEST_CASE("the process does not wait beyond the stop timeout") {
  GatewayFixture fleet(OptionsWithStopTimeout(milliseconds(400)));
  fleet.AddBackend("b", [](const ScriptedBackend::Received&) {});
  fleet.Call("/talk/x", "a1");
  fleet.RunFor(milliseconds(50));
  fleet.gateway.Stop();
  const auto begun = fleet.loop.Now();
  REQUIRE(fleet.RunUntil([&] { return fleet.stopped; }));
  CHECK(fleet.loop.Now() - begun < milliseconds(1000));
}

}  // namespace
}  // namespace wasabiwall::fakes
