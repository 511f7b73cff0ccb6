#include "wasabiwall/coordination/random_policy.h"

#include <string>

#include "wasabiwall/coordination/rendezvous_policy.h"

namespace wasabiwall::coordination {

CandidateOrder RandomOrder(const RoutingQuery& query,
                           const RandomHook& random) {
  // The rendezvous order of a random chat is a weighted random order.
  RoutingQuery once = query;
  once.chat = state::ChatId(std::to_string(random()));
  return RendezvousOrder(once);
}

}  // namespace wasabiwall::coordination
