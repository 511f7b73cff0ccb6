#pragma once

#include <cstdint>
#include <mutex>

#include "wasabiwall/coordination/warmup_limit.h"
#include "wasabiwall/protocol/error_kind.h"
#include "wasabiwall/state/config_records.h"

namespace wasabiwall::coordination {

/// Decides at the side process whether its backend server takes one more
/// call. Safe for concurrent use.
class AdmissionController {
 public:
  AdmissionController();

  /// Takes over the pool's limits.
  void Configure(const state::Pool& pool);

  /// Admits or refuses one call and books its cost. An idle backend server
  /// takes any one call; otherwise its load stays within the larger of the
  /// floor and the set multiple of the mean, within ceiling and warm-up limit.
  /// @param cost_units Load units of the call.
  /// @param others_load_units Sum of the load of the pool's other members.
  /// @param others_count Number of the pool's other members.
  /// @return Number of the warm-up in progress, to be given to Finish;
  /// kOverloaded or kWarmingUp when refused.
  protocol::Result<std::int64_t> Admit(std::int64_t cost_units,
                                       std::int64_t others_load_units,
                                       std::int64_t others_count);

  /// Returns the cost of an admitted call.
  /// @param warmup What Admit returned; calls admitted before the warm-up in
  /// progress do not let its limit grow.
  /// @param fast Whether the backend server gave a whole answer fast enough
  /// to bear more.
  void Finish(std::int64_t cost_units, std::int64_t warmup, bool fast);

  /// Falls back to the limit of a cold backend server.
  void RestartWarmup(WarmupStart start);

  /// @return Whether what is admitted is within the warm-up limit now.
  bool IsWithinWarmupLimit() const;

  /// @return Whether what is admitted could be borne by a cold engine.
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
