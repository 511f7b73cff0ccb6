#pragma once

#include <cstdint>

namespace wasabiwall::rollout {

/// Chances of a wrong verdict per roll-out.
struct ErrorProbabilities {
  /// That a good version is taken for bad.
  double false_bad = 0.001;
  /// That a version with the bad rate is taken for good.
  double missed_bad = 0.01;
};

/// Wald's sequential probability ratio test (1945) of a bad rate against a good
/// rate. Continues after the verdict good, from its boundary, so that a version
/// that turns bad later is found. `good` needs all answers together as well:
/// with a long trial, any version has a time without bad answers. `bad` is
/// final.
class SequentialTest {
 public:
  enum class Verdict { kUndecided, kGood, kBad };

  /// Rates of bad answers of a good version and of the least bad one that must
  /// be found.
  struct Rates {
    double good = 0;
    double bad = 0;
  };

  /// @param probabilities Chances of a wrong verdict of this test alone.
  explicit SequentialTest(ErrorProbabilities probabilities);

  /// Adds answers, of which all are compared with the same rates.
  /// @param good Number of good answers.
  /// @param bad Number of bad answers.
  void Add(std::uint64_t good, std::uint64_t bad, const Rates& rates);

  Verdict Result() const;

 private:
  double m_lower;
  double m_upper;
  /// Logarithm of the likelihood of bad over that of good.
  double m_log_ratio = 0;
  /// The same without the boundary.
  double m_log_ratio_of_all = 0;
  bool m_is_bad = false;
};

}  // namespace wasabiwall::rollout
