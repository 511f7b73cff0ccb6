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

/// Tracks which backend servers should be tried last or not at all, from the
/// platform's VM list and from failures seen by this process (passive health
/// checks). Safe for concurrent use.
class Membership {
 public:
  /// @param suspect_time Time for which a backend server is suspect after a
  /// failure.
  explicit Membership(std::chrono::milliseconds suspect_time);

  /// Replaces the VM list. A VM missing from it is suspect, not removed.
  void SetVmList(std::unordered_map<state::BackendServerId, VmState> vms);

  /// Records that a backend server or its side process could not be reached.
  void OnFailure(const state::BackendServerId& server, TimePoint now);

  /// Records an answer; ends the suspicion from earlier failures.
  void OnSuccess(const state::BackendServerId& server);

  /// @return Whether the VM is leaving by the VM list.
  bool IsLeaving(const state::BackendServerId& server) const;

  /// @return Whether the backend server is missing from the VM list or failed
  /// recently, so that others should be tried first.
  bool IsSuspect(const state::BackendServerId& server, TimePoint now) const;

 private:
  std::chrono::milliseconds m_suspect_time;
  mutable std::mutex m_mutex;
  bool m_have_list = false;
  std::unordered_map<state::BackendServerId, VmState> m_vms;
  std::unordered_map<state::BackendServerId, TimePoint> m_failed_at;
};

}  // namespace wasabiwall::coordination
