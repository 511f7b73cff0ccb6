#include "wasabiwall/coordination/quarantine.h"

#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>

#include "fakes/virtual_fleet.h"
#include "wasabiwall/coordination/request_fingerprint.h"

namespace wasabiwall::coordination {

using fakes::VirtualFleet;
using protocol::ErrorKind;
using std::chrono::milliseconds;

namespace {

constexpr std::size_t kEntries = 3;
constexpr int kBystandersPerEntry = 8;

/// Runs random steps on the fleet. The crashing request is sent again whenever
/// fewer than `copies` of it are in progress.
void RunRandomSteps(VirtualFleet* fleet, std::size_t copies) {
  const auto pick = [](std::size_t end) {
    return *rc::gen::inRange<std::size_t>(0, end);
  };
  std::vector<VirtualFleet::Call*> poison;
  int bystanders = 0;
  for (int step = 0; step < 120; ++step) {
    auto& calls = fleet->Calls();
    const std::size_t engine = pick(fleet->Engines());
    switch (pick(10)) {
      case 0:
        if (bystanders == kBystandersPerEntry) break;
        fleet->Send(pick(kEntries), "by" + std::to_string(bystanders++));
        break;
      case 1:
        if (poison.size() -
                std::count_if(poison.begin(), poison.end(),
                              [](auto* c) { return c->HasEnded(); }) <
            copies) {
          poison.push_back(fleet->Send(pick(kEntries), "CRASH"));
        }
        break;
      case 2:
        // Refusals send calls to further engines. The first three engines
        // never drain, so that after two crashes one is left.
        if (engine > 2) fleet->Side(engine).SetDraining(pick(2) == 0);
        break;
      case 3:
        fleet->TickEngine(engine);
        break;
      default:
        if (!calls.empty()) fleet->Advance(calls[pick(calls.size())].get());
    }
  }
  fleet->RunToCompletion();
}

int Repeat(VirtualFleet* fleet, int times) {
  for (int i = 0; i < times; ++i) {
    fleet->Send(i % kEntries, "CRASH");
    fleet->RunToCompletion();
    fleet->AdvanceClock(std::chrono::seconds(1));
  }
  return fleet->crashes;
}

}  // namespace

TEST_CASE("a request that crashes engines is quarantined after two crashes",
          "[quarantine]") {
  VirtualFleet unaware(kEntries, 8);
  unaware.records = false;
  // Without crash records, the simulation shows the fault.
  CHECK(Repeat(&unaware, 1) > 2);

  for (const std::size_t engines : {1, 2, 3, 8}) {
    VirtualFleet fleet(kEntries, engines);
    CHECK(Repeat(&fleet, 9) == 2);
    CHECK(fleet.Calls().back()->step.error.kind == ErrorKind::kQuarantined);
    fleet.AdvanceClock(std::chrono::minutes(11));
    CHECK(fleet.Send(0, "harmless")->step.kind == StepKind::kSubmit);
    fleet.RunToCompletion();
    CHECK(fleet.Calls().back()->Answered());
    // The records have expired.
    CHECK(Repeat(&fleet, 3) == 4);
  }
}

TEST_CASE("a call of a plain service that crashes it is quarantined too",
          "[quarantine]") {
  VirtualFleet fleet(kEntries, 8);
  for (std::size_t i = 0; i < 9; ++i) {
    fleet.SendToService(i % kEntries, "CRASH");
    fleet.RunToCompletion();
    fleet.AdvanceClock(std::chrono::seconds(1));
  }
  CHECK(fleet.crashes <= 2);
  CHECK(fleet.Calls().back()->step.error.kind == ErrorKind::kQuarantined);
  fleet.SendToService(0, "harmless");
  fleet.RunToCompletion();
  CHECK(fleet.Calls().back()->Answered());
}

TEST_CASE("a crashing request causes at most two crashes, others are answered",
          "[quarantine][fuzz]") {
  rc::prop("retried through any entry, with gossip on or off", [] {
    VirtualFleet fleet(kEntries, *rc::gen::inRange<std::size_t>(3, 7));
    fleet.gossip = *rc::gen::arbitrary<bool>();
    RunRandomSteps(&fleet, 1);
    RC_ASSERT(fleet.crashes <= 2);
    for (const auto& call : fleet.Calls()) {
      const bool poison =
          call->planned.request.body.find("CRASH") != std::string::npos;
      if (poison) RC_ASSERT(!call->Answered());
      const bool bystander = call->plan && !poison;
      if (bystander) RC_ASSERT(call->Answered());
    }
  });
  rc::prop("each concurrent copy adds at most one crash", [] {
    VirtualFleet fleet(kEntries, *rc::gen::inRange<std::size_t>(1, 6));
    const std::size_t copies = *rc::gen::inRange<std::size_t>(1, 4);
    RunRandomSteps(&fleet, copies);
    RC_ASSERT(fleet.crashes <= static_cast<int>(copies) + 1);
  });
}

TEST_CASE("crash records are bounded, merged and expire", "[crash_records]") {
  const TimePoint start{std::chrono::seconds(10)};
  CrashRecords records({.retention = milliseconds(1000),
                        .max_records = 10,
                        .records_per_second = 5});
  const std::string request_fingerprint(32, 'a');
  records.Add(request_fingerprint, 7, start);
  records.Observe(records.Of(request_fingerprint, start), start);
  CHECK(records.Count(request_fingerprint, start) == 1);
  records.Observe({{.fingerprint = "short"}}, start);
  CHECK(records.Size() == 1);
  CHECK(records.Count(request_fingerprint, start + milliseconds(1000)) == 0);
  for (int i = 0; i < 100; ++i) {
    records.Add(FingerprintOf({"w", std::to_string(i)}), i, start);
  }
  CHECK(records.Size() == 10);
  CHECK(records.TakeForPeers(4, start).size() == 4);
  CHECK(records.TakeForPeers(4, start).size() == 1);
  CHECK(records.TakeForPeers(4, start).empty());
}

TEST_CASE("attempts whose connection survives a crash are no suspects",
          "[quarantine]") {
  TimePoint now{std::chrono::seconds(10)};
  Quarantine quarantine([&] { return now; }, [] { return 8; });
  const std::string survivor(32, 'a');
  const std::string lost(32, 'b');
  quarantine.Begin(state::AttemptId("1"), survivor);
  quarantine.Begin(state::AttemptId("2"), lost);
  quarantine.OnConnectionBroken(state::AttemptId("2"));
  CHECK(quarantine.Judge(survivor, false) == QuarantineVerdict::kNotHere);
  // A new connection may still reach the exiting engine.
  CHECK(quarantine.IsCoolingDown());
  now += milliseconds(500);
  CHECK_FALSE(quarantine.IsCoolingDown());
  quarantine.OnEnded(state::AttemptId("1"));
  quarantine.OnEnded(state::AttemptId("2"));
  CHECK(quarantine.Judge(survivor, false) == QuarantineVerdict::kRun);
  CHECK(quarantine.Judge(lost, false) == QuarantineVerdict::kNotHere);
  CHECK(quarantine.Judge(lost, true) == QuarantineVerdict::kRunAlone);
}

}  // namespace wasabiwall::coordination
