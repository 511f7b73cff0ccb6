// Responses of backend servers without a length: complete ones and truncated
// ones.
#include <catch2/catch.hpp>

#include "fakes/gateway_fixture.h"

namespace wasabiwall::fakes {
namespace {

using std::chrono::milliseconds;

TEST_CASE("a response without a length that ends in a reset is not forwarded") {
  GatewayFixture fixture;
  transport::Timer later(&fixture.loop);
  fixture.AddBackend("b", [&](const ScriptedBackend::Received& call) {
    call.session->Write("HTTP/1.1 200 OK\r\nAttempt: a1\r\n\r\nhalf");
    later.Start(milliseconds(20),
                [session = call.session] { session->Reset(); });
  });
  TestClient& client = fixture.Call("/once/x", "a1");
  REQUIRE(fixture.RunUntil([&] { return client.Status() != 0; }));
  CHECK(client.Status() == 502);
}

TEST_CASE("a reset that arrives together with data is not an orderly close") {
  GatewayFixture fixture;
  fixture.AddBackend("b", [&](const ScriptedBackend::Received& call) {
    call.session->Write("HTTP/1.1 200 OK\r\nAttempt: a1\r\n\r\nhalf");
    call.session->Reset();
  });
  TestClient& client = fixture.Call("/once/x", "a1");
  REQUIRE(fixture.RunUntil([&] { return client.Status() != 0; }));
  CHECK(client.Status() == 502);
}

TEST_CASE("a response without a length that ends in order is forwarded whole") {
  GatewayFixture fixture;
  fixture.AddBackend("b", [&](const ScriptedBackend::Received& call) {
    call.session->Write("HTTP/1.1 200 OK\r\nAttempt: a1\r\n\r\nall");
    call.session->Close();
  });
  TestClient& client = fixture.Call("/once/x", "a1");
  REQUIRE(fixture.RunUntil([&] { return client.Has("all"); }));
  CHECK(client.Status() == 200);
  CHECK(client.Has("Content-Length: 3"));
}

}  // namespace
}  // namespace wasabiwall::fakes
