// Backend servers that fall silent during a response: the call stays where it
// is unless another backend server has room for it.
#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <string>
#include <utility>

#include "fakes/gateway_fixture.h"

namespace wasabiwall::fakes {
namespace {

using std::chrono::milliseconds;

/// Longer than the time after which a silent stream of /chat/ is moved, four
/// times the gap of 200 ms that its route wants.
constexpr milliseconds kSilence{1000};
/// Longer than a plain call of /safe/ waits for a silent backend server, 0.6
/// times the objective of 400 ms, and than a queued call waits, 0.75 times.
constexpr milliseconds kSlowAnswer{700};

/// A gateway before two engines with one slot each, whose responses the test
/// writes call by call.
class TwoEngines {
 public:
  TwoEngines() {
    auto config = GatewayFixture::MakeConfig(2);
    config->services[state::ServiceId("s")].engine = state::EngineConfig{};
    fixture.context.ApplyConfig(config);
    for (const char* id : {"b1", "b2"}) {
      fixture.AddBackend(id, [this](const ScriptedBackend::Received& call) {
        const std::string& attempt = *call.head.headers.Find("Attempt");
        sessions[attempt] = call.session;
        heads[attempt] = call.head;
        ++sends;
      });
      auto server =
          fixture.context.registry.Find(state::BackendServerId(id))->server;
      server.capacity = 1;
      fixture.context.registry.Put(server, fixture.loop.Now(), false);
    }
  }

  /// Starts a call and waits until an engine has it.
  TestClient& Start(const std::string& path, const std::string& attempt) {
    TestClient& client = fixture.Call(path, attempt);
    REQUIRE(fixture.RunUntil([&] { return sessions.contains(attempt); }));
    return client;
  }

  /// Starts a stream and waits until its caller has the first event.
  TestClient& StartStream(const std::string& attempt) {
    TestClient& client = Start("/chat/x", attempt);
    sessions[attempt]->Write(StreamHead(attempt) + EventChunk(1, "one"));
    REQUIRE(fixture.RunUntil([&] { return client.Has("data: one"); }));
    return client;
  }

  void EndStream(const std::string& attempt, int event) {
    sessions[attempt]->Write(EventChunk(event, "last") +
                             std::string(transport::kLastChunk));
  }

  /// @return The engine that has the call.
  std::string Server(const std::string& attempt) const {
    return *heads.at(attempt).headers.Find("Expect-Backend");
  }

  /// @return Attempts that the gateway has not ended.
  int InFlight() const {
    const auto& loads = fixture.context.loads;
    return loads.OwnInFlight(state::BackendServerId("b1")) +
           loads.OwnInFlight(state::BackendServerId("b2"));
  }

  GatewayFixture fixture;
  /// Connection of the latest send, by call.
  std::map<std::string, std::shared_ptr<ScriptedBackend::Session>> sessions;
  std::map<std::string, transport::MessageHead> heads;
  int sends = 0;
};

/// Keeps a stream going until it is ended.
class BusyStream {
 public:
  BusyStream(TwoEngines* engines, std::string attempt)
      : m_engines(engines),
        m_attempt(std::move(attempt)),
        m_timer(&engines->fixture.loop) {
    m_timer.StartRepeating(milliseconds(100), [this] {
      m_engines->sessions[m_attempt]->Write(EventChunk(++m_event, "more"));
    });
  }

  void End() {
    m_timer.Stop();
    m_engines->EndStream(m_attempt, m_event + 1);
  }

