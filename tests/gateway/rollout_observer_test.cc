// What the ends of attempts say about the version of their backend servers.
#include <catch2/catch.hpp>
#include <string>

#include "fakes/gateway_fixture.h"

namespace wasabiwall::fakes {
namespace {

using std::chrono::milliseconds;

/// A gateway with an order for the service, at whose old version calls run.
class Observed {
 public:
  Observed() : fixture(Options()) {
    fixture.context.store_confirmed_at = fixture.loop.Now();
    fixture.context.rollouts->OnRecord(state::ServiceId("s"), std::nullopt);
    fixture.context.rollouts->OnOrder({.id = {1, 1},
                                       .service = state::ServiceId("s"),
                                       .target_version = "v2",
                                       .duration = std::chrono::minutes(1)});
  }

  /// @return Number of attempts that counted in this way.
  int Count(const std::string& outcome) const {
    const std::string text = fixture.context.metrics.Text();
    const std::string name = "wasabiwall_rollout_attempts_total{outcome=\"" +
                             outcome + "\",service=\"s\",version=\"\"} ";
    const auto at = text.find(name);
    return at == std::string::npos ? 0
                                   : std::stoi(text.substr(at + name.size()));
  }

  GatewayFixture fixture;

 private:
  static transport::GatewayOptions Options() {
    auto options = GatewayFixture::DefaultOptions();
    options.rollout = rollout::RolloutLimits{0.1, 50};
    return options;
  }
};

/// @return A script that answers each call with a status.
ScriptedBackend::Script Answering(int status) {
  return [status](const ScriptedBackend::Received& call) {
    call.session->Write(PlainAnswer("a", status, "x", ""));
  };
}

TEST_CASE("answers count for a version and errors against it") {
  const auto [status, outcome] = GENERATE(table<int, std::string>(
      {{200, "answered"}, {404, "answered"}, {500, "failed"}}));
  Observed observed;
  observed.fixture.AddBackend("b", Answering(status));
  observed.fixture.Call("/once/x", "a");
  CHECK(observed.fixture.RunUntil(
      [&, name = outcome] { return observed.Count(name) == 1; }));
}

TEST_CASE("a response that breaks off counts against a version") {
  Observed observed;
  observed.fixture.AddBackend("b", [](const ScriptedBackend::Received& call) {
    call.session->Reset();
  });
  observed.fixture.Call("/once/x", "a");
  CHECK(
      observed.fixture.RunUntil([&] { return observed.Count("failed") == 1; }));
}

TEST_CASE("a refusal says nothing about a version") {
  Observed observed;
  observed.fixture.AddBackend("b", [](const ScriptedBackend::Received& call) {
    call.session->Write(PlainAnswer("a", 503, "", "Not-Run: 1\r\n"));
  });
  observed.fixture.Call("/once/x", "a");
  REQUIRE(observed.fixture.RunUntil(
      [&] { return observed.Count("ignored") >= 1; }));
  CHECK(observed.Count("failed") == 0);
}

TEST_CASE("a failed connection says nothing about a version") {
  Observed observed;
  observed.fixture.AddBackend("b", [](const ScriptedBackend::Received&) {})
      .Crash();
  observed.fixture.Call("/once/x", "a");
  REQUIRE(observed.fixture.RunUntil(
      [&] { return observed.Count("ignored") >= 1; }));
  CHECK(observed.Count("failed") == 0);
}

TEST_CASE("a caller that disconnects says nothing about a version") {
  Observed observed;
  ScriptedBackend& backend =
      observed.fixture.AddBackend("b", [](const ScriptedBackend::Received&) {});
  TestClient& client = observed.fixture.Call("/once/x", "a");
  REQUIRE(
      observed.fixture.RunUntil([&] { return !backend.Requests().empty(); }));
  client.Reset();
  REQUIRE(observed.fixture.RunUntil(
      [&] { return observed.Count("ignored") == 1; }));
  CHECK(observed.Count("failed") == 0);
}

TEST_CASE("errors of a cold backend server say nothing about its version") {
  Observed observed;
  observed.fixture.AddBackend("b", Answering(500));
  observed.fixture.context.registry.ExtendCold(
      state::BackendServerId("b"),
      observed.fixture.loop.Now() + std::chrono::minutes(1));
  observed.fixture.Call("/once/x", "a");
  REQUIRE(observed.fixture.RunUntil(
      [&] { return observed.Count("ignored") == 1; }));
  CHECK(observed.Count("failed") == 0);
}

TEST_CASE("silence until the deadline counts against a version") {
  // 400 ms are the route's objective.
  const auto [deadline, outcome] = GENERATE(
      table<std::string, std::string>({{"600", "failed"}, {"150", "ignored"}}));
  Observed observed;
  observed.fixture.AddBackend("b", [](const ScriptedBackend::Received&) {});
  std::string request = RequestText("/once/x", "a");
  request.replace(request.find("6000"), 4, deadline);
  observed.fixture.Connect().Send(request);
  CHECK(observed.fixture.RunUntil(
      [&, name = outcome] { return observed.Count(name) == 1; }));
}

}  // namespace
}  // namespace wasabiwall::fakes
