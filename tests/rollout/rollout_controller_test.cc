// Orders, records and messages at one gateway, in the order in which failures
// bring them.
#include "wasabiwall/rollout/rollout_controller.h"

#include <catch2/catch.hpp>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace wasabiwall::rollout {
namespace {

using state::RolloutRecord;
using state::RolloutStage;
using state::VersionRule;
using std::chrono::milliseconds;

const state::ServiceId kService("service");

/// One gateway, "g0", that is the first collector; "g1" and "g2" are the test.
class Fixture {
 public:
  explicit Fixture(double ratio = 0.1)
      : controller("g0", {ratio, 50, milliseconds(5000)}, &registry, Hooks()) {
    for (int i = 0; i < 20; ++i) AddServer(i, "v1");
    for (int i = 20; i < 40; ++i) AddServer(i, "v2");
  }

  RolloutController::Hooks Hooks() {
    RolloutController::Hooks hooks;
    hooks.send = [this](const std::string& to,
                        const protocol::RolloutMessage& message) {
      sent.emplace_back(to, message);
    };
    hooks.announce = [this](const protocol::RolloutMessage& message) {
      announced.push_back(message);
    };
    hooks.collectors = [this](const state::ServiceId&) { return collectors; };
    hooks.gateways = [this] { return gateways; };
    hooks.write = [this](const RolloutRecord& written) {
      writes.push_back(written);
      if (!takes_writes) return;
      record = written;
      controller.OnRecord(kService, record, now);
    };
    hooks.store_age = [this] { return store_age; };
    hooks.on_change = [this](const RolloutRecord& change) {
      changes.push_back(change);
    };
    hooks.random = [this] { return ++random; };
    return hooks;
  }

  void AddServer(int number, const std::string& version) {
    state::BackendServer server;
    server.id = state::BackendServerId("s" + std::to_string(number));
    server.service = kService;
    server.version = version;
    server.incarnation = 1;
    registry.Put(server, now, false);
  }

  void RemoveServers(int from, int to) {
    for (int i = from; i < to; ++i) {
      registry.Drop(state::BackendServerId("s" + std::to_string(i)), now);
    }
  }

  void Order(std::int64_t era, std::int64_t revision,
             const std::string& target) {
    controller.OnOrder({{era, revision}, kService, target, milliseconds(12000)},
                       now);
  }

  /// Begins a roll-out to v2 whose record is written.
  void Begin() {
    controller.OnRecord(kService, std::nullopt, now);
    Order(1, 10, "v2");
    Run(milliseconds(200));
  }

  void Run(milliseconds time) {
    for (auto left = time; left.count() > 0; left -= milliseconds(100)) {
      now += milliseconds(100);
      if (controller.IsActive()) controller.Tick(now);
    }
  }

  VersionRule Choose(const std::string& tried = "", bool is_idempotent = true) {
    return controller.Choose({kService, ++random, is_idempotent, tried}, now);
  }

  /// Sends calls and answers them well.
  /// @return How many went to the version.
  int Serve(int calls, const std::string& version, bool fails = false) {
    int count = 0;
    for (int i = 0; i < calls; ++i) {
      const VersionRule rule = Choose();
      const std::string chosen = rule.Allows("v1")   ? "v1"
                                 : rule.Allows("v2") ? "v2"
                                                     : "v3";
      if (chosen == version) ++count;
      controller.OnSent(kService, chosen, true, now);
      AttemptObservation observation{
          kService, chosen, "a",
          state::BackendServerId(chosen == "v1" ? "s1" : "s21"), true};
      observation.outcome = fails && chosen == "v2"
                                ? AttemptObservation::Outcome::kFailed
                                : AttemptObservation::Outcome::kAnswered;
      observation.first_byte = milliseconds(50);
      controller.OnEnded(observation, now);
    }
    return count;
  }

  /// Serves calls while time passes.
  void ServeFor(milliseconds time, bool fails = false) {
    for (auto left = time; left.count() > 0; left -= milliseconds(100)) {
      Serve(40, "v2", fails);
      Run(milliseconds(100));
    }
  }