 private:
  TwoEngines* m_engines;
  std::string m_attempt;
  transport::Timer m_timer;
  int m_event = 1;
};

TEST_CASE("a silent stream is not given up while no other engine has room") {
  // Guards against a stream that is aborted before another place is found, and
  // then cut for want of one.
  TwoEngines engines;
  TestClient& other = engines.StartStream("busy");
  TestClient& silent = engines.StartStream("silent");
  BusyStream busy(&engines, "busy");
  // Takes each slot that becomes free.
  engines.fixture.Call("/chat/x", "waiting");
  SECTION("while the gateway serves") {}
  SECTION("while the gateway stops") { engines.fixture.gateway.Stop(); }
  engines.fixture.RunFor(kSilence);
  CHECK_FALSE(engines.sessions["silent"]->Ended());
  CHECK_FALSE(silent.Ended());
  engines.EndStream("silent", 2);
  REQUIRE(engines.fixture.RunUntil(
      [&] { return silent.Ended() || silent.Has("0\r\n\r\n"); }));
  CHECK(silent.Has("data: last"));
  CHECK_FALSE(silent.Broken());
  busy.End();
  REQUIRE(engines.fixture.RunUntil([&] { return other.Has("0\r\n\r\n"); }));
}

TEST_CASE("a silent stream moves once another engine has room for it") {
  // Guards against a stalled stream that stays where it is for good.
  TwoEngines engines;
  engines.StartStream("busy");
  TestClient& silent = engines.StartStream("silent");
  const auto first = engines.sessions["silent"];
  BusyStream busy(&engines, "busy");
  engines.fixture.RunFor(kSilence);
  REQUIRE_FALSE(first->Ended());
  busy.End();
  REQUIRE(engines.fixture.RunUntil(
      [&] { return engines.sessions["silent"] != first; }));
  CHECK(*engines.heads["silent"].headers.Find("Last-Event-Id") == "1");
  engines.fixture.RunFor(milliseconds(50));
  CHECK_FALSE(first->Ended());
  engines.sessions["silent"]->Write(StreamHead("silent") +
                                    EventChunk(2, "moved"));
  CHECK(engines.fixture.RunUntil([&] { return first->Ended(); }));
  CHECK(silent.Has("data: moved"));
  engines.EndStream("silent", 3);
  REQUIRE(engines.fixture.RunUntil([&] { return silent.Has("0\r\n\r\n"); }));
  CHECK(silent.Has("data: last"));
}

TEST_CASE("a stream that goes on after a silence is not moved later") {
  // Guards against a wait for room that outlives the silence.
  TwoEngines engines;
  engines.StartStream("busy");
  TestClient& silent = engines.StartStream("silent");
  BusyStream busy(&engines, "busy");
  engines.fixture.RunFor(kSilence);
  engines.sessions["silent"]->Write(EventChunk(2, "two"));
  REQUIRE(engines.fixture.RunUntil([&] { return silent.Has("data: two"); }));
  busy.End();
  engines.fixture.RunFor(milliseconds(200));
  CHECK(engines.sends == 2);
  engines.EndStream("silent", 3);
  REQUIRE(engines.fixture.RunUntil([&] { return silent.Has("0\r\n\r\n"); }));
}

/// A stream whose first engine is silent and that was sent to the other one.
struct MovedStream {
  explicit MovedStream(TwoEngines* engines)
      : client(&engines->StartStream("a")), first(engines->sessions["a"]) {
    REQUIRE(engines->fixture.RunUntil([&] { return engines->sends == 2; }));
    second = engines->sessions["a"];
  }

