// Requests that end the backend servers that run them, and their repeats.
#include <catch2/catch.hpp>
#include <map>
#include <memory>

#include "fakes/gateway_fixture.h"
#include "wasabiwall/coordination/request_fingerprint.h"

namespace wasabiwall::fakes {
namespace {

using std::chrono::milliseconds;

constexpr int kCallers = 8;
/// What the promises page allows for a request whose copies come one by one.
constexpr int kMostEnded = 2;

/// Backend servers that end when they run a request for `/…/crash`.
class CrashingBackends {
 public:
  CrashingBackends(GatewayFixture* fleet, int count) : m_fleet(fleet) {
    for (int i = 0; i < count; ++i) {
      const std::string id = "b" + std::to_string(i);
      m_backends[id] = &fleet->AddBackend(
          id, [this, id](const ScriptedBackend::Received& call) {
            OnCall(id, call);
          });
    }
  }

  /// Makes the backend servers known to another gateway.
  void RegisterAt(GatewayFixture* other) const {
    for (const auto& [id, backend] : m_backends) {
      other->Register(id, backend->Address());
    }
  }

  /// @return Backend servers that have ended.
  int Ended() const { return m_ended; }

 private:
  void OnCall(const std::string& id, const ScriptedBackend::Received& call) {
    if (call.head.target.ends_with("/crash")) {
      ++m_ended;
      m_fleet->loop.Post([this, id] { m_backends.at(id)->Crash(); });
      return;
    }
    const std::string& attempt = *call.head.headers.Find("Attempt");
    const std::string& target = call.head.target;
    const bool is_stream =
        target.starts_with("/chat/") || target.starts_with("/talk/");
    call.session->Write(is_stream
                            ? StreamHead(attempt) + EventChunk(1, "served") +
                                  std::string(transport::kLastChunk)
                            : PlainAnswer(attempt, 200, "served"));
  }

