#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <tuple>
#include <vector>

#include "wasabiwall/coordination/clock.h"
#include "wasabiwall/state/service_config.h"

namespace wasabiwall::coordination {

/// Priority queue of calls that wait for a backend server: the most urgent
/// first, those whose response has begun before others, in order of arrival
/// among equals. Does no I/O. Not safe for concurrent use.
class AdmissionQueue {
 public:
  /// Identifies a waiting call.
  using WaiterId = std::uint64_t;

  /// Waiting call with its callbacks.
  struct Waiter {
    state::ServiceId service;
    /// Backend servers of the service at which the call is not to be placed.
    std::vector<state::BackendServerId> excluded;
    /// 0 is the most urgent.
    int priority = 0;
    /// Whether its caller has a part of the response. It goes before others of
    /// its priority, and enters a full queue, since there are no more of these
    /// than calls in progress.
    bool response_begun = false;
    /// Time at which the call leaves the queue and on_expired is called.
    TimePoint expires;
    /// Tries to place the call.
    /// @return False if no backend server can take it yet.
    std::function<bool()> try_place;
    /// Called when the call has reached its expiry without being placed.
    std::function<void()> on_expired;
  };

  /// @param capacity Largest number of waiting calls.
  explicit AdmissionQueue(std::size_t capacity) : m_capacity(capacity) {}

  /// Adds a call and sets `id`.
  /// @return False if the queue is full.
  bool Add(Waiter waiter, WaiterId* id);

  /// Removes a call, for instance because its caller disconnected.
  void Remove(WaiterId id);

  /// Removes expired calls and tries to place the others. Once a call could not
  /// be placed, skips the remaining ones of its service that have at most the
  /// same choice of backend servers.
  void Run(TimePoint now);

  std::size_t Size() const { return m_waiters.size(); }

 private:
  /// Priority, whether the response has not begun, order of arrival.
  using Key = std::tuple<int, bool, WaiterId>;
  using Exclusions = std::set<std::vector<state::BackendServerId>>;

  std::size_t m_capacity;
  WaiterId m_next_id = 1;
  std::map<Key, Waiter> m_waiters;
  std::map<WaiterId, Key> m_keys;
};

}  // namespace wasabiwall::coordination
