#include <catch2/catch.hpp>

#include "wasabiwall/coordination/admission_queue.h"
#include "wasabiwall/coordination/retry_budget.h"

namespace wasabiwall::coordination {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart{seconds(100)};

/// Admission queue whose calls are placed while the test provides free slots.
class QueueFixture {
 public:
  AdmissionQueue::WaiterId Add(const std::string& name, int priority,
                               const std::string& service = "s") {
    AdmissionQueue::WaiterId id = 0;
    queue.Add({.service = state::ServiceId(service),
               .priority = priority,
               .expires = kStart + milliseconds(100),
               .try_place =
                   [this, name] {
                     if (free_slots == 0) return false;
                     --free_slots;
                     placed.push_back(name);
                     return true;
                   },
               .on_expired = [this, name] { expired.push_back(name); }},
              &id);
    return id;
  }

  AdmissionQueue queue{3};
  int free_slots = 0;
  std::vector<std::string> placed;
  std::vector<std::string> expired;
};

TEST_CASE("queued calls are placed by priority and then in order of arrival") {
  QueueFixture fixture;
  fixture.Add("late", 1);
  fixture.Add("urgent", 0);
  fixture.Add("later", 1);
  fixture.free_slots = 2;
  fixture.queue.Run(kStart);
  CHECK(fixture.placed == std::vector<std::string>{"urgent", "late"});
  CHECK(fixture.queue.Size() == 1);
}

TEST_CASE("queued calls expire") {
  QueueFixture fixture;
  fixture.Add("a", 0);
  fixture.queue.Run(kStart + milliseconds(99));
  CHECK(fixture.expired.empty());
  fixture.queue.Run(kStart + milliseconds(100));
  CHECK(fixture.expired == std::vector<std::string>{"a"});
  CHECK(fixture.queue.Size() == 0);
}

TEST_CASE(
    "the queue is bounded and drops the calls of callers that disconnect") {
  QueueFixture fixture;
  const auto first = fixture.Add("a", 0);
  fixture.Add("b", 0);
  fixture.Add("c", 0);
  CHECK(fixture.Add("d", 0) == 0);
  fixture.queue.Remove(first);
  fixture.free_slots = 5;
  fixture.queue.Run(kStart);
  CHECK(fixture.placed == std::vector<std::string>{"b", "c"});
}

TEST_CASE(
    "a call whose response has begun goes first, also into a full queue") {
  // Guards against a begun response that is truncated behind new calls.
  QueueFixture fixture;
  fixture.Add("urgent", 0);
  fixture.Add("new", 1);
  fixture.Add("newer", 1);
  AdmissionQueue::WaiterId id = 0;
  REQUIRE(fixture.queue.Add({.service = state::ServiceId("s"),
                             .priority = 1,
                             .response_begun = true,
                             .expires = kStart + seconds(1),
                             .try_place =
                                 [&] {
                                   fixture.placed.push_back("begun");
                                   return true;
                                 },
                             .on_expired = [] {}},
                            &id));
  fixture.free_slots = 2;
  fixture.queue.Run(kStart);
  CHECK(fixture.placed == std::vector<std::string>{"urgent", "begun", "new"});
}

TEST_CASE("a call that may not go everywhere blocks no call that may") {
  // Guards against a stream at a silent backend server that waits for another
  // one: it must not keep other calls from the one where it is.
  QueueFixture fixture;
  const std::vector<state::BackendServerId> silent{
      state::BackendServerId("silent")};
  int tries = 0;
  AdmissionQueue::WaiterId ids[2] = {0, 0};
  for (auto& id : ids) {
    fixture.queue.Add({.service = state::ServiceId("s"),
                       .excluded = silent,
                       .priority = 0,
                       .expires = kStart + seconds(1),
                       .try_place =
                           [&tries] {
                             ++tries;
                             return false;
                           },
                       .on_expired = [] {}},
                      &id);
  }
  fixture.Add("unrestricted", 1);
  SECTION("with room at the silent one") {
    fixture.free_slots = 1;
    fixture.queue.Run(kStart);
    CHECK(fixture.placed == std::vector<std::string>{"unrestricted"});
    CHECK(tries == 1);
  }
  SECTION("without room, the others are not tried") {
    fixture.queue.Remove(ids[0]);
    fixture.Add("urgent", -1);
    fixture.queue.Run(kStart);
    CHECK(fixture.placed.empty());
    CHECK(tries == 0);
  }
}

TEST_CASE("a service without capacity does not block the calls of another") {
  QueueFixture fixture;
  bool other_placed = false;
  fixture.Add("a", 0, "full");
  AdmissionQueue::WaiterId id = 0;
  fixture.queue.Add({.service = state::ServiceId("free"),
                     .priority = 5,
                     .expires = kStart + seconds(1),
                     .try_place = [&] { return other_placed = true; },
                     .on_expired = [] {}},
                    &id);
  fixture.queue.Run(kStart);
  CHECK(other_placed);
}

TEST_CASE("retries stay within their share of the calls plus the burst") {
  RetryBudget budget(0.2, 10);
  int taken = 0;
  for (int i = 0; i < 1000; ++i) {
    budget.OnFirstAttempt();
    if (budget.Take()) ++taken;
  }
  CHECK(taken <= 0.2 * 1000 + 10);
  CHECK(taken >= 0.19 * 1000);
}

TEST_CASE("a smaller burst drops saved retries") {
  RetryBudget budget(0, 10);
  budget.SetLimits({.share = 0, .burst = 2});
  CHECK(budget.Take());
  CHECK(budget.Take());
  CHECK_FALSE(budget.Take());
}

}  // namespace
}  // namespace wasabiwall::coordination
