#include "wasabiwall/rollout/version_verdict.h"

#include <algorithm>
#include <cmath>

namespace wasabiwall::rollout {
namespace {

using protocol::TimeHistogram;
using protocol::VersionCounts;
using Rates = SequentialTest::Rates;
using Verdict = SequentialTest::Verdict;

/// Chances of a wrong verdict of a roll-out: the stated bounds are 1 in 1,000
/// for a false `bad` and 1 in 100 for missing 5 failures in 100.
constexpr ErrorProbabilities kProbabilities{0.001, 0.01};
/// The chance of a false `bad` is divided among the tests: one in total and
/// three for each of up to five routes.
constexpr double kTests = 16;
/// Part of that chance for the tests of times: shares of slow answers of good
/// and bad versions are so far apart that it costs two answers more, and the
/// share of a good version is not known, but a sample.
constexpr double kSlowPart = 0.1;
/// Failures of a good version in addition to those of the others: 1 in 200.
constexpr double kGoodFailures = 0.005;
/// Further failures of the least bad version that must be found: in sum 5 in
/// 100.
constexpr double kExcessFailures = 0.045;
/// Slow answers of a good version at the least: 1 in 50.
constexpr double kGoodSlow = 0.02;
/// Part of the answers that are not slow with a good version and are with a
/// bad one. Times that are exponentially distributed have 0.15 slow answers,
/// and 0.53 if they are three times as long.
constexpr double kExcessSlow = 0.35;
/// Buckets from the median of the other versions to a slow answer. An answer
/// three buckets further has taken more than 1.96 times the median, and one
/// that took three times the median is at least three buckets further.
constexpr std::size_t kSlowBuckets = 3;
/// Times of the other versions from which their median is known.
/// With 20, chance rolled back 1 of some 2,000 good versions.
constexpr std::uint64_t kFewestTimes = 200;
/// Answers of the other versions from which their failures are known: with
/// fewer, failures of all versions alike may be missed in 1 of 10 attempts.
constexpr std::uint64_t kFewestAnswers = 50;
/// Time within which the version must have answered to be good.
constexpr std::chrono::milliseconds kRecent{2000};
/// Answers of the other versions on a route from which the version must have
/// answered there as well: some 8 calls on trial are then expected.
constexpr std::uint32_t kRouteInUse = 100;
/// Answers of the version that are then required.
constexpr std::uint32_t kFewestOnRoute = 2;

ErrorProbabilities Divided(double part = 1) {
  return {kProbabilities.false_bad / kTests * part, kProbabilities.missed_bad};
}

/// @return Upper bound, two standard deviations higher, of the rate of which a
/// count is a sample.
double UpperRate(std::uint64_t count, std::uint64_t total) {
  const auto value = static_cast<double>(count);
  return (value + 2 * std::sqrt(value)) / static_cast<double>(total);
}

/// Adds answers and failures of the version.
/// @return Whether they were compared; there may be too few of the others.
bool AddFailures(const VersionCounts& since, const VersionCounts& others,
                 SequentialTest* test) {
  const std::uint64_t total =
      static_cast<std::uint64_t>(others.answers) + others.failures;
  if (total < kFewestAnswers) return false;
  const double good =
      std::min(kGoodFailures + UpperRate(others.failures, total), 0.5);
  test->Add(since.answers, since.failures, {good, good + kExcessFailures});
  return true;
}

std::uint64_t Total(const TimeHistogram& histogram) {
  std::uint64_t total = 0;
  for (const std::uint32_t count : histogram) total += count;
  return total;
}

/// @return Times in a bucket or a later one.
std::uint64_t CountFrom(const TimeHistogram& histogram, std::size_t bucket) {
  std::uint64_t count = 0;
  for (std::size_t i = bucket; i < histogram.size(); ++i) count += histogram[i];
  return count;
}

std::size_t MedianBucket(const TimeHistogram& histogram, std::uint64_t total) {
  std::uint64_t below = 0;
  for (std::size_t i = 0; i < histogram.size(); ++i) {
    below += histogram[i];
    if (2 * below >= total) return i;
  }
  return histogram.size() - 1;
}

/// Adds times of the version.
/// @return Whether they were compared; there may be too few of the others.
bool AddTimes(const TimeHistogram& since, const TimeHistogram& others,
              SequentialTest* test) {
  const std::uint64_t total = Total(others);
  if (total < kFewestTimes) return false;
  const std::size_t slow_from = MedianBucket(others, total) + kSlowBuckets;
  const double rate = UpperRate(CountFrom(others, slow_from), total);
  const double good = std::min(std::max(kGoodSlow, rate), 0.9);
  const std::uint64_t slow = CountFrom(since, slow_from);
  test->Add(Total(since) - slow, slow, {good, good + kExcessSlow * (1 - good)});
  return true;
}

}  // namespace

VersionVerdict::RouteTests::RouteTests()
    : failures(Divided()),
      first_byte(Divided(kSlowPart)),
      event_gap(Divided(kSlowPart)) {}

VersionVerdict::VersionVerdict() : m_total(Divided()) {}

void VersionVerdict::Update(const VersionEvidence& evidence,
                            coordination::TimePoint now) {
  RouteEvidence total;
  for (const auto& [name, route] : evidence.Routes()) {
    RouteTests& tests = m_routes[name];
    AddCounts(route.target, &total.target);
    AddCounts(route.others, &total.others);
    UpdateRoute(name, route, &tests);
  }
  const VersionCounts since = CountsSince(m_seen_in_total, total.target);
  if (AddFailures(since, total.others, &m_total)) {
    if (since.answers > 0) m_last_answer = now;
    m_seen_in_total = total.target;
  }
  if (m_total.Result() == Verdict::kBad) SetBad("failures in total", total);
}

void VersionVerdict::UpdateRoute(const std::string& name,
                                 const RouteEvidence& evidence,
                                 RouteTests* tests) {
  const VersionCounts since = CountsSince(tests->seen, evidence.target);
  // What cannot be compared yet is compared later.
  VersionCounts seen = evidence.target;
  if (!AddFailures(since, evidence.others, &tests->failures)) {
    seen.answers = tests->seen.answers;
    seen.failures = tests->seen.failures;
  }
  if (!AddTimes(since.first_byte, evidence.others.first_byte,
                &tests->first_byte)) {
    seen.first_byte = tests->seen.first_byte;
  }
  if (!AddTimes(since.event_gap, evidence.others.event_gap,
                &tests->event_gap)) {
    seen.event_gap = tests->seen.event_gap;
  }
  tests->seen = seen;
  if (tests->failures.Result() == Verdict::kBad) {
    SetBad("failures on route " + name, evidence);
  }
  if (tests->first_byte.Result() == Verdict::kBad) {
    SetBad("slow first bytes on route " + name, evidence);
  }
  if (tests->event_gap.Result() == Verdict::kBad) {
    SetBad("slow events on route " + name, evidence);
  }
}

void VersionVerdict::SetBad(const std::string& what,
                            const RouteEvidence& evidence) {
  if (m_bad_reason) return;
  m_bad_reason = what + ": " + std::to_string(evidence.target.failures) +
                 " failures and " + std::to_string(evidence.target.answers) +
                 " answers, other versions " +
                 std::to_string(evidence.others.failures) + " and " +
                 std::to_string(evidence.others.answers);
}

bool VersionVerdict::IsGood(const VersionEvidence& evidence,
                            coordination::TimePoint now) const {
  if (m_bad_reason || m_total.Result() != Verdict::kGood) return false;
  if (!m_last_answer || now - *m_last_answer > kRecent) return false;
  return std::all_of(evidence.Routes().begin(), evidence.Routes().end(),
                     [](const auto& entry) {
                       const RouteEvidence& route = entry.second;
                       return route.others.answers < kRouteInUse ||
                              route.target.answers >= kFewestOnRoute;
                     });
}

std::string VersionVerdict::Summary(const VersionEvidence& evidence) const {
  RouteEvidence total;
  for (const auto& [name, route] : evidence.Routes()) {
    AddCounts(route.target, &total.target);
    AddCounts(route.others, &total.others);
  }
  return std::to_string(total.target.answers) + " answers and " +
         std::to_string(total.target.failures) + " failures on " +
         std::to_string(evidence.Routes().size()) + " routes, other versions " +
         std::to_string(total.others.answers) + " and " +
         std::to_string(total.others.failures);
}

}  // namespace wasabiwall::rollout
