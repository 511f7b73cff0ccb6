#pragma once

#include <chrono>
#include <unordered_map>

#include "wasabiwall/coordination/clock.h"
#include "wasabiwall/state/strong_id.h"

namespace wasabiwall::coordination {

/// Load that a backend server reported about itself with an answer.
struct ReportedLoad {
  int running = 0;
  int waiting = 0;
};

/// Estimates the total load of backend servers from their own reports and the
/// calls that this process has sent since. Not safe for concurrent use.
class BackendLoadTable {
 public:
  /// A call was handed to the backend server.
  void OnSent(const state::BackendServerId& id);

  /// A call that was handed over is finished, in whichever way.
  void OnFinished(const state::BackendServerId& id);

  /// The backend server told its load, the call that brought it included.
  void OnReport(const state::BackendServerId& id, ReportedLoad load,
                TimePoint now);

  /// The backend server is gone; its entry stays until its calls are finished.
  void Forget(const state::BackendServerId& id);

  /// @return Calls of this process that the backend server works on.
  int OwnInFlight(const state::BackendServerId& id) const;

  /// @return Estimated calls of all processes at the backend server. The part
  /// of others fades with the age of the report.
  double Estimate(const state::BackendServerId& id, TimePoint now) const;

 private:
  struct Entry {
    int own = 0;
    /// Load of other processes at the time of the last report.
    double others = 0;
    TimePoint reported_at;
    bool gone = false;
  };

  std::unordered_map<state::BackendServerId, Entry> m_entries;
};

}  // namespace wasabiwall::coordination
