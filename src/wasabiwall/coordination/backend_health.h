#pragma once

#include <chrono>
#include <unordered_map>

#include "wasabiwall/coordination/clock.h"
#include "wasabiwall/state/strong_id.h"

namespace wasabiwall::coordination {

/// Outcome of one call at a backend server, as far as it tells its health.
enum class HealthSignal {
  kAnswered,
  /// Refused without running the call, such as when full.
  kRefused,
  /// Answered with an error of its own, broke off, or stayed silent.
  kFailed,
  /// No connection could be made.
  kUnreachable,
  /// Another backend server answers at its address.
  kReplaced,
};

/// Detects failing backend servers from the outcomes of calls, without probes,
/// and spares them for a time that grows while they keep failing. After that
/// time a single call tries them, and the others follow once it is answered.
/// Not safe for concurrent use.
class BackendHealth {
 public:
  /// @return Whether the signal made the backend server spared.
  bool OnSignal(const state::BackendServerId& id, HealthSignal signal,
                TimePoint now);

  /// A call was sent.
  void OnSent(const state::BackendServerId& id, TimePoint now);

  /// An answer has begun to arrive.
  void OnAnswerBegun(const state::BackendServerId& id, TimePoint now);

  /// A call has been without an answer for longer than is usual. When nothing
  /// has been answered since it was sent, this alone is a reason to spare the
  /// backend server; otherwise it counts as one failure.
  /// @return Whether the backend server is now spared.
  bool OnResponseTimeout(const state::BackendServerId& id, TimePoint sent_at,
                         TimePoint now);

  /// The backend server is gone.
  void Forget(const state::BackendServerId& id) { m_entries.erase(id); }

  /// @return Whether new work should go elsewhere when there is a choice.
  bool IsSpared(const state::BackendServerId& id, TimePoint now) const;

  /// @return Whether repeated attempts to connect failed lately, so that a call
  /// sent to it would only lose time.
  bool IsUnreachable(const state::BackendServerId& id, TimePoint now) const;

  /// @return Share of recent calls that failed, 0 to 1.
  double FailureShare(const state::BackendServerId& id) const;

 private:
  struct Entry {
    double failure_share = 0;
    int consecutive_failures = 0;
    int times_spared = 0;
    int consecutive_unreachable = 0;
    TimePoint spared_until;
    /// Whether it was spared and has answered nothing since.
    bool unproven = false;
    /// Whether a call tries it; it stays spared for others until the answer.
    bool on_trial = false;
    TimePoint last_answer;
  };

  static bool Spare(Entry* entry, TimePoint now);

  std::unordered_map<state::BackendServerId, Entry> m_entries;
};

}  // namespace wasabiwall::coordination
