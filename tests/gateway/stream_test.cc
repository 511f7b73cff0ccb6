// Event streams: order, resumption, cuts and callers that leave.
#include <catch2/catch.hpp>

#include "fakes/gateway_fixture.h"
#include "wasabiwall/protocol/event_stream.h"

namespace wasabiwall::fakes {
namespace {

using std::chrono::milliseconds;

std::string IdOf(const ScriptedBackend::Received& call) {
  return *call.head.headers.Find("Attempt");
}

TEST_CASE("events are cut at their ends, whatever the parts they arrive in") {
  const std::string stream =
      "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: c\n\n";
  for (std::size_t size = 1; size <= stream.size(); ++size) {
    protocol::EventStreamSplitter cutter;
    std::string passed;
    for (std::size_t at = 0; at < stream.size(); at += size) {
      passed += cutter.Feed(stream.substr(at, size));
    }
    CHECK(passed == stream);
    CHECK(cutter.Partial().empty());
    CHECK(cutter.LastId() == 3);
  }
}

TEST_CASE("events that were passed on before are dropped after a resumption") {
  protocol::EventStreamSplitter cutter;
  CHECK(cutter.Feed("id: 1\n\nid: 2\n\nid: 3\nda") == "id: 1\n\nid: 2\n\n");
  cutter.Restart();
  CHECK(cutter.Feed("id: 2\n\nid: 3\n\n") == "id: 3\n\n");
}

TEST_CASE("a resumable stream that breaks off goes on after its last event") {
  GatewayFixture fleet;
  int runs = 0;
  const auto script = [&](const ScriptedBackend::Received& call) {
    if (++runs == 1) {
      call.session->Write(StreamHead(IdOf(call)) + EventChunk(1, "one") +
                          transport::EncodeChunk("id: 2\nda"));
      call.session->Close();
      return;
    }
    CHECK(*call.head.headers.Find("Last-Event-Id") == "1");
    call.session->Write(StreamHead(IdOf(call)) + EventChunk(2, "two") +
                        std::string(transport::kLastChunk));
  };
  fleet.AddBackend("b1", script);
  fleet.AddBackend("b2", script);
  TestClient& client = fleet.Call("/chat/x", "a1");
  REQUIRE(fleet.RunUntil([&] { return client.Has("0\r\n\r\n"); }));
  CHECK(runs == 2);
  CHECK(client.Has("id: 1\ndata: one\n\n"));
  CHECK(client.Has("id: 2\ndata: two\n\n"));
  const std::string& all = client.Received();
  CHECK(all.find("HTTP/1.1", 1) == std::string::npos);
  CHECK(all.find("id: 2") == all.rfind("id: 2"));
}

TEST_CASE("a stream that runs once and breaks off stays visibly cut") {
  GatewayFixture fleet;
  ScriptedBackend& backend =
      fleet.AddBackend("b", [](const ScriptedBackend::Received& call) {
        call.session->Write(StreamHead(IdOf(call)) + EventChunk(1, "one"));
        call.session->Close();
      });
  TestClient& client = fleet.Call("/talk/x", "a1");
  REQUIRE(fleet.RunUntil([&] { return client.Ended(); }));
  CHECK(client.Broken());
  CHECK_FALSE(client.Has("0\r\n\r\n"));
  CHECK(backend.Requests().size() == 1);
}

TEST_CASE("a silent resumable stream is tried elsewhere") {
  GatewayFixture fleet;
  int runs = 0;
  const auto script = [&](const ScriptedBackend::Received& call) {
    if (++runs == 1) return;
    call.session->Write(StreamHead(IdOf(call)) + EventChunk(1, "one") +
                        std::string(transport::kLastChunk));
  };
  ScriptedBackend& b1 = fleet.AddBackend("b1", script);
  ScriptedBackend& b2 = fleet.AddBackend("b2", script);
  TestClient& client = fleet.Call("/chat/x", "a1");
  REQUIRE(fleet.RunUntil([&] { return client.Has("0\r\n\r\n"); }));
  const auto& first = b1.Requests().empty() ? b2 : b1;
  REQUIRE(fleet.RunUntil(
      [&] { return first.Requests().front().session->Ended(); }));
}

TEST_CASE("when the caller leaves, the backend server is told at once") {
  GatewayFixture fleet;
  ScriptedBackend& backend =
      fleet.AddBackend("b", [](const ScriptedBackend::Received& call) {
        call.session->Write(StreamHead(IdOf(call)) + EventChunk(1, "one"));
      });
  TestClient& client = fleet.Call("/chat/x", "a1");
  REQUIRE(fleet.RunUntil([&] { return client.Has("one"); }));
  client.Reset();
  CHECK(fleet.RunUntil(
      [&] { return backend.Requests().front().session->Ended(); }));
  CHECK(fleet.context.loads.OwnInFlight(state::BackendServerId("b")) == 0);
}

TEST_CASE("a call that reaches its route's timeout is answered then") {
  GatewayFixture fleet;
  fleet.AddBackend("b", [](const ScriptedBackend::Received&) {});
  const auto begun = fleet.loop.Now();
  TestClient& client = fleet.Call("/once/x", "a1");
  REQUIRE(fleet.RunUntil([&] { return client.Status() != 0; }));
  CHECK(client.Status() == 504);
  // The route's timeout of 1.5 s and a quarter of a second.
  CHECK(fleet.loop.Now() - begun < milliseconds(1750));
}

TEST_CASE("answers of other calls are dropped and spoil nothing") {
  GatewayFixture fleet;
  int calls = 0;
  fleet.AddBackend("b", [&](const ScriptedBackend::Received& call) {
    const std::string own = PlainAnswer(IdOf(call), 200, "own");
    if (++calls == 1) {
      // A second answer too many, found on the kept connection.
      call.session->Write(own + PlainAnswer("other", 200, "stray"));
      return;
    }
    call.session->Write(PlainAnswer("other", 200, "stray") + own);
  });
  for (int i = 0; i < 3; ++i) {
    TestClient& client = fleet.Call("/once/x", "a" + std::to_string(i));
    REQUIRE(fleet.RunUntil([&] { return client.Status() != 0; }));
    CHECK(client.Has("own"));
    CHECK_FALSE(client.Has("stray"));
  }
}

TEST_CASE("requests on a kept connection are answered one after another") {
  GatewayFixture fleet;
  fleet.AddBackend("b", [](const ScriptedBackend::Received& call) {
    call.session->Write(PlainAnswer(IdOf(call), 200, "for " + IdOf(call)));
  });
  TestClient& client = fleet.Connect();
  client.Send(RequestText("/safe/x", "a1") + RequestText("/safe/x", "a2") +
              RequestText("/safe/x", "a3"));
  REQUIRE(fleet.RunUntil([&] { return client.Has("for a3"); }));
  const std::string& all = client.Received();
  CHECK(all.find("for a1") < all.find("for a2"));
  CHECK(all.find("for a2") < all.find("for a3"));
  CHECK_FALSE(client.Ended());
}

TEST_CASE("headers that concern one connection are not passed on") {
  GatewayFixture fleet;
  ScriptedBackend& backend =
      fleet.AddBackend("b", [](const ScriptedBackend::Received& call) {
        call.session->Write(PlainAnswer(IdOf(call), 200, "x"));
      });
  TestClient& client = fleet.Connect();
  client.Send(
      "POST /safe/x HTTP/1.1\r\nHost: host\r\nAttempt: a1\r\nKey: secret\r\n"
      "Connection: keep-alive, X-Hop\r\nX-Hop: 1\r\nX-Kept: 2\r\n"
      "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
  REQUIRE(fleet.RunUntil([&] { return client.Status() == 200; }));
  const auto& received = backend.Requests().front();
  CHECK(received.body == "abcde");
  CHECK(received.head.headers.Find("X-Hop") == nullptr);
  CHECK(received.head.headers.Find("Key") == nullptr);
  CHECK(received.head.headers.Find("X-Kept") != nullptr);
  CHECK(*received.head.headers.Find("Content-Length") == "5");
}

TEST_CASE("streams that run once leave an engine that answers nothing") {
  GatewayFixture fleet;
  const ScriptedBackend& silent =
      fleet.AddBackend("b1", [](const ScriptedBackend::Received&) {});
  fleet.AddBackend("b2", [](const ScriptedBackend::Received& call) {
    call.session->Write(StreamHead(*call.head.headers.Find("Attempt")) +
                        EventChunk(1, "x") + "0\r\n\r\n");
  });
  int number = 0;
  const auto play = [&](int calls) {
    for (int i = 0; i < calls; ++i) {
      fleet.Call("/talk/x", "a" + std::to_string(++number),
                 "Part: " + std::to_string(i + 1) + "\r\n");
    }
  };
  play(10);
  // The patience for a first event: three times the objective.
  fleet.RunFor(milliseconds(1300));
  const std::size_t before = silent.Requests().size();
  REQUIRE(before > 0);
  play(10);
  fleet.RunFor(milliseconds(100));
  CHECK(silent.Requests().size() == before);
}

}  // namespace
}  // namespace wasabiwall::fakes
