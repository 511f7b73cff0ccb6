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

/// What a side process may do with a request.
enum class QuarantineVerdict {
  kRun,
  /// Run it while no other suspect runs here.
  kRunAlone,
  /// It was in flight when this engine crashed: another backend server's turn.
  kNotHere,
  /// It was in flight at two crashes; run it nowhere.
  kQuarantined,
};

/// Decides at a side process which requests may run after crashes of engines.
/// All requests in flight at a crash become suspects; a suspect runs with no
/// other suspect beside it, and not where it was seen at a crash unless every
/// other backend server has been asked. Does no I/O; safe for concurrent use.
class Quarantine {
 public:
  /// @param random Gives crashes their identifiers.
  Quarantine(ClockHook clock, RandomHook random,
             CrashRecordsOptions options = {});

  /// @param last_resort Whether all other backend servers were asked.
  QuarantineVerdict Judge(const std::string& fingerprint, bool last_resort);

  /// Starts an attempt, or queues it behind the suspect that runs.
  /// @param fingerprint Empty for calls that are never run again.
  /// @return True when it starts now; false when it waits.
  bool Begin(const state::AttemptId& attempt, const std::string& fingerprint);

  /// The connection to the engine broke while the attempt ran: all attempts in
  /// flight were present at a crash. Repeats of the same crash are ignored.
  void OnBroken(const state::AttemptId& attempt);

  /// The attempt is over.
  /// @return The suspect whose turn it is now, when there is one.
  std::optional<state::AttemptId> OnEnded(const state::AttemptId& attempt);

  /// @return Whether the engine crashed so lately that a new connection may
  /// still reach the process that is ending; nothing may start.
  bool Settling() const;

  /// @return Number of suspects that wait.
  std::size_t Waiting() const;

  CrashRecords& Records() { return m_records; }

 private:
  struct Run {
    std::string fingerprint;
    bool alone = false;
    bool broken = false;
    /// The crash at which it was present; 0 for none.
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
  /// Fingerprints present at a crash of this engine, with its time.
  std::unordered_map<std::string, TimePoint> m_seen_here;
};

/// @return Fingerprint of a request: 32 hex digits over workspace and body.
std::string FingerprintOf(const std::string& workspace,
                          const std::string& body);

}  // namespace wasabiwall::coordination