  protocol::RolloutMessage Message(RolloutStage stage) const {
    protocol::RolloutMessage message;
    message.order = {1, 10};
    message.service = kService;
    message.target_version = "v2";
    message.stage = stage;
    return message;
  }

  RolloutStage Stage() const { return controller.StateOf(kService)->stage; }

  coordination::TimePoint now{std::chrono::seconds(100)};
  state::BackendRegistry registry{state::LapseTimes{}};
  std::vector<std::string> collectors = {"g0"};
  std::vector<std::string> gateways = {"g0"};
  milliseconds store_age{0};
  bool takes_writes = true;
  std::optional<RolloutRecord> record;
  std::uint64_t random = 0;
  std::vector<std::pair<std::string, protocol::RolloutMessage>> sent;
  std::vector<protocol::RolloutMessage> announced;
  std::vector<RolloutRecord> writes;
  std::vector<RolloutRecord> changes;
  RolloutController controller;
};

}  // namespace

// Guards against orders that take effect in a deployment without bounds.
TEST_CASE("orders are ignored where roll-outs are disabled", "[rollout]") {
  Fixture fixture(0);
  fixture.Begin();
  CHECK(!fixture.controller.StateOf(kService));
  CHECK(!fixture.controller.IsActive());
  CHECK(fixture.Choose().kind == VersionRule::Kind::kAny);
  REQUIRE(fixture.changes.size() == 1);
  CHECK(fixture.changes[0].reason == "order ignored: roll-outs are disabled");
}

// Guards against an exposure beyond the share, before the record is read, and
// at a gateway that the store doesn't answer.
TEST_CASE("a gateway sends few calls on trial and none uninformed",
          "[rollout]") {
  Fixture fixture;
  fixture.Order(1, 10, "v2");
  CHECK(fixture.Serve(500, "v2") == 0);
  fixture.controller.OnRecord(kService, std::nullopt, fixture.now);
  fixture.Run(milliseconds(100));
  int on_trial = 0;
  for (int i = 0; i < 40; ++i) {
    const auto* known =
        fixture.registry.Find(state::BackendServerId("s" + std::to_string(i)));
    const bool is_in_trial = fixture.controller.IsInTrial(known->server);
    if (i < 20) CHECK(is_in_trial);
    if (i >= 20 && is_in_trial) ++on_trial;
  }
  // 0.08 of 20 old backend servers.
  CHECK(on_trial == 2);
  const int exposed = fixture.Serve(500, "v2");
  CHECK(exposed > 20);
  CHECK(exposed <= 80);
  fixture.store_age = milliseconds(2001);
  CHECK(fixture.Serve(500, "v2") == 0);
  fixture.store_age = milliseconds(0);
  CHECK(fixture.Serve(100, "v2") > 0);
  fixture.now += milliseconds(12000);
  CHECK(fixture.Serve(500, "v2") == 0);
}

// Guards against calls of one session that change their version (R8).
TEST_CASE("a session keeps its version", "[rollout]") {
  Fixture fixture;
  fixture.Begin();
  std::vector<std::uint64_t> on_trial;
  for (std::uint64_t session = 1; session <= 2000; ++session) {
    const VersionRule rule =
        fixture.controller.Choose({kService, session, true, ""}, fixture.now);
    fixture.controller.OnSent(kService, rule.Allows("v1") ? "v1" : "v2", true,
                              fixture.now);
    if (!rule.Allows("v1")) on_trial.push_back(session);
  }
  REQUIRE(on_trial.size() > 50);
  for (const std::uint64_t session : on_trial) {
    for (int i = 0; i < 20; ++i) {
      fixture.controller.OnSent(kService, "v1", true, fixture.now);
    }
    CHECK(!fixture.controller.Choose({kService, session, true, ""}, fixture.now)
               .Allows("v1"));
  }
}

