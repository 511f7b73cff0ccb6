// Refused and rejected calls: how soon they are answered, and whether "not run"
// is reported truthfully.
#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <set>

#include "fakes/gateway_fixture.h"

namespace wasabiwall::fakes {
namespace {

using std::chrono::milliseconds;

TEST_CASE("calls to an unreachable service are refused at once") {
  GatewayFixture fixture;
  ScriptedBackend& backend =
      fixture.AddBackend("b", [](const ScriptedBackend::Received&) {});
  backend.Crash();
  TestClient& first = fixture.Call("/safe/x", "a1");
  REQUIRE(fixture.RunUntil([&] { return first.Status() != 0; }));
  const auto start = fixture.loop.Now();
  TestClient& second = fixture.Call("/safe/x", "a2");
  REQUIRE(fixture.RunUntil([&] { return second.Status() != 0; }));
  CHECK(second.Status() == 503);
  CHECK(second.Has("\"not_run\":true"));
  CHECK(second.Has("Retry-After: "));
  // An eighth of the objective of 400 ms.
  CHECK(fixture.loop.Now() - start < milliseconds(50));
}

TEST_CASE("a call to a service without backend servers is refused at once") {
  GatewayFixture fixture;
  const auto start = fixture.loop.Now();
  TestClient& client = fixture.Call("/once/x", "a1");
  REQUIRE(fixture.RunUntil([&] { return client.Status() != 0; }));
  CHECK(client.Status() == 503);
  CHECK(fixture.loop.Now() - start < milliseconds(50));
}

TEST_CASE("a call that may have run is never reported as not run") {
  GatewayFixture fixture;
  ScriptedBackend& backend = fixture.AddBackend(
      "b",
      [](const ScriptedBackend::Received& call) { call.session->Reset(); });
  TestClient& client = fixture.Call("/once/x", "a1");
  REQUIRE(fixture.RunUntil([&] { return client.Status() != 0; }));
  CHECK(client.Status() == 502);
  CHECK(client.Has("\"not_run\":false"));
  CHECK(backend.Requests().size() == 1);
}

TEST_CASE(
    "a non-idempotent call is retried only when it has certainly not run") {
  GatewayFixture fixture;
  int refused = 0;
  const auto refuse = [&refused](const ScriptedBackend::Received& call) {
    ++refused;
    call.session->Write(PlainAnswer("", 503, "", "Not-Run: 1\r\n"));
  };
  fixture.AddBackend("b1", refuse);
  ScriptedBackend& other =
      fixture.AddBackend("b2", [](const ScriptedBackend::Received& call) {
        call.session->Write(
            PlainAnswer(*call.head.headers.Find("Attempt"), 200, "booked"));
      });
  for (int i = 0; i < 10; ++i) {
    TestClient& client = fixture.Call("/once/x", "a" + std::to_string(i));
    REQUIRE(fixture.RunUntil([&] { return client.Status() != 0; }));
    CHECK(client.Status() == 200);
  }
  CHECK(refused > 0);
  CHECK(other.Requests().size() == 10);
}

TEST_CASE("a backend server whose address another one has taken is ejected") {
  GatewayFixture fixture;
  ScriptedBackend& replaced =
      fixture.AddBackend("b1", [](const ScriptedBackend::Received& call) {
        call.session->Write(PlainAnswer("", 421, "", "Wrong-Backend: 1\r\n"));
      });
  fixture.AddBackend("b2", [](const ScriptedBackend::Received& call) {
    call.session->Write(
        PlainAnswer(*call.head.headers.Find("Attempt"), 200, "x"));
  });
  for (int i = 0; i < 30; ++i) {
    TestClient& client = fixture.Call("/once/x", "a" + std::to_string(i));
    REQUIRE(fixture.RunUntil([&] { return client.Status() != 0; }));
    CHECK(client.Status() == 200);
  }
  CHECK(replaced.Requests().size() <= 1);
}

TEST_CASE(
    "connections beyond the limit are closed unread and others are served") {
  auto options = GatewayFixture::DefaultOptions();
  options.max_descriptors = 20;  // Half of it for callers.
  GatewayFixture fixture(options);
  fixture.AddBackend("b", [](const ScriptedBackend::Received& call) {
    call.session->Write(
        PlainAnswer(*call.head.headers.Find("Attempt"), 200, "x"));
  });
  constexpr int connections = 30;
  std::vector<TestClient*> clients;
  clients.reserve(connections);
  for (int i = 0; i < connections; ++i) clients.push_back(&fixture.Connect());
  fixture.RunFor(milliseconds(100));
  const auto ended = std::count_if(clients.begin(), clients.end(),
                                   [](const auto* c) { return c->Ended(); });
  CHECK(ended == 20);
  for (TestClient* client : clients) {
    if (client->Ended()) continue;
    client->Send(RequestText("/safe/x", "a1"));
    REQUIRE(fixture.RunUntil([&] { return client->Status() == 200; }));
    break;
  }
}

TEST_CASE("a refusal that is written once more does not refuse a later send") {
  GatewayFixture fixture;
  std::set<std::shared_ptr<ScriptedBackend::Session>> used;
  int runs = 0;
  fixture.AddBackend("b", [&](const ScriptedBackend::Received& call) {
    const std::string refusal =
        PlainAnswer("a1", 503, "busy", "Not-Run: 1\r\n");
    const bool is_first = used.empty();
    const bool was_used = !used.insert(call.session).second;
    if (is_first || was_used) call.session->Write(refusal);
    if (is_first) return;
    ++runs;
    call.session->Write(PlainAnswer("a1", 200, "served"));
  });
  // The only backend server gets the call once more after a pause in the queue.
  TestClient& client = fixture.Call("/once/x", "a1");
  REQUIRE(fixture.RunUntil([&] { return client.Status() != 0; }));
  CHECK(client.Status() == 200);
  CHECK(runs == 1);
}

TEST_CASE(
    "a refusal without identifier on a used connection does not repeat a "
    "call") {
  // Guards against stray bytes that are taken for the response to the call in
  // flight: a call that may run once then ran at two backend servers.
  const std::string stray =
      GENERATE(PlainAnswer("", 503, "", "Not-Run: 1\r\n"),
               PlainAnswer("", 421, "", "Wrong-Backend: 1\r\n"),
               PlainAnswer("", 500, "other"));
  GatewayFixture fixture;
  std::set<std::shared_ptr<ScriptedBackend::Session>> used;
  std::map<std::string, int> runs;
  int strays = 0;
  std::vector<std::unique_ptr<transport::Timer>> work;
  for (const char* id : {"b1", "b2"}) {
    fixture.AddBackend(id, [&](const ScriptedBackend::Received& call) {
      const std::string attempt = *call.head.headers.Find("Attempt");
      ++runs[attempt];
      if (!used.insert(call.session).second) {
        ++strays;
        call.session->Write(stray);
      }
      work.push_back(std::make_unique<transport::Timer>(&fixture.loop));
      work.back()->Start(milliseconds(20), [session = call.session, attempt] {
        session->Write(PlainAnswer(attempt, 200, "booked"));
      });
    });
  }
  constexpr int calls = 10;
  for (int i = 0; i < calls; ++i) {
    const std::string attempt = "a" + std::to_string(i);
    TestClient& client = fixture.Call("/once/x", attempt);
    REQUIRE(fixture.RunUntil([&] { return client.Status() != 0; }));
    CHECK(client.Status() == 200);
    CHECK(client.Has("booked"));
    CHECK(runs[attempt] == 1);
  }
  CHECK(strays > 0);
}

TEST_CASE(
    "a refusal without identifier is trusted only as the first response of its "
    "connection") {
  GatewayFixture fixture;
  std::map<std::string, int> runs;
  for (const char* id : {"b1", "b2"}) {
    fixture.AddBackend(id, [&](const ScriptedBackend::Received& call) {
      const std::string attempt = *call.head.headers.Find("Attempt");
      ++runs[attempt];
      call.session->Write(PlainAnswer("other", 200, "stray") +
                          PlainAnswer("", 503, "", "Not-Run: 1\r\n") +
                          PlainAnswer(attempt, 200, "booked"));
    });
  }
  TestClient& client = fixture.Call("/once/x", "a1");
  REQUIRE(fixture.RunUntil([&] { return client.Status() != 0; }));
  CHECK(client.Status() == 200);
  CHECK(runs["a1"] == 1);
}

TEST_CASE("connections left idle after a burst are evicted for new callers") {
  auto options = GatewayFixture::DefaultOptions();
  options.max_descriptors = 20;  // Half of it for callers.
  GatewayFixture fixture(options);
  std::vector<ScriptedBackend::Received> held;
  fixture.AddBackend("b", [&held](const ScriptedBackend::Received& call) {
    if (call.head.target == "/once/held") {
      held.push_back(call);
      return;
    }
    call.session->Write(
        PlainAnswer(*call.head.headers.Find("Attempt"), 200, "x"));
  });
  TestClient& busy = fixture.Call("/once/held", "a-held");
  constexpr int burst = 9;
  std::vector<TestClient*> idle;
  idle.reserve(burst);
  for (int i = 0; i < burst; ++i) {
    idle.push_back(&fixture.Call("/safe/x", "a" + std::to_string(i)));
  }
  REQUIRE(fixture.RunUntil([&] {
    return std::all_of(idle.begin(), idle.end(),
                       [](const auto* c) { return c->Status() == 200; });
  }));
  fixture.RunFor(milliseconds(300));
  for (int i = 0; i < 3; ++i) {
    TestClient& late = fixture.Call("/safe/x", "late" + std::to_string(i));
    REQUIRE(fixture.RunUntil([&] { return late.Status() != 0; }));
    CHECK(late.Status() == 200);
  }
  CHECK(std::count_if(idle.begin(), idle.end(),
                      [](const auto* c) { return c->Ended(); }) == 3);
  REQUIRE(held.size() == 1);
  held[0].session->Write(PlainAnswer("a-held", 200, "y"));
  REQUIRE(fixture.RunUntil([&] { return busy.Status() != 0; }));
  CHECK(busy.Status() == 200);
}

TEST_CASE("a refusal that a backend server does not explain is no promise") {
  // Guards against callers that send a call again which has run: these statuses
  // promise that it has not, and only the backend server can say so.
  const int status = GENERATE(408, 421, 429, 503);
  CAPTURE(status);
  GatewayFixture fixture;
  fixture.AddBackend("b", [status](const ScriptedBackend::Received& call) {
    call.session->Write(PlainAnswer(*call.head.headers.Find("Attempt"), status,
                                    "ran", "Retry-After: 1\r\n"));
  });
  SECTION("of a call that must not run twice") {
    TestClient& client = fixture.Call("/once/x", "a1");
    REQUIRE(fixture.RunUntil([&] { return client.Status() != 0; }));
    CHECK(client.Status() == 502);
    CHECK_FALSE(client.Has("Retry-After"));
    CHECK_FALSE(client.Has("ran"));
  }
  SECTION("of one that may, it is passed on") {
    TestClient& client = fixture.Call("/safe/x", "a1");
    REQUIRE(fixture.RunUntil([&] { return client.Status() != 0; }));
    CHECK(client.Status() == status);
  }
}

TEST_CASE("unknown routes are answered with 404, malformed requests with 400") {
  GatewayFixture fixture;
  TestClient& unknown = fixture.Call("/none/x", "a1");
  TestClient& without_id = fixture.Connect();
  without_id.Send("GET /safe/x HTTP/1.1\r\nHost: host\r\n\r\n");
  TestClient& smuggled = fixture.Connect();
  smuggled.Send(
      "POST /safe/x HTTP/1.1\r\nHost: host\r\nAttempt: a2\r\n"
      "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n");
  TestClient& spaced = fixture.Connect();
  spaced.Send("GET /safe/x HTTP/1.1\r\nHost : host\r\nAttempt: a3\r\n\r\n");
  REQUIRE(fixture.RunUntil([&] {
    return unknown.Status() != 0 && without_id.Status() != 0 &&
           smuggled.Status() != 0 && spaced.Status() != 0;
  }));
  CHECK(unknown.Status() == 404);
  CHECK(without_id.Status() == 400);
  CHECK(smuggled.Status() == 400);
  CHECK(spaced.Status() == 400);
}

TEST_CASE("a body over the limit is refused before it is read") {
  GatewayFixture fixture;
  TestClient& client = fixture.Connect();
  client.Send(
      "POST /safe/x HTTP/1.1\r\nHost: host\r\nAttempt: a1\r\n"
      "Content-Length: 99999999\r\n\r\n");
  REQUIRE(fixture.RunUntil([&] { return client.Status() != 0; }));
  CHECK(client.Status() == 413);
}

}  // namespace
}  // namespace wasabiwall::fakes
