#include "wasabiwall/rollout/sequential_test.h"

#include <algorithm>
#include <cmath>

namespace wasabiwall::rollout {

SequentialTest::SequentialTest(ErrorProbabilities probabilities)
    : m_lower(
          std::log(probabilities.missed_bad / (1 - probabilities.false_bad))),
      m_upper(
          std::log((1 - probabilities.missed_bad) / probabilities.false_bad)) {}

void SequentialTest::Add(std::uint64_t good, std::uint64_t bad,
                         const Rates& rates) {
  const double change =
      static_cast<double>(good) * std::log((1 - rates.bad) / (1 - rates.good)) +
      static_cast<double>(bad) * std::log(rates.bad / rates.good);
  m_log_ratio += change;
  m_log_ratio_of_all += change;
  if (m_log_ratio >= m_upper) m_is_bad = true;
  m_log_ratio = std::max(m_log_ratio, m_lower);
}

SequentialTest::Verdict SequentialTest::Result() const {
  if (m_is_bad) return Verdict::kBad;
  // The boundary itself is where the ratio is held.
  return m_log_ratio <= m_lower && m_log_ratio_of_all <= m_lower
             ? Verdict::kGood
             : Verdict::kUndecided;
}

}  // namespace wasabiwall::rollout
