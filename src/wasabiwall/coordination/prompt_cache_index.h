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

/// Remembers which backend servers have lately read a shared part of a prompt
/// for this process. Bounded; forgets the parts used longest ago. Not safe for
/// concurrent use.
class PromptCacheIndex {
 public:
  /// @param capacity Number of parts to remember.
  explicit PromptCacheIndex(std::size_t capacity) : m_capacity(capacity) {}

  /// A backend server has begun to answer a call with this part.
  void OnRead(std::uint64_t part, const state::BackendServerId& holder,
              TimePoint now);

  /// @return Whether the backend server read the part lately.
  bool IsHeldBy(std::uint64_t part, const state::BackendServerId& id,
                TimePoint now) const;

  /// @return Backend servers that read the part lately, the latest first.
  std::vector<state::BackendServerId> Holders(std::uint64_t part,
                                              TimePoint now) const;

 private:
  struct Holder {
    state::BackendServerId id;
    TimePoint read_at;
  };
  struct Part {
    std::uint64_t key = 0;
    /// The latest first.
    std::vector<Holder> holders;
  };

  std::size_t m_capacity;
  /// The latest used first.
  std::list<Part> m_parts;
  std::unordered_map<std::uint64_t, std::list<Part>::iterator> m_by_key;
};

}  // namespace wasabiwall::coordination