// Guards against a second attempt at the version that has just failed (R8), and
// against a call that can't be repeated where backend servers stop (R4).
TEST_CASE("further attempts go to the other version", "[rollout]") {
  Fixture fixture;
  fixture.Begin();
  fixture.Serve(100, "v2");
  CHECK(!fixture.Choose("v2").Allows("v2"));
  for (int i = 0; i < 100; ++i) {
    fixture.controller.OnSent(kService, "v1", true, fixture.now);
  }
  CHECK(fixture.Choose("v1").Allows("v2"));
  CHECK(!fixture.Choose("v1").Allows("v1"));
  fixture.controller.OnMessage("g1", fixture.Message(RolloutStage::kShifting),
                               fixture.now);
  CHECK(fixture.Choose("v2", true).Allows("v1"));
  CHECK(!fixture.Choose("v2", false).Allows("v1"));
  CHECK(!fixture.Choose("", false).may_fall_back);
}

// Guards against `bad` that is acted on late: heard while the store is silent,
// and heard before the order.
TEST_CASE("bad holds as soon as it is heard", "[rollout]") {
  Fixture fixture;
  const bool is_early = GENERATE(false, true);
  fixture.controller.OnRecord(kService, std::nullopt, fixture.now);
  if (!is_early) fixture.Order(1, 10, "v2");
  fixture.controller.OnMessage("g1", fixture.Message(RolloutStage::kRolledBack),
                               fixture.now);
  fixture.controller.OnMessage("g2", fixture.Message(RolloutStage::kCanary),
                               fixture.now);
  if (is_early) fixture.Order(1, 10, "v2");
  fixture.store_age = milliseconds(60000);
  CHECK(fixture.Stage() == RolloutStage::kRolledBack);
  CHECK(fixture.Serve(500, "v2") == 0);
  CHECK(fixture.Choose("v1").kind == VersionRule::Kind::kExcept);
  fixture.Run(milliseconds(1000));
  CHECK(fixture.writes.empty());
  fixture.store_age = milliseconds(0);
  fixture.Run(milliseconds(1000));
  REQUIRE(fixture.record);
  CHECK(fixture.record->stage == RolloutStage::kRolledBack);
  CHECK(!fixture.controller.IsActive());
}

// Guards against a bad version that goes on since news of it are lost: they are
// repeated, and a gateway that is behind gets them as an answer.
TEST_CASE("bad is announced repeatedly and answers who is behind",
          "[rollout]") {
  Fixture fixture;
  fixture.Begin();
  fixture.ServeFor(milliseconds(4000), true);
  CHECK(fixture.Stage() == RolloutStage::kRolledBack);
  CHECK(fixture.announced.size() == 4);
  CHECK(fixture.record->stage == RolloutStage::kRolledBack);
  CHECK(!fixture.controller.IsActive());
  fixture.sent.clear();
  for (int i = 0; i < 2; ++i) {
    fixture.now += milliseconds(1000);
    fixture.controller.OnMessage("g1", fixture.Message(RolloutStage::kCanary),
                                 fixture.now);
  }
  REQUIRE(fixture.sent.size() == 2);
  CHECK(fixture.sent[1].first == "g1");
  CHECK(fixture.sent[1].second.stage == RolloutStage::kRolledBack);
}

// Guards against a restored store that brings a bad version back (R7): the
// record is gone, and the operators write their order again.
TEST_CASE("an order in a newer era is the same order", "[rollout]") {
  Fixture fixture;
  fixture.Begin();
  fixture.controller.OnMessage("g1", fixture.Message(RolloutStage::kRolledBack),
                               fixture.now);
  fixture.Run(milliseconds(1000));
  fixture.record.reset();
  fixture.controller.OnRecord(kService, std::nullopt, fixture.now);
  fixture.controller.OnOrderWithdrawn(kService, fixture.now);
  // The backup has an earlier order, which the operators then replace.
  fixture.Order(2, 5, "v0");
  fixture.Run(milliseconds(500));
  fixture.Order(2, 9, "v2");
  fixture.controller.OnRecord(kService, std::nullopt, fixture.now);
  fixture.Run(milliseconds(200));
  CHECK(fixture.record->order == state::RolloutOrderId{2, 9});
  // A gateway that starts now knows this order only.
  fixture.Order(2, 11, "v2");
  fixture.Run(milliseconds(5000));
  CHECK(fixture.Stage() == RolloutStage::kRolledBack);
  CHECK(fixture.Serve(500, "v2") == 0);
  REQUIRE(fixture.record);
  CHECK(fixture.record->stage == RolloutStage::kRolledBack);
  CHECK(fixture.record->order == state::RolloutOrderId{2, 11});
}

