#pragma once

#include "wasabiwall/coordination/clock.h"
#include "wasabiwall/coordination/router.h"

namespace wasabiwall::coordination {

/// Power of two choices: random order in which the less loaded of the first
/// two candidates comes first. A baseline for benchmarks.
CandidateOrder LeastOfTwoOrder(const RoutingQuery& query,
                               const RandomHook& random);

}  // namespace wasabiwall::coordination
