// Roll-outs of whole fleets on virtual time: what bad versions get, and whether
// good ones are completed.
#include "fakes/rollout_fleet.h"

#include <catch2/catch.hpp>
#include <cstdlib>
#include <string>
#include <vector>

namespace wasabiwall::fakes {
namespace {

using std::chrono::milliseconds;

const std::vector<VersionKind> kBadKinds = {
    VersionKind::kFails5,        VersionKind::kFails20,
    VersionKind::kFails100,      VersionKind::kSlow,
    VersionKind::kBadFromHalf,   VersionKind::kBadUnderLoad,
    VersionKind::kBadOnOneRoute, VersionKind::kBreaksOff20};
const std::vector<FleetFailure> kFailures = {
    FleetFailure::kDeciderKilled,       FleetFailure::kDeciderFrozen,
    FleetFailure::kHalfCutOffFromStore, FleetFailure::kDatagramsLost,
    FleetFailure::kWriteRepliesLost,    FleetFailure::kStoreRestored,
    FleetFailure::kServerKilled};

/// Seeds of each combination. ROLLOUT_SEEDS=500 is the manual run; the default
/// takes some seconds.
int Seeds() {
  const char* value = std::getenv("ROLLOUT_SEEDS");
  return value == nullptr ? 2 : std::atoi(value);
}

/// @return Options with a fleet that depends on the seed.
FleetOptions OptionsOf(VersionKind kind, FleetFailure failure, int seed) {
  FleetOptions options;
  options.kind = kind;
  options.failure = failure;
  options.seed = static_cast<std::uint64_t>(seed) * 1000 +
                 static_cast<std::uint64_t>(kind) * 10 +
                 static_cast<std::uint64_t>(failure);
  const int sizes[] = {4, 10, 31, 68};
  options.gateways = sizes[seed % 4];
  options.rate = seed % 3 == 0 ? 800 : 400;
  options.old_servers = seed % 2 == 0 ? 20 : 32;
  return options;
}

std::string Describe(const FleetOptions& options, const FleetResult& result) {
  return "kind " + std::to_string(static_cast<int>(options.kind)) +
         " failure " + std::to_string(static_cast<int>(options.failure)) +
         " seed " + std::to_string(options.seed) + " gateways " +
         std::to_string(options.gateways) + ": exposed " +
         std::to_string(result.exposed) + " of " +
         std::to_string(result.calls) + ", completed " +
         std::to_string(result.completed_at ? result.completed_at->count()
                                            : -1) +
         " ms, rolled back " +
         std::to_string(result.rolled_back_at ? result.rolled_back_at->count()
                                              : -1) +
         " ms, late sends " + std::to_string(result.late_sends) +
         ", cut calls " + std::to_string(result.cut_calls) + "; " +
         result.reason;
}

void CheckBad(const FleetOptions& options) {
  const FleetResult result = RolloutFleet(options).Run();
  INFO(Describe(options, result));
  CHECK(static_cast<double>(result.exposed) <=
        0.1 * static_cast<double>(result.calls) + 50);
  CHECK(result.late_sends == 0);
  CHECK(result.rolled_back_at);
  CHECK(!result.completed_at);
  CHECK(!result.has_contradiction);
  CHECK(result.largest_datagram <= 1200);
}

/// @return Whether it was completed in time.
bool CheckGood(const FleetOptions& options) {
  const FleetResult result = RolloutFleet(options).Run();
  INFO(Describe(options, result));
  CHECK(result.cut_calls == 0);
  CHECK(!result.has_contradiction);
  CHECK(!(result.completed_at && result.rolled_back_at));
  const bool is_completed =
      result.completed_at && *result.completed_at < options.duration;
  if (!is_completed) WARN("not completed: " + Describe(options, result));
  return is_completed;
}

}  // namespace

// Load: 400 or 800 calls per second at 4 to 68 gateways. Guards against a good
// version that is not completed in time, or with calls running that cannot be
// repeated.
TEST_CASE("good versions are completed in calm", "[rollout]") {
  for (int seed = 1; seed <= 4 * Seeds(); ++seed) {
    CHECK(CheckGood(OptionsOf(VersionKind::kGood, FleetFailure::kNone, seed)));
  }
}

// Guards against calls beyond the exposure, calls after the time of the
// roll-back, and a bad version that is completed.
TEST_CASE("bad versions of each kind are rolled back in calm", "[rollout]") {
  for (const VersionKind kind : kBadKinds) {
    for (int seed = 1; seed <= Seeds(); ++seed) {
      CheckBad(OptionsOf(kind, FleetFailure::kNone, seed));
    }
  }
}

// Guards against a failure of a gateway, the store, the datagrams or a backend
// server that undoes the bounds of a bad version.
TEST_CASE("bad versions are rolled back under one failure", "[rollout]") {
  for (const VersionKind kind : kBadKinds) {
    for (const FleetFailure failure : kFailures) {
      for (int seed = 1; seed <= (Seeds() + 1) / 2; ++seed) {
        CheckBad(OptionsOf(kind, failure, seed));
      }
    }
  }
}

// Guards against a failure that is attributed to a good version, or that delays
// its completion beyond the deadline; under 1 in 100 is allowed.
TEST_CASE("good versions are completed under one failure", "[rollout]") {
  int runs = 0;
  int completed = 0;
  for (const FleetFailure failure : kFailures) {
    for (int seed = 1; seed <= 2 * Seeds(); ++seed) {
      ++runs;
      if (CheckGood(OptionsOf(VersionKind::kGood, failure, seed))) ++completed;
    }
  }
  INFO(completed << " of " << runs);
  CHECK(completed >= 0.99 * runs);
}

// Load: 400 calls per second at one gateway, which alone decides. Guards
// against a decision that needs other gateways.
TEST_CASE("one gateway alone carries out a roll-out", "[rollout]") {
  FleetOptions options;
  options.gateways = 1;
  for (int seed = 1; seed <= Seeds(); ++seed) {
    options.seed = static_cast<std::uint64_t>(seed);
    options.kind = VersionKind::kGood;
    CHECK(CheckGood(options));
    for (const VersionKind kind : kBadKinds) {
      options.kind = kind;
      CheckBad(options);
    }
  }
}

// Load: the design target, 3,000 calls per second at 300 gateways. Guards
// against bounds that grow with the gateways.
TEST_CASE("300 gateways keep the bounds of a roll-out", "[rollout]") {
  FleetOptions options;
  options.gateways = 300;
  options.rate = 3000;
  options.old_servers = 60;
  options.seed = 7;
  CHECK(CheckGood(options));
  options.kind = VersionKind::kFails20;
  CheckBad(options);
}

// Guards against an order that hangs after it was replaced, and against a
// status of the earlier one that overrides the later one's.
TEST_CASE("a replaced order gives way to the later one", "[rollout]") {
  for (int seed = 1; seed <= Seeds(); ++seed) {
    FleetOptions options =
        OptionsOf(VersionKind::kGood, FleetFailure::kNone, seed);
    options.replaced_at = milliseconds(1000 * (1 + seed % 8));
    const FleetResult result = RolloutFleet(options).Run();
    INFO(Describe(options, result));
    CHECK(result.last_target == "v3");
    REQUIRE(result.completed_at);
    CHECK(*result.completed_at < options.replaced_at + options.duration);
  }
}

}  // namespace wasabiwall::fakes
