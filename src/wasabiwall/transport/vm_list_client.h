#pragma once

#include <chrono>
#include <string>
#include <tl/expected.hpp>
#include <unordered_map>

#include "wasabiwall/coordination/membership.h"
#include "wasabiwall/transport/http_client.h"

namespace wasabiwall::transport {

using VmList =
    std::unordered_map<state::BackendServerId, coordination::VmState>;

/// Reads the platform's VM list: `{"vms":[{"name":…,"state":"live|leaving"}]}`.
/// @param url URL of the list.
/// @param timeout Longest time for the whole call.
/// @return The list by VM name, or why there is none. A malformed list counts
/// as kBroken.
tl::expected<VmList, HttpFailure> FetchVmList(
    const std::string& url, std::chrono::milliseconds timeout);

}  // namespace wasabiwall::transport
