#include "wasabiwall/coordination/idempotency_ledger.h"

#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <set>

#include "standins/support/fake_key_value.h"

namespace wasabiwall::coordination {

using Action = LedgerDecision::Action;
using standins::FakeKeyValue;
using state::KeyValueFailure;

namespace {

constexpr char kOwnerKey[] = "/wasabiwall/owners/p/0";
constexpr int kKeys = 4;
constexpr int kSettleRounds = 200;

/// How a transaction that was taken from a ledger ends.
enum class TxnResultMode {
  kAnswered,
  kNotDone,
  kRequestLost,
  kAnswerLost,
  kDelayed
};

KeyedCall MakeCall(int key, int body, int attempt) {
  return {state::PoolId("p"),      0,
          state::WorkspaceId("w"), std::to_string(key),
          std::to_string(body),    state::AttemptId(std::to_string(attempt))};
}

/// Two side processes that may both believe that they own the only shard, with
/// a record of what ran and which answer each key got. Asserts on every
/// decision that no key runs twice and that no attempt runs after it was
/// refused as not run.
class TwoOwnerSimulation {
 public:
  TwoOwnerSimulation() {
    Kill(0);
    Kill(1);
    m_killed = false;
    TransferShard(0, true);
  }

  void TransferShard(int side, bool tell_other) {
    m_store.Txn({.writes = {{kOwnerKey, "", 0, true}}});
    const auto result =
        m_store.Txn({.writes = {{kOwnerKey, std::to_string(side)}}});
    m_sides[side].ledger->OnShardOwned(0, kOwnerKey, result.revision);
    if (tell_other) m_sides[1 - side].ledger->OnShardLost(0);
  }

  /// Replaces the process by an empty one at the same address; a transaction
  /// that it has taken may still arrive.
  void Kill(int side) {
    if (m_sides[side].taken) m_delayed.push_back({side, *m_sides[side].taken});
    m_sides[side] = {};
    m_sides[side].ledger =
        std::make_unique<IdempotencyLedger>(std::to_string(++m_starts));
    m_killed = true;
  }

  void Begin(int side, int key, int body) {
    Submit(side, MakeCall(key, body, ++m_attempts));
  }

  /// Delivers a call again to the process that replaced its receiver.
  void Duplicate(int side, int attempt) {
    const auto call = m_calls.find(state::AttemptId(std::to_string(attempt)));
    if (call == m_calls.end()) return;
    const bool seen = m_sides[side].seen.count(call->first) > 0;
    const bool sent_here = m_addressee.at(call->first) == side;
    const bool refused = m_not_run.count(call->first) > 0;
    if (sent_here && !seen && !refused) Submit(side, call->second);
  }

  /// Takes a batch that stays unsent until Send, as when the process is paused.
  void Take(int side) {
    Side& self = m_sides[side];
    if (!self.taken) self.taken = self.ledger->TakeBatch(4);
  }

  void Send(int side, TxnResultMode mode) {
    Take(side);
    Side& self = m_sides[side];
    if (!self.taken) return;
    const LedgerBatch batch = *self.taken;
    self.taken.reset();
    state::KeyValueResult<state::KeyValueTxnResult> result =
        tl::make_unexpected(mode == TxnResultMode::kNotDone
                                ? KeyValueFailure::kNotDone
                                : KeyValueFailure::kUnknown);
    if (mode == TxnResultMode::kDelayed) m_delayed.push_back({side, batch});
    if (mode == TxnResultMode::kAnswerLost) Commit(side, batch);
    if (mode == TxnResultMode::kAnswered) result = Commit(side, batch);
    for (const auto& decision : self.ledger->OnBatchResult(batch, result)) {
      Act(side, decision);
    }
  }

  void DeliverDelayed() {
    if (m_delayed.empty()) return;
    Commit(m_delayed.front().side, m_delayed.front().batch);
    m_delayed.erase(m_delayed.begin());
  }

  void Finish(int side) {
    std::vector<state::AttemptId>& running = m_sides[side].running;
    if (running.empty()) return;
    const int key = std::stoi(m_calls.at(running.back()).key);
    m_answers[key] = running.back().value;
    m_sides[side].ledger->OnOutcome(running.back(), {m_answers[key], {}});
    running.pop_back();
  }

