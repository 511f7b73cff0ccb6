#pragma once

#include <cstdint>
#include <mutex>

#include "wasabiwall/coordination/warmup_limit.h"
#include "wasabiwall/protocol/error_kind.h"
#include "wasabiwall/state/config_records.h"

namespace wasabiwall::coordination {

/// Admission control of one backend server: bounds its load relative to the
/// pool's mean, by a ceiling and by the warm-up limit. Safe for concurrent
/// use.
class AdmissionController {
 public:
  AdmissionController();

  /// Sets the limits from the pool's configuration.
  void Configure(const state::Pool& pool);

  /// Admits one call and adds its cost to the load, or refuses it. An idle
  /// backend server admits any one call; otherwise the load must stay within
  /// the larger of the floor and `max_load_ratio` times the pool's mean, and
  /// within ceiling and warm-up limit.
  /// @param cost_units Load units of the call.
  /// @param others_load_units Sum of the load of the pool's other members.
  /// @param others_count Number of the pool's other members.
  /// @return Number of the current warm-up, to be passed to Finish; kOverloaded
  /// or kWarmingUp when refused.
  protocol::Result<std::int64_t> Admit(std::int64_t cost_units,
                                       std::int64_t others_load_units,
                                       std::int64_t others_count);

  /// Subtracts the cost of an admitted call that has ended.
  /// @param warmup Result of Admit; calls admitted before the current warm-up
  /// do not raise its limit.
  /// @param fast Whether the backend server completed the answer fast enough
  /// to raise the limit.
  void Finish(std::int64_t cost_units, std::int64_t warmup, bool fast);

  /// Starts a new warm-up at the limit of a cold backend server.
  void RestartWarmup(WarmupReason reason);

  /// @return Whether the admitted calls are within the current warm-up limit.
  bool IsWithinWarmupLimit() const;

  /// @return Whether the admitted calls are within the limit of a cold engine.
  bool FitsColdLimit() const;

  std::int64_t LoadUnits() const;
  std::int64_t Running() const;
  std::int64_t WarmupUnits() const;

 private:
  mutable std::mutex m_mutex;
  state::Pool m_pool;
  WarmupLimit m_warmup;
  std::int64_t m_load_units = 0;
  std::int64_t m_running = 0;
  std::int64_t m_warmup_number = 0;
};

}  // namespace wasabiwall::coordination
