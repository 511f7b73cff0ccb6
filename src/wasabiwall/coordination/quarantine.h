#pragma once

#include <cstdint>
#include <deque>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "wasabiwall/coordination/clock.h"
#include "wasabiwall/coordination/crash_records.h"
#include "wasabiwall/state/strong_id.h"

namespace wasabiwall::coordination {

/// Whether and how a side process may run a request.
enum class QuarantineVerdict {
  kRun,
  /// Run it while no other suspect runs here.
  kRunAlone,
  /// Refuse it, as it was in flight when this engine crashed; another backend
  /// server may run it.
  kNotHere,
  /// Refuse it everywhere, as it was in flight during two crashes.
  kQuarantined,
};

/// Isolates requests that may have crashed an engine. All requests in flight
/// during a crash become suspects. A backend server runs one suspect at a
/// time, and none that was in flight when its own engine crashed unless every
/// other backend server has been tried. Does no I/O; safe for concurrent use.
class Quarantine {
 public:
  /// @param random Source of crash identifiers.
  Quarantine(ClockHook clock, RandomHook random,
             CrashRecordsOptions options = {});

  /// Returns whether and how a request may run.
  /// @param last_resort Whether all other backend servers have been tried.
  QuarantineVerdict Judge(const std::string& fingerprint, bool last_resort);

  /// Registers an attempt and starts it, or queues it behind a running suspect.
  /// @param fingerprint Empty for calls that are never retried.
  /// @return Whether the attempt starts now; otherwise it is queued.
  bool Begin(const state::AttemptId& attempt, const std::string& fingerprint);

  /// Handles a broken connection to the engine during an attempt: records a
  /// crash for all attempts in flight. Further broken connections of the same
  /// crash are ignored.
  void OnConnectionBroken(const state::AttemptId& attempt);

  /// Removes an attempt that has ended. If it was in flight during a crash but
  /// its own connection did not break, its crash record is withdrawn.
  /// @return The queued suspect to start next, or nothing.
  std::optional<state::AttemptId> OnEnded(const state::AttemptId& attempt);

  /// @return Whether the engine crashed so recently that a new connection may
  /// still reach the exiting process; no attempt may start.
  bool IsCoolingDown() const;

  /// @return Number of queued suspects.
  std::size_t Waiting() const;

  CrashRecords& Records() { return m_records; }

 private:
  struct Run {
    std::string fingerprint;
    bool exclusive = false;
    bool broken = false;
    /// Crash during which it was in flight; 0 for none.
    std::int64_t crash = 0;
  };

  ClockHook m_clock;
  RandomHook m_random;
  CrashRecords m_records;
  std::chrono::milliseconds m_retention;
  mutable std::mutex m_mutex;
  std::unordered_map<state::AttemptId, Run> m_runs;
  std::deque<state::AttemptId> m_waiting;
  bool m_suspect_runs = false;
  std::optional<TimePoint> m_crashed_at;
  /// Fingerprints in flight during a crash of this engine, with its time.
  std::unordered_map<std::string, TimePoint> m_crashed_here;
};

}  // namespace wasabiwall::coordination
