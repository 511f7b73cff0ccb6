// Backend servers that leave while the gateway cannot reach the store.
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "fakes/followed_store.h"
#include "fakes/gateway_fixture.h"
#include "soak/store_emulator.h"
#include "wasabiwall/transport/base64.h"

namespace wasabiwall::platform {
namespace {

using fakes::FollowedStore;
using fakes::GatewayFixture;
using fakes::ScriptedBackend;
using fakes::TestClient;
using soak::StoreEmulator;
using soak::StoreMode;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Time after the end of a disruption from which a gateway is bound by what the
/// store says.
constexpr milliseconds kContactTime{3000};
/// Time in which the entry of a live backend server is back after an outage.
constexpr milliseconds kReturnTime{2000};
/// Time without a heartbeat after which an entry expires.
constexpr milliseconds kLapseTime{3600};
/// Calls of one round: enough that each backend server gets some.
constexpr int kCalls = 20;

/// A backend server that counts the calls it gets and keeps its own entry.
class RegisteredBackend {
 public:
  /// @param store Null if others write its entry.
  RegisteredBackend(transport::EventLoop* loop, StoreEmulator* store,
                    std::string id)
      : m_store(store),
        m_id(std::move(id)),
        m_server(loop, [this](const ScriptedBackend::Received& call) {
          ++m_calls;
          call.session->Write(fakes::PlainAnswer(
              *call.head.headers.Find("Attempt"), 200, "served"));
        }) {}

  /// @return The text of another write of its entry.
  std::string EntryText(const std::string& phase = "ready") {
    return EntryText(phase, ++m_sequence);
  }

  std::string EntryText(const std::string& phase, int sequence) const {
    const nlohmann::json entry = {
        {"service", "s"},    {"address", m_server.Address()},
        {"zone", "z"},       {"version", "1"},
        {"capacity", 10},    {"phase", phase},
        {"cold_left_ms", 0}, {"sequence", sequence},
        {"born", m_born}};
    return entry.dump();
  }

  void WriteEntry(const std::string& phase = "ready") {
    m_store->Put("servers/" + m_id, EntryText(phase));
  }

  void RemoveEntry() { m_store->Remove("servers/" + m_id); }

  /// Starts anew at the same address and under the same identifier.
  void Restart() {
    ++m_born;
    m_sequence = 0;
  }

  /// Leaves a write without an answer until CarryOutLateWrite.
  void LoseWrite() { m_late_write = EntryText(); }
  void CarryOutLateWrite() { m_store->Put("servers/" + m_id, m_late_write); }

  /// @return Calls that arrived since the last time.
  int TakeCalls() { return std::exchange(m_calls, 0); }

 private:
  StoreEmulator* m_store;
  std::string m_id;
  std::int64_t m_born = 1000;
  int m_sequence = 0;
  std::string m_late_write;
  int m_calls = 0;
  ScriptedBackend m_server;
};

/// A gateway before two backend servers that it knows from a store.
class Fleet {
 public:
  Fleet() {
    leaving.WriteEntry();
    staying.WriteEntry();
    REQUIRE(m_followed.RunUntilLoaded());
    REQUIRE(gateway.RunUntil(
        [this] { return gateway.context.registry.Size() == 2; }));
    SendCalls();
    REQUIRE(leaving.TakeCalls() > 0);
    REQUIRE(staying.TakeCalls() > 0);
  }

  /// @return Whether the gateway may place calls at a backend server.
  bool IsUsed(const std::string& id) {
    const auto& registry = gateway.context.registry;
    const auto* known = registry.Find(state::BackendServerId(id));
    return known != nullptr && registry.IsEligible(*known, gateway.loop.Now());
  }

  /// Sends calls one after the other and waits for their answers.
  void SendCalls() {
    for (int i = 0; i < kCalls; ++i) {
      const TestClient& client =
          gateway.Call("/safe/x", "a" + std::to_string(++m_attempts));
      REQUIRE(gateway.RunUntil([&] { return client.Status() != 0; }));
      CHECK(client.Status() == 200);
    }
  }

  /// Leaves calls of the store without an answer for as long as entries last,
  /// and until the gateway has sent another one, which stays without an answer.
  /// @param meanwhile Runs before the end.
  void CutStore(const std::function<void()>& meanwhile) {
    store.SetMode(StoreMode::kSilent);
    gateway.RunFor(kLapseTime);
    meanwhile();
    const auto ignored = store.IgnoredCalls();
    REQUIRE(gateway.RunUntil([&] { return store.IgnoredCalls() > ignored; }));
    store.SetMode(StoreMode::kUp);
    m_store_back_at = gateway.loop.Now();
  }

  /// @return Time since the end of the cut.
  std::chrono::microseconds SinceStoreIsBack() const {
    return gateway.loop.Now() - m_store_back_at;
  }

  GatewayFixture gateway;
  StoreEmulator store{&gateway.loop, 1};
  RegisteredBackend leaving{&gateway.loop, &store, "b1"};
  RegisteredBackend staying{&gateway.loop, &store, "b2"};

