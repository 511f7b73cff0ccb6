#include "wasabiwall/coordination/hash_ring.h"

#include <algorithm>
#include <cmath>
#include <string>

#include "wasabiwall/state/digest.h"

namespace wasabiwall::coordination {
namespace {

constexpr double kPointsPerWeight = 100.0;

}  // namespace

HashRing::HashRing(std::span<const Candidate> candidates)
    : m_size(candidates.size()) {
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    const auto points = static_cast<std::uint64_t>(
        std::ceil(kPointsPerWeight * candidates[i].weight));
    for (std::uint64_t point = 0; point < points; ++point) {
      m_points.push_back(
          {state::FastHash(candidates[i].id.value, point + 1), i});
    }
  }
  std::sort(m_points.begin(), m_points.end(),
            [](const Point& a, const Point& b) {
              if (a.position != b.position) return a.position < b.position;
              return a.index < b.index;
            });
}

CandidateOrder HashRing::Walk(std::uint64_t position,
                              std::size_t length) const {
  CandidateOrder order;
  const std::size_t count = std::min(length, m_size);
  std::vector<bool> visited(m_size, false);
  const auto start = std::lower_bound(
      m_points.begin(), m_points.end(), position,
      [](const Point& point, std::uint64_t at) { return point.position < at; });
  auto next = static_cast<std::size_t>(start - m_points.begin());
  while (order.size() < count) {
    const std::size_t index = m_points[next++ % m_points.size()].index;
    if (visited[index]) continue;
    visited[index] = true;
    order.push_back(index);
  }
  return order;
}

}  // namespace wasabiwall::coordination
