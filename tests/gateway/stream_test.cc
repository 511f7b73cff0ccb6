// Event streams and connections: order, resumption, truncation, and callers
// that disconnect.
#include <catch2/catch.hpp>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <utility>

#include "fakes/gateway_fixture.h"

namespace wasabiwall::fakes {
namespace {

using std::chrono::milliseconds;

std::string IdOf(const ScriptedBackend::Received& call) {
  return *call.head.headers.Find("Attempt");
}

TEST_CASE(
    "a resumable stream that breaks off resumes after its last complete "
    "event") {
  GatewayFixture fixture;
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
  fixture.AddBackend("b1", script);
  fixture.AddBackend("b2", script);
  TestClient& client = fixture.Call("/chat/x", "a1");
  REQUIRE(fixture.RunUntil([&] { return client.Has("0\r\n\r\n"); }));
  CHECK(runs == 2);
  CHECK(client.Has("id: 1\ndata: one\n\n"));
  CHECK(client.Has("id: 2\ndata: two\n\n"));
  const std::string& all = client.Received();
  CHECK(all.find("HTTP/1.1", 1) == std::string::npos);
  CHECK(all.find("id: 2") == all.rfind("id: 2"));
}

TEST_CASE("a non-resumable stream that breaks off ends in a connection reset") {
  GatewayFixture fixture;
  ScriptedBackend& backend =
      fixture.AddBackend("b", [](const ScriptedBackend::Received& call) {
        call.session->Write(StreamHead(IdOf(call)) + EventChunk(1, "one"));
        call.session->Close();
      });
  TestClient& client = fixture.Call("/talk/x", "a1");
  REQUIRE(fixture.RunUntil([&] { return client.Ended(); }));
  CHECK(client.Broken());
  CHECK_FALSE(client.Has("0\r\n\r\n"));
  CHECK(backend.Requests().size() == 1);
}

TEST_CASE("a stalled resumable stream is retried at another backend server") {
  GatewayFixture fixture;
  int runs = 0;
  const auto script = [&](const ScriptedBackend::Received& call) {
    if (++runs == 1) return;
    call.session->Write(StreamHead(IdOf(call)) + EventChunk(1, "one") +
                        std::string(transport::kLastChunk));
  };
  ScriptedBackend& b1 = fixture.AddBackend("b1", script);
  ScriptedBackend& b2 = fixture.AddBackend("b2", script);
  TestClient& client = fixture.Call("/chat/x", "a1");
  REQUIRE(fixture.RunUntil([&] { return client.Has("0\r\n\r\n"); }));
  const auto& first = b1.Requests().empty() ? b2 : b1;
  REQUIRE(fixture.RunUntil(
      [&] { return first.Requests().front().session->Ended(); }));
}

/// Writes a piece of a response every so often, for as long as a test runs.
class SlowWriter {
 public:
  /// @param piece Of the number of the piece, from 0 on; empty to write no
  /// more.
  SlowWriter(transport::EventLoop* loop, milliseconds interval,
             std::function<std::string(int)> piece)
      : m_timer(loop), m_interval(interval), m_piece(std::move(piece)) {}

  void Start(const std::shared_ptr<ScriptedBackend::Session>& session) {
    m_timer.StartRepeating(m_interval, [this, session] {
      const std::string piece = m_piece(m_pieces++);
      if (piece.empty() || session->Ended()) {
        m_timer.Stop();
        return;
      }
      session->Write(piece);
    });
  }