  /// Ends all faults; both processes finish their work.
  void Settle() {
    while (!m_delayed.empty()) DeliverDelayed();
    for (int side : {0, 1}) {
      for (int i = 0; i < kSettleRounds; ++i) {
        Send(side, TxnResultMode::kAnswered);
        Finish(side);
      }
      RC_ASSERT(!m_sides[side].ledger->HasWork());
    }
  }

  /// Asserts, unless a process was killed, that at any owner each key that has
  /// not run can run and each other one returns its recorded answer.
  void CheckKeysUsable(int side) {
    TransferShard(side, true);
    for (int key = 0; key < kKeys; ++key) {
      const int runs = m_runs[key];
      Begin(side, key, m_ran_body.count(key) > 0 ? m_ran_body[key] : 0);
      Settle();
      RC_ASSERT(m_killed || m_runs[key] == 1);
      RC_ASSERT(m_killed || runs == 0 || m_last == Action::kReplay);
    }
  }

 private:
  struct Side {
    std::unique_ptr<IdempotencyLedger> ledger;
    std::optional<LedgerBatch> taken;
    std::vector<state::AttemptId> running;
    std::set<state::AttemptId> seen;
  };

  struct DelayedBatch {
    int side = 0;
    LedgerBatch batch;
  };

  /// Commits a batch. Asserts that only the owner in the store commits intents.
  state::KeyValueTxnResult Commit(int side, const LedgerBatch& batch) {
    const auto owner = m_store.Range({.key = kOwnerKey}).entries.front();
    auto result = m_store.Txn(batch.txn);
    RC_ASSERT(!result.succeeded || owner.value == std::to_string(side) ||
              batch.kind != LedgerBatch::Kind::kIntents);
    return result;
  }

  void Submit(int side, const KeyedCall& call) {
    m_calls[call.attempt] = call;
    m_addressee[call.attempt] = side;
    m_sides[side].seen.insert(call.attempt);
    m_submitted_bodies[std::stoi(call.key)].insert(call.body_digest);
    Act(side, m_sides[side].ledger->Begin(call));
  }

  void Act(int side, const LedgerDecision& decision) {
    m_last = decision.action;
    const KeyedCall& call = m_calls.at(decision.attempt);
    const int key = std::stoi(call.key);
    const protocol::ErrorKind kind = decision.error.kind;
    switch (decision.action) {
      case Action::kRun:
        RC_ASSERT(++m_runs[key] == 1);
        RC_ASSERT(m_not_run.count(decision.attempt) == 0);
        m_ran_body[key] = std::stoi(call.body_digest);
        m_sides[side].running.push_back(decision.attempt);
        return;
      case Action::kReplay:
        RC_ASSERT(decision.outcome.body == m_answers.at(key));
        RC_ASSERT(call.body_digest == std::to_string(m_ran_body.at(key)));
        return;
      case Action::kJoin:
        RC_ASSERT(m_calls.at(decision.joined_attempt).body_digest ==
                  call.body_digest);
        return;
      case Action::kRefuse:
        RC_ASSERT(kind != protocol::ErrorKind::kKeyReused ||
                  m_submitted_bodies[key].size() > 1);
        if (protocol::RowOf(kind).not_run) m_not_run.insert(decision.attempt);
        return;
      case Action::kAwaitCommit:
        return;
    }
  }

  FakeKeyValue m_store;
  Side m_sides[2];
  std::vector<DelayedBatch> m_delayed;
  std::map<state::AttemptId, KeyedCall> m_calls;
  std::map<state::AttemptId, int> m_addressee;
  std::set<state::AttemptId> m_not_run;
  std::map<int, int> m_runs;
  std::map<int, int> m_ran_body;
  std::map<int, std::string> m_answers;
  std::map<int, std::set<std::string>> m_submitted_bodies;
  Action m_last = Action::kRefuse;
  int m_attempts = 0;
  int m_starts = 0;
  bool m_killed = false;
};

TxnResultMode AnyResultMode() {
  return *rc::gen::weightedElement<TxnResultMode>(
      {{6, TxnResultMode::kAnswered},
       {1, TxnResultMode::kNotDone},
       {2, TxnResultMode::kRequestLost},
       {2, TxnResultMode::kAnswerLost},
       {2, TxnResultMode::kDelayed}});
}

void RunRandomStep(TwoOwnerSimulation* simulation, bool kills) {
  const int side = *rc::gen::inRange(0, 2);
  switch (*rc::gen::weightedElement<int>({{8, 0},
                                          {8, 1},
                                          {4, 2},
                                          {2, 3},
                                          {2, 4},
                                          {2, 5},
                                          {2, 6},
                                          {kills ? 1 : 0, 7}})) {
    case 0:
      simulation->Begin(side, *rc::gen::inRange(0, kKeys),
                        *rc::gen::inRange(0, 2));
      return;
    case 1:
      simulation->Send(side, AnyResultMode());
      return;
    case 2:
      simulation->Finish(side);
      return;
    case 3:
      simulation->TransferShard(side, *rc::gen::arbitrary<bool>());
      return;
    case 4:
      simulation->Take(side);
      return;
    case 5:
      simulation->DeliverDelayed();
      return;
    case 6:
      simulation->Duplicate(side, *rc::gen::inRange(1, 20));
      return;
    default:
      simulation->Kill(side);
  }
}

/// A ledger that owns the shard in the store.
struct LedgerOwner {
  FakeKeyValue* store;
  IdempotencyLedger ledger;

