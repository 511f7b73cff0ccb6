#include <catch2/catch.hpp>

#include "wasabiwall/coordination/admission_queue.h"
#include "wasabiwall/coordination/retry_budget.h"

namespace wasabiwall::coordination {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart{seconds(100)};

/// Calls that wait for places, which a test hands out.
class Waiting {
 public:
  AdmissionQueue::WaiterId Add(const std::string& name, int priority,
                               const std::string& service = "s") {
    AdmissionQueue::WaiterId ticket = 0;
    queue.Add({.service = state::ServiceId(service),
               .priority = priority,
               .expires = kStart + milliseconds(100),
               .try_place =
                   [this, name] {
                     if (places == 0) return false;
                     --places;
                     placed.push_back(name);
                     return true;
                   },
               .on_expired = [this, name] { expired.push_back(name); }},
              &ticket);
    return ticket;
  }

  AdmissionQueue queue{3};
  int places = 0;
  std::vector<std::string> placed;
  std::vector<std::string> expired;
};

TEST_CASE("the most urgent calls are placed first, then the oldest") {
  Waiting waiting;
  waiting.Add("late", 1);
  waiting.Add("urgent", 0);
  waiting.Add("later", 1);
  waiting.places = 2;
  waiting.queue.Run(kStart);
  CHECK(waiting.placed == std::vector<std::string>{"urgent", "late"});
  CHECK(waiting.queue.Size() == 1);
}

TEST_CASE("calls that waited for too long are given up") {
  Waiting waiting;
  waiting.Add("a", 0);
  waiting.queue.Run(kStart + milliseconds(99));
  CHECK(waiting.expired.empty());
  waiting.queue.Run(kStart + milliseconds(100));
  CHECK(waiting.expired == std::vector<std::string>{"a"});
  CHECK(waiting.queue.Size() == 0);
}

TEST_CASE("the queue is bounded and forgets callers that leave") {
  Waiting waiting;
  const auto first = waiting.Add("a", 0);
  waiting.Add("b", 0);
  waiting.Add("c", 0);
  CHECK(waiting.Add("d", 0) == 0);
  waiting.queue.Remove(first);
  waiting.places = 5;
  waiting.queue.Run(kStart);
  CHECK(waiting.placed == std::vector<std::string>{"b", "c"});
}

TEST_CASE("a service without places does not hold up another") {
  Waiting waiting;
  bool other_placed = false;
  waiting.Add("a", 0, "full");
  AdmissionQueue::WaiterId ticket = 0;
  waiting.queue.Add({.service = state::ServiceId("free"),
                     .priority = 5,
                     .expires = kStart + seconds(1),
                     .try_place = [&] { return other_placed = true; },
                     .on_expired = [] {}},
                    &ticket);
  waiting.queue.Run(kStart);
  CHECK(other_placed);
}

TEST_CASE("repeats stay within their share of the calls and the burst") {
  RetryBudget budget(0.2, 10);
  int taken = 0;
  for (int i = 0; i < 1000; ++i) {
    budget.OnFirstAttempt();
    if (budget.Take()) ++taken;
  }
  CHECK(taken <= 0.2 * 1000 + 10);
  CHECK(taken >= 0.19 * 1000);
}

TEST_CASE("a smaller burst drops what was saved up") {
  RetryBudget budget(0, 10);
  budget.SetBurst(2);
  CHECK(budget.Take());
  CHECK(budget.Take());
  CHECK_FALSE(budget.Take());
}

}  // namespace
}  // namespace wasabiwall::coordination
