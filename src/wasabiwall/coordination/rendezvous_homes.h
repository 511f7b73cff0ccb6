#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace wasabiwall::coordination {

/// Addresses of the processes of a fleet, by name.
using ProcessAddresses = std::map<std::string, std::string>;

/// Chooses the processes that keep what the fleet knows of a key, by rendezvous
/// hashing, so that all processes agree and few keys move when one comes or
/// goes.
/// @param count Largest number of homes.
/// @return Names, the first home first.
std::vector<std::string> RendezvousHomes(const ProcessAddresses& members,
                                         std::uint64_t key, std::size_t count);

}  // namespace wasabiwall::coordination
