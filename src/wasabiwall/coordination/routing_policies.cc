#include "wasabiwall/coordination/routing_policies.h"

#include <array>

#include "wasabiwall/coordination/bounded_rendezvous_policy.h"
#include "wasabiwall/coordination/consistent_hash_policy.h"
#include "wasabiwall/coordination/least_of_two_policy.h"
#include "wasabiwall/coordination/random_policy.h"
#include "wasabiwall/coordination/rendezvous_policy.h"

namespace wasabiwall::coordination {
namespace {

constexpr std::array<std::string_view, 5> kNames = {
    "random", "least_of_two", kConsistentHash, "rendezvous",
    "rendezvous_bounded"};

}  // namespace

std::span<const std::string_view> RoutingPolicyNames() { return kNames; }

RoutingPolicy MakeRoutingPolicy(std::string_view name,
                                const RandomHook& random) {
  if (name == "random") {
    return [random](const auto& query) { return RandomOrder(query, random); };
  }
  if (name == "least_of_two") {
    return
        [random](const auto& query) { return LeastOfTwoOrder(query, random); };
  }
  if (name == kConsistentHash) return &ConsistentHashOrder;
  if (name == "rendezvous") return &RendezvousOrder;
  return &BoundedRendezvousOrder;
}

}  // namespace wasabiwall::coordination