  LedgerOwner(FakeKeyValue* s, const std::string& process,
              IdempotencyLedgerOptions options)
      : store(s), ledger(process, options) {
    const auto owner = store->Txn({.writes = {{kOwnerKey, process}}});
    const auto entry = store->Range({.key = kOwnerKey}).entries.front();
    ledger.OnShardOwned(0, kOwnerKey, entry.create_revision);
  }

  /// Commits one batch; the ledger gets the result or an unknown failure.
  std::vector<LedgerDecision> Commit(bool answer = true) {
    const auto batch = ledger.TakeBatch(8);
    if (!batch) return {};
    const auto result = store->Txn(batch->txn);
    if (answer) return ledger.OnBatchResult(*batch, result);
    return ledger.OnBatchResult(*batch,
                                tl::make_unexpected(KeyValueFailure::kUnknown));
  }

  void RunCall(int key, int attempt, const std::string& body) {
    ledger.Begin(MakeCall(key, 0, attempt));
    Commit();
    ledger.OnOutcome(state::AttemptId(std::to_string(attempt)), {body, {}});
  }
};

}  // namespace

TEST_CASE(
    "an idempotency key runs at most once despite lost, delayed and repeated "
    "messages and owner changes",
    "[idempotency_ledger][fuzz]") {
  for (const bool kills : {false, true}) {
    rc::prop("at most one run for each key", [kills] {
      TwoOwnerSimulation simulation;
      const int steps = *rc::gen::inRange(1, 120);
      for (int i = 0; i < steps; ++i) RunRandomStep(&simulation, kills);
      simulation.Settle();
      simulation.CheckKeysUsable(*rc::gen::inRange(0, 2));
    });
  }
}

TEST_CASE("a call repeated after a restart does not run again",
          "[idempotency_ledger]") {
  FakeKeyValue store;
  LedgerOwner first(&store, "first", {});
  first.ledger.Begin(MakeCall(0, 0, 1));
  REQUIRE(first.Commit().front().action == Action::kRun);
  LedgerOwner second(&store, "second", {});
  second.ledger.Begin(MakeCall(0, 0, 1));
  CHECK(second.Commit().front().error.kind ==
        protocol::ErrorKind::kOutcomeUnknown);
}

TEST_CASE("a call that the backend server did not run may run again",
          "[idempotency_ledger]") {
  FakeKeyValue store;
  LedgerOwner first(&store, "first", {});
  first.ledger.Begin(MakeCall(0, 0, 1));
  REQUIRE(first.Commit().front().action == Action::kRun);
  RecordedOutcome refused;
  refused.end.error_kind = "warming_up";
  first.ledger.OnOutcome(state::AttemptId("1"), refused);
  const bool withdrawn_before_repeat = GENERATE(false, true);
  if (withdrawn_before_repeat) first.Commit();
  LedgerOwner second(&store, "second", {});
  IdempotencyLedger& repeat =
      withdrawn_before_repeat ? second.ledger : first.ledger;
  LedgerOwner& owner = withdrawn_before_repeat ? second : first;
  if (!withdrawn_before_repeat) {
    const auto entry = store.Range({.key = kOwnerKey}).entries.front();
    repeat.OnShardOwned(0, kOwnerKey, entry.create_revision);
  }
  REQUIRE(repeat.Begin(MakeCall(0, 0, 2)).action == Action::kAwaitCommit);
  auto decisions = owner.Commit();
  if (decisions.empty()) decisions = owner.Commit();
  CHECK(decisions.front().action == Action::kRun);
}

TEST_CASE(
    "outcomes are not written again endlessly after a lost transaction result",
    "[idempotency_ledger]") {
  FakeKeyValue store;
  LedgerOwner owner(&store, "first", {});
  owner.RunCall(0, 1, "a");
  owner.RunCall(1, 2, "b");
  owner.Commit(false);
  owner.Commit();
  CHECK_FALSE(owner.ledger.HasWork());
}

TEST_CASE("a delayed withdrawal does not void a run", "[idempotency_ledger]") {
  FakeKeyValue store;
  LedgerOwner other(&store, "other", {});
  other.RunCall(1, 1, "theirs");
  LedgerOwner first(&store, "first", {});
  first.ledger.Begin(MakeCall(0, 0, 2));
  first.Commit(false);
  first.Commit(false);
  first.Commit();  // Finds the intent that was applied.
  const auto withdrawal = first.ledger.TakeBatch(8);
  REQUIRE(withdrawal->kind == LedgerBatch::Kind::kWithdrawals);
  first.ledger.OnBatchResult(*withdrawal,
                             tl::make_unexpected(KeyValueFailure::kUnknown));
  // The record of key 1 makes the first transaction with both keys fail.
  first.ledger.Begin(MakeCall(0, 0, 3));
  first.ledger.Begin(MakeCall(1, 0, 4));
  int runs = 0;
  const auto count = [&runs](const std::vector<LedgerDecision>& decisions) {
    for (const auto& decision : decisions) {
      runs += decision.action == Action::kRun ? 1 : 0;
    }
  };
  count(first.Commit());
  store.Txn(withdrawal->txn);
  for (int i = 0; i < 3; ++i) count(first.Commit());
  REQUIRE(runs == 1);
  LedgerOwner second(&store, "second", {});
  second.ledger.Begin(MakeCall(0, 0, 5));
  for (int i = 0; i < 3; ++i) count(second.Commit());
  CHECK(runs == 1);
}

TEST_CASE("a new owner returns the recorded answer to a repeated call",
          "[idempotency_ledger]") {
  FakeKeyValue store;
  LedgerOwner first(&store, "first", {});
  first.RunCall(0, 1, "booked");
  first.Commit();
  LedgerOwner second(&store, "second", {});
  REQUIRE(second.ledger.Begin(MakeCall(0, 0, 2)).action ==
          Action::kAwaitCommit);
  const auto decisions = second.Commit();
  REQUIRE(decisions.size() == 1);
  CHECK(decisions.front().action == Action::kReplay);
  CHECK(decisions.front().outcome.body == "booked");
}

TEST_CASE("the ledger limits its keys and answers in memory",
          "[idempotency_ledger]") {
  const IdempotencyLedgerOptions options{
      .max_keys = 20, .max_done = 4, .max_done_bytes = 64};
  FakeKeyValue store;
  LedgerOwner writer(&store, "writer", options);
  LedgerOwner reader(&store, "reader", options);
  for (int key = 0; key < 30; ++key) {
    writer.RunCall(key, key + 1, "0123456789012345678901234567890");
    writer.Commit();
    CHECK(writer.ledger.Size() <= 2);
    reader.ledger.Begin(MakeCall(key, 0, key + 100));
    REQUIRE(reader.Commit().front().action == Action::kReplay);
    CHECK(reader.ledger.Size() <= 2);
  }
  for (int key = 100; key < 200; ++key) {
    writer.ledger.Begin(MakeCall(key, 0, key));
  }
  CHECK(writer.ledger.Size() == 20);
}

TEST_CASE("an answer above the size limit is recorded as an error",
          "[idempotency_ledger]") {
  const auto kept =
      LimitOutcomeSize({std::string(kMaxRecordedBodyBytes, 'x'), {}});
  CHECK(kept.end.error_kind.empty());
  const auto cut =
      LimitOutcomeSize({std::string(kMaxRecordedBodyBytes + 1, 'x'), {}});
  CHECK(cut.body.empty());
  CHECK(cut.end.error_kind == "outcome_unknown");
}

}  // namespace wasabiwall::coordination
