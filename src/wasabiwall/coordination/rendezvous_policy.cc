#include "wasabiwall/coordination/rendezvous_policy.h"

#include <algorithm>
#include <cmath>

#include "wasabiwall/state/digest.h"

namespace wasabiwall::coordination {
namespace {

/// Exponential variate divided by the weight; each candidate has the smallest
/// cost with a probability in proportion to its weight.
struct Scored {
  double cost;
  std::size_t index;

  bool operator<(const Scored& other) const {
    if (cost != other.cost) return cost < other.cost;
    return index < other.index;
  }
};

/// Finalizer of SplitMix64.
std::uint64_t Mix(std::uint64_t bits) {
  bits = (bits ^ (bits >> 30U)) * 0xbf58476d1ce4e5b9U;
  bits = (bits ^ (bits >> 27U)) * 0x94d049bb133111ebU;
  return bits ^ (bits >> 31U);
}

/// @return A hash-based value in (0, 1) of candidate and chat.
double Uniform(const Candidate& candidate, std::uint64_t chat_hash) {
  const std::uint64_t id_hash = candidate.id_hash != 0
                                    ? candidate.id_hash
                                    : state::FastHash(candidate.id.value);
  const std::uint64_t hash = Mix(id_hash ^ chat_hash);
  return (static_cast<double>(hash >> 11U) + 0.5) * 0x1p-53;
}

}  // namespace

CandidateOrder RendezvousOrder(const RoutingQuery& query) {
  const std::size_t length = OrderLength(query);
  if (length == 0) return {};
  const std::uint64_t chat_hash = Mix(ChatHash(query));
  // Max-heap of the best `length` candidates so far.
  std::vector<Scored> best;
  best.reserve(length + 1);
  for (std::size_t i = 0; i < query.candidates.size(); ++i) {
    const Candidate& candidate = query.candidates[i];
    const double uniform = Uniform(candidate, chat_hash);
    // As -ln(u) >= 1 - u, most candidates are skipped without a logarithm.
    const bool full = best.size() == length;
    if (full && 1.0 - uniform > best.front().cost * candidate.weight) {
      continue;
    }
    const Scored scored{-std::log(uniform) / candidate.weight, i};
    if (full && !(scored < best.front())) continue;
    best.push_back(scored);
    std::push_heap(best.begin(), best.end());
    if (best.size() <= length) continue;
    std::pop_heap(best.begin(), best.end());
    best.pop_back();
  }
  std::sort_heap(best.begin(), best.end());
  CandidateOrder order;
  order.reserve(length);
  for (const Scored& scored : best) order.push_back(scored.index);
  return order;
}

}  // namespace wasabiwall::coordination
