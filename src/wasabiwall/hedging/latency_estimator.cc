#include "wasabiwall/hedging/latency_estimator.h"

#include <algorithm>
#include <cmath>

namespace wasabiwall::hedging {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

/// Upper bound of the first bucket. Shorter times are never worth a hedge.
constexpr microseconds kFirstBound{1000};
/// Ratio of the bounds of neighbouring buckets; 56 of them reach 20 s, longer
/// than any objective. The estimate is at most this much too large.
constexpr double kGrowth = 1.2;
/// Samples before a quantile is used. Below it, one slow response in ten moves
/// the higher quantiles by several buckets.
constexpr double kMinSamples = 20;
/// Samples at which all counts are halved, so that recent ones prevail.
constexpr double kMaxSamples = 400;

}  // namespace

std::size_t LatencyEstimator::BucketOf(microseconds time) {
  if (time <= kFirstBound) return 0;
  const double ratio = static_cast<double>(time.count()) /
                       static_cast<double>(kFirstBound.count());
  const auto index =
      static_cast<std::size_t>(std::ceil(std::log(ratio) / std::log(kGrowth)));
  return std::min(index, kBuckets - 1);
}

void LatencyEstimator::OnAnswered(microseconds time) {
  m_buckets[BucketOf(time)].answered += 1;
  OnSample();
}

void LatencyEstimator::OnCancelled(microseconds time) {
  m_buckets[BucketOf(time)].cancelled += 1;
  OnSample();
}

void LatencyEstimator::OnSample() {
  m_samples += 1;
  if (m_samples < kMaxSamples) return;
  for (Bucket& bucket : m_buckets) {
    bucket.answered /= 2;
    bucket.cancelled /= 2;
  }
  m_samples /= 2;
}

std::optional<milliseconds> LatencyEstimator::Quantile(double quantile) const {
  if (m_samples < kMinSamples) return std::nullopt;
  double at_risk = m_samples;
  double survival = 1;
  double bound = static_cast<double>(kFirstBound.count());
  for (const Bucket& bucket : m_buckets) {
    if (at_risk <= 0) break;
    survival *= 1 - bucket.answered / at_risk;
    if (survival <= 1 - quantile) {
      return std::chrono::ceil<milliseconds>(
          microseconds(static_cast<std::int64_t>(bound)));
    }
    at_risk -= bucket.answered + bucket.cancelled;
    bound *= kGrowth;
  }
  return std::nullopt;
}

}  // namespace wasabiwall::hedging
