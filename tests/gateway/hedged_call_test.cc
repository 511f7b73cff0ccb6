#include <catch2/catch.hpp>
#include <string>

#include "fakes/gateway_fixture.h"

namespace wasabiwall::fakes {
namespace {

using std::chrono::milliseconds;

/// Response times that the gateway knows of each route.
constexpr milliseconds kUsualTime{20};

/// A gateway that hedges, with one backend server that keeps requests and one
/// that answers.
class HedgeFixture {
 public:
  HedgeFixture() : gateway(Options()) {
    const auto keep = [this](const ScriptedBackend::Received& request) {
      kept.push_back(request);
    };
    for (const char* path : {"/safe/", "/chat/", "/once/", "/talk/"}) {
      for (int i = 0; i < 50; ++i) {
        gateway.context.hedging.OnAnswered(
            *gateway.context.Config()->FindRoute("host", path),
            hedging::LoadClass::kLow, kUsualTime);
      }
    }
    for (int i = 0; i < 10; ++i) {
      gateway.context.hedging.OnCall(state::ServiceId("s"));
      gateway.context.RetryBudgetFor(state::ServiceId("s")).OnFirstAttempt();
    }
    first = &gateway.AddBackend("a", keep);
    second = &gateway.AddBackend("b", keep);
  }

  static transport::GatewayOptions Options() {
    auto options = GatewayFixture::DefaultOptions();
    options.hedge_limits = {.share = 1, .burst = 100};
    options.retry_share = 1;
    return options;
  }

  /// Waits until both attempts of a call have reached backend servers.
  bool WaitForHedge() {
    return gateway.RunUntil([this] { return kept.size() == 2; });
  }

  /// @return Attempts that the gateway has not ended.
  int InFlight() const {
    const auto& loads = gateway.context.loads;
    return loads.OwnInFlight(state::BackendServerId("a")) +
           loads.OwnInFlight(state::BackendServerId("b"));
  }

  std::vector<ScriptedBackend::Received> kept;
  GatewayFixture gateway;
  ScriptedBackend* first = nullptr;
  ScriptedBackend* second = nullptr;
};

// Guards against a caller that waits for a slow backend server although another
// one has answered, and against work that goes on for nobody.
TEST_CASE(
    "the first good response of a hedged call wins, the other attempt is "
    "cancelled") {
  const std::size_t winner = GENERATE(0U, 1U);
  HedgeFixture fixture;
  TestClient& client = fixture.gateway.Call("/safe/x", "a1");
  REQUIRE(fixture.WaitForHedge());
  fixture.kept[winner].session->Write(PlainAnswer("a1", 200, "body"));
  REQUIRE(fixture.gateway.RunUntil([&] { return client.Status() == 200; }));
  CHECK(client.Has("body"));
  const auto& loser = fixture.kept[1 - winner].session;
  CHECK(fixture.gateway.RunUntil([&] { return loser->Ended(); }));
  CHECK(fixture.gateway.context.health.FailureShare(
            state::BackendServerId("a")) == 0);
  CHECK(fixture.gateway.context.health.FailureShare(
            state::BackendServerId("b")) == 0);
}

// Guards against the responses of two runs in one stream.
TEST_CASE("a hedged stream reaches the caller from one run") {
  HedgeFixture fixture;
  TestClient& client = fixture.gateway.Call("/chat/x", "a1");
  REQUIRE(fixture.WaitForHedge());
  fixture.kept[1].session->Write(StreamHead("a1") + EventChunk(1, "second"));
  fixture.kept[0].session->Write(StreamHead("a1") + EventChunk(1, "first"));
  REQUIRE(fixture.gateway.RunUntil(
      [&] { return client.Has("second") || client.Has("first"); }));
  const bool is_second = client.Has("second");
  const auto& session = fixture.kept[is_second ? 1 : 0].session;
  session->Write(EventChunk(2, "last") + "0\r\n\r\n");
  REQUIRE(fixture.gateway.RunUntil([&] { return client.Has("0\r\n\r\n"); }));
  CHECK(client.Has(is_second ? "first" : "second") == false);
}

// Guards against a call that fails although its other attempt goes on.
TEST_CASE("a hedged call survives the failure of either attempt") {
  const std::size_t failing = GENERATE(0U, 1U);
  const int kind = GENERATE(0, 1, 2);
  HedgeFixture fixture;
  TestClient& client = fixture.gateway.Call("/safe/x", "a1");
  REQUIRE(fixture.WaitForHedge());
  const auto& broken = fixture.kept[failing].session;
  if (kind == 0) broken->Reset();
  if (kind == 1) broken->Write(PlainAnswer("a1", 500, "error"));
  if (kind == 2) broken->Write(PlainAnswer("a1", 503, "", "Not-Run: 1\r\n"));
  REQUIRE(fixture.gateway.RunUntil([&] { return fixture.InFlight() == 1; }));
  CHECK(client.Received().empty());
  // A refused attempt has not run, so that the remaining one may be repeated
  // when it reaches its idle timeout.
  std::size_t next = 0;
  REQUIRE(fixture.gateway.RunUntil([&] {
    for (; next < fixture.kept.size(); ++next) {
      if (next == failing) continue;
      fixture.kept[next].session->Write(PlainAnswer("a1", 200, "body"));
    }
    return client.Status() != 0;
  }));
  CHECK(client.Status() == 200);
  CHECK(fixture.kept.size() <= (kind == 2 ? 3 : 2));
}

// Guards against a call that runs twice although it must not.
TEST_CASE("calls that must not run twice are never hedged") {
  const std::string path = GENERATE("/once/x", "/talk/x");
  HedgeFixture fixture;
  fixture.gateway.Call(path, "a1");
  REQUIRE(fixture.gateway.RunUntil([&] { return fixture.kept.size() == 1; }));
  fixture.gateway.RunFor(milliseconds(600));
  CHECK(fixture.kept.size() == 1);
}

// Guards against attempts that go on for a caller that has left.
TEST_CASE("both attempts of a hedged call end when its caller leaves") {
  HedgeFixture fixture;
  TestClient& client = fixture.gateway.Call("/safe/x", "a1");
  REQUIRE(fixture.WaitForHedge());
  client.Reset();
  CHECK(fixture.gateway.RunUntil([&] {
    return fixture.kept[0].session->Ended() && fixture.kept[1].session->Ended();
  }));
}

}  // namespace
}  // namespace wasabiwall::fakes
