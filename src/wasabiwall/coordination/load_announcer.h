#pragma once

#include <chrono>
#include <functional>
#include <optional>
#include <unordered_map>

#include "wasabiwall/coordination/backend_load_table.h"
#include "wasabiwall/coordination/clock.h"
#include "wasabiwall/protocol/load_message.h"
#include "wasabiwall/state/strong_id.h"

namespace wasabiwall::coordination {

/// Tells the other gateways of backend servers that have reached their load
/// bound. Each announcement waits for a short random time and is left out if
/// another gateway announces the same backend server meanwhile, so that
/// messages grow with the loaded backend servers and not with the gateways that
/// notice. Does no I/O. Not safe for concurrent use.
class LoadAnnouncer {
 public:
  struct Hooks {
    /// Sends to all other gateways.
    std::function<void(const protocol::LoadMessage&)> announce;
    /// @return Whether the backend server is in the registry.
    std::function<bool(const state::BackendServerId&)> is_known;
    RandomHook random;
  };

  /// @param loads Takes the loads that other gateways announce.
  LoadAnnouncer(BackendLoadTable* loads, Hooks hooks);

  /// Records the load that a backend server reported in an answer to this
  /// gateway.
  /// @param bound Load up to which it gets further calls.
  void OnReport(const state::BackendServerId& server, ReportedLoad load,
                double bound, TimePoint now);

  /// Handles an announcement of another gateway.
  void OnMessage(const protocol::LoadMessage& message, TimePoint now);

  /// @return When SendDue is to be called next; nothing while nothing waits.
  std::optional<TimePoint> NextDue() const;

  /// Sends the announcements whose time has come.
  void SendDue(TimePoint now);

  /// Removes a backend server that no longer exists.
  void Forget(const state::BackendServerId& server);

 private:
  struct Announced {
    TimePoint at;
    int calls;
  };

  struct Pending {
    int calls;
    TimePoint reported_at;
    TimePoint due;
  };

  /// @return Shortest time from the last announcement of a backend server to
  /// that of a load.
  std::chrono::milliseconds Interval(const Announced& last, int calls) const;
  void OnAnnounced(const state::BackendServerId& server, int calls,
                   TimePoint now);

  BackendLoadTable* m_loads;
  Hooks m_hooks;
  std::unordered_map<state::BackendServerId, Pending> m_pending;
  /// Last announcement of each backend server, by whichever gateway.
  std::unordered_map<state::BackendServerId, Announced> m_announced;
};

}  // namespace wasabiwall::coordination
