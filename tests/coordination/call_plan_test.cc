#include "wasabiwall/coordination/call_plan.h"

#include <catch2/catch.hpp>

namespace wasabiwall::coordination {

using wasabiwall::protocol::Error;
using wasabiwall::protocol::ErrorKind;
using wasabiwall::protocol::RowOf;
using wasabiwall::state::AttemptId;
using wasabiwall::state::BackendServerId;

namespace {

constexpr TimePoint kStart{std::chrono::microseconds(0)};
constexpr TimePoint kDeadline{std::chrono::seconds(10)};

struct Fixture {
  explicit Fixture(CallSpec spec)
      : plan(spec, {BackendServerId("a"), BackendServerId("b")},
             {.new_attempt =
                  [this] { return AttemptId(std::to_string(++attempts)); },
              .take_retry = [this] { return retries-- > 0; }}) {}

  int attempts = 0;
  int retries = 10;
  CallPlan plan;
};

const CallSpec kIdempotent{.idempotent = true, .deadline = kDeadline};
const CallSpec kNonIdempotent{.idempotent = false, .deadline = kDeadline};

}  // namespace

TEST_CASE("a refused call is submitted to the next candidate", "[call_plan]") {
  Fixture f(kNonIdempotent);
  CHECK(f.plan.Start(kStart).target.value == "a");
  const Step next =
      f.plan.OnRefused(kStart, {ErrorKind::kOverloaded, "", {}}, {});
  CHECK(next.kind == StepKind::kSubmit);
  CHECK(next.target.value == "b");
  const Step last =
      f.plan.OnRefused(kStart, {ErrorKind::kOverloaded, "", {}}, {});
  CHECK(last.kind == StepKind::kFail);
  CHECK(RowOf(last.error.kind).not_run);
}

TEST_CASE("a call refused by warming backend servers waits for capacity",
          "[call_plan]") {
  Fixture f(kNonIdempotent);
  const Error warming{ErrorKind::kWarmingUp, "", {}};
  TimePoint now = kStart;
  f.plan.Start(now);
  f.plan.OnRefused(now, warming, {});
  Step step = f.plan.OnRefused(now, warming, {});
  REQUIRE(step.kind == StepKind::kWait);
  now += step.wait;
  step = f.plan.OnWaited(now);
  CHECK(step.kind == StepKind::kSubmit);
  CHECK(step.target.value == "a");
  SECTION("runs when one has capacity") {
    CHECK(f.plan.OnAdmitted(now).kind == StepKind::kPull);
  }
  SECTION("fails as not run when none has") {
    int waits = 1;
    while (step.kind != StepKind::kFail) {
      if (step.kind == StepKind::kWait) {
        ++waits;
        now += step.wait;
        step = f.plan.OnWaited(now);
      } else {
        step = f.plan.OnRefused(now, warming, {});
      }
      REQUIRE(waits < 100);
    }
    CHECK(RowOf(step.error.kind).not_run);
    CHECK(now < kDeadline);
  }
}

TEST_CASE("a call does not wait for capacity past its deadline",
          "[call_plan]") {
  Fixture f(kNonIdempotent);
  const TimePoint late = kDeadline - std::chrono::milliseconds(100);
  f.plan.Start(late);
  f.plan.OnRefused(late, {ErrorKind::kWarmingUp, "", {}}, {});
  const Step step = f.plan.OnRefused(late, {ErrorKind::kWarmingUp, "", {}}, {});
  CHECK(step.kind == StepKind::kFail);
}

TEST_CASE("an attempt in doubt gets a tombstone before another one runs",
          "[call_plan]") {
  Fixture f(kNonIdempotent);
  f.plan.Start(kStart);
  const Step doubt = f.plan.OnSubmitFailed(kStart, DeliveryFailure::kInDoubt);
  CHECK(doubt.kind == StepKind::kTombstone);
  const Step next = f.plan.OnTombstone(kStart, true);
  CHECK(next.kind == StepKind::kSubmit);
  CHECK(next.target.value == "b");
}

TEST_CASE("a call that may have run never fails as not run", "[call_plan]") {
  Fixture once(kNonIdempotent);
  once.plan.Start(kStart);
  once.plan.OnSubmitFailed(kStart, DeliveryFailure::kInDoubt);
  const Step lost = once.plan.OnTombstoneFailed(kStart);
  CHECK(lost.kind == StepKind::kFail);
  CHECK(lost.error.kind == ErrorKind::kOutcomeUnknown);

  Fixture chat(kIdempotent);
  chat.plan.Start(kStart);
  chat.plan.OnSubmitFailed(kStart, DeliveryFailure::kInDoubt);
  const Step refused =
      chat.plan.OnRefused(kStart, {ErrorKind::kOverloaded, "", {}}, {});
  CHECK(refused.kind == StepKind::kFail);
  CHECK_FALSE(RowOf(refused.error.kind).not_run);
}

TEST_CASE("a partly forwarded answer is never retried", "[call_plan]") {
  Fixture f(kIdempotent);
  f.plan.Start(kStart);
  f.plan.OnAdmitted(kStart);
  f.plan.OnPart(kStart, 10);
  const Step cut =
      f.plan.OnEnded(kStart, Error{ErrorKind::kBackendServerCrashed, "", {}});
  CHECK(cut.kind == StepKind::kFail);
  CHECK(cut.error.kind == ErrorKind::kAnswerCut);
}

TEST_CASE("a failed pull resumes at its offset", "[call_plan]") {
  Fixture f(kIdempotent);
  f.plan.Start(kStart);
  f.plan.OnAdmitted(kStart);
  f.plan.OnPart(kStart, 10);
  CHECK(f.plan.OnPullFailed(kStart).kind == StepKind::kWait);
  const Step again = f.plan.OnWaited(kStart);
  CHECK(again.kind == StepKind::kPull);
  CHECK(again.offset == 10);
}

TEST_CASE("a retry after a crash needs the retry budget", "[call_plan]") {
  Fixture f(kIdempotent);
  f.retries = 0;
  f.plan.Start(kStart);
  f.plan.OnAdmitted(kStart);
  const Step step =
      f.plan.OnEnded(kStart, Error{ErrorKind::kBackendServerCrashed, "", {}});
  CHECK(step.kind == StepKind::kFail);
}

TEST_CASE("a keyed call is redirected to the owner of its shard",
          "[call_plan]") {
  Fixture f({.idempotent = false, .keyed = true, .deadline = kDeadline});
  f.plan.Start(kStart);
  const Step step = f.plan.OnRefused(kStart, {ErrorKind::kNotOwner, "", {}},
                                     BackendServerId("c"));
  CHECK(step.kind == StepKind::kSubmit);
  CHECK(step.target.value == "c");
}

}  // namespace wasabiwall::coordination
