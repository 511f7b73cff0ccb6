#include <catch2/catch.hpp>

#include "wasabiwall/state/backend_registry.h"

namespace wasabiwall::state {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kLapseGrace{2500};
constexpr milliseconds kColdTime{3000};
const MonotonicTime kStart{seconds(100)};

BackendServer Server(const std::string& id, std::int64_t start_time = 1) {
  BackendServer server;
  server.id = BackendServerId(id);
  server.service = ServiceId("s");
  server.address = "10.0.0.1:80";
  server.failure_domain = FailureDomainId("z");
  server.incarnation = start_time;
  return server;
}

TEST_CASE("a missing entry is removed at once without an outage") {
  BackendRegistry registry(kLapseGrace);
  registry.Put(Server("a"), kStart, kColdTime, false);
  registry.Remove(BackendServerId("a"), kStart);
  CHECK(registry.Find(BackendServerId("a")) == nullptr);
}

TEST_CASE(
    "an entry that goes missing around an outage is kept for the grace time") {
  BackendRegistry registry(kLapseGrace);
  registry.Put(Server("a"), kStart, kColdTime, false);
  registry.OnOutage(kStart);
  const auto back = kStart + milliseconds(100);
  registry.Remove(BackendServerId("a"), back);
  registry.Expire(kStart + milliseconds(2400));
  CHECK(registry.Find(BackendServerId("a")) != nullptr);
  SECTION("and is removed if it does not return") {
    registry.Expire(kStart + milliseconds(2500));
    CHECK(registry.Find(BackendServerId("a")) == nullptr);
  }
  SECTION("and stays if it registers again") {
    registry.Put(Server("a"), back + seconds(1), kColdTime, true);
    registry.Expire(kStart + seconds(10));
    CHECK(registry.Find(BackendServerId("a")) != nullptr);
    CHECK(registry.Find(BackendServerId("a"))->cold_until <= back + seconds(1));
  }
}

TEST_CASE(
    "a draining entry that goes missing in an outage is removed at once") {
  BackendRegistry registry(kLapseGrace);
  auto server = Server("a");
  server.draining = true;
  registry.Put(server, kStart, kColdTime, false);
  registry.OnOutage(kStart);
  registry.Remove(BackendServerId("a"), kStart);
  CHECK(registry.Find(BackendServerId("a")) == nullptr);
}

TEST_CASE("a new incarnation with a known identifier is detected and cold") {
  BackendRegistry registry(kLapseGrace);
  CHECK(registry.Put(Server("a", 1), kStart, kColdTime, false));
  CHECK(registry.Find(BackendServerId("a"))->cold_until == kStart);
  CHECK_FALSE(registry.Put(Server("a", 1), kStart, kColdTime, true));
  CHECK(registry.Put(Server("a", 2), kStart, kColdTime, true));
  CHECK(registry.Find(BackendServerId("a"))->cold_until == kStart + kColdTime);
}

TEST_CASE("a backend server that announces that it leaves gets no new calls") {
  BackendRegistry registry(kLapseGrace);
  registry.Put(Server("a"), kStart, kColdTime, false);
  const auto is_eligible = [&] {
    const auto* known = registry.Find(BackendServerId("a"));
    return known != nullptr && registry.IsEligible(*known);
  };
  CHECK(registry.MarkLeaving(Server("a"), kStart));
  CHECK_FALSE(registry.MarkLeaving(Server("a"), kStart));
  CHECK_FALSE(is_eligible());
  CHECK(registry.LeavingCount() == 1);

  SECTION("also when its entry says otherwise") {
    registry.Put(Server("a"), kStart + seconds(1), kColdTime, true);
    CHECK_FALSE(is_eligible());
  }
  SECTION("also when its entry was lost and returns") {
    registry.Remove(BackendServerId("a"), kStart);
    registry.Expire(kStart + seconds(60));
    registry.Put(Server("a"), kStart + seconds(60), kColdTime, true);
    CHECK_FALSE(is_eligible());
  }
  SECTION("until a new incarnation registers") {
    registry.Put(Server("a", 2), kStart, kColdTime, true);
    CHECK(is_eligible());
    CHECK(registry.LeavingCount() == 0);
  }
  SECTION("while its entry exists") {
    registry.Expire(kStart + std::chrono::hours(5));
    CHECK_FALSE(is_eligible());
  }
  SECTION("and is forgotten long after it has left") {
    registry.Remove(BackendServerId("a"), kStart);
    registry.Expire(kStart + std::chrono::hours(5));
    registry.Put(Server("a"), kStart + std::chrono::hours(5), kColdTime, true);
    CHECK(is_eligible());
  }
}

TEST_CASE("an announcement to leave counts before the entry is known") {
  BackendRegistry registry(kLapseGrace);
  CHECK(registry.MarkLeaving(Server("a"), kStart));
  registry.Put(Server("a"), kStart, kColdTime, true);
  CHECK_FALSE(registry.IsEligible(*registry.Find(BackendServerId("a"))));
}

TEST_CASE("a full read removes the entries that it does not contain") {
  BackendRegistry registry(kLapseGrace);
  registry.Put(Server("a"), kStart, kColdTime, false);
  registry.Put(Server("b"), kStart, kColdTime, false);
  registry.RetainOnly({BackendServerId("b")}, kStart);
  CHECK(registry.Size() == 1);
}

TEST_CASE(
    "the route with the longest matching path prefix of a host is chosen") {
  ServiceConfig config;
  for (const char* prefix : {"/", "/a/", "/a/b/"}) {
    Route route;
    route.name = prefix;
    route.host = "Host.Example";
    route.path_prefix = prefix;
    config.AddRoute(route);
  }
  Workspace workspace;
  workspace.id = WorkspaceId("w");
  workspace.keys = {"k1", "k2"};
  config.AddWorkspace(workspace);
  config.Index();
  CHECK(config.FindRoute("host.example:80", "/a/b/c")->name == "/a/b/");
  CHECK(config.FindRoute("host.example", "/a/b")->name == "/a/");
  CHECK(config.FindRoute("host.example", "/x?y=/a/b/")->name == "/");
  CHECK(config.FindRoute("other", "/a/") == nullptr);
  CHECK(config.FindWorkspace("k2")->id == WorkspaceId("w"));
  CHECK(config.FindWorkspace("k3") == nullptr);
}

}  // namespace
}  // namespace wasabiwall::state