  GatewayFixture* m_fleet;
  std::map<std::string, ScriptedBackend*> m_backends;
  int m_ended = 0;
};

TEST_CASE("repeats of a request that ends backend servers are held off") {
  for (const std::string route : {"/safe/", "/once/", "/chat/", "/talk/"}) {
    GatewayFixture fleet;
    const CrashingBackends backends(&fleet, 6);
    TestClient* last = nullptr;
    for (int i = 0; i < kCallers; ++i) {
      last = &fleet.Call(route + "crash", "a" + std::to_string(i));
      REQUIRE(fleet.RunUntil([&] { return last->Status() != 0; }));
    }
    CHECK(backends.Ended() <= kMostEnded);
    CHECK(last->Status() == 503);
    CHECK(last->Has("Retry-After"));
    TestClient& other = fleet.Call(route + "other", "b");
    REQUIRE(fleet.RunUntil([&] { return other.Status() != 0; }));
    CHECK(other.Status() == 200);
  }
}

TEST_CASE("requests that share a part that ends backend servers are held off") {
  // Five ends and three calls more, over all calls and their retries.
  constexpr int most_sends = 8;
  constexpr int calls = 16;
  GatewayFixture fleet;
  int sends = 0;
  std::map<std::string, ScriptedBackend*> backends;
  for (int i = 0; i < 2 * calls + 1; ++i) {
    const std::string id = "b" + std::to_string(i);
    backends[id] =
        &fleet.AddBackend(id, [&, id](const ScriptedBackend::Received& call) {
          if (*call.head.headers.Find("Part") == "7") {
            ++sends;
            fleet.loop.Post([&, id] { backends.at(id)->Crash(); });
            return;
          }
          call.session->Write(StreamHead(*call.head.headers.Find("Attempt")) +
                              EventChunk(1, "served") +
                              std::string(transport::kLastChunk));
        });
  }
  for (int i = 0; i < calls; ++i) {
    const std::string own = std::to_string(i);
    TestClient& crashing =
        fleet.Call("/talk/x" + own, "c" + own, "Part: 7\r\n");
    REQUIRE(fleet.RunUntil([&] { return crashing.Status() != 0; }));
    // Ends at the same moment may have one cause that is no request.
    fleet.RunFor(milliseconds(120));
    TestClient& sound = fleet.Call("/talk/y" + own, "s" + own, "Part: 8\r\n");
    REQUIRE(fleet.RunUntil([&] { return sound.Status() != 0; }));
    CHECK(sound.Status() == 200);
  }
  CHECK(sends <= most_sends);
}

TEST_CASE("an error of a backend server does not clear a crashing request") {
  GatewayFixture fleet;
  std::map<std::string, ScriptedBackend*> backends;
  int ended = 0;
  int errors = 0;
  for (int i = 0; i < 12; ++i) {
    const std::string id = "b" + std::to_string(i);
    backends[id] =
        &fleet.AddBackend(id, [&, id](const ScriptedBackend::Received& call) {
          // Its deadline passed in the queue.
          if (errors++ == 0) {
            call.session->Write(
                PlainAnswer(*call.head.headers.Find("Attempt"), 504, "late"));
            return;
          }
          ++ended;
          fleet.loop.Post([&, id] { backends.at(id)->Crash(); });
        });
  }
  for (int i = 0; i < kCallers; ++i) {
    TestClient& client = fleet.Call("/once/x", "a" + std::to_string(i));
    REQUIRE(fleet.RunUntil([&] { return client.Status() != 0; }));
    fleet.RunFor(milliseconds(20));
  }
  CHECK(ended <= kMostEnded);
}

TEST_CASE("repeats through other gateways are held off as well") {
  GatewayFixture first;
  GatewayFixture second;
  const CrashingBackends backends(&first, 6);
  backends.RegisterAt(&second);
  for (GatewayFixture* gateway : {&first, &second}) {
    REQUIRE(gateway->context.peer_socket.Bind({"127.0.0.1", 0}));
  }
  for (GatewayFixture* gateway : {&first, &second}) {
    gateway->context.SetGateways(
        {{"first", first.context.peer_socket.LocalAddress()},
         {"second", second.context.peer_socket.LocalAddress()}});
  }
  for (int i = 0; i < kCallers; ++i) {
    GatewayFixture& gateway = i % 2 == 0 ? first : second;
    TestClient& client = gateway.Call("/once/crash", "a" + std::to_string(i));
    const auto run_both = [&] {
      uv_run(second.loop.Handle(), UV_RUN_NOWAIT);
      return client.Status() != 0;
    };
    REQUIRE(first.RunUntil(run_both));
    // Longer than a datagram takes.
    constexpr milliseconds pause{20};
    const auto end = first.loop.Now() + pause;
    first.RunUntil([&] { return run_both() && first.loop.Now() >= end; });
  }
  CHECK(backends.Ended() <= kMostEnded);
}

TEST_CASE("calls at backend servers that live on are no suspects") {
  constexpr int resets = 6;
  GatewayFixture fleet;
  int calls = 0;
  for (const std::string id : {"b0", "b1", "b2"}) {
    fleet.AddBackend(id, [&](const ScriptedBackend::Received& call) {
      if (++calls <= resets) {
        call.session->Reset();
        return;
      }
      call.session->Write(
          PlainAnswer(*call.head.headers.Find("Attempt"), 200, "served"));
    });
  }
  TestClient* last = nullptr;
  for (int i = 0; i <= resets; ++i) {
    last = &fleet.Call("/once/x", "a" + std::to_string(i));
    REQUIRE(fleet.RunUntil([&] { return last->Status() != 0; }));
  }
  CHECK(last->Status() == 200);
}

TEST_CASE("a stream that breaks off as its backend server ends is a suspect") {
  GatewayFixture fleet;
  std::map<std::string, ScriptedBackend*> backends;
  int ended = 0;
  for (int i = 0; i < 6; ++i) {
    const std::string id = "b" + std::to_string(i);
    backends[id] =
        &fleet.AddBackend(id, [&, id](const ScriptedBackend::Received& call) {
          ++ended;
          call.session->Write(
              "HTTP/1.1 200 OK\r\nAttempt: " +
              *call.head.headers.Find("Attempt") +
              "\r\nContent-Type: text/event-stream\r\n\r\ndata: pa");
          call.session->Close();
          fleet.loop.Post([&, id] { backends.at(id)->Crash(); });
        });
  }
  for (int i = 0; i < kCallers; ++i) {
    TestClient& client = fleet.Call("/talk/x", "a" + std::to_string(i));
    REQUIRE(fleet.RunUntil([&] { return client.Status() != 0; }));
  }
  CHECK(ended <= kMostEnded);
}

TEST_CASE("a backend server that is back at once has ended all the same") {
  GatewayFixture fleet;
  int runs = 0;
  std::vector<std::string> ids;
  // Each crash only resets the connection; the new incarnation accepts the next
  // one and is registered a moment later.
  for (int i = 0; i < 3; ++i) {
    const std::string id = "b" + std::to_string(i);
    ScriptedBackend& backend =
        fleet.AddBackend(id, [&, id](const ScriptedBackend::Received& call) {
          ++runs;
          call.session->Reset();
          ids.push_back(id);
        });
    CHECK(backend.Requests().empty());
  }
  for (int i = 0; i < kCallers; ++i) {
    TestClient& client = fleet.Call("/once/x", "a" + std::to_string(i));
    REQUIRE(fleet.RunUntil([&] { return client.Status() != 0; }));
    // Longer than a new connection takes.
    fleet.RunFor(milliseconds(10));
    for (const std::string& id : std::exchange(ids, {})) {
      state::BackendServer next =
          fleet.context.registry.Find(state::BackendServerId(id))->server;
      ++next.incarnation;
      REQUIRE(fleet.context.registry.Put(next, fleet.loop.Now(), false));
      fleet.context.ForgetBackendServer(next.id);
    }
  }
  CHECK(runs <= kMostEnded);
}

TEST_CASE("a backend server that is replaced while it is checked has ended") {
  GatewayFixture fleet;
  const std::string fingerprint(32, 'a');
  for (const std::string id : {"b0", "b1"}) {
    // Stands for the new incarnation, which accepts the check's connection.
    const ScriptedBackend& backend =
        fleet.AddBackend(id, [](const ScriptedBackend::Received&) {});
    const state::BackendServer server{.id = state::BackendServerId(id),
                                      .address = backend.Address()};
    fleet.context.crash_monitor.OnConnectionBroken(server, {fingerprint}, false,
                                                   fleet.loop.Now());
    fleet.context.ForgetBackendServer(server.id);
    fleet.RunFor(milliseconds(20));
  }
  CHECK(fleet.context.quarantine.TimeLeft(fingerprint, fleet.loop.Now()));
}

TEST_CASE(
    "a gateway that has answered a request lately tells those that suspect "
    "it") {
  GatewayFixture first;
  GatewayFixture second;
  first.AddBackend("b0", [](const ScriptedBackend::Received& call) {
    call.session->Write(
        PlainAnswer(*call.head.headers.Find("Attempt"), 200, "served"));
  });
  TestClient& answered = first.Call("/once/x", "a0");
  REQUIRE(first.RunUntil([&] { return answered.Status() == 200; }));
  // The second gateway has just started and sees two backend servers end.
  const CrashingBackends backends(&second, 2);
  for (GatewayFixture* gateway : {&first, &second}) {
    REQUIRE(gateway->context.peer_socket.Bind({"127.0.0.1", 0}));
  }
  for (GatewayFixture* gateway : {&first, &second}) {
    gateway->context.SetGateways(
        {{"other", first.context.peer_socket.LocalAddress()},
         {"test", second.context.peer_socket.LocalAddress()}});
  }
  const std::string fingerprint =
      coordination::FingerprintOf({"", "GET", "host", "/once/x", ""});
  const state::BackendServer b0{.id = state::BackendServerId("b0"),
                                .address = "127.0.0.1:1"};
  second.context.crash_monitor.OnConnectionBroken(b0, {fingerprint}, false,
                                                  second.loop.Now());
  const auto end = second.loop.Now() + milliseconds(50);
  second.RunUntil([&] {
    uv_run(first.loop.Handle(), UV_RUN_NOWAIT);
    return second.loop.Now() >= end;
  });
  const state::BackendServer b1{.id = state::BackendServerId("b1"),
                                .address = "127.0.0.1:1"};
  second.context.crash_monitor.OnConnectionBroken(b1, {fingerprint}, false,
                                                  second.loop.Now());
  second.RunFor(milliseconds(50));
  CHECK_FALSE(
      second.context.quarantine.TimeLeft(fingerprint, second.loop.Now()));
}

/// Gets "/once/x" quarantined long enough before for a probe.
void QuarantineEarlier(GatewayFixture* fleet) {
  const std::string fingerprint =
      coordination::FingerprintOf({"", "GET", "host", "/once/x", ""});
  const auto earlier = fleet->loop.Now() - std::chrono::seconds(3);
  fleet->context.quarantine.OnCrash(fingerprint, 1, earlier);
  fleet->context.quarantine.OnCrash(fingerprint, 2, earlier);
}

/// Answers claims of probes a moment later.
/// @return Number of claims.
std::shared_ptr<int> AnswerClaims(GatewayFixture* fleet, bool grants) {
  auto claims = std::make_shared<int>(0);
  fleet->context.quarantine_sharing.claim_probe =
      [=](const std::string& fingerprint,
          const std::function<void()>& on_done) {
        ++*claims;
        fleet->loop.Post([=] {
          if (grants) {
            fleet->context.quarantine.OnProbeClaimed(fingerprint, *claims,
                                                     fleet->loop.Now());
          }
          on_done();
        });
        return true;
      };
  return claims;
}

TEST_CASE("one repeat of a quarantined request runs as a probe") {
  GatewayFixture fleet;
  fleet.AddBackend("b0", [](const ScriptedBackend::Received& call) {
    call.session->Write(
        PlainAnswer(*call.head.headers.Find("Attempt"), 200, "served"));
  });
  QuarantineEarlier(&fleet);
  const auto claims = AnswerClaims(&fleet, true);
  int answered = 0;
  fleet.context.quarantine_sharing.announce_answered = [&](const std::string&) {
    ++answered;
  };
  for (const std::string id : {"a0", "a1"}) {
    TestClient& client = fleet.Call("/once/x", id);
    REQUIRE(fleet.RunUntil([&] { return client.Status() != 0; }));
    CHECK(client.Status() == 200);
  }
  CHECK(*claims == 1);
  CHECK(answered == 1);
}

TEST_CASE("a quarantined request does not run without a claim") {
  GatewayFixture fleet;
  const ScriptedBackend& backend =
      fleet.AddBackend("b0", [](const ScriptedBackend::Received&) {});
  QuarantineEarlier(&fleet);
  const auto claims = AnswerClaims(&fleet, false);
  for (const std::string id : {"a0", "a1"}) {
    TestClient& client = fleet.Call("/once/x", id);
    REQUIRE(fleet.RunUntil([&] { return client.Status() != 0; }));
    CHECK(client.Status() == 503);
    CHECK(client.Has("crash_suspect"));
  }
  CHECK(*claims == 1);
  CHECK(backend.Requests().empty());
}

TEST_CASE("a probe that ends its backend server runs once") {
  GatewayFixture fleet;
  for (const std::string route : {"/safe/", "/once/"}) {
    const CrashingBackends backends(&fleet, 3);
    const std::string path = route + "crash";
    const std::string fingerprint =
        coordination::FingerprintOf({"", "GET", "host", path, ""});
    const auto earlier = fleet.loop.Now() - std::chrono::seconds(3);
    fleet.context.quarantine.OnCrash(fingerprint, 1, earlier);
    fleet.context.quarantine.OnCrash(fingerprint, 2, earlier);
    const auto claims = AnswerClaims(&fleet, true);
    for (int i = 0; i < kCallers; ++i) {
      TestClient& client = fleet.Call(path, route + std::to_string(i));
      REQUIRE(fleet.RunUntil([&] { return client.Status() != 0; }));
      CHECK(client.Has(i == 0 ? "backend_server_crashed" : "crash_suspect"));
    }
    CHECK(*claims == 1);
    CHECK(backends.Ended() == 1);
  }
}

}  // namespace
}  // namespace wasabiwall::fakes
