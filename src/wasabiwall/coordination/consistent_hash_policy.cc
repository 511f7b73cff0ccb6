#include "wasabiwall/coordination/consistent_hash_policy.h"

#include "wasabiwall/coordination/hash_ring.h"

namespace wasabiwall::coordination {

CandidateOrder ConsistentHashOrder(const RoutingQuery& query) {
  const std::size_t length = OrderLength(query);
  if (query.ring != nullptr) return query.ring->Walk(ChatHash(query), length);
  return HashRing(query.candidates).Walk(ChatHash(query), length);
}

}  // namespace wasabiwall::coordination
