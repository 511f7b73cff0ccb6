#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <utility>

#include "wasabiwall/coordination/clock.h"
#include "wasabiwall/state/service_config.h"

namespace wasabiwall::coordination {

/// Calls that wait for a backend server, the most urgent first and the oldest
/// first among those. Does no I/O. Not safe for concurrent use.
class AdmissionQueue {
 public:
  /// Identifies a waiting call.
  using WaiterId = std::uint64_t;

  /// A call that waits.
  struct Waiter {
    state::ServiceId service;
    /// 0 is the most urgent.
    int priority = 0;
    /// When it is given up.
    TimePoint expires;
    /// Tries to place the call.
    /// @return False when there is still no backend server for it.
    std::function<bool()> try_place;
    /// The call has waited for too long.
    std::function<void()> on_expired;
  };

  /// @param capacity Number of calls that may wait.
  explicit AdmissionQueue(std::size_t capacity) : m_capacity(capacity) {}

  /// @return False when the queue is full.
  bool Add(Waiter waiter, WaiterId* ticket);

  /// Takes a call out, such as one whose caller left.
  void Remove(WaiterId ticket);

  /// Places what can be placed and gives up what has expired.
  void Run(TimePoint now);

  std::size_t Size() const { return m_waiters.size(); }

 private:
  using Key = std::pair<int, WaiterId>;

  std::size_t m_capacity;
  WaiterId m_next = 1;
  std::map<Key, Waiter> m_waiters;
  std::map<WaiterId, int> m_priorities;
};

}  // namespace wasabiwall::coordination
