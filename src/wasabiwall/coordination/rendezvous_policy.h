#pragma once

#include "wasabiwall/coordination/router.h"

namespace wasabiwall::coordination {

/// Orders candidates by weighted rendezvous hashing over workspace and chat.
/// Sorts only the first `max_results` of them.
CandidateOrder RendezvousOrder(const RoutingQuery& query);

}  // namespace wasabiwall::coordination
