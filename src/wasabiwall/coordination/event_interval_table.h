#pragma once

#include <chrono>
#include <optional>
#include <unordered_map>
#include <vector>

#include "wasabiwall/coordination/clock.h"
#include "wasabiwall/state/strong_id.h"

namespace wasabiwall::coordination {

/// Detects engines that are slow compared with the other engines of their
/// service, from the intervals between the events of their streams. No other
/// check notices an engine that responds without errors but takes a multiple of
/// the time. Not safe for concurrent use.
class EventIntervalTable {
 public:
  /// Records an event of a stream.
  /// @param interval Time since the previous event of the stream.
  void OnEvent(const state::BackendServerId& id,
               std::chrono::microseconds interval, TimePoint now);

  /// Removes the state of a backend server that no longer exists.
  void Forget(const state::BackendServerId& id) { m_entries.erase(id); }

  /// @return Moving average of the interval; nothing if there were too few
  /// events or the last one is too old, so that calls are sent to a slow engine
  /// again.
  std::optional<std::chrono::microseconds> MeanInterval(
      const state::BackendServerId& id, TimePoint now) const;

  /// @return Interval from which an engine counts as slow among `peers`;
  /// nothing if too few of them have a mean interval.
  std::optional<std::chrono::microseconds> SlowThreshold(
      const std::vector<state::BackendServerId>& peers, TimePoint now) const;

 private:
  struct Entry {
    std::chrono::duration<double, std::micro> mean{0};
    int events = 0;
    TimePoint last;
  };

  std::unordered_map<state::BackendServerId, Entry> m_entries;
};

}  // namespace wasabiwall::coordination