 private:
  FollowedStore m_followed{&gateway, store.Address()};
  coordination::TimePoint m_store_back_at;
  int m_attempts = 0;
};

TEST_CASE("a backend server that left while the store was cut off is dropped") {
  Fleet fleet;
  fleet.CutStore([&] { fleet.leaving.RemoveEntry(); });
  fleet.gateway.RunFor(kContactTime);
  fleet.SendCalls();
  CHECK(fleet.leaving.TakeCalls() == 0);
}

TEST_CASE("the return of the store is noticed while a call still waits") {
  Fleet fleet;
  fleet.CutStore([&] { fleet.leaving.WriteEntry("draining"); });
  fleet.gateway.RunFor(kContactTime - kReturnTime);
  fleet.SendCalls();
  CHECK(fleet.leaving.TakeCalls() == 0);
}

TEST_CASE("a backend server whose entry returns after an outage is used on") {
  Fleet fleet;
  fleet.CutStore([&] { fleet.leaving.RemoveEntry(); });
  transport::Timer heartbeat(&fleet.gateway.loop);
  heartbeat.Start(kReturnTime, [&] { fleet.leaving.WriteEntry(); });
  for (int i = 0; i < 7; ++i) {
    fleet.gateway.RunFor(milliseconds(500));
    fleet.SendCalls();
    CHECK(fleet.leaving.TakeCalls() > 0);
  }
}

TEST_CASE("nothing is kept of a backend server whose time is over") {
  Fleet fleet;
  const state::BackendServerId id("b1");
  auto& context = fleet.gateway.context;
  fleet.CutStore([&] { fleet.leaving.RemoveEntry(); });
  context.health.OnSignal(id, coordination::HealthSignal::kReplaced,
                          fleet.gateway.loop.Now());
  REQUIRE(context.health.IsUnreachable(id, fleet.gateway.loop.Now()));
  REQUIRE(fleet.gateway.RunUntil(
      [&] { return context.registry.Find(id) == nullptr; }));
  CHECK_FALSE(context.health.IsUnreachable(id, fleet.gateway.loop.Now()));
}

TEST_CASE("an entry that cannot be read is not kept after an outage") {
  Fleet fleet;
  fleet.CutStore([&] { fleet.store.Put("servers/b1", "{"); });
  REQUIRE(fleet.gateway.RunUntil([&] { return !fleet.IsUsed("b1"); }));
  // Far less than the time for which an entry that expired is kept.
  CHECK(fleet.SinceStoreIsBack() < kReturnTime / 2);
  fleet.SendCalls();
  CHECK(fleet.leaving.TakeCalls() == 0);
}

TEST_CASE("the return of an entry is seen before its time is over") {
  Fleet fleet;
  fleet.CutStore([&] { fleet.leaving.RemoveEntry(); });
  REQUIRE(fleet.gateway.RunUntil(
      [&] { return fleet.gateway.context.registry.MissingCount() == 1; }));
  // Another change just before begins a pause between two watches.
  constexpr milliseconds just_before{50};
  transport::Timer other(&fleet.gateway.loop);
  other.Start(kReturnTime - just_before, [&] { fleet.staying.WriteEntry(); });
  transport::Timer heartbeat(&fleet.gateway.loop);
  heartbeat.Start(kReturnTime, [&] { fleet.leaving.WriteEntry(); });
  bool was_used = true;
  const bool has_returned = fleet.gateway.RunUntil([&] {
    was_used = was_used && fleet.IsUsed("b1");
    return fleet.gateway.context.registry.MissingCount() == 0;
  });
  CHECK(has_returned);
  CHECK(was_used);
}

TEST_CASE("an older write does not bring a backend server back that has left") {
  Fleet fleet;
  fleet.leaving.LoseWrite();
  fleet.leaving.WriteEntry();
  fleet.gateway.RunFor(seconds(1));
  fleet.leaving.RemoveEntry();
  REQUIRE(fleet.gateway.RunUntil([&] { return !fleet.IsUsed("b1"); }));
  SECTION("soon after it") { fleet.gateway.RunFor(milliseconds(100)); }
  SECTION("seconds after it") { fleet.gateway.RunFor(seconds(3)); }
  fleet.leaving.CarryOutLateWrite();
  fleet.gateway.RunFor(seconds(1));
  fleet.SendCalls();
  CHECK(fleet.leaving.TakeCalls() == 0);
}

TEST_CASE("an entry that is written late does not end a leave") {
  Fleet fleet;
  const auto is_eligible = [&] { return fleet.IsUsed("b1"); };
  fleet.leaving.WriteEntry("draining");
  REQUIRE(fleet.gateway.RunUntil([&] { return !is_eligible(); }));
  SECTION("while its draining entry is there") {
    fleet.leaving.WriteEntry("ready");
    fleet.gateway.RunFor(seconds(1));
    fleet.SendCalls();
    CHECK(fleet.leaving.TakeCalls() == 0);
  }
  SECTION("after its entry was removed") {
    fleet.leaving.RemoveEntry();
    fleet.gateway.RunFor(seconds(1));
    fleet.leaving.WriteEntry("ready");
    fleet.gateway.RunFor(seconds(1));
    fleet.SendCalls();
    CHECK(fleet.leaving.TakeCalls() == 0);
  }
  SECTION("but a new incarnation is used") {
    fleet.leaving.Restart();
    fleet.leaving.WriteEntry("ready");
    REQUIRE(fleet.gateway.RunUntil(is_eligible));
    fleet.SendCalls();
    CHECK(fleet.leaving.TakeCalls() > 0);
  }
}

/// @return An item as it stands in an answer of the store.
nlohmann::json ItemJson(const std::string& key, const std::string& value,
                        int revision) {
  return {{"key", key},
          {"value", transport::EncodeBase64(value)},
          {"revision", revision}};
}

/// A gateway that has lost the history of a store and reads it again in two
/// pages, the second of which has no items. The entry of one backend server is
/// gone.
class RereadFleet {
 public:
  /// @param last_key Of the first page.
  explicit RereadFleet(const std::string& last_key)
      : m_last_item(ItemJson(last_key, "{}", 4)) {
    REQUIRE(m_followed.RunUntilLoaded());
    REQUIRE(m_gateway.RunUntil([this] { return m_second_page != nullptr; }));
  }

