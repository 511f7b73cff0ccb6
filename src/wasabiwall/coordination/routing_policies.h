#pragma once

#include <span>
#include <string_view>

#include "wasabiwall/coordination/clock.h"
#include "wasabiwall/coordination/router.h"

namespace wasabiwall::coordination {

/// Name of the policy that uses a HashRing.
inline constexpr std::string_view kConsistentHash = "consistent_hash";

/// @return Names of all policies, as written in tickets.
std::span<const std::string_view> RoutingPolicyNames();

/// Creates the routing policy that a pool's configuration names.
/// @param name Name as written in tickets; an unknown one, from a newer
/// ticket schema, gives rendezvous_bounded.
/// @param random Random source of the randomized policies.
RoutingPolicy MakeRoutingPolicy(std::string_view name,
                                const RandomHook& random);

}  // namespace wasabiwall::coordination
