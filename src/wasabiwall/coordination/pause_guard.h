#pragma once

#include <chrono>
#include <mutex>
#include <optional>

#include "wasabiwall/coordination/clock.h"

namespace wasabiwall::coordination {

/// Finds from a gap between regular ticks that the process was paused. From
/// then on it does not vouch for what it knows until configuration and VM list
/// have been read again. Safe for concurrent use.
class PauseGuard {
 public:
  /// @param max_gap Longest gap between ticks that is no pause.
  explicit PauseGuard(std::chrono::milliseconds max_gap);

  /// Notes a regular tick. Before the first one no pause is found.
  void OnTick(TimePoint now);

  /// Notes a complete read of the configuration.
  /// @param began_at When the read was begun; one begun before the end of a
  /// pause may have brought what was true before it.
  void OnConfigurationRead(TimePoint began_at);

  /// Notes a complete read of the VM list.
  void OnVmListRead(TimePoint began_at);

  /// @return Whether configuration and VM list can be vouched for.
  bool Confirmed(TimePoint now);

  /// @return Whether the configuration has to be read again.
  bool ConfigurationWanted(TimePoint now);

 private:
  void FindPause(TimePoint now);

  std::chrono::milliseconds m_max_gap;
  std::mutex m_mutex;
  std::optional<TimePoint> m_last_tick;
  TimePoint m_resumed_at;
  bool m_configuration_read = true;
  bool m_vm_list_read = true;
};

}  // namespace wasabiwall::coordination
