// Beliefs about the causes of crashes.
#include "wasabiwall/quarantine/crash_explanations.h"

#include <catch2/catch.hpp>

namespace wasabiwall::quarantine {
namespace {

using coordination::TimePoint;
using std::chrono::seconds;

constexpr TimePoint kNow{seconds(1000)};

TEST_CASE("a crash is explained until all its causes are withdrawn",
          "[crash_explanations]") {
  CrashExplanations explanations;
  explanations.Add(1, 7);
  explanations.Add(1, 8);
  explanations.Add(2, 7);
  explanations.Add(2, 7);
  CHECK(explanations.CountOf(7) == 2);
  CHECK(explanations.CausesOf(1, kNow).size() == 2);
  CHECK(explanations.CrashesOf(7, 9) == std::vector<std::int64_t>{1, 2});
  CHECK(explanations.CrashesOf(7, 1) == std::vector<std::int64_t>{2});
  CHECK(explanations.Withdraw(7));
  CHECK(explanations.CountOf(7) == 0);
  CHECK(explanations.Contains(1, kNow));
  CHECK_FALSE(explanations.Contains(2, kNow));
  CHECK_FALSE(explanations.Withdraw(7));
  CHECK(explanations.Withdraw(8));
  CHECK(explanations.Size() == 0);
}

TEST_CASE("a belief that is not confirmed ends by itself",
          "[crash_explanations]") {
  CrashExplanations explanations;
  explanations.Add(1, 7, kNow + seconds(3));
  CHECK(explanations.Contains(1, kNow));
  SECTION("and explains nothing then") {
    CHECK_FALSE(explanations.Contains(1, kNow + seconds(3)));
  }
  SECTION("but lasts once it is confirmed") {
    explanations.Add(1, 7);
    explanations.Add(1, 7, kNow);
    CHECK(explanations.Contains(1, kNow + seconds(3)));
  }
}

TEST_CASE("the crashes that are explained are bounded",
          "[crash_explanations]") {
  CrashExplanations explanations(10);
  for (std::int64_t crash = 1; crash <= 25; ++crash) {
    explanations.Add(crash, static_cast<std::uint64_t>(crash % 3));
    if (crash == 12) explanations.Withdraw(1);
    CHECK(explanations.Size() <= 10);
  }
  CHECK(explanations.CountOf(0) + explanations.CountOf(1) +
            explanations.CountOf(2) ==
        10);
  CHECK_FALSE(explanations.Contains(15, kNow));
  CHECK(explanations.Contains(16, kNow));
}

}  // namespace
}  // namespace wasabiwall::quarantine
