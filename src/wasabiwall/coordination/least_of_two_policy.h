#pragma once

#include "wasabiwall/coordination/clock.h"
#include "wasabiwall/coordination/router.h"

namespace wasabiwall::coordination {

/// Random order with the less loaded of the first two candidates, by the load
/// last heard of, in front; a baseline for measurements.
CandidateOrder LeastOfTwoOrder(const RoutingQuery& query,
                               const RandomHook& random);

}  // namespace wasabiwall::coordination
