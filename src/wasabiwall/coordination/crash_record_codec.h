#pragma once

#include <vector>

#include "wasabiwall/coordination/crash_records.h"
#include "wasabiwall/protocol/gen/wasabiwall_types.h"

namespace wasabiwall::coordination {

/// @return Records of a message between entries and side processes.
std::vector<CrashRecord> FromThrift(
    const std::vector<protocol::gen::CrashRecord>& messages);

/// @return Records for a message between entries and side processes.
std::vector<protocol::gen::CrashRecord> ToThrift(
    const std::vector<CrashRecord>& records);

}  // namespace wasabiwall::coordination
