#pragma once

#include <cstdint>

namespace wasabiwall::coordination {

/// Limits at the start of a warm-up and at its end.
struct WarmupBounds {
  /// Load units and calls that a cold backend server may carry.
  std::int64_t start_units = 0;
  std::int64_t start_calls = 0;
  /// Load units that a warm one may carry.
  std::int64_t ceiling_units = 0;
};

/// Why a warm-up starts again.
enum class WarmupStart {
  /// The engine has lost its warmth or has not yet shown any.
  kCold,
  /// Its failure domain takes new work again; the same engine ran on.
  kReturned,
};

/// Load that a backend server may carry after its start: small at first, grown
/// by completed work, back to the start when the engine turns cold again. It
/// grows once a round, by a bounded factor; a round is as many completions as
/// calls were allowed in it.
class WarmupLimit {
 public:
  explicit WarmupLimit(const WarmupBounds& bounds);

  /// Counts a call, admitted since the last restart, that was answered fast
  /// enough.
  void OnCompletion();

  /// Falls back to the start. An engine that was not yet warm when its failure
  /// domain went out starts cold again.
  void Restart(WarmupStart start);

  /// Takes over changed bounds, keeping the progress made.
  void SetBounds(const WarmupBounds& bounds);

  /// @return Load units that may be carried now.
  std::int64_t Units() const { return m_units; }

  /// @return Calls that may be in progress now.
  std::int64_t Calls() const { return m_calls; }

 private:
  WarmupBounds m_bounds;
  WarmupStart m_start = WarmupStart::kCold;
  std::int64_t m_units;
  std::int64_t m_calls;
  std::int64_t m_round_completions = 0;
};

}  // namespace wasabiwall::coordination
