#include "wasabiwall/coordination/least_of_two_policy.h"

#include <algorithm>
#include <utility>

#include "wasabiwall/coordination/random_policy.h"

namespace wasabiwall::coordination {

CandidateOrder LeastOfTwoOrder(const RoutingQuery& query,
                               const RandomHook& random) {
  const std::size_t length = OrderLength(query);
  RoutingQuery probes = query;
  probes.max_results = std::max<std::size_t>(length, 2);
  CandidateOrder order = RandomOrder(probes, random);
  if (order.size() >= 2) {
    const std::int64_t first = LoadOf(query, query.candidates[order[0]]);
    const std::int64_t second = LoadOf(query, query.candidates[order[1]]);
    if (second < first) std::swap(order[0], order[1]);
  }
  order.resize(length);
  return order;
}

}  // namespace wasabiwall::coordination
