#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <unordered_map>

#include "wasabiwall/coordination/clock.h"
#include "wasabiwall/state/strong_id.h"

namespace wasabiwall::coordination {

/// Bounds the calls a second that this process sends to a cold backend server,
/// so that the shares of all processes together stay within what it bears.
/// Where that is less than a call a second for each, a process starts at a
/// random moment, since all hear of the backend server at once. Not safe for
/// concurrent use.
class ColdStartLimiter {
 public:
  /// @param seed Differs between processes.
  explicit ColdStartLimiter(std::uint64_t seed) : m_seed(seed) {}

  /// @param total_per_second Calls in any one second that a cold backend
  /// server bears from all processes.
  /// @param processes Number of processes that may send to it.
  /// @return Calls a second that this process may send; may be under 1.
  static double ShareOf(double total_per_second, int processes);

  /// @param cold_since When the backend server turned cold.
  /// @return Whether another call may be sent now.
  bool HasRoom(const state::BackendServerId& id, double share,
               TimePoint cold_since, TimePoint now) const;

  /// Records a call that was sent.
  void OnSent(const state::BackendServerId& id, TimePoint now);

  /// The backend server is gone.
  void Forget(const state::BackendServerId& id) { m_sent.erase(id); }

 private:
  /// @return Part of the pause between two calls after which the first one may
  /// be sent, 0 to 1.
  double PhaseOf(const state::BackendServerId& id) const;

  std::uint64_t m_seed;
  std::unordered_map<state::BackendServerId, std::deque<TimePoint>> m_sent;
};

}  // namespace wasabiwall::coordination
