// Limit of the bytes that all calls of a process buffer together.
#include "wasabiwall/transport/byte_budget.h"

#include <algorithm>
#include <array>
#include <catch2/catch.hpp>

namespace wasabiwall::transport {
namespace {

constexpr std::size_t kRead = 64U << 10U;
constexpr std::size_t kGroup = 1U << 20U;

TEST_CASE("without room one buffer of a group grows, whatever the turns") {
  // Guards against buffers that overtake each other: each was the largest after
  // its own read, so that all grew up to the limit of the process.
  const bool is_reversed = GENERATE(false, true);
  ByteBudget budget({.total = 8 * kGroup, .group = kGroup, .free_size = kRead});
  std::array<ByteBudget::Share, 4> shares{
      ByteBudget::Share(&budget), ByteBudget::Share(&budget),
      ByteBudget::Share(&budget), ByteBudget::Share(&budget)};
  std::array<bool, 4> may_grow{true, true, true, true};
  for (auto& share : shares) share.Reset("service");
  for (int round = 0; round < 40; ++round) {
    for (std::size_t turn = 0; turn < shares.size(); ++turn) {
      const std::size_t i = is_reversed ? shares.size() - 1 - turn : turn;
      if (may_grow[i]) may_grow[i] = shares[i].Resize(shares[i].Size() + kRead);
    }
  }
  CHECK(std::ranges::count(may_grow, true) == 1);
  CHECK(std::ranges::count_if(shares, [](const ByteBudget::Share& share) {
          return share.Size() > kGroup / 2;
        }) == 1);
  // The place is free again once that buffer is empty.
  const auto growing = std::ranges::find(may_grow, true) - may_grow.begin();
  int woken = 0;
  for (std::size_t i = 0; i < shares.size(); ++i) {
    if (!may_grow[i]) shares[i].WaitForRoom([&woken] { ++woken; });
  }
  shares[static_cast<std::size_t>(growing)].Resize(0);
  CHECK(woken > 0);
}

}  // namespace
}  // namespace wasabiwall::transport
