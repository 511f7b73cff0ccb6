// Callers that take a response slowly: bytes that the gateway still holds for
// them are delivered around a planned stop, idle timeouts and evictions.
#include <algorithm>
#include <catch2/catch.hpp>

#include "fakes/gateway_fixture.h"

namespace wasabiwall::fakes {
namespace {

using std::chrono::milliseconds;

/// More than the kernel takes from the gateway for a caller that does not read
/// (4 MB of send buffer), so that the gateway itself holds the rest.
constexpr std::size_t kBodyBytes = 14U << 20U;
/// Longer than a stopping gateway counts as in rotation.
constexpr milliseconds kOutOfRotation{2600};

/// A gateway with a backend server whose responses are large, and a caller that
/// reads only when it is told to.
struct SlowReaderFixture : GatewayFixture {
  explicit SlowReaderFixture(
      transport::GatewayOptions options = GatewayFixture::DefaultOptions())
      : GatewayFixture(std::move(options)) {
    AddBackend("b", [](const ScriptedBackend::Received& call) {
      call.session->Write(PlainAnswer(*call.head.headers.Find("Attempt"), 200,
                                      std::string(kBodyBytes, 'x')));
    });
  }

  /// Sends a call, and reads nothing once its response has begun.
  TestClient& CallAndPause() {
    TestClient& client = Call("/safe/x", "a1");
    REQUIRE(RunUntil([&] { return client.Status() == 200; }));
    client.PauseReading();
    return client;
  }

  /// @return Whether the caller has the response in full.
  static bool HasAll(const TestClient& client) {
    const auto end = client.Received().find("\r\n\r\n");
    return end != std::string::npos &&
           client.Received().size() == end + 4 + kBodyBytes;
  }
};

TEST_CASE("a planned stop delivers a response that its caller still reads") {
  SlowReaderFixture fixture;
  TestClient& client = fixture.CallAndPause();
  // The response is read in full from the backend server by now.
  REQUIRE(fixture.RunUntil(
      [&] { return fixture.context.response_buffers.Used() == 0; }));
  fixture.gateway.Stop();
  fixture.RunFor(kOutOfRotation);
  CHECK_FALSE(fixture.stopped);
  client.ResumeReading();
  REQUIRE(fixture.RunUntil([&] { return client.Ended(); }));
  CHECK(SlowReaderFixture::HasAll(client));
  CHECK_FALSE(client.Broken());
  // Nothing is left to wait for until the stop timeout.
  CHECK(fixture.RunUntil([&] { return fixture.stopped; }));
}

TEST_CASE("a stopping process does not end before the last response is taken") {
  SlowReaderFixture fixture;
  fixture.gateway.Stop();
  // Its connection is to be closed after the response.
  TestClient& client = fixture.CallAndPause();
  CHECK(client.Has("Connection: close"));
  fixture.RunFor(kOutOfRotation);
  CHECK_FALSE(fixture.stopped);
  client.ResumeReading();
  REQUIRE(fixture.RunUntil([&] { return client.Ended(); }));
  CHECK(SlowReaderFixture::HasAll(client));
  CHECK(fixture.RunUntil([&] { return fixture.stopped; }));
}

TEST_CASE("the stop timeout ends the wait for a caller that takes nothing") {
  auto options = GatewayFixture::DefaultOptions();
  options.stop_timeout = milliseconds(3000);
  SlowReaderFixture fixture(options);
  const TestClient& client = fixture.CallAndPause();
  fixture.gateway.Stop();
  CHECK(fixture.RunUntil([&] { return fixture.stopped; }));
  CHECK_FALSE(SlowReaderFixture::HasAll(client));
}

std::shared_ptr<state::ServiceConfig> ConfigWithIdleTimeout(
    milliseconds timeout) {
  auto config = GatewayFixture::MakeConfig(2);
  config->limits.idle_timeout = timeout;
  return config;
}

TEST_CASE("the idle timeout does not cut a response that its caller reads") {
  SlowReaderFixture fixture;
  fixture.context.ApplyConfig(ConfigWithIdleTimeout(milliseconds(400)));
  TestClient& client = fixture.CallAndPause();
  transport::Timer reads(&fixture.loop);
  // Takes longer than the idle timeout: 224 reads.
  reads.StartRepeating(milliseconds(10), [&] { client.ReadOnce(); });
  REQUIRE(fixture.RunUntil(
      [&] { return client.Ended() || SlowReaderFixture::HasAll(client); }));
  CHECK(SlowReaderFixture::HasAll(client));
  // The idle timeout applies once the response has been taken.
  CHECK(fixture.RunUntil([&] { return client.Ended(); }));
  CHECK_FALSE(client.Broken());
}

TEST_CASE("the idle timeout ends a connection whose caller takes nothing") {
  SlowReaderFixture fixture;
  fixture.context.ApplyConfig(ConfigWithIdleTimeout(milliseconds(300)));
  TestClient& client = fixture.CallAndPause();
  fixture.RunFor(milliseconds(1500));
  client.ResumeReading();
  REQUIRE(fixture.RunUntil([&] { return client.Ended(); }));
  CHECK_FALSE(SlowReaderFixture::HasAll(client));
}

TEST_CASE("an idle connection has the time of the configuration in force") {
  // Guards against a limit that is read when the connection falls idle and
  // then kept, as from before the first configuration.
  GatewayFixture fixture;
  fixture.context.ApplyConfig(ConfigWithIdleTimeout(milliseconds(200)));
  fixture.AddBackend("b", [](const ScriptedBackend::Received& call) {
    call.session->Write(
        PlainAnswer(*call.head.headers.Find("Attempt"), 200, "x"));
  });
  TestClient& client = fixture.Call("/safe/x", "a1");
  REQUIRE(fixture.RunUntil([&] { return client.Status() == 200; }));
  auto raised = ConfigWithIdleTimeout(milliseconds(900));
  raised->version = 3;
  fixture.context.ApplyConfig(raised);
  fixture.RunFor(milliseconds(600));
  CHECK_FALSE(client.Ended());
  fixture.RunFor(milliseconds(500));
  CHECK(client.Ended());
}

TEST_CASE("a connection that delivers a response is not evicted") {
  auto options = GatewayFixture::DefaultOptions();
  options.max_descriptors = 20;  // Half of it for callers.
  SlowReaderFixture fixture(options);
  TestClient& slow = fixture.CallAndPause();
  std::vector<TestClient*> idle;
  constexpr int others = 9;
  idle.reserve(others);
  for (int i = 0; i < others; ++i) idle.push_back(&fixture.Connect());
  // Longer than a connection must be idle to be evicted.
  fixture.RunFor(milliseconds(400));
  for (int i = 0; i < 3; ++i) {
    fixture.Connect();
    fixture.RunFor(milliseconds(50));
  }
  CHECK(std::ranges::count_if(
            idle, [](const TestClient* c) { return c->Ended(); }) == 3);
  slow.ResumeReading();
  REQUIRE(fixture.RunUntil(
      [&] { return slow.Ended() || SlowReaderFixture::HasAll(slow); }));
  CHECK(SlowReaderFixture::HasAll(slow));
}

}  // namespace
}  // namespace wasabiwall::fakes
