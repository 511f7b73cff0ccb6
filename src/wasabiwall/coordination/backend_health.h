#pragma once

#include <chrono>
#include <unordered_map>

#include "wasabiwall/coordination/clock.h"
#include "wasabiwall/state/strong_id.h"

namespace wasabiwall::coordination {

/// Outcome of one call for outlier detection.
enum class HealthSignal {
  kAnswered,
  /// Refused without executing the call, for instance because it was at
  /// capacity.
  kRefused,
  /// Responded with an error of its own, broke the response off, or timed out.
  kFailed,
  /// No connection could be made.
  kUnreachable,
  /// Another backend server responds at its address.
  kReplaced,
};

/// Passive outlier detection: ejects failing backend servers based on the
/// outcomes of calls, without health probes. The ejection time doubles while
/// the failures continue. After it, a single call probes the backend server
/// (half-open); the others follow once that call is answered. Not safe for
/// concurrent use.
class BackendHealth {
 public:
  /// Records the outcome of a call.
  /// @return Whether the backend server was ejected because of it.
  bool OnSignal(const state::BackendServerId& id, HealthSignal signal,
                TimePoint now);

  /// Records that a call was sent. The first one after an ejection is the
  /// half-open probe.
  void OnSent(const state::BackendServerId& id, TimePoint now);

  /// Records that a response has begun to arrive, which ends a half-open probe.
  void OnAnswerBegun(const state::BackendServerId& id, TimePoint now);

  /// Records that a call has timed out. If the backend server has answered
  /// nothing since the call was sent, it is ejected at once; otherwise the
  /// timeout counts as one failure.
  /// @return Whether the backend server was ejected because of it.
  bool OnResponseTimeout(const state::BackendServerId& id, TimePoint sent_at,
                         TimePoint now);

  /// Removes the state of a backend server that no longer exists.
  void Forget(const state::BackendServerId& id) { m_entries.erase(id); }

  /// @return Whether new calls should go to another backend server if there is
  /// one.
  bool IsEjected(const state::BackendServerId& id, TimePoint now) const;

  /// @return Whether no call should be sent to it at all: it is ejected, and
  /// several connection attempts in a row have failed or another backend server
  /// responds at its address.
  bool IsUnreachable(const state::BackendServerId& id, TimePoint now) const;

  /// @return Moving average of the share of failed calls, 0 to 1.
  double FailureShare(const state::BackendServerId& id) const;

 private:
  struct Entry {
    double failure_share = 0;
    int consecutive_failures = 0;
    int ejection_count = 0;
    int consecutive_unreachable = 0;
    TimePoint ejected_until;
    /// Whether it was ejected and has answered nothing since.
    bool needs_probe = false;
    /// Whether a probe is in flight; it stays ejected for other calls until the
    /// probe is answered.
    bool probing = false;
    TimePoint last_answer;
  };

  static bool Eject(Entry* entry, TimePoint now);

  std::unordered_map<state::BackendServerId, Entry> m_entries;
};

}  // namespace wasabiwall::coordination
