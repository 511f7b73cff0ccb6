#pragma once

#include <chrono>
#include <cstdint>
#include <list>
#include <string>
#include <unordered_map>
#include <vector>

#include "wasabiwall/coordination/clock.h"
#include "wasabiwall/state/strong_id.h"

namespace wasabiwall::coordination {

/// Bounded index of the backend servers that have recently read a shared prompt
/// part and so probably have it in their prompt cache, as seen by this process
/// or reported by other gateways. Evicts the part whose last read is the
/// oldest. Not safe for concurrent use.
class PromptCacheIndex {
 public:
  /// @param capacity Largest number of parts.
  explicit PromptCacheIndex(std::size_t capacity) : m_capacity(capacity) {}

  /// Records that a backend server has begun to answer a call with this part.
  void OnRead(std::uint64_t part, const state::BackendServerId& holder,
              TimePoint now);

  /// @return Whether the backend server has recently read the part.
  bool IsHeldBy(std::uint64_t part, const state::BackendServerId& id,
                TimePoint now) const;

  /// @return Backend servers that have recently read the part, the most recent
  /// first.
  std::vector<state::BackendServerId> Holders(std::uint64_t part,
                                              TimePoint now) const;

 private:
  struct Holder {
    state::BackendServerId id;
    TimePoint read_at;
  };
  struct Part {
    std::uint64_t key = 0;
    /// The most recent first.
    std::vector<Holder> holders;
  };

  std::size_t m_capacity;
  /// The most recently read first.
  std::list<Part> m_parts;
  std::unordered_map<std::uint64_t, std::list<Part>::iterator> m_by_key;
};

}  // namespace wasabiwall::coordination
