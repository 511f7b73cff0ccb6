#pragma once

#include <cstdint>

namespace wasabiwall::coordination {

/// Load that a backend server may carry after its start: small at first, grown
/// by completed work, back to the start when the engine turns cold again.
class WarmupLimit {
 public:
  /// @param start_units Limit of a cold backend server, in load units.
  /// @param ceiling_units Limit of a warm one, in load units.
  WarmupLimit(std::int64_t start_units, std::int64_t ceiling_units);

  /// Raises the limit by completed work.
  /// @param cost_units Load units of the completed call.
  void OnCompletion(std::int64_t cost_units);

  /// Falls back to the start.
  void OnCold();

  /// Takes over changed bounds, keeping the progress made.
  void SetBounds(std::int64_t start_units, std::int64_t ceiling_units);

  /// @return Load units that may be carried now.
  std::int64_t Units() const { return m_units; }

 private:
  std::int64_t m_start_units;
  std::int64_t m_ceiling_units;
  std::int64_t m_units;
};

}  // namespace wasabiwall::coordination
