#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <unordered_map>

#include "wasabiwall/coordination/clock.h"
#include "wasabiwall/state/strong_id.h"

namespace wasabiwall::coordination {

/// Limits the rate of the calls that this process sends to a cold backend
/// server, so that all processes together stay within the rate that it
/// sustains. If that is less than one call per second for each process, each
/// process starts at its own random offset, since all of them discover the
/// backend server at the same time. Not safe for concurrent use.
class ColdStartLimiter {
 public:
  /// @param seed Randomizes the start offset; differs between processes.
  explicit ColdStartLimiter(std::uint64_t seed) : m_seed(seed) {}

  /// @param total_per_second Calls per second that a cold backend server
  /// sustains from all processes.
  /// @param processes Number of processes that may send to it.
  /// @return Calls per second that this process may send; may be below 1.
  static double PerProcessRate(double total_per_second, int processes);

  /// @param rate Calls per second that this process may send.
  /// @param cold_since Time at which the backend server became cold.
  /// @return Whether another call may be sent now.
  bool Allows(const state::BackendServerId& id, double rate,
              TimePoint cold_since, TimePoint now) const;

  /// Records that a call was sent.
  void OnSent(const state::BackendServerId& id, TimePoint now);

  /// Removes the state of a backend server that no longer exists.
  void Forget(const state::BackendServerId& id) { m_sent.erase(id); }

 private:
  /// @return Fraction of the interval between two calls after which the first
  /// one may be sent, 0 to 1.
  double StartOffset(const state::BackendServerId& id) const;

  std::uint64_t m_seed;
  std::unordered_map<state::BackendServerId, std::deque<TimePoint>> m_sent;
};

}  // namespace wasabiwall::coordination
