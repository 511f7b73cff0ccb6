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

const state::Route kSafe = MakeRoute(state::CallKind::kIdempotent);
const state::Route kUnsafe = MakeRoute(state::CallKind::kNonIdempotent);
const state::Route kChat = MakeRoute(state::CallKind::kStream, true);
const state::Route kTalk = MakeRoute(state::CallKind::kStream);
constexpr milliseconds kAmple{5000};

TEST_CASE("only idempotent calls run again, on as many as the route allows") {
  CHECK(AttemptPolicy(kSafe).MayRetry({.runs = 1, .sends = 1}, false, kAmple));
  CHECK(AttemptPolicy(kChat).MayRetry({.runs = 1, .sends = 1}, false, kAmple));
  CHECK_FALSE(
      AttemptPolicy(kSafe).MayRetry({.runs = 2, .sends = 2}, false, kAmple));
  CHECK_FALSE(
      AttemptPolicy(kUnsafe).MayRetry({.runs = 1, .sends = 1}, false, kAmple));
  CHECK_FALSE(
      AttemptPolicy(kTalk).MayRetry({.runs = 1, .sends = 1}, false, kAmple));
}

TEST_CASE("what has not run may go elsewhere, a few times and in time") {
  const AttemptPolicy policy(kUnsafe);
  CHECK(policy.MayRetry({.sends = 1}, true, kAmple));
  CHECK_FALSE(policy.MayRetry({.runs = 1, .sends = 2}, true, kAmple));
  CHECK_FALSE(policy.MayRetry({.sends = 4}, true, kAmple));
  CHECK_FALSE(policy.MayRetry({.unreachable = 4}, true, kAmple));
  CHECK_FALSE(policy.MayRetry({.sends = 1}, true, milliseconds(5)));
}

TEST_CASE("calls wait only where waiting can help") {
  const AttemptPolicy policy(kUnsafe);
  using Refusal = PlacementRefusal;
  CHECK(policy.QueueTimeout(Refusal::kNone, false, kAmple).count() == 0);
  CHECK(policy.QueueTimeout(Refusal::kUnreachable, true, kAmple).count() == 0);
  CHECK(policy.QueueTimeout(Refusal::kNone, true, kAmple).count() > 0);
  CHECK(policy.QueueTimeout(Refusal::kFull, false, kAmple) < kUnsafe.objective);
  CHECK(policy.QueueTimeout(Refusal::kFull, false, milliseconds(30)) <=
        milliseconds(10));
  CHECK(policy.QueueTimeout(Refusal::kFull, false, milliseconds(5)).count() ==
        0);
}

TEST_CASE("refused callers come back within a third of their time") {
  for (const int left : {1, 100, 1500, 12000}) {
    CHECK(MaxRetryAfter(milliseconds(left)) <=
          std::max(milliseconds(1), milliseconds(left) / 3));
  }
  CHECK(MinRetryAfter(protocol::ErrorKind::kNoBackendServer) >
        MinRetryAfter(protocol::ErrorKind::kOverloaded));
}

TEST_CASE("connections and silences are short against the objective") {
  CHECK(AttemptPolicy(kSafe).ConnectTimeout() < kSafe.objective);
  CHECK(AttemptPolicy(kSafe).AttemptIdleTimeout(false) < kSafe.objective);
  CHECK(AttemptPolicy(kChat).AttemptIdleTimeout(false) > kChat.objective);
  CHECK(AttemptPolicy(kChat).AttemptIdleTimeout(true) > kChat.event_gap);
  CHECK(AttemptPolicy(kUnsafe).MaxConnectionIdle() <
        AttemptPolicy(kSafe).MaxConnectionIdle());
}

}  // namespace
}  // namespace wasabiwall::coordination
