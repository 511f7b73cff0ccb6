#include "wasabiwall/transport/header_name_set.h"

#include <cctype>
#include <random>
#include <string>

#include "wasabiwall/state/digest.h"
#include "wasabiwall/transport/http1_message.h"

namespace wasabiwall::transport {
namespace {

/// Differs for each process, so that nobody can choose names that collide.
std::uint64_t HashSeed() {
  static const std::uint64_t seed = std::random_device{}();
  return seed;
}

}  // namespace

HeaderNameSet::HeaderNameSet() : m_names(0, Hash{}, Equal{&m_comparisons}) {}

std::size_t HeaderNameSet::Hash::operator()(std::string_view name) const {
  std::string lower(name);
  for (char& c : lower) {
    c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
  }
  return state::FastHash(lower, HashSeed());
}

bool HeaderNameSet::Equal::operator()(std::string_view a,
                                      std::string_view b) const {
  ++*comparisons;
  return EqualsIgnoringCase(a, b);
}

}  // namespace wasabiwall::transport
