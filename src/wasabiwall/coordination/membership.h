#pragma once

#include <chrono>
#include <mutex>
#include <unordered_map>
#include <unordered_set>

#include "wasabiwall/coordination/clock.h"
#include "wasabiwall/state/strong_id.h"

namespace wasabiwall::coordination {

/// State of a VM in the platform's VM list.
enum class VmState { kLive, kLeaving };

/// Combines the VM list with this process's own observations into whether a
/// backend server should be tried. Safe for concurrent use.
class Membership {
 public:
  /// @param suspect_time Time for which a failed backend server is tried last.
  explicit Membership(std::chrono::milliseconds suspect_time);

  /// Replaces the VM list; a missing VM is suspect, not dead.
  void SetVmList(std::unordered_map<state::BackendServerId, VmState> vms);

  /// Records that a backend server or its side process could not be reached.
  void OnFailure(const state::BackendServerId& server, TimePoint now);

  /// Records an answer.
  void OnSuccess(const state::BackendServerId& server);

  /// @return Whether the VM list says that the VM is leaving.
  bool Leaving(const state::BackendServerId& server) const;

  /// @return Whether others should be tried first.
  bool Suspect(const state::BackendServerId& server, TimePoint now) const;

 private:
  std::chrono::milliseconds m_suspect_time;
  mutable std::mutex m_mutex;
  bool m_have_list = false;
  std::unordered_map<state::BackendServerId, VmState> m_vms;
  std::unordered_map<state::BackendServerId, TimePoint> m_failed_at;
};

}  // namespace wasabiwall::coordination
