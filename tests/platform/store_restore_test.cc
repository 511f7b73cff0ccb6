// A store that comes back from an older copy.
#include <catch2/catch.hpp>

#include "fakes/followed_store.h"
#include "fakes/gateway_fixture.h"
#include "process_registration.h"
#include "soak/store_emulator.h"

namespace wasabiwall::platform {
namespace {

using fakes::FollowedStore;
using fakes::GatewayFixture;
using soak::StoreEmulator;
using soak::StoreMode;
using std::chrono::milliseconds;

const std::string kConfigItem = "op/config";
/// Changes that a restore loses.
constexpr int kLostChanges = 12;
/// Time for which the store is away.
constexpr milliseconds kAbsence{300};
/// Time in which an acknowledged configuration must be in force.
constexpr milliseconds kConfigApplyTime{2000};

std::string ConfigText(int version) {
  return R"({"version":)" + std::to_string(version) +
         R"(,"routes":[],"services":[],"limits":{}})";
}

/// A gateway that has followed a store from the first configuration on.
class Fleet {
 public:
  Fleet() {
    store.Put(kConfigItem, ConfigText(2));
    REQUIRE(m_followed.RunUntilLoaded());
  }

  std::int64_t Version() const { return gateway.context.Config()->version; }

  void PutConfig(int version) { store.Put(kConfigItem, ConfigText(version)); }

  /// Writes configurations that the gateway applies and the copy lacks.
  /// @return The last version.
  int WriteLostConfigs() {
    store.TakeCopy();
    constexpr int first = 3;
    constexpr int last = first + kLostChanges;
    for (int version = first; version <= last; ++version) PutConfig(version);
    REQUIRE(gateway.RunUntil([&] { return Version() == last; }));
    return last;
  }

  /// Restores the copy.
  /// @param rewrite Runs before the store answers again.
  void Restore(const std::function<void()>& rewrite) {
    store.SetMode(StoreMode::kReset);
    gateway.RunFor(kAbsence);
    store.Restore();
    rewrite();
    store.SetMode(StoreMode::kUp);
  }

  GatewayFixture gateway;
  StoreEmulator store{&gateway.loop, 1};