  /// Answers the second page, at a revision at which the entry is gone.
  void AnswerSecondPage() {
    Answer(m_second_page, {{"items", nlohmann::json::array()}, {"at", 106}});
  }

  /// Answers the watch from the first page on with a change of before the
  /// second page.
  void AnswerWatchWithOldChange() {
    REQUIRE(m_gateway.RunUntil([this] { return m_replay != nullptr; }));
    Answer(m_replay,
           {{"events", {ItemJson(kLeavingKey, m_leaving.EntryText(), 101)}},
            {"at", 101}});
  }

  /// Sends calls and returns how many the backend server got that has left.
  int CallsToTheOneThatLeft() {
    m_gateway.RunFor(milliseconds(100));
    m_leaving.TakeCalls();
    for (int i = 0; i < kCalls; ++i) {
      const TestClient& client =
          m_gateway.Call("/safe/x", "a" + std::to_string(++m_attempts));
      REQUIRE(m_gateway.RunUntil([&] { return client.Status() != 0; }));
    }
    return m_leaving.TakeCalls();
  }

 private:
  static constexpr const char* kStayingKey = "servers/a";
  static constexpr const char* kLeavingKey = "servers/x";
  using Session = std::shared_ptr<ScriptedBackend::Session>;

  static void Answer(const Session& session, const nlohmann::json& body) {
    session->Write(fakes::PlainAnswer("", 200, body.dump()));
  }

  void OnCall(const ScriptedBackend::Received& call) {
    const std::string& target = call.head.target;
    const auto has = [&](const char* text) {
      return target.find(text) != std::string::npos;
    };
    const auto staying = ItemJson(kStayingKey, m_staying.EntryText(), 2);
    const auto leaving = ItemJson(kLeavingKey, m_leaving.EntryText(), 3);
    if (has("kv-watch") && has("after=5&")) {
      call.session->Write(fakes::PlainAnswer("", 410, "{}"));
    } else if (has("kv-watch") && has("after=100&")) {
      m_replay = call.session;
    } else if (has("kv-range") && has("&after=")) {
      m_second_page = call.session;
    } else if (has("kv-range") && !std::exchange(m_was_read, true)) {
      Answer(call.session, {{"items", {staying, leaving}}, {"at", 5}});
    } else if (has("kv-range")) {
      Answer(
          call.session,
          {{"items", {staying, m_last_item}}, {"has_more", true}, {"at", 100}});
    }
  }

  nlohmann::json m_last_item;
  GatewayFixture m_gateway;
  RegisteredBackend m_leaving{&m_gateway.loop, nullptr, "x"};
  RegisteredBackend m_staying{&m_gateway.loop, nullptr, "a"};
  bool m_was_read = false;
  Session m_second_page;
  Session m_replay;
  ScriptedBackend m_store{
      &m_gateway.loop,
      [this](const ScriptedBackend::Received& call) { OnCall(call); }};
  FollowedStore m_followed{&m_gateway, m_store.Address()};
  int m_attempts = 0;
};

TEST_CASE("a backend server that a page lacks is dropped with that page") {
  RereadFleet fleet("wasabiwall/other");
  CHECK(fleet.CallsToTheOneThatLeft() == 0);
}

TEST_CASE("a change older than a page does not bring back what it lacks") {
  RereadFleet fleet("servers/b");
  REQUIRE(fleet.CallsToTheOneThatLeft() > 0);
  fleet.AnswerSecondPage();
  fleet.AnswerWatchWithOldChange();
  CHECK(fleet.CallsToTheOneThatLeft() == 0);
}

}  // namespace
}  // namespace wasabiwall::platform
