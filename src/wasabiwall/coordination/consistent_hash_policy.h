#pragma once

#include "wasabiwall/coordination/router.h"

namespace wasabiwall::coordination {

/// Orders candidates by plain consistent hashing: clockwise along the ring
/// from the chat's position. A baseline for benchmarks.
CandidateOrder ConsistentHashOrder(const RoutingQuery& query);

}  // namespace wasabiwall::coordination
