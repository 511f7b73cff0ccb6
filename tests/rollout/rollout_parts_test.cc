// Parts of a roll-out: exposure, evidence, failures, stages, servers on trial.
#include <catch2/catch.hpp>
#include <random>
#include <string>
#include <vector>

#include "wasabiwall/rollout/exposure_limiter.h"
#include "wasabiwall/rollout/failure_filter.h"
#include "wasabiwall/rollout/rollout_stages.h"
#include "wasabiwall/rollout/trial_servers.h"
#include "wasabiwall/rollout/version_evidence.h"

namespace wasabiwall::rollout {
namespace {

using state::RolloutStage;
using std::chrono::milliseconds;

const coordination::TimePoint kStart{std::chrono::seconds(100)};
const state::BackendServerId kServer("s1");

/// Counts failures; backend servers have the incarnation 1 until they end.
class FilterFixture {
 public:
  FilterFixture()
      : filter({[this](const state::BackendServerId& id) { return Of(id); },
                [this](const std::string&, bool, std::uint32_t count) {
                  counted += static_cast<int>(count);
                }}) {}

  std::optional<std::int64_t> Of(const state::BackendServerId& id) const {
    for (const auto& gone : ended) {
      if (gone == id) return std::nullopt;
    }
    return incarnation;
  }

