#pragma once

#include <cstdint>
#include <span>
#include <vector>

#include "wasabiwall/coordination/router.h"

namespace wasabiwall::coordination {

/// Consistent hashing ring; each candidate has a number of virtual nodes in
/// proportion to its weight. Immutable.
class HashRing {
 public:
  explicit HashRing(std::span<const Candidate> candidates);

  /// Walks the ring clockwise from a position.
  /// @param position Hash of the routing key.
  /// @param length Largest number of candidates to return.
  /// @return Indexes of distinct candidates in ring order.
  CandidateOrder Walk(std::uint64_t position, std::size_t length) const;

 private:
  struct Point {
    std::uint64_t position;
    std::size_t index;
  };

  std::size_t m_size;
  std::vector<Point> m_points;
};

}  // namespace wasabiwall::coordination
