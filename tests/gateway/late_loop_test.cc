// An event loop that was held up: what has arrived meanwhile counts before the
// timers that have run out.
#include <catch2/catch.hpp>
#include <string>
#include <thread>

#include "fakes/gateway_fixture.h"

namespace wasabiwall::fakes {
namespace {

using std::chrono::milliseconds;

TEST_CASE("a response that is there at the deadline is passed on") {
  GatewayFixture fleet;
  std::shared_ptr<ScriptedBackend::Session> session;
  fleet.AddBackend("b", [&](const ScriptedBackend::Received& call) {
    session = call.session;
  });
  const TestClient& client = fleet.Call("/once/x", "a1");
  REQUIRE(fleet.RunUntil([&] { return session != nullptr; }));
  session->Write(PlainAnswer("a1", 200, "served"));
  // Longer than the route's timeout.
  std::this_thread::sleep_for(milliseconds(1700));
  REQUIRE(fleet.RunUntil([&] { return client.Has("\r\n\r\n"); }));
  CHECK(client.Status() == 200);
}

}  // namespace
}  // namespace wasabiwall::fakes