  TestClient* client;
  std::shared_ptr<ScriptedBackend::Session> first;
  std::shared_ptr<ScriptedBackend::Session> second;
};

TEST_CASE("a silent stream goes on where it is if no other engine takes it") {
  // Guards against a stream that is let go for an engine that was only
  // believed to have room.
  TwoEngines engines;
  const MovedStream stream(&engines);
  SECTION("since it is full") {
    stream.second->Write(PlainAnswer("a", 503, "", "Not-Run: 1\r\n"));
  }
  SECTION("since it fails") {
    stream.second->Write(PlainAnswer("a", 500, "error"));
  }
  SECTION("since it knows no such stream") {
    stream.second->Write(PlainAnswer("a", 404, "unknown"));
  }
  SECTION("since it crashes") { stream.second->Reset(); }
  SECTION("since it is silent too") {}
  engines.fixture.RunFor(milliseconds(100));
  CHECK_FALSE(stream.first->Ended());
  stream.first->Write(EventChunk(2, "two") + EventChunk(3, "last") +
                      std::string(transport::kLastChunk));
  REQUIRE(engines.fixture.RunUntil([&] {
    return stream.client->Ended() || stream.client->Has("0\r\n\r\n");
  }));
  CHECK(stream.client->Has("data: two"));
  CHECK(stream.client->Has("data: last"));
  CHECK(engines.fixture.RunUntil([&] { return engines.InFlight() == 0; }));
}

TEST_CASE("a silent stream is sent again after a refusal") {
  // Guards against a refusal that ends the search for another place.
  TwoEngines engines;
  const MovedStream stream(&engines);
  stream.second->Write(PlainAnswer("a", 503, "", "Not-Run: 1\r\n"));
  REQUIRE(engines.fixture.RunUntil([&] { return engines.sends == 3; }));
  engines.sessions["a"]->Write(StreamHead("a"));
  engines.EndStream("a", 2);
  REQUIRE(engines.fixture.RunUntil(
      [&] { return stream.client->Has("0\r\n\r\n"); }));
  CHECK(engines.fixture.RunUntil([&] { return engines.InFlight() == 0; }));
}

TEST_CASE("each event of a moved stream reaches its caller once") {
  // Guards against the events of two runs in one stream.
  TwoEngines engines;
  const MovedStream stream(&engines);
  const std::string rest = EventChunk(2, "two") + EventChunk(3, "last") +
                           std::string(transport::kLastChunk);
  SECTION("the first engine goes on") {
    stream.first->Write(rest);
    stream.second->Write(StreamHead("a") + rest);
  }
  SECTION("the second engine goes on, in one turn of the loop") {
    stream.second->Write(StreamHead("a") + rest);
    stream.first->Write(rest);
  }
  SECTION("the first engine says that it is there, the second goes on") {
    stream.first->Write(transport::EncodeChunk(": there\n\n"));
    engines.fixture.RunFor(milliseconds(20));
    CHECK_FALSE(stream.second->Ended());
    stream.second->Write(StreamHead("a") + rest);
  }
  SECTION("the second engine says that it is there, the first goes on") {
    stream.second->Write(StreamHead("a") +
                         transport::EncodeChunk(": there\n\n"));
    engines.fixture.RunFor(milliseconds(20));
    CHECK_FALSE(stream.first->Ended());
    stream.first->Write(rest);
  }
  SECTION("the first engine breaks off, the second goes on") {
    stream.first->Reset();
    engines.fixture.RunFor(milliseconds(20));
    stream.second->Write(StreamHead("a") + rest);
  }
  REQUIRE(engines.fixture.RunUntil([&] {
    return stream.client->Ended() || stream.client->Has("0\r\n\r\n");
  }));
  const std::string& all = stream.client->Received();
  for (const char* event :
       {"data: one", "data: two", "data: last", "HTTP/1.1"}) {
    CAPTURE(event);
    CHECK(all.find(event) != std::string::npos);
    CHECK(all.find(event) == all.rfind(event));
  }
  CHECK(all.find("data: two") < all.find("data: last"));
  CHECK(engines.fixture.RunUntil([&] { return engines.InFlight() == 0; }));
  CHECK(engines.sends == 2);
}

TEST_CASE("a stream whose caller reads slowly is not taken for silent") {
  // Guards against the idle timeout of a connection that is not read.
  TwoEngines engines;
  TestClient& client = engines.StartStream("slow");
  client.PauseReading();
  constexpr int events = 240;
  const std::string data(64U << 10U, 'x');
  for (int event = 2; event <= events; ++event) {
    engines.sessions["slow"]->Write(EventChunk(event, data));
  }
  engines.fixture.RunFor(kSilence);
  CHECK(engines.sends == 1);
  client.ResumeReading();
  engines.EndStream("slow", events + 1);
  REQUIRE(engines.fixture.RunUntil([&] { return client.Has("0\r\n\r\n"); }));
  CHECK(client.Has("data: last"));
}

TEST_CASE("a slow plain call is not given up while no other engine has room") {
  // Guards against a call that is sent again to the same engine, or refused.
  TwoEngines engines;
  engines.Start("/once/x", "busy");
  TestClient& slow = engines.Start("/safe/x", "slow");
  const auto first = engines.sessions["slow"];
  engines.fixture.RunFor(kSlowAnswer);
  CHECK_FALSE(first->Ended());
  CHECK(engines.sends == 2);
  first->Write(PlainAnswer("slow", 200, "answer"));
  REQUIRE(engines.fixture.RunUntil([&] { return slow.Status() != 0; }));
  CHECK(slow.Status() == 200);
}

TEST_CASE("a stream that breaks off waits for room until its deadline") {
  // Guards against a response that is truncated as soon as a call that has not
  // begun would be refused.
  TwoEngines engines;
  engines.StartStream("busy");
  TestClient& cut = engines.StartStream("cut");
  BusyStream busy(&engines, "busy");
  engines.fixture.context.registry.Drop(
      state::BackendServerId(engines.Server("cut")),
      engines.fixture.loop.Now());
  engines.sessions["cut"]->Reset();
  engines.fixture.RunFor(kSlowAnswer);
  CHECK_FALSE(cut.Ended());
  busy.End();
  REQUIRE(engines.fixture.RunUntil([&] { return engines.sends == 3; }));
  engines.sessions["cut"]->Write(StreamHead("cut"));
  engines.EndStream("cut", 2);
  REQUIRE(engines.fixture.RunUntil([&] { return cut.Has("0\r\n\r\n"); }));
  CHECK(cut.Has("data: last"));
}

}  // namespace
}  // namespace wasabiwall::fakes
