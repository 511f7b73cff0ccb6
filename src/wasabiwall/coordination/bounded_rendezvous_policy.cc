#include "wasabiwall/coordination/bounded_rendezvous_policy.h"

#include <algorithm>

#include "wasabiwall/coordination/rendezvous_policy.h"

namespace wasabiwall::coordination {
namespace {

double ReportedMean(const RoutingQuery& query) {
  if (query.reported_mean_units >= 0) return query.reported_mean_units;
  std::int64_t sum = 0;
  std::int64_t reported = 0;
  for (const Candidate& candidate : query.candidates) {
    if (!candidate.reported) continue;
    sum += candidate.load_units;
    ++reported;
  }
  if (reported == 0) return 0.0;
  return static_cast<double>(sum) / static_cast<double>(reported);
}

}  // namespace

CandidateOrder BoundedRendezvousOrder(const RoutingQuery& query) {
  const std::size_t length = OrderLength(query);
  const double bound = std::max(static_cast<double>(query.load_floor_units),
                                query.max_load_ratio * ReportedMean(query));
  const auto fits = [&](std::size_t index) {
    const Candidate& candidate = query.candidates[index];
    return static_cast<double>(LoadOf(query, candidate) + query.cost_units) <=
           bound;
  };
  RoutingQuery wider = query;
  wider.max_results = length;
  while (true) {
    CandidateOrder order = RendezvousOrder(wider);
    const auto end = std::stable_partition(order.begin(), order.end(), fits);
    const auto fitting = static_cast<std::size_t>(end - order.begin());
    if (fitting >= length || order.size() == query.candidates.size()) {
      order.resize(length);
      return order;
    }
    wider.max_results = 4 * order.size();
  }
}

}  // namespace wasabiwall::coordination
