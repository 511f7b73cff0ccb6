#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <optional>

namespace wasabiwall::hedging {

/// Estimates quantiles of recent response times of which some are censored: an
/// attempt that was cancelled after a time would have taken at least as long.
///
/// Uses the product-limit estimator (Kaplan and Meier, 1958) over logarithmic
/// buckets, so that cancelled attempts neither count as fast nor are left out.
/// Not safe for concurrent use.
class LatencyEstimator {
 public:
  /// Records the time of an attempt that was answered.
  void OnAnswered(std::chrono::microseconds time);

  /// Records an attempt that was cancelled before it was answered.
  /// @param time Time from its start to the cancellation.
  void OnCancelled(std::chrono::microseconds time);

  /// @param quantile From 0 to 1.
  /// @return Upper bound of the bucket that holds the quantile; nothing while
  /// there are too few samples, or too many cancelled ones, to tell.
  std::optional<std::chrono::milliseconds> Quantile(double quantile) const;

 private:
  static constexpr std::size_t kBuckets = 56;

  struct Bucket {
    double answered = 0;
    double cancelled = 0;
  };

  static std::size_t BucketOf(std::chrono::microseconds time);
  void OnSample();

  std::array<Bucket, kBuckets> m_buckets{};
  double m_samples = 0;
};

}  // namespace wasabiwall::hedging
