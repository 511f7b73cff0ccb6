#include "wasabiwall/coordination/rendezvous_homes.h"

#include <algorithm>
#include <utility>

#include "wasabiwall/state/digest.h"

namespace wasabiwall::coordination {

std::vector<std::string> RendezvousHomes(const ProcessAddresses& members,
                                         std::uint64_t key, std::size_t count) {
  std::vector<std::pair<std::uint64_t, const std::string*>> ranked;
  ranked.reserve(members.size());
  for (const auto& [name, address] : members) {
    ranked.emplace_back(state::FastHash(name, key), &name);
  }
  const auto homes = std::min(count, ranked.size());
  std::partial_sort(
      ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(homes),
      ranked.end(),
      [](const auto& a, const auto& b) { return a.first > b.first; });
  std::vector<std::string> names;
  names.reserve(homes);
  for (std::size_t i = 0; i < homes; ++i) names.push_back(*ranked[i].second);
  return names;
}

}  // namespace wasabiwall::coordination
