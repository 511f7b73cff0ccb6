#include "fakes/scripted_backend.h"

#include <sys/socket.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <cerrno>

#include "fakes/gateway_fixture.h"
#include "fakes/loopback_address.h"

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

// A process of another test got the port, and the gateway's check found the
// backend server alive.
TEST_CASE("a backend server that has crashed leaves its port to nobody") {
  transport::EventLoop loop;
  ScriptedBackend backend(&loop, nullptr);
  const auto at = transport::ParseAddress(backend.Address());
  backend.Crash();
  const sockaddr_in address = LoopbackAddress(at->port);
  const auto* generic = reinterpret_cast<const sockaddr*>(&address);
  const int other = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  CHECK(bind(other, generic, sizeof(address)) != 0);
  CHECK(errno == EADDRINUSE);
  CHECK(connect(other, generic, sizeof(address)) != 0);
  CHECK(errno == ECONNREFUSED);
  close(other);
}

}  // namespace
}  // namespace wasabiwall::fakes
