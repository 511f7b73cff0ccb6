// Ordinary requests are answered while a crowd is connected.
#include <algorithm>
#include <catch2/catch.hpp>

#include "clients/client_bed.h"
#include "clients/client_kinds.h"

namespace wasabiwall::clients {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kBatchPause{50};
constexpr int kBatch = 200;
/// More than the gateway may have descriptors.
constexpr int kManyConnections = ClientBed::kMaxDescriptors + 100;

void CheckAnsweredAmid(Target crowded, Target asked) {
  ClientBed bed;
  Crowd crowd(bed.PortOf(crowded));
  for (int left = kManyConnections; left > 0; left -= kBatch) {
    AddIdle(&crowd, crowded, std::min(left, kBatch));
    bed.RunCrowds({&crowd}, kBatchPause);
  }
  CHECK(bed.IsAnswered(asked));
  bed.CheckAfterwards();
}

TEST_CASE("clients at the readiness address do not hide it") {
  CheckAnsweredAmid(Target::kReadiness, Target::kReadiness);
}

TEST_CASE("clients at a route do not hide the readiness address") {
  CheckAnsweredAmid(Target::kRoute, Target::kReadiness);
}

TEST_CASE("clients at a path without a route do not hide the routes") {
  CheckAnsweredAmid(Target::kNoRoute, Target::kRoute);
}

TEST_CASE("clients at the metrics address do not hide it") {
  CheckAnsweredAmid(Target::kMetrics, Target::kMetrics);
}

}  // namespace
}  // namespace wasabiwall::clients
