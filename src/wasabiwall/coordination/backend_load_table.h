#pragma once

#include <chrono>
#include <unordered_map>

#include "wasabiwall/coordination/clock.h"
#include "wasabiwall/state/strong_id.h"

namespace wasabiwall::coordination {

/// Load that a backend server reported about itself in a response.
struct ReportedLoad {
  int running = 0;
  int waiting = 0;
};

/// Estimates the load of backend servers from their own reports and the calls
/// that this process has sent since. Not safe for concurrent use.
class BackendLoadTable {
 public:
  /// Records that a call was sent.
  void OnSent(const state::BackendServerId& id);

  /// Records the end of a sent call, whatever its outcome.
  void OnFinished(const state::BackendServerId& id);

  /// Records a load report, unless a newer one is held. The report includes the
  /// call that it was received with.
  /// @param now When it was made.
  void OnReport(const state::BackendServerId& id, ReportedLoad load,
                TimePoint now);

  /// Removes a backend server that no longer exists; its entry stays until its
  /// calls have finished.
  void Forget(const state::BackendServerId& id);

  /// @return Calls of this process in flight at the backend server.
  int OwnInFlight(const state::BackendServerId& id) const;

  /// @return Calls of all processes at the backend server, as far as they are
  /// known. The share of other processes decays with the age of the report.
  double Estimate(const state::BackendServerId& id, TimePoint now) const;

  /// @return Expected calls of all processes at the backend server. With the
  /// age of the report, the share of other processes approaches the usual one.
  /// @param usual_others Usual load of other processes at a backend server.
  double Expected(const state::BackendServerId& id, TimePoint now,
                  double usual_others) const;

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
