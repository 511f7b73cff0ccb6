#pragma once

#include <chrono>
#include <deque>
#include <unordered_map>

#include "wasabiwall/coordination/clock.h"
#include "wasabiwall/state/strong_id.h"

namespace wasabiwall::coordination {

/// Bounds the calls a second that this process sends to a cold backend server,
/// so that the shares of all processes together stay within what it bears.
/// Not safe for concurrent use.
class ColdStartLimiter {
 public:
  /// @param total_per_second Calls in any one second that a cold backend
  /// server bears from all processes.
  /// @param processes Number of processes that may send to it.
  /// @return Calls in any one second that this process may send; at least 1.
  static int ShareOf(double total_per_second, int processes);

  /// @return Whether another call may be sent now.
  bool HasRoom(const state::BackendServerId& id, int share,
               TimePoint now) const;

  /// Records a call that was sent.
  void OnSent(const state::BackendServerId& id, TimePoint now);

  /// The backend server is gone.
  void Forget(const state::BackendServerId& id) { m_sent.erase(id); }

 private:
  std::unordered_map<state::BackendServerId, std::deque<TimePoint>> m_sent;
};

}  // namespace wasabiwall::coordination
