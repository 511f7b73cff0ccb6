#pragma once

#include <chrono>
#include <optional>
#include <unordered_map>
#include <vector>

#include "wasabiwall/coordination/clock.h"
#include "wasabiwall/state/strong_id.h"

namespace wasabiwall::coordination {

/// Detects engines that are slow against the others of their service from the
/// pauses between the events of streams. An engine that answers without errors
/// but takes a multiple of the time is noticed by nothing else. Not safe for
/// concurrent use.
class EventIntervalTable {
 public:
  /// An event came after a pause since the one before it.
  void OnEvent(const state::BackendServerId& id,
               std::chrono::microseconds pause, TimePoint now);

  /// The backend server is gone.
  void Forget(const state::BackendServerId& id) { m_entries.erase(id); }

  /// @return Mean pause of late; nothing when too few events came or the last
  /// of them is too long ago, so that a slow engine is tried again.
  std::optional<std::chrono::microseconds> MeanInterval(
      const state::BackendServerId& id, TimePoint now) const;

  /// @return Pause from which an engine counts as slow beside these; nothing
  /// when too few of them are known.
  std::optional<std::chrono::microseconds> SlowThreshold(
      const std::vector<state::BackendServerId>& peers, TimePoint now) const;

 private:
  struct Entry {
    std::chrono::duration<double, std::micro> pace{0};
    int events = 0;
    TimePoint last;
  };

  std::unordered_map<state::BackendServerId, Entry> m_entries;
};

}  // namespace wasabiwall::coordination