  std::vector<state::BackendServerId> ended;
  std::int64_t incarnation = 1;
  int counted = 0;
  FailureFilter filter;
};

state::BackendServer ServerOf(int number, const std::string& version) {
  state::BackendServer server;
  server.id = state::BackendServerId("s" + std::to_string(number));
  server.service = state::ServiceId("service");
  server.version = version;
  return server;
}

}  // namespace

// Load: 300 gateways with between 1 and 300 calls each, which want to send all
// of them to the target. Guards against an exposure that grows with the number
// of gateways or with restarts, which begin the count again.
TEST_CASE("shares of own sends add up to the exposure", "[rollout]") {
  std::mt19937 random(1);
  std::uint64_t sent = 0;
  std::uint64_t exposed = 0;
  for (int gateway = 0; gateway < 300; ++gateway) {
    ExposureLimiter limiter(0.1);
    const unsigned restart_at = random() % 300;
    for (unsigned call = 0; call < random() % 300 + 1; ++call) {
      if (call == restart_at) limiter = ExposureLimiter(0.1);
      const bool to_target = limiter.MayExpose();
      limiter.OnSent(to_target);
      ++sent;
      if (to_target) ++exposed;
    }
  }
  CHECK(static_cast<double>(exposed) <= 0.08 * static_cast<double>(sent));
  CHECK(static_cast<double>(exposed) >= 0.04 * static_cast<double>(sent));
}

// Guards against a version of which too little is seen, since few sessions
// make up most of the calls.
TEST_CASE("a small use of the exposure shows", "[rollout]") {
  ExposureLimiter limiter(0.1);
  for (int i = 0; i < 40; ++i) limiter.OnSent(false);
  CHECK(!limiter.IsUnderused());
  for (int i = 0; i < 60; ++i) limiter.OnSent(false);
  CHECK(limiter.IsUnderused());
  for (int i = 0; i < 5; ++i) limiter.OnSent(true);
  CHECK(!limiter.IsUnderused());
}

// Guards against counts that are added twice when datagrams are repeated or
// overtake each other, and lost when a gateway restarts.
TEST_CASE("the newest message of each gateway counts", "[rollout]") {
  VersionEvidence evidence;
  protocol::RolloutMessage::RouteCounts counts{"a", {}, {}};
  counts.target.answers = 10;
  evidence.Add("g1", counts, milliseconds(1000));
  evidence.Add("g1", counts, milliseconds(1000));
  counts.target.answers = 4;
  evidence.Add("g1", counts, milliseconds(900));
  evidence.Add("g2", counts, milliseconds(900));
  CHECK(evidence.Routes().at("a").target.answers == 14);
  counts.target.answers = 1;
  evidence.Add("g1", counts, milliseconds(5000));
  CHECK(evidence.Routes().at("a").target.answers == 15);
}

// Load: 2,000 gateways with 100 routes each. Guards against memory without a
// bound.
TEST_CASE("evidence is bounded", "[rollout]") {
  VersionEvidence evidence;
  int added = 0;
  for (int gateway = 0; gateway < 2000; ++gateway) {
    for (int route = 0; route < 100; ++route) {
      const protocol::RolloutMessage::RouteCounts counts{
          "r" + std::to_string(route), {}, {}};
      if (evidence.Add("g" + std::to_string(gateway), counts,
                       milliseconds(1))) {
        ++added;
      }
    }
  }
  CHECK(evidence.Routes().size() == VersionEvidence::kMaxRoutes);
  CHECK(added == static_cast<int>(VersionEvidence::kMaxReports));
}

// Guards against the end of one backend server that is attributed to its
// version (R6), and against backend servers that all end and are not.
TEST_CASE("the end of one backend server is no failure of its version",
          "[rollout]") {
  FilterFixture fixture;
  for (int i = 0; i < 8; ++i) {
    fixture.filter.OnFailure(kServer, "a", true, i % 2 == 0,
                             kStart + milliseconds(20 * i));
  }
  fixture.filter.Tick(kStart + milliseconds(3000));
  CHECK(fixture.counted == 0);
  fixture.ended.push_back(kServer);
  fixture.filter.Tick(kStart + milliseconds(3100));
  CHECK(fixture.counted == 0);
  CHECK(fixture.filter.IsEmpty());
  for (int i = 2; i <= 4; ++i) {
    const state::BackendServerId id("s" + std::to_string(i));
    fixture.filter.OnFailure(id, "a", true, false, kStart);
    fixture.filter.OnFailure(id, "a", true, false, kStart);
    fixture.ended.push_back(id);
  }
  fixture.filter.Tick(kStart + milliseconds(100));
  CHECK(fixture.counted == 3);
}

// Guards against a restarted backend server whose new incarnation confirms the
// failures of the one before.
TEST_CASE("a new incarnation confirms no failures", "[rollout]") {
  FilterFixture fixture;
  fixture.filter.OnFailure(kServer, "a", true, false, kStart);
  fixture.incarnation = 2;
  fixture.filter.OnAnswer(kServer, kStart + milliseconds(1000));
  CHECK(fixture.counted == 0);
  CHECK(fixture.filter.IsEmpty());
}

// Guards against failures of a running backend server that never count.
TEST_CASE("failures of a running backend server count", "[rollout]") {
  FilterFixture fixture;
  fixture.filter.OnFailure(kServer, "a", true, false, kStart);
  fixture.filter.OnAnswer(kServer, kStart + milliseconds(100));
  CHECK(fixture.counted == 0);
  fixture.filter.OnAnswer(kServer, kStart + milliseconds(300));
  CHECK(fixture.counted == 1);
  // One that only fails, with responses.
  fixture.filter.OnFailure(kServer, "a", true, true, kStart);
  fixture.filter.OnFailure(kServer, "a", true, true,
                           kStart + milliseconds(300));
  CHECK(fixture.counted == 2);
  // One that sends nothing at all.
  fixture.filter.Tick(kStart + milliseconds(4000));
  CHECK(fixture.counted == 3);
}

// Guards against `bad` that waits for the store, and against other stages that
// don't.
TEST_CASE("only rolled_back holds before it is written", "[rollout]") {
  RolloutStages stages(RolloutStage::kCanary);
  stages.OnRecord(RolloutStage::kCanary, "");
  stages.Propose(RolloutStage::kShifting, "good");
  CHECK(stages.Stage() == RolloutStage::kCanary);
  CHECK(stages.NeedsWrite());
  CHECK(stages.OnRecord(RolloutStage::kShifting, "good"));
  CHECK(stages.Stage() == RolloutStage::kShifting);
  CHECK(!stages.NeedsWrite());
  stages.Propose(RolloutStage::kCompleted, "done");
  CHECK(stages.RollBack("bad"));
  CHECK(stages.Stage() == RolloutStage::kRolledBack);
  CHECK(stages.Wanted() == RolloutStage::kRolledBack);
  CHECK(stages.NeedsWrite());
}

// Guards against a final stage that turns into the other one (R7).
TEST_CASE("a settled stage never changes", "[rollout]") {
  const RolloutStage finals[] = {RolloutStage::kCompleted,
                                 RolloutStage::kRolledBack};
  for (const RolloutStage first : finals) {
    RolloutStages stages(RolloutStage::kCanary);
    stages.OnRecord(first, "");
    for (const RolloutStage second :
         {RolloutStage::kCanary, RolloutStage::kShifting, finals[0],
          finals[1]}) {
      CHECK(!stages.OnReport(second, "g1"));
      CHECK(!stages.OnRecord(second, ""));
      CHECK(!stages.RollBack("bad"));
      CHECK(stages.Stage() == first);
    }
    // A store that was restored gets the stage again.
    stages.OnRecord(std::nullopt, "");
    CHECK(stages.NeedsWrite());
    CHECK(stages.Wanted() == first);
  }
}

// Guards against a `bad` that comes too late and stops the version that the old
// backend servers have made room for.
TEST_CASE("a written completion beats an unwritten roll-back", "[rollout]") {
  RolloutStages stages(RolloutStage::kShifting);
  stages.RollBack("bad");
  CHECK(stages.OnRecord(RolloutStage::kCompleted, ""));
  CHECK(stages.Stage() == RolloutStage::kCompleted);
  CHECK(!stages.OnReport(RolloutStage::kRolledBack, "g1"));
}

// Guards against gateways that try different backend servers, so that each has
// too little load to show that it is bad under load.
TEST_CASE("servers on trial have about the usual load", "[rollout]") {
  for (int count = 1; count <= 200; ++count) {
    CAPTURE(count);
    state::BackendRegistry registry{state::LapseTimes{}};
    for (int i = 0; i < 2 * count; ++i) {
      registry.Put(ServerOf(i, i < count ? "v1" : "v2"), kStart, false);
    }
    TrialServers trial(state::ServiceId("service"), "v2", 0.08);
    trial.Update(registry);
    REQUIRE(trial.Size() >= 1);
    const double load = 0.08 * count / static_cast<double>(trial.Size());
    REQUIRE(load <= 1.3);
    if (count >= 13) REQUIRE(load >= 0.65);
    std::size_t members = 0;
    for (int i = count; i < 2 * count; ++i) {
      if (trial.Contains(ServerOf(i, "v2").id)) ++members;
    }
    REQUIRE(members == trial.Size());
  }
}

}  // namespace wasabiwall::rollout
