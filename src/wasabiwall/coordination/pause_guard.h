#pragma once

#include <chrono>
#include <mutex>
#include <optional>

#include "wasabiwall/coordination/clock.h"

namespace wasabiwall::coordination {

/// Detects from a gap between regular ticks that the process was paused. After
/// a pause, configuration and VM list count as stale until both have been read
/// again. Safe for concurrent use.
class PauseGuard {
 public:
  /// @param max_gap Longest gap between ticks that is not taken as a pause.
  explicit PauseGuard(std::chrono::milliseconds max_gap);

  /// Records a regular tick. No pause is detected before the first one.
  void OnTick(TimePoint now);

  /// Records a complete read of the configuration.
  /// @param began_at Start time of the read; one started before the end of a
  /// pause may hold stale data and is ignored.
  void OnConfigurationRead(TimePoint began_at);

  /// Records a complete read of the VM list.
  void OnVmListRead(TimePoint began_at);

  /// @return Whether configuration and VM list were read since the last pause.
  bool IsConfirmed(TimePoint now);

  /// @return Whether the configuration must be read again after a pause.
  bool NeedsConfigurationRead(TimePoint now);

 private:
  void DetectPause(TimePoint now);

  std::chrono::milliseconds m_max_gap;
  std::mutex m_mutex;
  std::optional<TimePoint> m_last_tick;
  TimePoint m_resumed_at;
  bool m_configuration_read = true;
  bool m_vm_list_read = true;
};

}  // namespace wasabiwall::coordination