 private:
  transport::Timer m_timer;
  milliseconds m_interval;
  std::function<std::string(int)> m_piece;
  int m_pieces = 0;
};

TEST_CASE("a slow stream whose events keep coming is not cut") {
  GatewayFixture fixture;
  // The gap that the route wants is 200 ms.
  SlowWriter writer(&fixture.loop, milliseconds(450), [](int piece) {
    return piece < 3 ? EventChunk(piece + 2, "slow")
                     : std::string(transport::kLastChunk);
  });
  ScriptedBackend& backend =
      fixture.AddBackend("b", [&](const ScriptedBackend::Received& call) {
        call.session->Write(StreamHead(IdOf(call)) + EventChunk(1, "first"));
        writer.Start(call.session);
      });
  TestClient& client = fixture.Call("/talk/x", "a1");
  REQUIRE(fixture.RunUntil([&] { return client.Has("0\r\n\r\n"); }));
  CHECK(client.Has("id: 4\ndata: slow\n\n"));
  CHECK(backend.Requests().size() == 1);
}

TEST_CASE("a stalled stream that sends a byte now and then is not waited for") {
  const std::string byte =
      GENERATE(as<std::string>(), "x", "\n", ":\n", ": still here\n\n");
  CAPTURE(byte);
  GatewayFixture fixture;
  SlowWriter writer(&fixture.loop, milliseconds(50),
                    [&](int) { return transport::EncodeChunk(byte); });
  int runs = 0;
  const auto script = [&](const ScriptedBackend::Received& call) {
    if (++runs > 1) {
      call.session->Write(StreamHead(IdOf(call)) + EventChunk(2, "two") +
                          std::string(transport::kLastChunk));
      return;
    }
    call.session->Write(StreamHead(IdOf(call)) + EventChunk(1, "one"));
    writer.Start(call.session);
  };
  fixture.AddBackend("b1", script);
  fixture.AddBackend("b2", script);
  const auto start = fixture.loop.Now();
  SECTION("it is resumed at another backend server") {
    TestClient& client = fixture.Call("/chat/x", "a1");
    REQUIRE(fixture.RunUntil([&] { return client.Has("0\r\n\r\n"); }));
    CHECK(client.Has("data: two"));
    // Three times the gap that the route wants, and some time to spare.
    CHECK(fixture.loop.Now() - start < milliseconds(1200));
  }
  SECTION("it ends at its deadline if it cannot be resumed") {
    TestClient& client = fixture.Connect();
    client.Send(
        "GET /talk/x HTTP/1.1\r\nHost: host\r\nAttempt: a1\r\n"
        "Deadline: 1000\r\n\r\n");
    REQUIRE(fixture.RunUntil([&] { return client.Ended(); }));
    CHECK(client.Broken());
    CHECK(runs == 1);
    CHECK(fixture.loop.Now() - start < milliseconds(1200));
  }
}

TEST_CASE(
    "a caller that disconnects ends the connection to the backend server") {
  GatewayFixture fixture;
  ScriptedBackend& backend =
      fixture.AddBackend("b", [](const ScriptedBackend::Received& call) {
        call.session->Write(StreamHead(IdOf(call)) + EventChunk(1, "one"));
      });
  TestClient& client = fixture.Call("/chat/x", "a1");
  REQUIRE(fixture.RunUntil([&] { return client.Has("one"); }));
  client.Reset();
  CHECK(fixture.RunUntil(
      [&] { return backend.Requests().front().session->Ended(); }));
  CHECK(fixture.context.loads.OwnInFlight(state::BackendServerId("b")) == 0);
}

TEST_CASE(
    "a call that reaches its route's timeout is answered with 504 at once") {
  GatewayFixture fixture;
  fixture.AddBackend("b", [](const ScriptedBackend::Received&) {});
  const auto start = fixture.loop.Now();
  TestClient& client = fixture.Call("/once/x", "a1");
  REQUIRE(fixture.RunUntil([&] { return client.Status() != 0; }));
  CHECK(client.Status() == 504);
  // The route's timeout of 1.5 s plus 250 ms.
  CHECK(fixture.loop.Now() - start < milliseconds(1750));
}

TEST_CASE("answers of other calls are discarded and no later call fails") {
  GatewayFixture fixture;
  int calls = 0;
  fixture.AddBackend("b", [&](const ScriptedBackend::Received& call) {
    const std::string own = PlainAnswer(IdOf(call), 200, "own");
    if (++calls == 1) {
      // An unsolicited second response, which stays on the reused connection.
      call.session->Write(own + PlainAnswer("other", 200, "stray"));
      return;
    }
    call.session->Write(PlainAnswer("other", 200, "stray") + own);
  });
  for (int i = 0; i < 3; ++i) {
    TestClient& client = fixture.Call("/once/x", "a" + std::to_string(i));
    REQUIRE(fixture.RunUntil([&] { return client.Status() != 0; }));
    CHECK(client.Has("own"));
    CHECK_FALSE(client.Has("stray"));
  }
}

TEST_CASE("an error of the next backend server is no part of a stream") {
  const std::string body = "event: none of the stream\n\n";
  const auto error = [&](int status, const std::string& headers) {
    return PlainAnswer("a1", status, body, headers);
  };
  const std::string event_type = "Content-Type: text/event-stream\r\n";
  const auto [name, answer] = GENERATE_COPY(table<std::string, std::string>({
      {"as text", error(500, "Content-Type: text/plain\r\n")},
      {"as an event stream", error(500, event_type)},
      {"as a refusal", error(503, event_type + "Not-Run: 1\r\n")},
      {"as not found", error(404, "")},
      {"without identifier", PlainAnswer("", 500, body, event_type)},
      {"without an end", "HTTP/1.1 500 Error\r\nAttempt: a1\r\n\r\n" + body},
  }));
  INFO(name);
  GatewayFixture fixture;
  int sends = 0;
  const auto script = [&,
                       answer = answer](const ScriptedBackend::Received& call) {
    if (++sends == 1) {
      call.session->Write(StreamHead("a1") + EventChunk(1, "one") +
                          EventChunk(2, "two").substr(0, 8));
    } else {
      call.session->Write(answer);
    }
    call.session->Close();
  };
  fixture.AddBackend("b1", script);
  fixture.AddBackend("b2", script);
  TestClient& client = fixture.Call("/chat/x", "a1");
  REQUIRE(fixture.RunUntil([&] { return client.Ended(); }));
  CHECK(sends > 1);
  CHECK(client.Broken());
  CHECK(client.Has("one"));
  CHECK_FALSE(client.Has("two"));
  CHECK_FALSE(client.Has("none of the stream"));
  CHECK_FALSE(client.Has("HTTP/1.1 5"));
  CHECK_FALSE(client.Has("HTTP/1.1 4"));
  CHECK_FALSE(client.Has("0\r\n\r\n"));
}

TEST_CASE("a late copy of an error without identifier reaches no other call") {
  GatewayFixture fixture;
  const std::string error =
      "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\n"
      "Content-Length: 4\r\n\r\nbusy";
  std::set<std::shared_ptr<ScriptedBackend::Session>> used;
  int sends_of_second = 0;
  fixture.AddBackend("b", [&](const ScriptedBackend::Received& call) {
    const bool was_used = !used.insert(call.session).second;
    if (IdOf(call) == "a1") {
      call.session->Write(error);
      return;
    }
    ++sends_of_second;
    if (was_used) call.session->Write(error);
    call.session->Write(PlainAnswer(IdOf(call), 200, "own"));
  });
  TestClient& first = fixture.Call("/safe/x", "a1");
  REQUIRE(fixture.RunUntil([&] { return first.Status() != 0; }));
  CHECK(first.Status() == 503);
  TestClient& second = fixture.Call("/safe/x", "a2");
  REQUIRE(fixture.RunUntil([&] { return second.Status() != 0; }));
  CHECK(second.Status() == 200);
  CHECK(sends_of_second == 1);
}

TEST_CASE("pipelined requests are answered in order, one after another") {
  GatewayFixture fixture;
  fixture.AddBackend("b", [](const ScriptedBackend::Received& call) {
    call.session->Write(PlainAnswer(IdOf(call), 200, "for " + IdOf(call)));
  });
  TestClient& client = fixture.Connect();
  client.Send(RequestText("/safe/x", "a1") + RequestText("/safe/x", "a2") +
              RequestText("/safe/x", "a3"));
  REQUIRE(fixture.RunUntil([&] { return client.Has("for a3"); }));
  const std::string& all = client.Received();
  CHECK(all.find("for a1") < all.find("for a2"));
  CHECK(all.find("for a2") < all.find("for a3"));
  CHECK_FALSE(client.Ended());
}

TEST_CASE("hop-by-hop headers are not forwarded") {
  GatewayFixture fixture;
  ScriptedBackend& backend =
      fixture.AddBackend("b", [](const ScriptedBackend::Received& call) {
        call.session->Write(PlainAnswer(IdOf(call), 200, "x"));
      });
  TestClient& client = fixture.Connect();
  client.Send(
      "POST /safe/x HTTP/1.1\r\nHost: host\r\nAttempt: a1\r\nKey: secret\r\n"
      "Connection: keep-alive, X-Hop\r\nX-Hop: 1\r\nX-Kept: 2\r\n"
      "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
  REQUIRE(fixture.RunUntil([&] { return client.Status() == 200; }));
  const auto& received = backend.Requests().front();
  CHECK(received.body == "abcde");
  CHECK(received.head.headers.Find("X-Hop") == nullptr);
  CHECK(received.head.headers.Find("Key") == nullptr);
  CHECK(received.head.headers.Find("X-Kept") != nullptr);
  CHECK(*received.head.headers.Find("Content-Length") == "5");
}

TEST_CASE(
    "an engine that starts no answer to non-resumable streams is ejected") {
  GatewayFixture fixture;
  const ScriptedBackend& silent =
      fixture.AddBackend("b1", [](const ScriptedBackend::Received&) {});
  fixture.AddBackend("b2", [](const ScriptedBackend::Received& call) {
    call.session->Write(StreamHead(*call.head.headers.Find("Attempt")) +
                        EventChunk(1, "x") + "0\r\n\r\n");
  });
  int number = 0;
  const auto send_calls = [&](int calls) {
    for (int i = 0; i < calls; ++i) {
      fixture.Call("/talk/x", "a" + std::to_string(++number),
                   "Part: " + std::to_string(i + 1) + "\r\n");
    }
  };
  send_calls(10);
  // Longer than the first-event timeout, three times the objective of 400 ms.
  fixture.RunFor(milliseconds(1300));
  const std::size_t before = silent.Requests().size();
  REQUIRE(before > 0);
  send_calls(10);
  fixture.RunFor(milliseconds(100));
  CHECK(silent.Requests().size() == before);
}

}  // namespace
}  // namespace wasabiwall::fakes
