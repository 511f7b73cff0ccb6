#include "wasabiwall/coordination/key_ledger.h"

#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>
#include <map>
#include <memory>

#include "standins/support/fake_key_value.h"

namespace wasabiwall::coordination {

using Action = LedgerDecision::Action;
using standins::FakeKeyValue;

namespace {

constexpr char kOwnerKey[] = "/wasabiwall/owners/p/0";

/// How the service treats the next transaction.
enum class Fault { kNone, kOutage, kAnswerLost };

/// Two side processes that may both believe they own the only shard, and the
/// oracle: how often each key ran.
class World {
 public:
  void TakeOver(int side) {
    m_store.Txn({.writes = {{kOwnerKey, "", 0, true}}});
    const auto result =
        m_store.Txn({.writes = {{kOwnerKey, std::to_string(side)}}});
    m_ledgers[side]->OnShardOwned(0, kOwnerKey, result.revision);
  }

  /// The process is replaced by an empty one.
  void Restart(int side) { m_ledgers[side] = std::make_unique<KeyLedger>(); }

  void Begin(int side, int key, int body) {
    KeyedCall call;
    call.pool = state::PoolId("p");
    call.workspace = state::WorkspaceId("w");
    call.key = std::to_string(key);
    call.body_digest = std::to_string(body);
    call.attempt = state::AttemptId(std::to_string(++m_attempts));
    m_keys[call.attempt] = key;
    Act(side, m_ledgers[side]->Begin(call));
  }

  void Commit(int side, Fault fault) {
    const auto batch = m_ledgers[side]->TakeBatch(4);
    if (!batch) return;
    state::KeyValueResult<state::KeyValueTxnResult> result =
        tl::make_unexpected(state::KeyValueFailure::kUnknown);
    if (fault != Fault::kOutage) {
      const auto done = m_store.Txn(batch->txn);
      if (fault == Fault::kNone) result = done;
    }
    for (const auto& decision :
         m_ledgers[side]->OnBatchResult(*batch, result)) {
      Act(side, decision);
    }
  }

  void Finish(int side) {
    if (m_running[side].empty()) return;
    m_ledgers[side]->OnOutcome(m_running[side].back(), {"answer", {}});
    m_running[side].pop_back();
  }

  const std::map<int, int>& Runs() const { return m_runs; }

 private:
  void Act(int side, const LedgerDecision& decision) {
    if (decision.action != Action::kRun) return;
    ++m_runs[m_keys.at(decision.attempt)];
    m_running[side].push_back(decision.attempt);
  }

  FakeKeyValue m_store;
  std::unique_ptr<KeyLedger> m_ledgers[2] = {std::make_unique<KeyLedger>(),
                                             std::make_unique<KeyLedger>()};
  std::vector<state::AttemptId> m_running[2];
  std::map<state::AttemptId, int> m_keys;
  std::map<int, int> m_runs;
  int m_attempts = 0;
};

}  // namespace

TEST_CASE("no key runs twice, whoever owns and whatever is lost",
          "[key_ledger][fuzz]") {
  rc::prop("at most one run a key", [] {
    World world;
    world.TakeOver(0);
    const int steps = *rc::gen::inRange(1, 80);
    for (int i = 0; i < steps; ++i) {
      const int side = *rc::gen::inRange(0, 2);
      switch (*rc::gen::weightedElement<int>(
          {{8, 0}, {8, 1}, {4, 2}, {2, 3}, {1, 4}})) {
        case 0:
          world.Begin(side, *rc::gen::inRange(0, 4), *rc::gen::inRange(0, 2));
          break;
        case 1:
          world.Commit(side,
                       *rc::gen::element(Fault::kNone, Fault::kNone,
                                         Fault::kOutage, Fault::kAnswerLost));
          break;
        case 2:
          world.Finish(side);
          break;
        case 3:
          world.TakeOver(side);
          break;
        default:
          world.Restart(side);
      }
      for (const auto& [key, runs] : world.Runs()) RC_ASSERT(runs <= 1);
    }
  });
}

TEST_CASE("a repeated call gets the recorded answer from a new owner",
          "[key_ledger]") {
  FakeKeyValue store;
  const auto owner = store.Txn({.writes = {{kOwnerKey, "0"}}});
  KeyedCall call{state::PoolId("p"),   0, state::WorkspaceId("w"), "k", "d",
                 state::AttemptId("1")};
  KeyLedger first;
  first.OnShardOwned(0, kOwnerKey, owner.revision);
  REQUIRE(first.Begin(call).action == Action::kCommit);
  const auto intent = first.TakeBatch(8);
  REQUIRE(first.OnBatchResult(*intent, store.Txn(intent->txn)).front().action ==
          Action::kRun);
  first.OnOutcome(call.attempt, {"booked", {}});
  const auto outcome = first.TakeBatch(8);
  first.OnBatchResult(*outcome, store.Txn(outcome->txn));

  KeyLedger second;
  second.OnShardOwned(0, kOwnerKey, owner.revision);
  call.attempt = state::AttemptId("2");
  REQUIRE(second.Begin(call).action == Action::kCommit);
  const auto again = second.TakeBatch(8);
  const auto decisions = second.OnBatchResult(*again, store.Txn(again->txn));
  REQUIRE(decisions.size() == 1);
  CHECK(decisions.front().action == Action::kReplay);
  CHECK(decisions.front().outcome.body == "booked");
}

}  // namespace wasabiwall::coordination
