#include <catch2/catch.hpp>

#include "wasabiwall/state/backend_registry.h"

namespace wasabiwall::state {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kLapseGrace{2200};
constexpr milliseconds kShortestOutage{2400};
constexpr LapseTimes kLapseTimes{kShortestOutage, kLapseGrace};
constexpr milliseconds kColdTime{3000};

milliseconds ColdTimeOf(const ServiceId& /*service*/) { return kColdTime; }

const MonotonicTime kStart{seconds(100)};

BackendServer Server(const std::string& id, std::int64_t start_time = 1,
                     std::int64_t sequence = 1) {
  BackendServer server;
  server.id = BackendServerId(id);
  server.service = ServiceId("s");
  server.address = "10.0.0.1:80";
  server.failure_domain = FailureDomainId("z");
  server.incarnation = start_time;
  server.sequence = sequence;
  return server;
}

TEST_CASE("a missing entry is removed at once without an outage") {
  BackendRegistry registry(kLapseTimes, ColdTimeOf);
  registry.Put(Server("a"), kStart, false);
  registry.Remove(BackendServerId("a"), kStart);
  CHECK(registry.Find(BackendServerId("a")) == nullptr);
}

/// A registry that has been without contact for longer than entries last.
struct AfterOutage {
  explicit AfterOutage(const BackendServer& server = Server("a"),
                       milliseconds outage = kShortestOutage)
      : back(kStart + outage) {
    registry.OnContact(kStart);
    registry.Put(server, kStart, false);
    registry.OnContactLost();
    registry.OnContact(back);
  }

  bool IsUsed(MonotonicTime now) const {
    const auto* known = registry.Find(BackendServerId("a"));
    return known != nullptr && registry.IsEligible(*known, now);
  }

