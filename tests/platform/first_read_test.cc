// How a gateway reads a large fleet from the store when it starts.
#include <catch2/catch.hpp>

#include "fakes/followed_store.h"
#include "fakes/gateway_fixture.h"
#include "fakes/paged_store.h"

namespace wasabiwall::platform {
namespace {

using fakes::FleetItems;
using fakes::FollowedStore;
using fakes::GatewayFixture;
using fakes::PagedStore;
using fakes::ScriptedBackend;
using fakes::TestClient;
using std::chrono::milliseconds;

constexpr std::size_t kPageSize = 500;
constexpr int kOk = 200;
constexpr int kTooMany = 429;

/// A gateway whose first read of a store stays without an answer from the
/// second page on.
struct PartlyReadFleet {
  GatewayFixture gateway;
  ScriptedBackend& backend =
      gateway.AddBackend("b", [](const ScriptedBackend::Received& call) {
        call.session->Write(fakes::PlainAnswer("a1", 200, "ok"));
      });
  // Small pages, so that the first one is applied long before the second that
  // a first read may take, also under a sanitizer.
  PagedStore store{&gateway.loop, FleetItems(6, 0, backend.Address()), 5,
                   [](int read) { return read >= 2 ? 0 : kOk; }};
  const FollowedStore followed{&gateway, store.Address()};
};

TEST_CASE("a read that fails goes on from the page that failed") {
  GatewayFixture fleet;
  constexpr int failing = 4;
  PagedStore store(&fleet.loop, FleetItems(3000, 300), kPageSize,
                   [](int read) { return read == failing ? kTooMany : kOk; });
  const FollowedStore followed(&fleet, store.Address());
  REQUIRE(followed.RunUntilLoaded());
  CHECK(fleet.context.registry.Size() == 3000);
  CHECK(store.FirstPageReads() == 1);
  // Seven pages and the one that was refused.
  CHECK(store.Reads() == 8);
}

TEST_CASE("a first read applies the list of gateways once for each page") {
  GatewayFixture fleet;
  const auto before = fleet.context.GatewayListRevision();
  // One page of backend servers and two of gateways.
  PagedStore store(&fleet.loop, FleetItems(500, 1000), kPageSize);
  const FollowedStore followed(&fleet, store.Address());
  REQUIRE(followed.RunUntilLoaded());
  CHECK(store.Reads() == 3);
  CHECK(fleet.context.ProcessCount() == 1000);
  CHECK(fleet.context.GatewayListRevision() - before == 2);
}

TEST_CASE("no call is placed before all backend servers are known") {
  PartlyReadFleet fleet;
  REQUIRE(fleet.gateway.RunUntil([&] { return fleet.store.Reads() == 2; }));
  TestClient& caller = fleet.gateway.Call("/safe/x", "a1");
  SECTION("and it is served once they are") {
    fleet.gateway.RunFor(milliseconds(50));
    CHECK(fleet.backend.Requests().empty());
    fleet.store.AnswerHeldReads();
    REQUIRE(fleet.gateway.RunUntil([&] { return caller.Status() != 0; }));
    CHECK(caller.Status() == 200);
  }
  SECTION("and it is told when to come back if that takes too long") {
    const auto start = fleet.gateway.loop.Now();
    REQUIRE(fleet.gateway.RunUntil([&] { return caller.Status() != 0; }));
    CHECK(caller.Status() == 503);
    CHECK(caller.Has("\"not_run\":true"));
    CHECK(caller.Has("Retry-After: "));
    CHECK(fleet.backend.Requests().empty());
    // The objective is 400 ms.
    CHECK(fleet.gateway.loop.Now() - start < milliseconds(400));
  }
}

TEST_CASE(
    "a read that goes on for long does not keep calls from being placed") {
  PartlyReadFleet fleet;
  fleet.gateway.RunFor(milliseconds(1050));
  TestClient& caller = fleet.gateway.Call("/safe/x", "a1");
  REQUIRE(fleet.gateway.RunUntil([&] { return caller.Status() != 0; }));
  CHECK(caller.Status() == 200);
}

TEST_CASE("a page that is late is waited for longer when it is read again") {
  GatewayFixture fleet;
  PagedStore store(&fleet.loop, FleetItems(10, 0), kPageSize,
                   [](int) { return 0; });
  const FollowedStore followed(&fleet, store.Address());
  // The timeout of the first try is one second.
  transport::Timer full_link(&fleet.loop);
  int reads = 0;
  coordination::TimePoint read_at;
  full_link.StartRepeating(milliseconds(10), [&] {
    if (store.Reads() != reads) {
      reads = store.Reads();
      read_at = fleet.loop.Now();
    }
    if (fleet.loop.Now() - read_at > milliseconds(1300)) {
      store.AnswerHeldReads();
    }
  });
  REQUIRE(followed.RunUntilLoaded());
  CHECK(store.Reads() == 2);
}

}  // namespace
}  // namespace wasabiwall::platform
