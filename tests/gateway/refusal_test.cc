// When calls are refused, how soon, and whether "not run" is true.
#include <algorithm>
#include <catch2/catch.hpp>

#include "fakes/gateway_fixture.h"

namespace wasabiwall::fakes {
namespace {

using std::chrono::milliseconds;

TEST_CASE("calls to a service that cannot be reached are refused at once") {
  GatewayFixture fleet;
  ScriptedBackend& backend =
      fleet.AddBackend("b", [](const ScriptedBackend::Received&) {});
  backend.Crash();
  TestClient& first = fleet.Call("/safe/x", "a1");
  REQUIRE(fleet.RunUntil([&] { return first.Status() != 0; }));
  const auto begun = fleet.loop.Now();
  TestClient& second = fleet.Call("/safe/x", "a2");
  REQUIRE(fleet.RunUntil([&] { return second.Status() != 0; }));
  CHECK(second.Status() == 503);
  CHECK(second.Has("\"not_run\":true"));
  CHECK(second.Has("Retry-After: "));
  // An eighth of the objective of 400 ms.
  CHECK(fleet.loop.Now() - begun < milliseconds(50));
}

TEST_CASE("a call without any backend server is refused at once") {
  GatewayFixture fleet;
  const auto begun = fleet.loop.Now();
  TestClient& client = fleet.Call("/once/x", "a1");
  REQUIRE(fleet.RunUntil([&] { return client.Status() != 0; }));
  CHECK(client.Status() == 503);
  CHECK(fleet.loop.Now() - begun < milliseconds(50));
}

TEST_CASE("a call that may have run is never answered as not run") {
  GatewayFixture fleet;
  ScriptedBackend& backend = fleet.AddBackend(
      "b",
      [](const ScriptedBackend::Received& call) { call.session->Reset(); });
  TestClient& client = fleet.Call("/once/x", "a1");
  REQUIRE(fleet.RunUntil([&] { return client.Status() != 0; }));
  CHECK(client.Status() == 502);
  CHECK(client.Has("\"not_run\":false"));
  CHECK(backend.Requests().size() == 1);
}

TEST_CASE("a call that runs once goes elsewhere only when it has not run") {
  GatewayFixture fleet;
  int refused = 0;
  const auto refuse = [&refused](const ScriptedBackend::Received& call) {
    ++refused;
    call.session->Write(PlainAnswer("", 503, "", "Not-Run: 1\r\n"));
  };
  fleet.AddBackend("b1", refuse);
  ScriptedBackend& other =
      fleet.AddBackend("b2", [](const ScriptedBackend::Received& call) {
        call.session->Write(
            PlainAnswer(*call.head.headers.Find("Attempt"), 200, "booked"));
      });
  for (int i = 0; i < 10; ++i) {
    TestClient& client = fleet.Call("/once/x", "a" + std::to_string(i));
    REQUIRE(fleet.RunUntil([&] { return client.Status() != 0; }));
    CHECK(client.Status() == 200);
  }
  CHECK(refused > 0);
  CHECK(other.Requests().size() == 10);
}

TEST_CASE("an address that another backend server answers at is left alone") {
  GatewayFixture fleet;
  ScriptedBackend& replaced =
      fleet.AddBackend("b1", [](const ScriptedBackend::Received& call) {
        call.session->Write(PlainAnswer("", 421, "", "Wrong-Backend: 1\r\n"));
      });
  fleet.AddBackend("b2", [](const ScriptedBackend::Received& call) {
    call.session->Write(
        PlainAnswer(*call.head.headers.Find("Attempt"), 200, "x"));
  });
  for (int i = 0; i < 30; ++i) {
    TestClient& client = fleet.Call("/once/x", "a" + std::to_string(i));
    REQUIRE(fleet.RunUntil([&] { return client.Status() != 0; }));
    CHECK(client.Status() == 200);
  }
  CHECK(replaced.Requests().size() <= 1);
}

TEST_CASE("connections beyond the limit are closed unread and others go on") {
  auto options = GatewayFixture::DefaultOptions();
  options.max_descriptors = 20;  // Half of it for callers.
  GatewayFixture fleet(options);
  fleet.AddBackend("b", [](const ScriptedBackend::Received& call) {
    call.session->Write(
        PlainAnswer(*call.head.headers.Find("Attempt"), 200, "x"));
  });
  constexpr int connections = 30;
  std::vector<TestClient*> clients;
  clients.reserve(connections);
  for (int i = 0; i < connections; ++i) clients.push_back(&fleet.Connect());
  fleet.RunFor(milliseconds(100));
  const auto ended = std::count_if(clients.begin(), clients.end(),
                                   [](const auto* c) { return c->Ended(); });
  CHECK(ended == 20);
  for (TestClient* client : clients) {
    if (client->Ended()) continue;
    client->Send(RequestText("/safe/x", "a1"));
    REQUIRE(fleet.RunUntil([&] { return client->Status() == 200; }));
    break;
  }
}

TEST_CASE("connections left idle after a burst make room for new callers") {
  auto options = GatewayFixture::DefaultOptions();
  options.max_descriptors = 20;  // Half of it for callers.
  GatewayFixture fleet(options);
  std::vector<ScriptedBackend::Received> held;
  fleet.AddBackend("b", [&held](const ScriptedBackend::Received& call) {
    if (call.head.target == "/once/held") {
      held.push_back(call);
      return;
    }
    call.session->Write(
        PlainAnswer(*call.head.headers.Find("Attempt"), 200, "x"));
  });
  TestClient& busy = fleet.Call("/once/held", "a-held");
  constexpr int burst = 9;
  std::vector<TestClient*> idle;
  idle.reserve(burst);
  for (int i = 0; i < burst; ++i) {
    idle.push_back(&fleet.Call("/safe/x", "a" + std::to_string(i)));
  }
  REQUIRE(fleet.RunUntil([&] {
    return std::all_of(idle.begin(), idle.end(),
                       [](const auto* c) { return c->Status() == 200; });
  }));
  fleet.RunFor(milliseconds(300));
  for (int i = 0; i < 3; ++i) {
    TestClient& late = fleet.Call("/safe/x", "late" + std::to_string(i));
    REQUIRE(fleet.RunUntil([&] { return late.Status() != 0; }));
    CHECK(late.Status() == 200);
  }
  CHECK(std::count_if(idle.begin(), idle.end(),
                      [](const auto* c) { return c->Ended(); }) == 3);
  REQUIRE(held.size() == 1);
  held[0].session->Write(PlainAnswer("a-held", 200, "y"));
  REQUIRE(fleet.RunUntil([&] { return busy.Status() != 0; }));
  CHECK(busy.Status() == 200);
}

TEST_CASE("unknown routes and malformed requests get their own answers") {
  GatewayFixture fleet;
  TestClient& unknown = fleet.Call("/none/x", "a1");
  TestClient& nameless = fleet.Connect();
  nameless.Send("GET /safe/x HTTP/1.1\r\nHost: host\r\n\r\n");
  TestClient& smuggled = fleet.Connect();
  smuggled.Send(
      "POST /safe/x HTTP/1.1\r\nHost: host\r\nAttempt: a2\r\n"
      "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n");
  TestClient& spaced = fleet.Connect();
  spaced.Send("GET /safe/x HTTP/1.1\r\nHost : host\r\nAttempt: a3\r\n\r\n");
  REQUIRE(fleet.RunUntil([&] {
    return unknown.Status() != 0 && nameless.Status() != 0 &&
           smuggled.Status() != 0 && spaced.Status() != 0;
  }));
  CHECK(unknown.Status() == 404);
  CHECK(nameless.Status() == 400);
  CHECK(smuggled.Status() == 400);
  CHECK(spaced.Status() == 400);
}

TEST_CASE("a body over the limit is refused before it is read") {
  GatewayFixture fleet;
  TestClient& client = fleet.Connect();
  client.Send(
      "POST /safe/x HTTP/1.1\r\nHost: host\r\nAttempt: a1\r\n"
      "Content-Length: 99999999\r\n\r\n");
  REQUIRE(fleet.RunUntil([&] { return client.Status() != 0; }));
  CHECK(client.Status() == 413);
}

}  // namespace
}  // namespace wasabiwall::fakes
