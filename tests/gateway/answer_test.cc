// What callers get when backend servers answer wrongly.
#include <catch2/catch.hpp>

#include "fakes/gateway_fixture.h"

namespace wasabiwall::fakes {
namespace {

using std::chrono::milliseconds;

TEST_CASE("an answer without a length that is reset is not passed on") {
  GatewayFixture fleet;
  transport::Timer later(&fleet.loop);
  fleet.AddBackend("b", [&](const ScriptedBackend::Received& call) {
    call.session->Write("HTTP/1.1 200 OK\r\nAttempt: a1\r\n\r\nhalf");
    later.Start(milliseconds(20),
                [session = call.session] { session->Reset(); });
  });
  TestClient& client = fleet.Call("/once/x", "a1");
  REQUIRE(fleet.RunUntil([&] { return client.Status() != 0; }));
  CHECK(client.Status() == 502);
}

TEST_CASE("a reset that arrives together with data is not an orderly close") {
  GatewayFixture fleet;
  fleet.AddBackend("b", [&](const ScriptedBackend::Received& call) {
    call.session->Write("HTTP/1.1 200 OK\r\nAttempt: a1\r\n\r\nhalf");
    call.session->Reset();
  });
  TestClient& client = fleet.Call("/once/x", "a1");
  REQUIRE(fleet.RunUntil([&] { return client.Status() != 0; }));
  CHECK(client.Status() == 502);
}

TEST_CASE("an answer without a length that ends in order is passed on whole") {
  GatewayFixture fleet;
  fleet.AddBackend("b", [&](const ScriptedBackend::Received& call) {
    call.session->Write("HTTP/1.1 200 OK\r\nAttempt: a1\r\n\r\nall");
    call.session->Close();
  });
  TestClient& client = fleet.Call("/once/x", "a1");
  REQUIRE(fleet.RunUntil([&] { return client.Has("all"); }));
  CHECK(client.Status() == 200);
  CHECK(client.Has("Content-Length: 3"));
}

}  // namespace
}  // namespace wasabiwall::fakes
