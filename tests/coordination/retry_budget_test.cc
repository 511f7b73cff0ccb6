#include "wasabiwall/coordination/retry_budget.h"

#include <rapidcheck/catch.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <memory>

#include "fakes/virtual_fleet.h"

namespace wasabiwall::coordination {

using fakes::VirtualFleet;
using protocol::ErrorKind;
using std::chrono::milliseconds;

namespace {

constexpr std::size_t kEngines = 8;
constexpr double kBurst = 30;

void SendMany(VirtualFleet* fleet, int calls) {
  for (int i = 0; i < calls; ++i) {
    fleet->Send(0, "chat" + std::to_string(i));
    fleet->RunToCompletion();
    fleet->AdvanceClock(milliseconds(1));
  }
}

}  // namespace

TEST_CASE("a pool that refuses everything receives 1.1 submits per call",
          "[retry_budget]") {
  VirtualFleet fleet(1, kEngines);
  for (std::size_t i = 0; i < kEngines; ++i) fleet.Side(i).SetDraining(true);
  constexpr int calls = 2000;
  SendMany(&fleet, calls);
  CHECK(fleet.submits <= 1.1 * calls + kBurst);
  CHECK(fleet.submits >= calls);
}

TEST_CASE("calls find a free backend server while others refuse",
          "[retry_budget]") {
  for (const std::size_t refusing : {1, 3, 5}) {
    VirtualFleet fleet(1, kEngines);
    for (std::size_t i = 0; i < refusing; ++i) fleet.Side(i).SetDraining(true);
    SendMany(&fleet, 500);
    const auto& calls = fleet.Calls();
    CHECK(std::all_of(calls.begin(), calls.end(),
                      [](const auto& call) { return call->Answered(); }));
  }
}

TEST_CASE("submits without answers stay within the share of calls",
          "[retry_budget][fuzz]") {
  rc::prop("any mix of first attempts, resubmits and retries", [] {
    PoolRetryBudget budget;
    int firsts = 0;
    int more = 0;
    int answers = 0;
    for (const int step :
         *rc::gen::container<std::vector<int>>(2000, rc::gen::inRange(0, 12))) {
      if (step < 3) {
        budget.OnFirstAttempt();
        ++firsts;
      } else if (step == 3) {
        budget.OnAnswered();
        ++answers;
      } else {
        const bool failed = step > 8;
        if (failed && !budget.TakeRetry()) continue;
        more += budget.TakeResubmit() ? 1 : 0;
      }
      RC_ASSERT(more <= 0.1 * firsts + 2.0 * answers + kBurst + 1e-6);
    }
  });
}

TEST_CASE("retries of processes that restart stay within the limits of all",
          "[retry_budget][fuzz]") {
  rc::prop("each process restarts once, retries whenever it may", [] {
    constexpr double share = 0.2;
    constexpr double burst = 52;
    constexpr double used_share = 0.8;
    const int processes = *rc::gen::inRange(1, 30);
    const RetryLimits limits =
        RetryLimitsOfProcess(share, burst, used_share, processes);
    int firsts = 0;
    int retries = 0;
    for (int i = 0; i < processes; ++i) {
      // Has run for long before the window of time that counts.
      auto budget = std::make_unique<RetryBudget>(
          RetryLimits{limits.share, limits.burst, limits.burst});
      const auto run = [&](int calls) {
        for (int call = 0; call < calls; ++call) {
          budget->OnFirstAttempt();
          ++firsts;
          while (budget->Take()) ++retries;
        }
      };
      run(*rc::gen::inRange(1, 100));
      budget = std::make_unique<RetryBudget>(limits);
      run(*rc::gen::inRange(0, 100));
    }
    RC_ASSERT(retries <= share * firsts + burst + 1e-6);
  });
}

TEST_CASE("a process that starts may retry soon", "[retry_budget]") {
  constexpr int processes = 21;
  RetryBudget budget(RetryLimitsOfProcess(0.2, 52, 0.8, processes));
  int calls = 0;
  do {
    budget.OnFirstAttempt();
    ++calls;
  } while (!budget.Take());
  CHECK(calls <= 5);
}

TEST_CASE("a budget takes over changed limits", "[retry_budget]") {
  RetryBudget budget(0, 10);
  budget.SetLimits({.share = 1, .burst = 2});
  CHECK(budget.Take());
  CHECK(budget.Take());
  CHECK_FALSE(budget.Take());
  budget.OnFirstAttempt();
  CHECK(budget.Take());
}

TEST_CASE("a batch of refused calls returns at the rate of answers",
          "[retry_after_scheduler]") {
  TimePoint now{std::chrono::seconds(1)};
  std::uint64_t bits = 1;
  RetryAfterScheduler times(
      [&] { return bits = bits * 6364136223846793005U + 1; });
  for (int i = 0; i < 4000; ++i) {
    now += milliseconds(10);
    times.OnAnswered(now);
  }
  std::map<std::int64_t, int> by_second;
  for (int i = 0; i < 1000; ++i) {
    const milliseconds back = times.Next(milliseconds(2000), now);
    CHECK(back >= milliseconds(2000));
    ++by_second[back.count() / 1000];
  }
  for (const auto& [second, calls] : by_second) CHECK(calls <= 140);
  CHECK(times.Next(milliseconds(0), now) == milliseconds(0));
}

}  // namespace wasabiwall::coordination
