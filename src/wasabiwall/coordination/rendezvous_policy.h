#pragma once

#include "wasabiwall/coordination/router.h"

namespace wasabiwall::coordination {

/// Weighted rendezvous order over workspace and chat. Only the wanted
/// candidates are sorted.
CandidateOrder RendezvousOrder(const RoutingQuery& query);

}  // namespace wasabiwall::coordination
