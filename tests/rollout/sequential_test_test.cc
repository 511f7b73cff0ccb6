// Error probabilities of the sequential test and of the verdict on a version.
#include "wasabiwall/rollout/sequential_test.h"

#include <catch2/catch.hpp>
#include <random>

#include "wasabiwall/rollout/version_verdict.h"

namespace wasabiwall::rollout {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using Verdict = SequentialTest::Verdict;

constexpr SequentialTest::Rates kRates{0.005, 0.05};
const coordination::TimePoint kStart{std::chrono::seconds(100)};

/// @return Verdict of a test that stops at its first one.
Verdict RunTest(double rate, std::mt19937_64* random) {
  SequentialTest test(ErrorProbabilities{0.001, 0.01});
  std::bernoulli_distribution is_bad(rate);
  while (test.Result() == Verdict::kUndecided) {
    const bool bad = is_bad(*random);
    test.Add(bad ? 0 : 1, bad ? 1 : 0, kRates);
  }
  return test.Result();
}

/// Two versions whose attempts are counted as a gateway does.
class TwoVersions {
 public:
  explicit TwoVersions(std::uint64_t seed) : m_random(seed) {}

  /// Runs a roll-out with a batch of answers every 100 ms.
  /// @param slowdown Factor of the target version's times.
  /// @return Whether the version was bad, and good at the end.
  std::pair<bool, bool> Run(double failure_rate, double slowdown, int batches) {
    VersionVerdict verdict;
    VersionEvidence evidence;
    coordination::TimePoint now = kStart;
    for (int i = 0; i < batches; ++i) {
      now += milliseconds(100);
      for (int j = 0; j < 40; ++j) Count(&m_counts.others, 0, 1);
      for (int j = 0; j < 3; ++j) {
        Count(&m_counts.target, failure_rate, slowdown);
      }
      evidence.Add("g", m_counts, milliseconds(100 * i));
      verdict.Update(evidence, now);
      if (verdict.BadReason()) return {true, false};
    }
    return {false, verdict.IsGood(evidence, now)};
  }

 private:
  void Count(protocol::VersionCounts* counts, double failure_rate,
             double slowdown) {
    if (std::bernoulli_distribution(failure_rate)(m_random)) {
      ++counts->failures;
      return;
    }
    ++counts->answers;
    const double us =
        slowdown *
        (20000 + std::exponential_distribution<double>(1.0 / 40000)(m_random));
    ++counts->first_byte[protocol::TimeBucket(
        microseconds(static_cast<std::int64_t>(us)))];
  }

  std::mt19937_64 m_random;
  protocol::RolloutMessage::RouteCounts m_counts{"a", {}, {}};
};

}  // namespace

// Load: 20,000 versions each. Guards against more wrong verdicts than stated.
TEST_CASE("the sequential test keeps its error probabilities", "[rollout]") {
  std::mt19937_64 random(20261206);
  int false_bad = 0;
  int missed = 0;
  for (int i = 0; i < 20000; ++i) {
    if (RunTest(kRates.good, &random) == Verdict::kBad) ++false_bad;
    if (RunTest(kRates.bad, &random) == Verdict::kGood) ++missed;
  }
  INFO("false bad " << false_bad << ", missed " << missed << " of 20000");
  CHECK(false_bad <= 20);
  CHECK(missed <= 200);
}

// Guards against good answers of a long trial that hide a version that turns
// bad later.
TEST_CASE("a long good time delays the verdict bad only a little",
          "[rollout]") {
  SequentialTest test(ErrorProbabilities{0.001, 0.01});
  test.Add(1000000, 0, kRates);
  CHECK(test.Result() == Verdict::kGood);
  // From ln(0.01) to ln(990) with ln(10) for each bad answer.
  for (int i = 0; i < 4; ++i) test.Add(0, 1, kRates);
  CHECK(test.Result() == Verdict::kUndecided);
  test.Add(0, 1, kRates);
  CHECK(test.Result() == Verdict::kBad);
  test.Add(1000000, 0, kRates);
  CHECK(test.Result() == Verdict::kBad);
}

// Load: 30 answers on trial and 400 others per second for 10 s, 5,000 times.
// Guards against chance taken for a bad version, in answers that fail as often
// as those of a sound version and have widely spread times.
TEST_CASE("good versions are rarely taken for bad", "[rollout]") {
  int bad = 0;
  int good = 0;
  for (std::uint64_t seed = 1; seed <= 5000; ++seed) {
    const auto [is_bad, is_good] = TwoVersions(seed).Run(0, 1, 100);
    if (is_bad) ++bad;
    if (is_good) ++good;
  }
  INFO("bad " << bad << ", good " << good << " of 5000");
  CHECK(bad <= 5);
  CHECK(good >= 4950);
}

// Guards against a bad version that is taken for good.
TEST_CASE("bad versions are rarely missed", "[rollout]") {
  int missed_failures = 0;
  int missed_slow = 0;
  for (std::uint64_t seed = 1; seed <= 2000; ++seed) {
    if (TwoVersions(seed).Run(0.05, 1, 100).second) ++missed_failures;
    if (TwoVersions(seed).Run(0, 3, 100).second) ++missed_slow;
  }
  INFO("missed " << missed_failures << " that fail 5 in 100, " << missed_slow
                 << " that are slow, of 2000 each");
  CHECK(missed_failures <= 20);
  CHECK(missed_slow == 0);
}

// Guards against the failures of a service as a whole that are attributed to
// the version on trial.
TEST_CASE("failures of all versions alike are not attributed to one",
          "[rollout]") {
  VersionVerdict verdict;
  VersionEvidence evidence;
  protocol::RolloutMessage::RouteCounts counts{"a", {}, {}};
  for (std::uint32_t i = 1; i <= 100; ++i) {
    counts.others.answers = 90 * i;
    counts.others.failures = 10 * i;
    counts.target.answers = 9 * i;
    counts.target.failures = i;
    evidence.Add("g", counts, milliseconds(100 * i));
    verdict.Update(evidence, kStart);
  }
  CHECK(!verdict.BadReason());
}

}  // namespace wasabiwall::rollout
