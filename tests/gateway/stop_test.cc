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

TEST_CASE("calls that the stop timeout meets get a final answer") {
  GatewayFixture fixture(OptionsWithStopTimeout(milliseconds(400)));
  std::shared_ptr<ScriptedBackend::Session> open_stream;
  const ScriptedBackend& backend =
      fixture.AddBackend("b", [&](const ScriptedBackend::Received& call) {
        if (!call.head.target.starts_with("/talk/")) return;
        open_stream = call.session;
        call.session->Write(StreamHead("a2") + EventChunk(1, "x"));
      });
  TestClient& once = fixture.Call("/once/x", "a1");
  TestClient& stream = fixture.Call("/talk/x", "a2");
  REQUIRE(fixture.RunUntil(
      [&] { return stream.Has("data: x") && backend.Requests().size() == 2; }));
  fixture.gateway.Stop();
  REQUIRE(fixture.RunUntil([&] { return fixture.stopped; }));
  CHECK(once.Status() == 502);
  // A stream that has begun can only be broken off visibly.
  CHECK(stream.Broken());
  CHECK_FALSE(stream.Has(std::string(transport::kLastChunk)));
}

TEST_CASE(
    "a call that waited until the process left rotation is not passed on "
    "if it may not end in time") {
  GatewayFixture fixture(OptionsWithStopTimeout(milliseconds(3500)));
  // One connection to the backend server, which the first call keeps.
  auto config = GatewayFixture::MakeConfig(2);
  config->services[state::ServiceId("s")].max_connections = 1;
  state::Route patient = *config->FindRoute("host", "/talk/x");
  patient.name = patient.path_prefix = "/patient/";
  patient.objective = std::chrono::seconds(5);
  config->AddRoute(patient);
  config->Index();
  fixture.context.ApplyConfig(config);
  std::shared_ptr<ScriptedBackend::Session> first;
  const ScriptedBackend& backend = fixture.AddBackend(
      "b",
      [&](const ScriptedBackend::Received& call) { first = call.session; });
  fixture.Call("/talk/x", "a1");
  REQUIRE(fixture.RunUntil([&] { return first != nullptr; }));
  fixture.gateway.Stop();
  TestClient& waiting = fixture.Call("/patient/x", "a2");
  // Less than a stopping gateway counts as in rotation.
  fixture.RunFor(milliseconds(2200));
  REQUIRE(waiting.Status() == 0);
  fixture.RunFor(kOutOfRotation - milliseconds(2200));
  first->Reset();
  REQUIRE(fixture.RunUntil([&] { return waiting.Status() != 0; }));
  CHECK(waiting.Status() == 503);
  CHECK(waiting.Has("Retry-After: "));
  CHECK(backend.Requests().size() == 1);
}

}  // namespace
}  // namespace wasabiwall::fakes
