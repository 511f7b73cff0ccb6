// Crowds of misbehaving clients: the process must neither end nor exceed the
// memory and descriptors of its settings, and must serve afterwards. Crowds and
// bounds were fixed before the gateway was protected and stay as they are.
#include <algorithm>
#include <catch2/catch.hpp>

#include "clients/client_bed.h"
#include "clients/client_kinds.h"

namespace wasabiwall::clients {
namespace {

using std::chrono::milliseconds;

/// Longest time that a crowd may go on; most end by themselves before.
constexpr milliseconds kLongestCrowd{4000};
/// Clients that connect together, fewer than the listener's backlog takes.
constexpr int kBatch = 200;
constexpr milliseconds kBatchPause{50};
/// More than the gateway may have descriptors.
constexpr int kManyConnections = ClientBed::kMaxDescriptors + 100;

using AddClients = void (*)(Crowd*, Target, int);

void CheckCrowd(AddClients add, Target target, int count) {
  ClientBed bed;
  {
    Crowd crowd(bed.PortOf(target));
    for (int left = count; left > 0; left -= kBatch) {
      add(&crowd, target, std::min(left, kBatch));
      bed.RunCrowds({&crowd}, kBatchPause);
    }
    bed.RunCrowds({&crowd}, kLongestCrowd);
  }
  bed.CheckAfterwards();
}

TEST_CASE("clients at a route: bodies in one piece that stop short") {
  CheckCrowd(AddBodiesInOnePiece, Target::kRoute, kCrowdSize);
}

TEST_CASE(
    "clients at a path without a route: bodies in one piece that stop short") {
  CheckCrowd(AddBodiesInOnePiece, Target::kNoRoute, kCrowdSize);
}

TEST_CASE(
    "clients at the readiness address: bodies in one piece that stop short") {
  CheckCrowd(AddBodiesInOnePiece, Target::kReadiness, kCrowdSize);
}

TEST_CASE(
    "clients at the metrics address: bodies in one piece that stop short") {
  CheckCrowd(AddBodiesInOnePiece, Target::kMetrics, kCrowdSize);
}

TEST_CASE("clients at a route: bodies in small pieces that stop short") {
  CheckCrowd(AddBodiesInSmallPieces, Target::kRoute, kCrowdSize);
}

TEST_CASE(
    "clients at a path without a route: bodies in small pieces that stop "
    "short") {
  CheckCrowd(AddBodiesInSmallPieces, Target::kNoRoute, kCrowdSize);
}

TEST_CASE(
    "clients at the readiness address: bodies in small pieces that stop "
    "short") {
  CheckCrowd(AddBodiesInSmallPieces, Target::kReadiness, kCrowdSize);
}

TEST_CASE(
    "clients at the metrics address: bodies in small pieces that stop short") {
  CheckCrowd(AddBodiesInSmallPieces, Target::kMetrics, kCrowdSize);
}

TEST_CASE("clients at a route: bodies in one-byte chunks that stop short") {
  CheckCrowd(AddBodiesInChunks, Target::kRoute, kCrowdSize);
}

TEST_CASE(
    "clients at a path without a route: bodies in one-byte chunks that stop "
    "short") {
  CheckCrowd(AddBodiesInChunks, Target::kNoRoute, kCrowdSize);
}

TEST_CASE(
    "clients at the readiness address: bodies in one-byte chunks that stop "
    "short") {
  CheckCrowd(AddBodiesInChunks, Target::kReadiness, kCrowdSize);
}

TEST_CASE(
    "clients at the metrics address: bodies in one-byte chunks that stop "
    "short") {
  CheckCrowd(AddBodiesInChunks, Target::kMetrics, kCrowdSize);
}

TEST_CASE("clients at a route: bodies over the limit") {
  CheckCrowd(AddOversizedBodies, Target::kRoute, kSmallCrowdSize);
}

TEST_CASE("clients at a path without a route: bodies over the limit") {
  CheckCrowd(AddOversizedBodies, Target::kNoRoute, kSmallCrowdSize);
}

TEST_CASE("clients at the readiness address: bodies over the limit") {
  CheckCrowd(AddOversizedBodies, Target::kReadiness, kSmallCrowdSize);
}

TEST_CASE("clients at the metrics address: bodies over the limit") {
  CheckCrowd(AddOversizedBodies, Target::kMetrics, kSmallCrowdSize);
}

TEST_CASE("clients at a route: heads of many short fields") {
  CheckCrowd(AddManyFields, Target::kRoute, kCrowdSize);
}

TEST_CASE("clients at a path without a route: heads of many short fields") {
  CheckCrowd(AddManyFields, Target::kNoRoute, kCrowdSize);
}

TEST_CASE("clients at the readiness address: heads of many short fields") {
  CheckCrowd(AddManyFields, Target::kReadiness, kCrowdSize);
}

TEST_CASE("clients at the metrics address: heads of many short fields") {
  CheckCrowd(AddManyFields, Target::kMetrics, kCrowdSize);
}

TEST_CASE("clients at a route: pipelined requests without reading") {
  CheckCrowd(AddPipelining, Target::kRoute, kSmallCrowdSize);
}

TEST_CASE(
    "clients at a path without a route: pipelined requests without reading") {
  CheckCrowd(AddPipelining, Target::kNoRoute, kSmallCrowdSize);
}

TEST_CASE(
    "clients at the readiness address: pipelined requests without reading") {
  CheckCrowd(AddPipelining, Target::kReadiness, kSmallCrowdSize);
}

TEST_CASE(
    "clients at the metrics address: pipelined requests without reading") {
  CheckCrowd(AddPipelining, Target::kMetrics, kSmallCrowdSize);
}

TEST_CASE("clients at a route: slow senders") {
  CheckCrowd(AddSlowSenders, Target::kRoute, kCrowdSize);
}

TEST_CASE("clients at a path without a route: slow senders") {
  CheckCrowd(AddSlowSenders, Target::kNoRoute, kCrowdSize);
}

TEST_CASE("clients at the readiness address: slow senders") {
  CheckCrowd(AddSlowSenders, Target::kReadiness, kCrowdSize);
}

TEST_CASE("clients at the metrics address: slow senders") {
  CheckCrowd(AddSlowSenders, Target::kMetrics, kCrowdSize);
}

TEST_CASE("clients at a route: slow readers") {
  CheckCrowd(AddSlowReaders, Target::kRoute, kCrowdSize);
}

TEST_CASE("clients at a path without a route: slow readers") {
  CheckCrowd(AddSlowReaders, Target::kNoRoute, kCrowdSize);
}

TEST_CASE("clients at the readiness address: slow readers") {
  CheckCrowd(AddSlowReaders, Target::kReadiness, kCrowdSize);
}

TEST_CASE("clients at the metrics address: slow readers") {
  CheckCrowd(AddSlowReaders, Target::kMetrics, kCrowdSize);
}

TEST_CASE("clients at a route: more connections than descriptors") {
  CheckCrowd(AddIdle, Target::kRoute, kManyConnections);
}

TEST_CASE(
    "clients at a path without a route: more connections than descriptors") {
  CheckCrowd(AddIdle, Target::kNoRoute, kManyConnections);
}

TEST_CASE(
    "clients at the readiness address: more connections than descriptors") {
  CheckCrowd(AddIdle, Target::kReadiness, kManyConnections);
}

TEST_CASE("clients at the metrics address: more connections than descriptors") {
  CheckCrowd(AddIdle, Target::kMetrics, kManyConnections);
}

}  // namespace
}  // namespace wasabiwall::clients