// Guards against records of other orders: an older one must not stop the
// roll-out, and a later one must not be overwritten.
TEST_CASE("records of other orders don't matter", "[rollout]") {
  Fixture fixture;
  RolloutRecord other;
  other.service = kService;
  other.order = {1, 5};
  other.target_version = "v2";
  other.stage = RolloutStage::kRolledBack;
  fixture.controller.OnRecord(kService, other, fixture.now);
  fixture.Order(1, 10, "v2");
  fixture.Run(milliseconds(200));
  CHECK(fixture.Stage() == RolloutStage::kCanary);
  REQUIRE(fixture.writes.size() == 1);
  CHECK(fixture.record->order == state::RolloutOrderId{1, 10});
  other.order = {1, 20};
  other.target_version = "v3";
  fixture.controller.OnRecord(kService, other, fixture.now);
  fixture.controller.OnMessage("g1", fixture.Message(RolloutStage::kRolledBack),
                               fixture.now);
  fixture.Run(milliseconds(2000));
  CHECK(fixture.writes.size() == 1);
  fixture.Order(1, 20, "v3");
  CHECK(fixture.Stage() == RolloutStage::kRolledBack);
}

// Guards against an old order that is read late and undoes a later one.
TEST_CASE("an older order is ignored", "[rollout]") {
  Fixture fixture;
  fixture.Begin();
  fixture.Order(1, 9, "v3");
  CHECK(fixture.controller.StateOf(kService)->target_version == "v2");
  CHECK(fixture.changes.back().reason ==
        "order ignored: it is older than the current one");
}

// Guards against a withdrawn order that goes on, and against one that is rolled
// back since the store was restored and lacks it for a moment.
TEST_CASE("a withdrawn order is paused and then rolled back", "[rollout]") {
  Fixture fixture;
  fixture.Begin();
  CHECK(fixture.Serve(500, "v2") > 0);
  fixture.controller.OnOrderWithdrawn(kService, fixture.now);
  CHECK(fixture.Serve(500, "v2") == 0);
  fixture.Run(milliseconds(2500));
  fixture.Order(2, 3, "v2");
  CHECK(fixture.Stage() == RolloutStage::kCanary);
  CHECK(fixture.Serve(500, "v2") > 0);
  fixture.controller.OnOrderWithdrawn(kService, fixture.now);
  fixture.Run(milliseconds(3300));
  CHECK(fixture.Stage() == RolloutStage::kRolledBack);
  CHECK(fixture.record->reason == "the order was withdrawn");
}

// Guards against an order for a version without backend servers that hangs.
TEST_CASE("an order without backend servers is rolled back", "[rollout]") {
  Fixture fixture;
  fixture.RemoveServers(20, 40);
  fixture.Begin();
  CHECK(fixture.Serve(500, "v2") == 0);
  fixture.Run(milliseconds(11000));
  REQUIRE(fixture.record);
  CHECK(fixture.record->stage == RolloutStage::kRolledBack);
  CHECK(fixture.record->reason == "the version has no backend servers");
}

// Guards against refused calls, and an order that hangs, when the target is
// already the only version or becomes it.
TEST_CASE("without other versions the order is completed", "[rollout]") {
  Fixture fixture;
  const bool from_start = GENERATE(false, true);
  if (from_start) fixture.RemoveServers(0, 20);
  fixture.Begin();
  if (!from_start) fixture.RemoveServers(0, 20);
  fixture.Run(milliseconds(100));
  CHECK(fixture.Choose().Allows("v2"));
  fixture.Run(milliseconds(3500));
  CHECK(fixture.Stage() == RolloutStage::kCompleted);
  CHECK(fixture.record->reason == "no other version has backend servers");
}

