#include "wasabiwall/coordination/router.h"

#include <algorithm>
#include <cmath>
#include <limits>

#include "wasabiwall/state/digest.h"

namespace wasabiwall::coordination {
namespace {

struct Scored {
  double score;
  std::size_t index;
};

/// Weighted rendezvous score: -weight / ln(u) with u uniform in (0, 1).
double RendezvousScore(const Candidate& candidate, std::uint64_t chat_hash) {
  const std::uint64_t hash = state::FastHash(candidate.id.value, chat_hash);
  const double uniform =
      (static_cast<double>(hash >> 11U) + 0.5) * std::ldexp(1.0, -53);
  return -candidate.weight / std::log(uniform);
}

}  // namespace

std::vector<Candidate> OrderByRendezvous(const RoutingQuery& query) {
  const std::uint64_t chat_hash =
      state::FastHash(query.chat.value, state::FastHash(query.workspace.value));
  std::vector<Scored> scored;
  scored.reserve(query.candidates.size());
  for (std::size_t i = 0; i < query.candidates.size(); ++i) {
    scored.push_back({RendezvousScore(query.candidates[i], chat_hash), i});
  }
  std::sort(scored.begin(), scored.end(),
            [](const Scored& a, const Scored& b) { return a.score > b.score; });
  std::vector<Candidate> ordered;
  ordered.reserve(scored.size());
  for (const Scored& entry : scored) {
    ordered.push_back(query.candidates[entry.index]);
  }
  return ordered;
}

}  // namespace wasabiwall::coordination
