// Number of gateways that shared limits are divided by, when gateways leave,
// return and are replaced.
#include <algorithm>
#include <catch2/catch.hpp>
#include <random>
#include <utility>
#include <vector>

#include "wasabiwall/coordination/process_count_history.h"

namespace wasabiwall::coordination {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr seconds kRetention{20};
const TimePoint kStart{};

TEST_CASE("a count that was steady for long stays in effect when it drops") {
  // Guards against a retention time that runs from the last rise: all gateways
  // took the whole of shared limits when three of four were stopped at once.
  const seconds steady = GENERATE(seconds(1), seconds(19), seconds(300));
  ProcessCountHistory history(kRetention);
  history.Set(4, kStart);
  const TimePoint drop = kStart + steady;
  for (const int left : {3, 2, 1}) {
    history.Set(left, drop + milliseconds(100 * (4 - left)));
  }
  CHECK(history.Registered() == 1);
  CHECK(history.InEffect(drop + milliseconds(300)) == 4);
  CHECK(history.InEffect(drop + seconds(20)) == 4);
  CHECK(history.InEffect(drop + milliseconds(20100)) == 3);
  CHECK(history.InEffect(drop + milliseconds(20300)) == 1);
}

TEST_CASE("a count that is set again without a change is not extended") {
  ProcessCountHistory history(kRetention);
  history.Set(4, kStart);
  history.Set(3, kStart + seconds(100));
  for (int i = 0; i < 19; ++i) history.Set(3, kStart + seconds(101 + i));
  CHECK(history.InEffect(kStart + seconds(119)) == 4);
  CHECK(history.InEffect(kStart + seconds(120)) == 3);
}

TEST_CASE("a count that rises above those before is in effect at once") {
  ProcessCountHistory history(kRetention);
  CHECK(history.InEffect(kStart) == 0);
  history.Set(4, kStart);
  history.Set(1, kStart + seconds(1));
  history.Set(9, kStart + seconds(2));
  CHECK(history.InEffect(kStart + seconds(2)) == 9);
  CHECK(history.InEffect(kStart + seconds(60)) == 9);
}

TEST_CASE(
    "the highest count of the retention time is in effect, by 200 seeds") {
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    CAPTURE(seed);
    std::mt19937_64 random(seed);
    ProcessCountHistory history(kRetention);
    std::vector<std::pair<TimePoint, int>> sets;
    TimePoint now = kStart;
    for (int step = 0; step < 60; ++step) {
      now += milliseconds(random() % 9000);
      sets.emplace_back(now, static_cast<int>(random() % 30));
      history.Set(sets.back().second, now);
      const TimePoint asked = now + milliseconds(random() % 30000);
      // Each number was registered until the next one was set.
      int highest = sets.back().second;
      for (std::size_t i = 0; i + 1 < sets.size(); ++i) {
        if (sets[i + 1].first + kRetention > asked) {
          highest = std::max(highest, sets[i].second);
        }
      }
      REQUIRE(history.InEffect(asked) == highest);
    }
  }
}

TEST_CASE("a fleet that has just appeared is not taken for a few gateways") {
  // Guards against gateways that start together, as after a loss of power: the
  // first ones took the whole of shared limits.
  constexpr int assumed = 8;
  constexpr seconds settle_time{3};
  ProcessCountHistory history(kRetention,
                              {.assumed = assumed, .settle_time = settle_time});
  CHECK(history.InEffect(kStart) == assumed);
  const TimePoint first = kStart + seconds(60);
  history.Set(0, kStart);
  history.Set(2, first);
  CHECK(history.InEffect(first) == assumed);
  SECTION("a small one gets its shares once it has settled") {
    CHECK(history.InEffect(first + settle_time - milliseconds(1)) == assumed);
    CHECK(history.InEffect(first + settle_time) == 2);
  }
  SECTION("a large one counts as it is known") {
    history.Set(20, first + milliseconds(300));
    CHECK(history.InEffect(first + milliseconds(300)) == 20);
    CHECK(history.InEffect(first + settle_time) == 20);
  }
  SECTION("one that is not registered any more is taken for the assumed one") {
    history.Set(0, first + seconds(10));
    CHECK(history.InEffect(first + seconds(11)) == 2);
    CHECK(history.InEffect(first + seconds(31)) == assumed);
  }
}

}  // namespace
}  // namespace wasabiwall::coordination
