#include "wasabiwall/hedging/latency_estimator.h"

#include <catch2/catch.hpp>

namespace wasabiwall::hedging {
namespace {

using std::chrono::milliseconds;

TEST_CASE("no quantile is estimated from too few response times") {
  LatencyEstimator estimator;
  for (int i = 0; i < 19; ++i) estimator.OnAnswered(milliseconds(50));
  CHECK_FALSE(estimator.Quantile(0.5));
  estimator.OnAnswered(milliseconds(50));
  REQUIRE(estimator.Quantile(0.5));
  CHECK(*estimator.Quantile(0.5) >= milliseconds(50));
  CHECK(*estimator.Quantile(0.5) <= milliseconds(60));
}

// Guards against an estimator that takes the time of a cancellation for a
// response time, and so hedges ever earlier.
TEST_CASE("attempts that were cancelled do not lower the estimated quantile") {
  LatencyEstimator complete;
  LatencyEstimator censored;
  for (int i = 0; i < 300; ++i) {
    const bool is_slow = i % 4 == 0;
    const milliseconds time(is_slow ? 900 : 50);
    complete.OnAnswered(time);
    // Every other slow attempt is cancelled at 200 ms.
    if (is_slow && i % 8 == 0) {
      censored.OnCancelled(milliseconds(200));
    } else {
      censored.OnAnswered(time);
    }
  }
  REQUIRE(complete.Quantile(0.8));
  CHECK(*complete.Quantile(0.8) >= milliseconds(900));
  REQUIRE(censored.Quantile(0.8));
  CHECK(*censored.Quantile(0.8) >= milliseconds(900));
}

// Guards against hedging by a quantile that no attempt was allowed to reach.
TEST_CASE("a quantile beyond all answered attempts is unknown") {
  LatencyEstimator estimator;
  for (int i = 0; i < 100; ++i) {
    if (i % 2 == 0) {
      estimator.OnAnswered(milliseconds(50));
    } else {
      estimator.OnCancelled(milliseconds(200));
    }
  }
  CHECK(estimator.Quantile(0.4));
  CHECK_FALSE(estimator.Quantile(0.8));
}

TEST_CASE("recent response times prevail over earlier ones") {
  LatencyEstimator estimator;
  for (int i = 0; i < 1000; ++i) estimator.OnAnswered(milliseconds(500));
  for (int i = 0; i < 1000; ++i) estimator.OnAnswered(milliseconds(50));
  REQUIRE(estimator.Quantile(0.8));
  CHECK(*estimator.Quantile(0.8) < milliseconds(100));
}

}  // namespace
}  // namespace wasabiwall::hedging
