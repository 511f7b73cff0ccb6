#pragma once

#include "wasabiwall/coordination/router.h"

namespace wasabiwall::coordination {

/// Orders candidates by rendezvous hashing with bounded loads: candidates that
/// the call would push over the load bound come after all others, each group
/// in rendezvous order, so that the overflow of a chat always goes to the same
/// second choice.
CandidateOrder BoundedRendezvousOrder(const RoutingQuery& query);

}  // namespace wasabiwall::coordination
