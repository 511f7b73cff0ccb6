#pragma once

#include <vector>

#include "wasabiwall/coordination/clock.h"
#include "wasabiwall/coordination/pool_load_estimate.h"
#include "wasabiwall/protocol/gen/wasabiwall_types.h"

namespace wasabiwall::coordination {

/// @return Reports of the newest loads that a process has been told.
std::vector<protocol::gen::LoadReport> LoadReportsOf(
    const PoolLoadEstimate& loads, TimePoint now);

}  // namespace wasabiwall::coordination