// Guards against calls that stay on a version on trial when the operators go
// back to the version before.
TEST_CASE("an order back to the old version holds at once", "[rollout]") {
  Fixture fixture;
  fixture.Begin();
  fixture.controller.OnMessage("g1", fixture.Message(RolloutStage::kShifting),
                               fixture.now);
  fixture.Order(1, 11, "v1");
  const VersionRule rule = fixture.Choose();
  CHECK(rule.Allows("v1"));
  CHECK(!rule.Allows("v2"));
  fixture.Run(milliseconds(2000));
  CHECK(fixture.record->target_version == "v1");
  CHECK(fixture.record->stage == RolloutStage::kCompleted);
}

// Guards against a third version whose trial takes an unproved second one for
// the old version.
TEST_CASE("a replaced order leaves its version without calls", "[rollout]") {
  Fixture fixture;
  fixture.Begin();
  for (int i = 40; i < 60; ++i) fixture.AddServer(i, "v3");
  fixture.Order(1, 11, "v3");
  fixture.Run(milliseconds(200));
  int third = 0;
  for (int i = 0; i < 500; ++i) {
    const VersionRule rule = fixture.Choose();
    CHECK((!rule.Allows("v2") || rule.may_fall_back));
    if (rule.Allows("v3")) ++third;
    fixture.controller.OnSent(kService, rule.Allows("v3") ? "v3" : "v1", true,
                              fixture.now);
  }
  CHECK(third > 0);
  CHECK(third <= 40);
  CHECK(fixture.record->target_version == "v3");
}

// Guards against a gateway that starts late and takes the order for a new one.
TEST_CASE("the age of an order comes from messages and the record",
          "[rollout]") {
  Fixture fixture;
  fixture.Begin();
  auto message = fixture.Message(RolloutStage::kCanary);
  message.order_age = milliseconds(9000);
  fixture.controller.OnMessage("g1", message, fixture.now);
  fixture.Run(milliseconds(100));
  CHECK(fixture.controller.StateOf(kService)->order_age == milliseconds(9100));
  auto record = *fixture.record;
  record.order_age = milliseconds(5000);
  fixture.controller.OnRecord(kService, record, fixture.now);
  CHECK(fixture.controller.StateOf(kService)->order_age == milliseconds(9100));
  record.order_age = milliseconds(10000);
  fixture.controller.OnRecord(kService, record, fixture.now);
  fixture.Run(milliseconds(100));
  CHECK(fixture.controller.StateOf(kService)->order_age == milliseconds(10100));
}

// Guards against old backend servers that stop while a call that can't be
// repeated runs there, here or at another gateway, also past the deadline (R4).
TEST_CASE("completion waits for calls that can't be repeated", "[rollout]") {
  Fixture fixture;
  fixture.collectors = {"g0", "g1"};
  fixture.gateways = {"g0", "g1"};
  // The call began before the order.
  fixture.controller.OnSent(kService, "v1", false, fixture.now);
  fixture.Begin();
  auto message = fixture.Message(RolloutStage::kShifting);
  fixture.controller.OnMessage("g1", message, fixture.now);
  message.running_on_old = 1;
  for (int i = 0; i < 150; ++i) {
    message.order_age += milliseconds(100);
    fixture.controller.OnMessage("g1", message, fixture.now);
    fixture.Run(milliseconds(100));
  }
  CHECK(fixture.Stage() == RolloutStage::kShifting);
  AttemptObservation observation{kService, "v1", "a",
                                 state::BackendServerId("s1"), false};
  fixture.controller.OnEnded(observation, fixture.now);
  fixture.Run(milliseconds(500));
  CHECK(fixture.Stage() == RolloutStage::kShifting);
  message.order_age += milliseconds(500);
  message.running_on_old = 0;
  fixture.controller.OnMessage("g1", message, fixture.now);
  fixture.Run(milliseconds(500));
  CHECK(fixture.Stage() == RolloutStage::kCompleted);
}

