#include "wasabiwall/coordination/shard_ownership.h"

#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>
#include <memory>
#include <random>

#include "standins/support/fake_key_value.h"

namespace wasabiwall::coordination {

using standins::FakeKeyValue;
using std::chrono::milliseconds;

namespace {

constexpr int kSides = 3;
constexpr std::int64_t kShards = 4;
constexpr milliseconds kTick{500};
constexpr int kSettleTicks = 120;

std::string Name(int side) { return "side-" + std::to_string(side); }

/// Side processes of one pool in virtual time.
class SideProcessSimulation {
 public:
  SideProcessSimulation() {
    for (int side = 0; side < kSides; ++side) Restart(side);
  }

  /// Replaces the process by a new one at the same address.
  void Restart(int side) {
    Side& self = m_sides[side];
    self.ownership.reset();
    self.ledger =
        std::make_unique<IdempotencyLedger>(std::to_string(++m_starts));
    self.ownership = std::make_unique<ShardOwnership>(
        ShardOwnershipOptions{state::PoolId("p"),
                              state::BackendServerId(Name(side))},
        self.ledger.get(), [this] { return m_random(); });
    self.next_revision = 0;
    self.alive = true;
  }

  void Kill(int side) { m_sides[side].alive = false; }
  void Resume(int side) { m_sides[side].alive = true; }
  void SetDraining(int side, bool draining) {
    m_sides[side].draining = draining;
  }
  /// Breaks the watch; the process sees changes after its next snapshot.
  void CutWatch(int side) { m_sides[side].next_revision = 0; }
  void SetOutage(bool outage) { m_outage = outage; }
  void LoseAnswers(int count) { m_lose_answers = count; }

  void Tick() {
    m_now += kTick;
    m_store.SetNow(m_now);
    for (int side = 0; side < kSides; ++side) {
      if (m_sides[side].alive && !m_outage) Step(side);
    }
  }

  /// Asserts that each shard is owned by exactly one live process that isn't
  /// draining, and by the preferred one when it is such a process.
  void CheckOwners() {
    for (std::int64_t shard = 0; shard < kShards; ++shard) {
      int claimants = 0;
      for (const Side& side : m_sides) {
        claimants += side.alive && side.ledger->OwnsShard(shard) ? 1 : 0;
      }
      RC_ASSERT(claimants == 1);
      const std::string owner = StoredOwner(shard);
      RC_ASSERT(CanOwn(owner));
      const std::string preferred = Preferred(shard);
      RC_ASSERT(owner == preferred || !CanOwn(preferred));
    }
  }

  bool CanOwn(const std::string& owner) const {
    if (owner.empty()) return false;
    const Side& side = m_sides[owner.back() - '0'];
    return side.alive && !side.draining;
  }

  std::string StoredOwner(std::int64_t shard) {
    const auto entries =
        m_store.Range({.key = m_sides[0].ownership->OwnerKey(shard)}).entries;
    return entries.empty() ? "" : entries.front().value;
  }

  std::string Preferred(std::int64_t shard) {
    const std::vector<state::BackendServerId> all = {
        state::BackendServerId(Name(0)), state::BackendServerId(Name(1)),
        state::BackendServerId(Name(2))};
    return RankOwners(state::PoolId("p"), shard, all).front().value;
  }

  /// @return Ticks until the shard has another owner whose ledger has taken it
  /// over.
  int TicksToNewOwner(std::int64_t shard, const std::string& from) {
    for (int ticks = 1; ticks < kSettleTicks; ++ticks) {
      Tick();
      const std::string owner = StoredOwner(shard);
      if (owner.empty() || owner == from) continue;
      if (m_sides[owner.back() - '0'].ledger->OwnsShard(shard)) return ticks;
    }
    return kSettleTicks;
  }

  int KeyValueCalls() const { return m_calls; }

 private:
  struct Side {
    std::unique_ptr<IdempotencyLedger> ledger;
    std::unique_ptr<ShardOwnership> ownership;
    std::int64_t next_revision = 0;
    bool alive = true;
    bool draining = false;
  };

  TimePoint Now() const { return TimePoint(m_now + std::chrono::hours(1)); }

  void ReadOwnerRecords(Side* self) {
    const std::string prefix = self->ownership->OwnerPrefix();
    if (self->next_revision == 0) {
      const auto records = m_store.Range({.key = prefix, .prefix = true});
      self->next_revision = records.revision + 1;
      self->ownership->OnSnapshot(records, Now());
      m_calls += 2;
      return;
    }
    const auto events =
        m_store.Events(prefix, self->next_revision, milliseconds(0));
    for (const auto& event : events) {
      self->next_revision = event.entry.mod_revision + 1;
    }
    self->ownership->OnEvents(events, Now());
  }

