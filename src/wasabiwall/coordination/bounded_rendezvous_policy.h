#pragma once

#include "wasabiwall/coordination/router.h"

namespace wasabiwall::coordination {

/// Rendezvous order in which the candidates that the call would lift over the
/// load bound stand behind those that it would not, each group in rendezvous
/// order, so that the overflow of a chat lands on the same second choice.
CandidateOrder BoundedRendezvousOrder(const RoutingQuery& query);

}  // namespace wasabiwall::coordination
