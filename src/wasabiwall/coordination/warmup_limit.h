#pragma once

#include <cstdint>

namespace wasabiwall::coordination {

/// Limits at the start and at the end of a warm-up.
struct WarmupBounds {
  /// Load units and calls allowed at a cold backend server.
  std::int64_t start_units = 0;
  std::int64_t start_calls = 0;
  /// Load units allowed at a warm backend server.
  std::int64_t ceiling_units = 0;
};

/// Why a warm-up restarts.
enum class WarmupReason {
  /// The engine has lost its caches or was just started.
  kCold,
  /// The failure domain takes new work again; the engine kept running.
  kReturned,
};

/// Slow start of a backend server: its load limit starts small, grows with
/// completed calls and falls back to the start when the engine turns cold. The
/// limit grows by a bounded factor once a round; a round is as many
/// completions as the limit allowed calls.
class WarmupLimit {
 public:
  explicit WarmupLimit(const WarmupBounds& bounds);

  /// Counts a call that was admitted since the last restart and answered fast
  /// enough.
  void OnCompletion();

  /// Resets the limit to its start. An engine that was not yet warm when its
  /// failure domain was taken out restarts as a cold one.
  void Restart(WarmupReason reason);

  /// Applies changed bounds and keeps the progress of the warm-up.
  void SetBounds(const WarmupBounds& bounds);

  /// @return Current limit in load units.
  std::int64_t Units() const { return m_units; }

  /// @return Current limit on concurrent calls.
  std::int64_t Calls() const { return m_calls; }

 private:
  WarmupBounds m_bounds;
  WarmupReason m_reason = WarmupReason::kCold;
  std::int64_t m_units;
  std::int64_t m_calls;
  std::int64_t m_round_completions = 0;
};

}  // namespace wasabiwall::coordination
