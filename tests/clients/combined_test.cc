// All kinds of misbehaving clients at once, at all addresses of a gateway.
#include <array>
#include <catch2/catch.hpp>
#include <list>
#include <vector>

#include "clients/client_bed.h"
#include "clients/client_kinds.h"

namespace wasabiwall::clients {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kLongestCrowd{6000};
constexpr milliseconds kBatchPause{50};
/// Clients of each kind at each target: 1,080 in all, more than the gateway may
/// have descriptors.
constexpr int kClientsOfKind = 30;

TEST_CASE("clients of all kinds at all addresses") {
  ClientBed bed;
  {
    constexpr std::array targets = {Target::kRoute, Target::kNoRoute,
                                    Target::kReadiness, Target::kMetrics};
    constexpr std::array kinds = {
        AddBodiesInOnePiece, AddBodiesInSmallPieces, AddBodiesInChunks,
        AddOversizedBodies,  AddManyFields,          AddPipelining,
        AddSlowSenders,      AddSlowReaders,         AddIdle};
    std::list<Crowd> crowds;
    std::vector<Crowd*> all;
    all.reserve(targets.size());
    for (const Target target : targets) {
      all.push_back(&crowds.emplace_back(bed.PortOf(target)));
    }
    for (const auto add : kinds) {
      for (std::size_t i = 0; i < targets.size(); ++i) {
        add(all[i], targets[i], kClientsOfKind);
      }
      bed.RunCrowds(all, kBatchPause);
    }
    bed.RunCrowds(all, kLongestCrowd);
  }
  bed.CheckAfterwards();
}

}  // namespace
}  // namespace wasabiwall::clients