// Guards against calls that can't be repeated and still run at the deadline.
TEST_CASE("the shift begins early enough for the longest attempts",
          "[rollout]") {
  Fixture fixture;
  fixture.Begin();
  AttemptObservation observation{kService, "v1", "a",
                                 state::BackendServerId("s1"), false};
  observation.outcome = AttemptObservation::Outcome::kAnswered;
  observation.duration = milliseconds(4000);
  fixture.controller.OnSent(kService, "v1", false, fixture.now);
  fixture.controller.OnEnded(observation, fixture.now);
  fixture.ServeFor(milliseconds(6600));
  CHECK(fixture.Stage() == RolloutStage::kCanary);
  fixture.ServeFor(milliseconds(700));
  CHECK(fixture.Stage() == RolloutStage::kShifting);
}

// Guards against a roll-back that was decided on while the order was missing
// and is written after it has returned.
TEST_CASE("an order that returns cancels the roll-back", "[rollout]") {
  Fixture fixture;
  fixture.Begin();
  fixture.takes_writes = false;
  fixture.controller.OnOrderWithdrawn(kService, fixture.now);
  fixture.Run(milliseconds(3500));
  CHECK(fixture.writes.back().stage == RolloutStage::kRolledBack);
  fixture.Order(2, 3, "v2");
  fixture.takes_writes = true;
  fixture.Run(milliseconds(1000));
  CHECK(fixture.Stage() == RolloutStage::kCanary);
}

// Guards against all calls on the target while the registry is read anew and
// has no backend server of another version yet.
TEST_CASE("an incomplete registry exposes no calls", "[rollout]") {
  Fixture fixture;
  fixture.Begin();
  fixture.RemoveServers(0, 20);
  fixture.registry.SetComplete(false);
  fixture.Run(milliseconds(100));
  int exposed = 0;
  for (int i = 0; i < 500; ++i) {
    const bool is_exposed = fixture.Choose().Allows("v2");
    if (is_exposed) ++exposed;
    fixture.controller.OnSent(kService, is_exposed ? "v2" : "v1", true,
                              fixture.now);
  }
  CHECK(exposed <= 40);
}

// Guards against a shift that holds before it is written: another decider may
// have written the opposite.
TEST_CASE("no stage but rolled_back holds while the store is silent",
          "[rollout]") {
  Fixture fixture;
  fixture.Begin();
  fixture.takes_writes = false;
  fixture.ServeFor(milliseconds(11500));
  CHECK(fixture.Stage() == RolloutStage::kCanary);
  CHECK(fixture.writes.back().stage == RolloutStage::kShifting);
  RolloutRecord record = *fixture.record;
  record.stage = RolloutStage::kRolledBack;
  fixture.controller.OnRecord(kService, record, fixture.now);
  CHECK(fixture.Stage() == RolloutStage::kRolledBack);
}

// Guards against a collector that wakes after a freeze past the deadline and
// rolls back what the others have completed meanwhile.
TEST_CASE("a collector decides nothing right after a freeze", "[rollout]") {
  Fixture fixture;
  fixture.Begin();
  fixture.ServeFor(milliseconds(4000));
  const std::size_t writes = fixture.writes.size();
  fixture.now += milliseconds(8000);
  fixture.controller.Tick(fixture.now);
  CHECK(fixture.writes.size() == writes);
  CHECK(fixture.Stage() == RolloutStage::kCanary);
}

// Guards against a completion that waits for a store that answers no collector.
TEST_CASE("a collector without the store asks others to write", "[rollout]") {
  Fixture fixture;
  fixture.gateways = {"g1"};
  fixture.Begin();
  fixture.controller.OnMessage("g1", fixture.Message(RolloutStage::kRolledBack),
                               fixture.now);
  fixture.store_age = milliseconds(3000);
  fixture.sent.clear();
  fixture.Run(milliseconds(200));
  REQUIRE(!fixture.sent.empty());
  const protocol::RolloutMessage request = fixture.sent[0].second;
  CHECK(request.proposal == RolloutStage::kRolledBack);

  Fixture deputy;
  deputy.collectors = {"g7"};
  deputy.Begin();
  CHECK(deputy.writes.empty());
  deputy.controller.OnMessage("g0", request, deputy.now);
  deputy.Run(milliseconds(200));
  REQUIRE(deputy.record);
  CHECK(deputy.record->stage == RolloutStage::kRolledBack);
}

}  // namespace wasabiwall::rollout
