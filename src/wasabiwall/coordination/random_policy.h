#pragma once

#include "wasabiwall/coordination/clock.h"
#include "wasabiwall/coordination/router.h"

namespace wasabiwall::coordination {

/// Weighted random order; a baseline for measurements.
CandidateOrder RandomOrder(const RoutingQuery& query, const RandomHook& random);

}  // namespace wasabiwall::coordination
