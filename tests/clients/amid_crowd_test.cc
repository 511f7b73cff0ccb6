// Ordinary requests are answered while a crowd is connected.
#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>

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

// Each such request took the event loop tens of milliseconds.
TEST_CASE("requests that name their fields do not hide the readiness address") {
  ClientBed bed;
  Crowd crowd(bed.PortOf(Target::kRoute));
  AddNamedFields(&crowd, Target::kRoute, kBatch);
  bed.RunCrowds({&crowd}, kBatchPause);
  const auto begin = std::chrono::steady_clock::now();
  CHECK(bed.IsAnswered(Target::kReadiness));
  // The platform asks once a second.
  CHECK(std::chrono::steady_clock::now() - begin < std::chrono::seconds(1));
  bed.CheckAfterwards();
}

}  // namespace
}  // namespace wasabiwall::clients
