#pragma once

#include "wasabiwall/coordination/router.h"

namespace wasabiwall::coordination {

/// Plain consistent hashing: the order in which the ring is met from the
/// chat's position; a baseline for measurements.
CandidateOrder ConsistentHashOrder(const RoutingQuery& query);

}  // namespace wasabiwall::coordination
