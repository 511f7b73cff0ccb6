#include "fakes/scripted_backend.h"

#include <catch2/catch.hpp>

#include "fakes/gateway_fixture.h"

namespace wasabiwall::fakes {
namespace {

TEST_CASE("a session that outlives its backend server gets no requests") {
  GatewayFixture fixture;
  int calls = 0;
  std::shared_ptr<ScriptedBackend::Session> held;
  auto backend = std::make_unique<ScriptedBackend>(
      &fixture.loop, [&](const ScriptedBackend::Received& call) {
        ++calls;
        held = call.session;
        call.session->Write(PlainAnswer("a1", 200, "ok"));
      });
  const auto address = transport::ParseAddress(backend->Address());
  TestClient client(&fixture.loop, address->port);
  client.Send(RequestText("/safe/x", "a1"));
  REQUIRE(fixture.RunUntil([&] { return client.Status() == 200; }));
  client.Send(RequestText("/safe/x", "a1"));
  backend.reset();
  CHECK(fixture.RunUntil([&] { return client.Ended(); }));
  CHECK(held->Ended());
  CHECK(calls == 1);
}

}  // namespace
}  // namespace wasabiwall::fakes
