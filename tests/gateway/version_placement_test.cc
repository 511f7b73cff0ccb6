// Placement of calls that are restricted to versions of a service.
#include <catch2/catch.hpp>
#include <map>
#include <string>

#include "fakes/placement_fixture.h"

namespace wasabiwall::coordination {
namespace {

using fakes::PlacementFixture;
using state::BackendServerId;
using state::VersionRule;

const VersionRule kOnlyNew{VersionRule::Kind::kOnly, "v2", false};
const VersionRule kNewFirst{VersionRule::Kind::kOnly, "v2", true};
const VersionRule kNotNew{VersionRule::Kind::kExcept, "v2", false};

/// A service with some backend servers of each version.
class Versions : public PlacementFixture {
 public:
  Versions(int old_servers, int new_servers) {
    for (int i = 0; i < old_servers; ++i) {
      Add("old" + std::to_string(i), false, "v1");
    }
    for (int i = 0; i < new_servers; ++i) {
      Add("new" + std::to_string(i), false, "v2");
    }
  }

  /// @return Number of 200 calls that each version got.
  std::map<std::string, int> Place(const VersionRule& rule) {
    std::map<std::string, int> counts;
    for (std::uint64_t part = 0; part < 200; ++part) {
      const auto chosen = Choose(part, rule);
      if (chosen) ++counts[chosen->server.version];
    }
    return counts;
  }
};

TEST_CASE("a rule restricts calls to its versions") {
  Versions versions(4, 4);
  CHECK(versions.Place(kOnlyNew) == std::map<std::string, int>{{"v2", 200}});
  CHECK(versions.Place(kNotNew) == std::map<std::string, int>{{"v1", 200}});
  CHECK(versions.Place({}).size() == 2);
}

TEST_CASE("backend servers that are not on trial get no restricted calls") {
  Versions versions(4, 3);
  versions.not_on_trial = {BackendServerId("new0"), BackendServerId("new2")};
  for (std::uint64_t part = 0; part < 100; ++part) {
    const auto chosen = versions.Choose(part, kNewFirst);
    REQUIRE(chosen);
    CHECK(chosen->server.id.value == "new1");
  }
}

TEST_CASE("a call falls back to another version only if its rule allows it") {
  Versions versions(2, 1);
  const BackendServerId only("new0");
  for (int i = 0; i < 64; ++i) versions.loads.OnSent(only);
  const auto strict = versions.Choose(1, kOnlyNew);
  REQUIRE_FALSE(strict);
  // The call waits for a place there.
  CHECK(strict.error() == PlacementRefusal::kFull);
  const auto fallback = versions.Choose(1, kNewFirst);
  REQUIRE(fallback);
  CHECK(fallback->server.version == "v1");
}

TEST_CASE("a version without backend servers leaves none or the others") {
  Versions versions(2, 0);
  const auto strict = versions.Choose(1, kOnlyNew);
  REQUIRE_FALSE(strict);
  CHECK(strict.error() == PlacementRefusal::kNoneEligible);
  const auto fallback = versions.Choose(1, kNewFirst);
  REQUIRE(fallback);
  CHECK(fallback->server.version == "v1");
}

TEST_CASE("idle backend servers of a new version do not lower the load bound") {
  const auto bound_of = [](int new_servers) {
    Versions versions(4, new_servers);
    for (int i = 0; i < 4; ++i) {
      const BackendServerId id("old" + std::to_string(i));
      for (int call = 0; call < 10; ++call) versions.loads.OnSent(id);
    }
    const auto chosen =
        versions.Choose(1, new_servers == 0 ? VersionRule{} : kNotNew);
    REQUIRE(chosen);
    return std::pair(chosen->mean_load, chosen->load_bound);
  };
  CHECK(bound_of(4) == bound_of(0));
}

TEST_CASE("cached prompts are copied within one version only") {
  Versions versions(2, 2);
  constexpr std::uint64_t part = 5;
  versions.prompt_cache.OnRead(part, BackendServerId("old0"), versions.now);
  const auto chosen = versions.Choose(part, kOnlyNew);
  REQUIRE(chosen);
  const bool copies_from_old =
      chosen->fetch_from && chosen->fetch_from->version == "v1";
  CHECK_FALSE(copies_from_old);
}

}  // namespace
}  // namespace wasabiwall::coordination
