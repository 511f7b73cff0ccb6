#include "wasabiwall/coordination/attempt_policy.h"

#include <catch2/catch.hpp>

namespace wasabiwall::coordination {
namespace {

using std::chrono::milliseconds;

state::Route MakeRoute(state::CallKind kind, bool resumable = false) {
  state::Route route;
  route.kind = kind;
  route.resumable = resumable;
  route.objective = milliseconds(200);
  route.event_gap = milliseconds(100);
  route.max_attempts = 2;
  return route;
}

const state::Route kIdempotentRoute = MakeRoute(state::CallKind::kIdempotent);
const state::Route kNonIdempotentRoute =
    MakeRoute(state::CallKind::kNonIdempotent);
const state::Route kResumableStream = MakeRoute(state::CallKind::kStream, true);
const state::Route kNonResumableStream = MakeRoute(state::CallKind::kStream);
constexpr milliseconds kAmple{5000};

TEST_CASE(
    "only idempotent calls are executed again, up to the attempt limit of the "
    "route") {
  CHECK(AttemptPolicy(kIdempotentRoute)
            .MayRetry({.runs = 1, .sends = 1}, false, kAmple));
  CHECK(AttemptPolicy(kResumableStream)
            .MayRetry({.runs = 1, .sends = 1}, false, kAmple));
  CHECK_FALSE(AttemptPolicy(kIdempotentRoute)
                  .MayRetry({.runs = 2, .sends = 2}, false, kAmple));
  CHECK_FALSE(AttemptPolicy(kNonIdempotentRoute)
                  .MayRetry({.runs = 1, .sends = 1}, false, kAmple));
  CHECK_FALSE(AttemptPolicy(kNonResumableStream)
                  .MayRetry({.runs = 1, .sends = 1}, false, kAmple));
}

TEST_CASE(
    "calls that were not executed are retried a few times before their "
    "deadline") {
  const AttemptPolicy policy(kNonIdempotentRoute);
  CHECK(policy.MayRetry({.sends = 1}, true, kAmple));
  CHECK_FALSE(policy.MayRetry({.runs = 1, .sends = 2}, true, kAmple));
  CHECK_FALSE(policy.MayRetry({.sends = 4}, true, kAmple));
  CHECK_FALSE(policy.MayRetry({.unreachable = 4}, true, kAmple));
  CHECK_FALSE(policy.MayRetry({.sends = 1}, true, milliseconds(5)));
}

TEST_CASE("calls are queued only if capacity may become free") {
  const AttemptPolicy policy(kNonIdempotentRoute);
  using Refusal = PlacementRefusal;
  using Stage = AttemptPolicy::QueueStage;
  CHECK(policy.QueueTimeout(Refusal::kNoneEligible, Stage::kNew, kAmple)
            .count() == 0);
  CHECK(policy.QueueTimeout(Refusal::kUnreachable, Stage::kTried, kAmple)
            .count() == 0);
  CHECK(policy.QueueTimeout(Refusal::kNoneEligible, Stage::kTried, kAmple)
            .count() > 0);
  CHECK(policy.QueueTimeout(Refusal::kFull, Stage::kNew, kAmple) <
        kNonIdempotentRoute.objective);
  CHECK(policy.QueueTimeout(Refusal::kFull, Stage::kNew, milliseconds(30)) <=
        milliseconds(10));
  CHECK(policy.QueueTimeout(Refusal::kFull, Stage::kNew, milliseconds(5))
            .count() == 0);
}

TEST_CASE("a call whose response has begun waits for room until its deadline") {
  // Guards against a stream that is truncated for want of room.
  const AttemptPolicy policy(kNonIdempotentRoute);
  using Refusal = PlacementRefusal;
  const auto wait = [&](Refusal refusal) {
    return policy.QueueTimeout(
        refusal, AttemptPolicy::QueueStage::kResponseBegun, kAmple);
  };
  for (const auto refusal :
       {Refusal::kFull, Refusal::kCold, Refusal::kHeldOff}) {
    CHECK(wait(refusal) > kNonIdempotentRoute.objective);
    CHECK(wait(refusal) < kAmple);
  }
  CHECK(wait(Refusal::kUnreachable).count() == 0);
  CHECK(wait(Refusal::kNoneEligible) < kNonIdempotentRoute.objective);
}

TEST_CASE("the longest Retry-After time is within a third of the time left") {
  for (const int left : {1, 100, 1500, 12000}) {
    CHECK(MaxRetryAfter(milliseconds(left)) <=
          std::max(milliseconds(1), milliseconds(left) / 3));
  }
  CHECK(MinRetryAfter(protocol::ErrorKind::kNoBackendServer) >
        MinRetryAfter(protocol::ErrorKind::kOverloaded));
}

TEST_CASE("connect and idle timeouts are short compared with the objective") {
  CHECK(AttemptPolicy(kIdempotentRoute).ConnectTimeout() <
        kIdempotentRoute.objective);
  CHECK(AttemptPolicy(kIdempotentRoute).AttemptIdleTimeout(false) <
        kIdempotentRoute.objective);
  CHECK(AttemptPolicy(kResumableStream).AttemptIdleTimeout(false) >
        kResumableStream.objective);
  CHECK(AttemptPolicy(kResumableStream).AttemptIdleTimeout(true) >
        kResumableStream.event_gap);
  CHECK(AttemptPolicy(kNonIdempotentRoute).MaxConnectionIdle() <
        AttemptPolicy(kIdempotentRoute).MaxConnectionIdle());
}

}  // namespace
}  // namespace wasabiwall::coordination
