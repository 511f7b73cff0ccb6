#pragma once

#include "wasabiwall/coordination/clock.h"
#include "wasabiwall/coordination/router.h"

namespace wasabiwall::coordination {

/// Orders candidates at random by weight. A baseline for benchmarks.
CandidateOrder RandomOrder(const RoutingQuery& query, const RandomHook& random);

}  // namespace wasabiwall::coordination