  void MaintainLease(ShardOwnership* ownership) {
    const LeaseAction step = ownership->NextLeaseAction(Now());
    if (step == LeaseAction::kNone) return;
    ++m_calls;
    if (step == LeaseAction::kRenew) {
      ownership->OnLeaseRenewed(m_store.RenewLease(ownership->Lease()), Now());
      return;
    }
    ownership->OnLeaseGranted(m_store.GrantLease(ownership->LeaseTtl()), Now());
  }

  void Step(int side) {
    Side& self = m_sides[side];
    std::vector<state::BackendServerId> candidates;
    for (int other = 0; other < kSides; ++other) {
      // Only the process itself knows that it is draining.
      if (other == side && self.draining) continue;
      candidates.emplace_back(Name(other));
    }
    self.ownership->Configure(kShards, candidates);
    ReadOwnerRecords(&self);
    MaintainLease(self.ownership.get());
    for (const ShardTransition& step : self.ownership->PlanTransitions(Now())) {
      ++m_calls;
      const auto result = m_store.Txn(step.txn);
      const bool lost = m_lose_answers > 0 && m_lose_answers-- > 0;
      if (!lost) self.ownership->OnTransitionResult(step, result, Now());
    }
  }

  FakeKeyValue m_store;
  Side m_sides[kSides];
  std::mt19937_64 m_random{1};
  milliseconds m_now{0};
  int m_starts = 0;
  int m_lose_answers = 0;
  int m_calls = 0;
  bool m_outage = false;
};

void RunRandomStep(SideProcessSimulation* simulation) {
  const int side = *rc::gen::inRange(0, kSides);
  switch (*rc::gen::weightedElement<int>(
      {{10, 0}, {1, 1}, {1, 2}, {1, 3}, {1, 4}, {1, 5}, {1, 6}, {1, 7}})) {
    case 0:
      simulation->Tick();
      return;
    case 1:
      simulation->Kill(side);
      return;
    case 2:
      simulation->Restart(side);
      return;
    case 3:
      simulation->Resume(side);
      return;
    case 4:
      simulation->SetDraining(side, *rc::gen::arbitrary<bool>());
      return;
    case 5:
      simulation->SetOutage(*rc::gen::arbitrary<bool>());
      return;
    case 6:
      simulation->LoseAnswers(*rc::gen::inRange(0, 4));
      return;
    default:
      simulation->CutWatch(side);
  }
}

}  // namespace

TEST_CASE("after faults, each shard is owned by its preferred live process",
          "[shard_ownership][fuzz]") {
  rc::prop("one owner for each shard after the faults end", [] {
    SideProcessSimulation simulation;
    const int steps = *rc::gen::inRange(0, 150);
    for (int i = 0; i < steps; ++i) RunRandomStep(&simulation);
    // At least one process is alive.
    simulation.Resume(0);
    simulation.SetDraining(0, false);
    simulation.SetOutage(false);
    for (int i = 0; i < kSettleTicks; ++i) simulation.Tick();
    simulation.CheckOwners();
  });
}

TEST_CASE(
    "a shard moves when its owner drains or dies and back when it returns",
    "[shard_ownership]") {
  SideProcessSimulation simulation;
  for (int i = 0; i < kSettleTicks; ++i) simulation.Tick();
  const std::string owner = simulation.StoredOwner(0);
  const int side = owner.back() - '0';
  // Only lease renewals, about three within each lease lifetime.
  const int before = simulation.KeyValueCalls();
  for (int i = 0; i < 60; ++i) simulation.Tick();
  CHECK(simulation.KeyValueCalls() - before <= kSides * 30 * 3 / 4);

  simulation.SetDraining(side, true);
  CHECK(simulation.TicksToNewOwner(0, owner) <= 4);
  simulation.SetDraining(side, false);
  for (int i = 0; i < kSettleTicks; ++i) simulation.Tick();
  REQUIRE(simulation.StoredOwner(0) == owner);
  simulation.Kill(side);
  // The lease lifetime of 5 s, then the next read of the records.
  CHECK(simulation.TicksToNewOwner(0, owner) <= 14);
  simulation.Restart(side);
  for (int i = 0; i < kSettleTicks; ++i) simulation.Tick();
  CHECK(simulation.StoredOwner(0) == owner);
}

}  // namespace wasabiwall::coordination
