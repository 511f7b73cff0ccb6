#include "wasabiwall/coordination/router.h"

#include <rapidcheck/catch.h>

#include <algorithm>
#include <catch2/catch.hpp>

namespace wasabiwall::coordination {

namespace {

RoutingQuery MakeQuery(const std::string& chat, int count, int missing) {
  RoutingQuery query{state::WorkspaceId("w"), state::ChatId(chat), 1, {}};
  for (int i = 0; i < count; ++i) {
    if (i == missing) continue;
    query.candidates.push_back(
        {state::BackendServerId(std::to_string(i)), 1.0 + i % 2});
  }
  return query;
}

}  // namespace

TEST_CASE("routers that disagree on one VM keep the order of the rest",
          "[router][fuzz]") {
  rc::prop("removing a candidate removes only it", [](const std::string& chat) {
    const int count = *rc::gen::inRange(2, 40);
    const int missing = *rc::gen::inRange(0, count);
    auto all = OrderByRendezvous(MakeQuery(chat, count, -1));
    const auto fewer = OrderByRendezvous(MakeQuery(chat, count, missing));
    std::erase_if(all, [&](const Candidate& candidate) {
      return candidate.id.value == std::to_string(missing);
    });
    RC_ASSERT(all.size() == fewer.size());
    for (std::size_t i = 0; i < all.size(); ++i) {
      RC_ASSERT(all[i].id == fewer[i].id);
    }
  });
}

}  // namespace wasabiwall::coordination