 private:
  FollowedStore m_followed{&gateway, store.Address()};
};

TEST_CASE("a configuration is applied at a revision that a restore gave back") {
  Fleet fleet;
  const int newest = fleet.WriteLostConfigs();
  fleet.Restore([&] { fleet.PutConfig(newest); });
  fleet.gateway.RunFor(kConfigApplyTime);
  fleet.PutConfig(newest + 1);
  fleet.gateway.RunFor(kConfigApplyTime);
  CHECK(fleet.Version() == newest + 1);
}

TEST_CASE("a restore is noticed when the watched revision exists again") {
  Fleet fleet;
  const int newest = fleet.WriteLostConfigs();
  const auto watched = fleet.store.Revision();
  fleet.Restore([&] {
    fleet.PutConfig(newest + 1);
    while (fleet.store.Revision() <= watched) fleet.store.Put("other", "x");
  });
  fleet.gateway.RunFor(kConfigApplyTime);
  CHECK(fleet.Version() == newest + 1);
}

TEST_CASE("a configuration stays in force while a restored store has older") {
  Fleet fleet;
  const int newest = fleet.WriteLostConfigs();
  fleet.Restore([] {});
  fleet.gateway.RunFor(kConfigApplyTime);
  CHECK(fleet.Version() == newest);
}

TEST_CASE("two restores in a row lose no configuration") {
  Fleet fleet;
  const int newest = fleet.WriteLostConfigs();
  fleet.Restore([&] { fleet.PutConfig(newest); });
  fleet.gateway.RunFor(milliseconds(20));
  fleet.Restore([&] { fleet.PutConfig(newest + 1); });
  fleet.gateway.RunFor(kConfigApplyTime);
  CHECK(fleet.Version() == newest + 1);
}

/// @return Text of a write of a backend server's entry.
std::string EntryText(int sequence) {
  return R"({"service":"s","address":"10.0.0.1:80","zone":"z","version":"1",)"
         R"("capacity":4,"phase":"ready","cold_left_ms":0,"born":1000,)"
         R"("sequence":)" +
         std::to_string(sequence) + "}";
}

/// Time in which a live backend server has written its entry again.
constexpr milliseconds kReturnTime{2000};
const state::BackendServerId kBackend("b");
const std::string kBackendItem = "servers/b";

bool IsUsed(const GatewayFixture& gateway) {
  const auto& registry = gateway.context.registry;
  const auto* known = registry.Find(kBackend);
  return known != nullptr && registry.IsEligible(*known, gateway.loop.Now());
}

TEST_CASE("a backend server that a restored store lacks is used on") {
  Fleet fleet;
  fleet.store.TakeCopy();
  fleet.store.Put(kBackendItem, EntryText(1));
  REQUIRE(fleet.gateway.RunUntil([&] { return IsUsed(fleet.gateway); }));
  fleet.Restore([] {});
  transport::Timer heartbeat(&fleet.gateway.loop);
  bool was_used = true;
  const auto is_over = [&, end = fleet.gateway.loop.Now() + 2 * kReturnTime] {
    was_used = was_used && IsUsed(fleet.gateway);
    return fleet.gateway.loop.Now() >= end;
  };
  SECTION("when it writes its entry again") {
    heartbeat.Start(kReturnTime - milliseconds(100),
                    [&] { fleet.store.Put(kBackendItem, EntryText(2)); });
    REQUIRE(fleet.gateway.RunUntil(is_over));
    CHECK(was_used);
  }
  SECTION("but not if it does not") {
    REQUIRE(fleet.gateway.RunUntil(is_over));
    CHECK_FALSE(IsUsed(fleet.gateway));
  }
}

TEST_CASE(
    "a restored store does not bring a backend server back that has left") {
  Fleet fleet;
  fleet.store.Put(kBackendItem, EntryText(1));
  REQUIRE(fleet.gateway.RunUntil([&] { return IsUsed(fleet.gateway); }));
  fleet.store.TakeCopy();
  fleet.store.Remove(kBackendItem);
  REQUIRE(fleet.gateway.RunUntil([&] { return !IsUsed(fleet.gateway); }));
  fleet.Restore([] {});
  fleet.gateway.RunFor(kReturnTime);
  CHECK_FALSE(IsUsed(fleet.gateway));
}

TEST_CASE("an evacuation that a restored store lacks goes on") {
  const state::FailureDomainId domain("z");
  const std::string item = "op/evacuate/z";
  Fleet fleet;
  const auto is_evacuated = [&] {
    return fleet.gateway.context.registry.IsEvacuated(domain);
  };
  fleet.store.TakeCopy();
  fleet.store.Put(item, "{}");
  REQUIRE(fleet.gateway.RunUntil(is_evacuated));
  fleet.Restore([] {});
  fleet.gateway.RunFor(kReturnTime);
  CHECK(is_evacuated());
  SECTION("also when the history is lost") {
    fleet.store.Compact();
    fleet.store.Put("other", "x");
    fleet.gateway.RunFor(kReturnTime);
    CHECK(is_evacuated());
  }
  SECTION("until the operators end it") {
    fleet.store.Put(item, "{}");
    fleet.gateway.RunFor(kReturnTime);
    fleet.store.Remove(item);
    REQUIRE(fleet.gateway.RunUntil([&] { return !is_evacuated(); }));
  }
}

TEST_CASE("gateways that a restored store lacks are counted on") {
  Fleet fleet;
  fleet.store.TakeCopy();
  for (const char* name : {"a", "b", "c"}) {
    fleet.store.Put(std::string("wasabiwall/gateways/") + name, "");
  }
  const auto revision = fleet.gateway.context.GatewayListRevision();
  REQUIRE(fleet.gateway.RunUntil(
      [&] { return fleet.gateway.context.GatewayListRevision() > revision; }));
  const auto before = fleet.gateway.context.GatewayListRevision();
  fleet.Restore([] {});
  fleet.gateway.RunFor(kReturnTime);
  CHECK(fleet.gateway.context.GatewayListRevision() == before);
}

/// A gateway's registration in a store that it watches.
class Registered {
 public:
  Registered() {
    m_registration.Start();
    REQUIRE(fleet.gateway.RunUntil([this] { return IsThere(); }));
  }

