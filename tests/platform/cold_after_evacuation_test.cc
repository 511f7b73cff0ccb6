// Cold limits of backend servers that were known before the configuration that
// states them.
#include <catch2/catch.hpp>

#include "fakes/followed_store.h"
#include "soak/store_emulator.h"

namespace wasabiwall::platform {
namespace {

using fakes::FollowedStore;
using fakes::GatewayFixture;
using fakes::ScriptedBackend;
using std::chrono::milliseconds;

const std::string kEvacuation = "op/evacuate/z";
const state::FailureDomainId kDomain("z");
const state::BackendServerId kBackend("b");

/// Calls a second that a cold backend server takes, and calls that are sent at
/// once, of which a second's worth may pass.
constexpr int kColdCallsPerSecond = 10;
constexpr int kCalls = 60;

std::string ConfigText(int version, const std::string& cold_time_s) {
  return R"({"version":)" + std::to_string(version) +
         R"(,"routes":[{"name":"r","host":"host","path_prefix":"/x/",)"
         R"("type":"safe","timeout_ms":1000,"goal_ms":200,"priority":1,)"
         R"("service":"s","max_attempts":1,"public":true}],)"
         R"("services":[{"name":"s","max_conns":400,"cold_start_s":)" +
         cold_time_s + R"(,"cold_per_s":)" +
         std::to_string(kColdCallsPerSecond) + R"(}],"limits":{}})";
}

/// A gateway that follows a store with one backend server.
class Fleet {
 public:
  Fleet() {
    store.Put("servers/b",
              R"({"service":"s","address":")" + backend.Address() +
                  R"(","zone":"z","version":"1","capacity":100,)"
                  R"("phase":"ready","cold_left_ms":0,"sequence":1,)"
                  R"("born":1000})");
  }

  void ApplyConfig(int version, const std::string& cold_time_s) {
    store.Put("op/config", ConfigText(version, cold_time_s));
    REQUIRE(gateway.RunUntil([&] {
      const auto& config = gateway.context.Config();
      return config && config->version == version;
    }));
  }

  /// Evacuates the failure domain and takes it back.
  void Evacuate() {
    const auto& registry = gateway.context.registry;
    store.Put(kEvacuation, "1");
    REQUIRE(gateway.RunUntil([&] { return registry.IsEvacuated(kDomain); }));
    store.Remove(kEvacuation);
    REQUIRE(gateway.RunUntil([&] { return !registry.IsEvacuated(kDomain); }));
  }

  /// @return Calls of kCalls at the same time that reach the backend server.
  std::size_t SendCalls() {
    const std::size_t before = backend.Requests().size();
    std::vector<fakes::TestClient*> clients;
    clients.reserve(kCalls);
    for (int i = 0; i < kCalls; ++i) {
      clients.push_back(&gateway.Call("/x/1", "a" + std::to_string(++m_calls)));
    }
    REQUIRE(gateway.RunUntil([&] {
      return std::ranges::all_of(
          clients, [](const auto* client) { return client->Status() != 0; });
    }));
    return backend.Requests().size() - before;
  }

  GatewayFixture gateway{GatewayFixture::Starting{}};
  soak::StoreEmulator store{&gateway.loop, 1};
  ScriptedBackend backend{
      &gateway.loop, [](const ScriptedBackend::Received& call) {
        call.session->Write(
            fakes::PlainAnswer(*call.head.headers.Find("Attempt"), 200, "x"));
      }};

 private:
  int m_calls = 0;
};

TEST_CASE(
    "a backend server known before its cold time is cold when taken back") {
  // Guards against a cold time that is taken once, when the entry is read: a
  // gateway that starts before the first configuration had none for good.
  Fleet fleet;
  const FollowedStore followed(&fleet.gateway, fleet.store.Address());
  REQUIRE(followed.RunUntilLoaded());
  fleet.gateway.gateway.SetLoaded();
  fleet.gateway.context.SetGateways({{"test", ""}});
  REQUIRE(fleet.gateway.RunUntil([&] {
    return fleet.gateway.context.registry.Find(kBackend) != nullptr;
  }));
  SECTION("no configuration at the start") { fleet.ApplyConfig(1, "30.0"); }
  SECTION("a cold time that changes") {
    fleet.ApplyConfig(1, "0.0");
    fleet.ApplyConfig(2, "30.0");
  }
  CHECK(fleet.SendCalls() == kCalls);
  fleet.Evacuate();
  CHECK(fleet.SendCalls() <= kColdCallsPerSecond);
}

}  // namespace
}  // namespace wasabiwall::platform
