#include "wasabiwall/coordination/router.h"

#include <algorithm>

#include "wasabiwall/coordination/rendezvous_policy.h"
#include "wasabiwall/state/digest.h"

namespace wasabiwall::coordination {

std::int64_t LoadOf(const RoutingQuery& query, const Candidate& candidate) {
  return query.load_of ? query.load_of(candidate) : candidate.load_units;
}

std::uint64_t ChatHash(const RoutingQuery& query) {
  return state::FastHash(query.chat.value,
                         state::FastHash(query.workspace.value));
}

std::size_t OrderLength(const RoutingQuery& query) {
  return std::min(query.max_results, query.candidates.size());
}

std::vector<Candidate> OrderByRendezvous(const RoutingQuery& query) {
  std::vector<Candidate> ordered;
  for (const std::size_t index : RendezvousOrder(query)) {
    ordered.push_back(query.candidates[index]);
  }
  return ordered;
}

}  // namespace wasabiwall::coordination