  BackendRegistry registry{kLapseTimes, ColdTimeOf};
  MonotonicTime back;
};

TEST_CASE(
    "an entry that goes missing around an outage is kept for the grace time") {
  AfterOutage outage;
  const auto end = outage.back + kLapseGrace;
  CHECK(outage.registry.Remove(BackendServerId("a"), outage.back) == end);
  CHECK(outage.registry.MissingCount() == 1);
  CHECK(outage.registry.Expire(end - milliseconds(1)).empty());
  CHECK(outage.IsUsed(end - milliseconds(1)));
  SECTION("and is removed if it does not return") {
    CHECK_FALSE(outage.IsUsed(end));
    CHECK(outage.registry.Expire(end) == std::vector{BackendServerId("a")});
    CHECK(outage.registry.Find(BackendServerId("a")) == nullptr);
  }
  SECTION("and stays if it registers again") {
    const auto now = outage.back + seconds(1);
    outage.registry.Put(Server("a", 1, 2), now, true);
    CHECK(outage.registry.Expire(kStart + seconds(60)).empty());
    CHECK(outage.IsUsed(kStart + seconds(60)));
    CHECK(outage.registry.ColdUntil(
              *outage.registry.Find(BackendServerId("a"))) <= now);
  }
  SECTION("and longer while there is no contact") {
    outage.registry.OnContactLost();
    CHECK(outage.registry.Expire(end + seconds(1)).empty());
    CHECK(outage.IsUsed(end + seconds(1)));
    SECTION("until the registry is back for the grace time") {
      const auto back = outage.back + kShortestOutage;
      outage.registry.OnContact(back);
      CHECK(outage.IsUsed(back + kLapseGrace - milliseconds(1)));
      CHECK_FALSE(outage.IsUsed(back + kLapseGrace));
    }
    SECTION("but not after the end if entries cannot have expired again") {
      outage.registry.OnContact(outage.back + kShortestOutage -
                                milliseconds(1));
      CHECK_FALSE(outage.IsUsed(outage.back + kShortestOutage));
    }
  }
}

TEST_CASE("the grace time begins when there is contact, however long it took") {
  AfterOutage outage(Server("a"), seconds(30));
  outage.registry.Remove(BackendServerId("a"), outage.back + seconds(1));
  CHECK(outage.IsUsed(outage.back + seconds(1)));
  CHECK_FALSE(outage.IsUsed(outage.back + kLapseGrace));
}

TEST_CASE(
    "an entry that goes missing after the grace time is removed at once") {
  AfterOutage outage;
  const auto end = outage.back + kLapseGrace;
  CHECK_FALSE(outage.registry.Remove(BackendServerId("a"), end));
  CHECK(outage.registry.Find(BackendServerId("a")) == nullptr);
}

TEST_CASE("a registry that was quiet for long has not been out") {
  BackendRegistry registry(kLapseTimes, ColdTimeOf);
  registry.OnContact(kStart);
  registry.Put(Server("a"), kStart, false);
  const auto now = kStart + 2 * kShortestOutage;
  registry.OnContact(now);
  CHECK_FALSE(registry.Remove(BackendServerId("a"), now));
  CHECK(registry.Find(BackendServerId("a")) == nullptr);
}

TEST_CASE("an entry cannot have expired in a short outage") {
  AfterOutage outage(Server("a"), kShortestOutage - milliseconds(1));
  CHECK_FALSE(outage.registry.Remove(BackendServerId("a"), outage.back));
  CHECK(outage.registry.Find(BackendServerId("a")) == nullptr);
}

TEST_CASE("a leaving entry that goes missing in an outage is removed at once") {
  auto server = Server("a");
  SECTION("that is draining") { server.draining = true; }
  SECTION("that has announced it") {}
  AfterOutage outage(server);
  if (!server.draining) outage.registry.MarkLeaving(server, outage.back);
  outage.registry.Remove(BackendServerId("a"), outage.back);
  CHECK(outage.registry.Find(BackendServerId("a")) == nullptr);
}

TEST_CASE("a new incarnation with a known identifier is detected and cold") {
  BackendRegistry registry(kLapseTimes, ColdTimeOf);
  CHECK(registry.Put(Server("a", 1), kStart, false));
  CHECK(registry.ColdUntil(*registry.Find(BackendServerId("a"))) == kStart);
  CHECK_FALSE(registry.Put(Server("a", 1), kStart, true));
  CHECK(registry.Put(Server("a", 2), kStart, true));
  CHECK(registry.ColdUntil(*registry.Find(BackendServerId("a"))) ==
        kStart + kColdTime);
}

TEST_CASE("the cold time is the one that the configuration says now") {
  // Guards against a cold time that is copied when the entry is first seen.
  milliseconds cold_time{0};
  BackendRegistry registry(kLapseTimes,
                           [&](const ServiceId&) { return cold_time; });
  const FailureDomainId domain = Server("a").failure_domain;
  const auto cold_until = [&] {
    return registry.ColdUntil(*registry.Find(BackendServerId("a")));
  };
  const auto check_follows = [&](MonotonicTime since) {
    for (const int seconds_cold : {3, 1, 0, 30}) {
      cold_time = seconds(seconds_cold);
      CHECK(cold_until() == since + cold_time);
    }
  };
  SECTION("of one that appears") {
    registry.Put(Server("a"), kStart, true);
    check_follows(kStart);
  }
  SECTION("of one that was there at the start and is taken back") {
    registry.Put(Server("a"), kStart, false);
    cold_time = kColdTime;
    CHECK(cold_until() == kStart);
    registry.SetEvacuated(domain, true, kStart);
    const auto later = kStart + seconds(60);
    registry.SetEvacuated(domain, false, later);
    check_follows(later);
  }
  SECTION("of one that starts while its domain is evacuated") {
    registry.SetEvacuated(domain, true, kStart);
    registry.Put(Server("a"), kStart + seconds(1), true);
    check_follows(kStart + seconds(1));
    const auto later = kStart + seconds(60);
    registry.SetEvacuated(domain, false, later);
    check_follows(later);
  }
  SECTION("but what it says of itself holds without one") {
    BackendServer server = Server("a");
    server.cold_left = seconds(7);
    registry.Put(server, kStart, true);
    cold_time = seconds(2);
    CHECK(cold_until() == kStart + seconds(7));
  }
}

TEST_CASE("a backend server that announces that it leaves gets no new calls") {
  BackendRegistry registry(kLapseTimes, ColdTimeOf);
  registry.Put(Server("a"), kStart, false);
  const auto is_eligible = [&] {
    const auto* known = registry.Find(BackendServerId("a"));
    return known != nullptr && registry.IsEligible(*known, kStart);
  };
  CHECK(registry.MarkLeaving(Server("a"), kStart));
  CHECK_FALSE(registry.MarkLeaving(Server("a"), kStart));
  CHECK_FALSE(is_eligible());
  CHECK(registry.LeavingCount() == 1);

  SECTION("also when its entry says otherwise") {
    registry.Put(Server("a"), kStart + seconds(1), true);
    CHECK_FALSE(is_eligible());
  }
  SECTION("also when its entry was lost and returns") {
    registry.Remove(BackendServerId("a"), kStart);
    registry.Expire(kStart + seconds(60));
    registry.Put(Server("a", 1, 2), kStart + seconds(60), true);
    REQUIRE(registry.Find(BackendServerId("a")) != nullptr);
    CHECK_FALSE(is_eligible());
  }
  SECTION("until a new incarnation registers") {
    registry.Put(Server("a", 2), kStart, true);
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
    registry.Put(Server("a"), kStart + std::chrono::hours(5), true);
    CHECK(is_eligible());
  }
}

TEST_CASE("an announcement to leave counts before the entry is known") {
  BackendRegistry registry(kLapseTimes, ColdTimeOf);
  CHECK(registry.MarkLeaving(Server("a"), kStart));
  registry.Put(Server("a"), kStart, true);
  CHECK_FALSE(
      registry.IsEligible(*registry.Find(BackendServerId("a")), kStart));
}

TEST_CASE("an older write of an entry that is carried out late is ignored") {
  BackendRegistry registry(kLapseTimes, ColdTimeOf);
  const BackendServerId id("a");
  const auto later = kStart + seconds(6);
  const auto put = [&](std::int64_t start_time, std::int64_t sequence) {
    registry.Put(Server("a", start_time, sequence), later, true);
  };
  registry.Put(Server("a", 5, 4), kStart, false);
  const auto known = [&]() -> const BackendServer& {
    return registry.Find(id)->server;
  };

  SECTION("while a later one is there") {
    put(5, 3);
    CHECK(known().sequence == 4);
    put(5, 5);
    CHECK(known().sequence == 5);
  }
  SECTION("while a later incarnation is there") {
    put(3, 9);
    CHECK(known().incarnation == 5);
    put(6, 1);
    CHECK(known().incarnation == 6);
  }
  SECTION("after the removal") {
    registry.Remove(id, kStart);
    for (const std::int64_t sequence : {1, 3, 4}) put(5, sequence);
    put(3, 9);
    CHECK(registry.Find(id) == nullptr);
  }
  SECTION("but the return of the backend server is not") {
    registry.Remove(id, kStart);
    put(5, 5);
    CHECK(known().sequence == 5);
  }
  SECTION("but a new incarnation after the removal is not") {
    registry.Remove(id, kStart);
    put(6, 1);
    CHECK(known().incarnation == 6);
  }
  SECTION("but an entry of another writer does not outdate the next one") {
    BackendServer foreign = Server("a", 5, 1000);
    foreign.service = ServiceId("other");
    registry.Put(foreign, kStart, true);
    put(5, 5);
    CHECK(known().service == ServiceId("s"));
  }
}

TEST_CASE("an older write does not end the grace time of a missing entry") {
  AfterOutage outage;
  const auto end = outage.back + kLapseGrace;
  outage.registry.Remove(BackendServerId("a"), outage.back);
  outage.registry.Put(Server("a", 1, 0), outage.back, true);
  CHECK(outage.registry.MissingCount() == 1);
  outage.registry.Expire(end);
  CHECK(outage.registry.Find(BackendServerId("a")) == nullptr);
}

TEST_CASE("an entry that expired in an outage may return with its last write") {
  AfterOutage outage;
  const auto end = outage.back + kLapseGrace;
  outage.registry.Remove(BackendServerId("a"), outage.back);
  SECTION("within the grace time") {
    outage.registry.Put(Server("a"), outage.back, true);
    CHECK(outage.registry.MissingCount() == 0);
  }
  SECTION("later") {
    outage.registry.Expire(end);
    outage.registry.Put(Server("a"), end + seconds(1), true);
  }
  CHECK(outage.IsUsed(end + seconds(1)));
}

TEST_CASE(
    "a backend server whose clock was set back before a restart is used") {
  BackendRegistry registry(kLapseTimes, ColdTimeOf);
  registry.Put(Server("a", 5, 4), kStart, false);
  registry.Remove(BackendServerId("a"), kStart);
  registry.Put(Server("a", 3, 30), kStart + seconds(30), true);
  CHECK(registry.Find(BackendServerId("a")) != nullptr);
}

TEST_CASE("a full read removes the entries that it does not contain") {
  BackendRegistry registry(kLapseTimes, ColdTimeOf);
  registry.Put(Server("a"), kStart, false);
  registry.Put(Server("b"), kStart, false);
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