  bool IsThere() const { return fleet.store.Has("wasabiwall/gateways/g"); }
  void Stop() { m_registration.Stop(); }

  Fleet fleet;

 private:
  StoreClient m_client{&fleet.gateway.loop, fleet.store.Address()};
  ProcessRegistration m_registration{&fleet.gateway.loop, &m_client, "g", "",
                                     [] { return 1; }};
};

TEST_CASE("a gateway registers again when a restore has lost its entry") {
  Registered gateway;
  // An empty copy, in which the gateway's lease is free to be given out again.
  gateway.fleet.Restore([] {});
  StoreClient other(&gateway.fleet.gateway.loop, gateway.fleet.store.Address());
  std::optional<StoreLease> lease;
  other.GrantLease(milliseconds(10000),
                   [&](const tl::expected<StoreLease, StoreError>& granted) {
                     if (granted) lease = *granted;
                   });
  REQUIRE(gateway.fleet.gateway.RunUntil([&] { return lease.has_value(); }));
  // Longer than the period of renewals, by which the gateway may first notice.
  constexpr milliseconds patience{5500};
  gateway.fleet.gateway.RunFor(patience);
  CHECK(gateway.IsThere());
  gateway.Stop();
  REQUIRE(gateway.fleet.gateway.RunUntil([&] { return !gateway.IsThere(); }));
  bool is_kept = false;
  other.KeepLease(*lease, [&](const tl::expected<bool, StoreError>& kept) {
    is_kept = kept.has_value();
  });
  gateway.fleet.gateway.RunUntil([&] { return is_kept; });
  CHECK(is_kept);
}

TEST_CASE("a registration that is carried out late has the renewed lease") {
  GatewayFixture fleet;
  StoreEmulator store(&fleet.loop, 1);
  // Longer than the client waits for an answer.
  store.SetWriteDelay(milliseconds(1500));
  StoreClient client(&fleet.loop, store.Address());
  ProcessRegistration registration(&fleet.loop, &client, "g", "",
                                   [] { return 1; });
  registration.Start();
  fleet.RunFor(milliseconds(1100));
  store.SetWriteDelay(milliseconds(0));
  const std::string item = "wasabiwall/gateways/g";
  REQUIRE(fleet.RunUntil([&] { return store.Has(item); }));
  fleet.RunFor(milliseconds(1000));
  CHECK(store.LeasesGranted() == 1);
  registration.Stop();
  CHECK(fleet.RunUntil([&] { return !store.Has(item); }));
}

TEST_CASE("an answer of an older era that arrives late is dropped") {
  GatewayFixture fleet;
  std::shared_ptr<fakes::ScriptedBackend::Session> late;
  const auto answer = [](int era, const std::string& body) {
    return fakes::PlainAnswer("", 200, body,
                              "Store-Era: " + std::to_string(era) + "\r\n");
  };
  fakes::ScriptedBackend store(
      &fleet.loop, [&](const fakes::ScriptedBackend::Received& call) {
        const auto& target = call.head.target;
        if (target.find("path_prefix=late") != std::string::npos) {
          late = call.session;
        } else if (target.find("kv-range") != std::string::npos) {
          call.session->Write(answer(7, R"({"items":[],"at":5})"));
        }
      });
  StoreClient client(&fleet.loop, store.Address());
  std::optional<StoreError> error;
  client.Range("late", "", milliseconds(1000),
               [&](const tl::expected<StoreItems, StoreError>& reply) {
                 if (!reply) error = reply.error();
               });
  bool is_read = false;
  client.Range(
      "", "", milliseconds(1000),
      [&](const tl::expected<StoreItems, StoreError>&) { is_read = true; });
  REQUIRE(fleet.RunUntil([&] { return is_read && late; }));
  late->Write(answer(6, R"({"items":[],"at":9})"));
  REQUIRE(fleet.RunUntil([&] { return error.has_value(); }));
  CHECK(*error == StoreError::kSuperseded);
  CHECK(client.Era() == 7);
}

}  // namespace
}  // namespace wasabiwall::platform
