#include <catch2/catch.hpp>

#include "wasabiwall/state/backend_registry.h"

namespace wasabiwall::state {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kGrace{2500};
constexpr milliseconds kColdTime{3000};
const MonotonicTime kStart{seconds(100)};

BackendServer Server(const std::string& id, std::int64_t born = 1) {
  BackendServer server;
  server.id = BackendServerId(id);
  server.service = ServiceId("s");
  server.address = "10.0.0.1:80";
  server.failure_domain = FailureDomainId("z");
  server.incarnation = born;
  return server;
}

TEST_CASE("an entry that vanishes in calm times is gone at once") {
  BackendRegistry registry(kGrace);
  registry.Put(Server("a"), kStart, kColdTime, false);
  registry.Remove(BackendServerId("a"), kStart);
  CHECK(registry.Find(BackendServerId("a")) == nullptr);
}

TEST_CASE("an entry that vanishes around an outage is kept for its grace") {
  BackendRegistry registry(kGrace);
  registry.Put(Server("a"), kStart, kColdTime, false);
  registry.OnOutage(kStart);
  const auto back = kStart + milliseconds(100);
  registry.Remove(BackendServerId("a"), back);
  registry.Expire(kStart + milliseconds(2400));
  CHECK(registry.Find(BackendServerId("a")) != nullptr);
  SECTION("and is gone when it does not come back") {
    registry.Expire(kStart + milliseconds(2500));
    CHECK(registry.Find(BackendServerId("a")) == nullptr);
  }
  SECTION("and stays when it registers again") {
    registry.Put(Server("a"), back + seconds(1), kColdTime, true);
    registry.Expire(kStart + seconds(10));
    CHECK(registry.Find(BackendServerId("a")) != nullptr);
    CHECK(registry.Find(BackendServerId("a"))->cold_until <= back + seconds(1));
  }
}

TEST_CASE("a draining entry that vanishes in an outage is gone at once") {
  BackendRegistry registry(kGrace);
  auto server = Server("a");
  server.draining = true;
  registry.Put(server, kStart, kColdTime, false);
  registry.OnOutage(kStart);
  registry.Remove(BackendServerId("a"), kStart);
  CHECK(registry.Find(BackendServerId("a")) == nullptr);
}

TEST_CASE("a new life under a known identifier is cold and told apart") {
  BackendRegistry registry(kGrace);
  CHECK(registry.Put(Server("a", 1), kStart, kColdTime, false));
  CHECK(registry.Find(BackendServerId("a"))->cold_until == kStart);
  CHECK_FALSE(registry.Put(Server("a", 1), kStart, kColdTime, true));
  CHECK(registry.Put(Server("a", 2), kStart, kColdTime, true));
  CHECK(registry.Find(BackendServerId("a"))->cold_until == kStart + kColdTime);
}

TEST_CASE("a full read drops what it does not hold") {
  BackendRegistry registry(kGrace);
  registry.Put(Server("a"), kStart, kColdTime, false);
  registry.Put(Server("b"), kStart, kColdTime, false);
  registry.RetainOnly({BackendServerId("b")}, kStart);
  CHECK(registry.Size() == 1);
}

TEST_CASE("the longest matching prefix of a host wins") {
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
