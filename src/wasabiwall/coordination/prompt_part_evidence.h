#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "wasabiwall/coordination/clock.h"

namespace wasabiwall::coordination {

/// Limits of a PromptPartEvidence.
struct PromptPartEvidenceOptions {
  /// Time after which a crash no longer counts.
  std::chrono::milliseconds retention = std::chrono::minutes(10);
  /// Crashes at different moments that make a part the cause that was in no
  /// answered request.
  int crashes = 3;
  /// The same for a part that was in answered requests, none of them sent after
  /// the first crash; and the time since then, in which such a request of an
  /// innocent part is usually answered.
  int crashes_if_answered_before = 5;
  std::chrono::milliseconds wait_if_answered_before{2000};
  /// Calls with the part that one crash broke from which the part is a popular
  /// one, which is in flight at most crashes; and the time by which its verdict
  /// comes after that of other parts, among which the cause usually is. Twice
  /// the time from twice the calls on.
  int popular_calls = 4;
  std::chrono::milliseconds wait_if_popular{500};
  /// Time after a crash in which verdicts may follow from waiting alone.
  std::chrono::milliseconds judgement_time{4000};
  /// Crashes this close together count as one, since a failure of several
  /// backend servers has a cause outside of them.
  std::chrono::milliseconds same_moment{50};
  /// Largest number of parts with crashes.
  std::size_t max_parts = 8192;
  /// Number of answered parts that are remembered at least.
  std::size_t min_answered = 8192;
};

/// Tells which part of prompts ends the backend servers that answer it, however
/// the requests that hold it differ otherwise.
///
/// All parts in flight at a crash get a record. A request that was sent after a
/// crash and is answered clears its parts of that crash, which the part that is
/// the cause never experiences. Of the suspects that were in flight at most
/// crashes the one with the fewest calls is the cause. Does no I/O. Not safe
/// for concurrent use.
class PromptPartEvidence {
 public:
  explicit PromptPartEvidence(PromptPartEvidenceOptions options = {});

  /// Records that a backend server ended while it ran a request with the part.
  /// @param crash Identifies the end of the backend server in the fleet.
  /// @param at When it ended.
  /// @param calls Calls with the part that it broke; several reports of one
  /// crash add up.
  void OnCrash(std::uint64_t part, std::int64_t crash, TimePoint at,
               TimePoint now, int calls = 1);

  /// Records an answered request with the part.
  /// @param sent_at When the request was sent to the backend server.
  /// @return Whether this has cleared the part of a crash.
  bool OnAnswered(std::uint64_t part, TimePoint sent_at);

  /// @return When the latest answered request with the part was sent; nothing
  /// if none is known.
  std::optional<TimePoint> AnsweredRequestSentAt(std::uint64_t part) const;

  /// @return Whether a crash is so recent that waiting may bring a verdict.
  bool IsJudgementOpen(TimePoint now) const {
    return !m_records.empty() &&
           now - m_last_crash_at < m_options.judgement_time;
  }

  /// @return Whether there is enough against the part to take it for a cause.
  bool IsSuspect(std::uint64_t part, TimePoint now) const;

  /// @return The suspects that are the most likely cause; several if nothing
  /// tells them apart, none while an answer may still clear the most likely.
  std::vector<std::uint64_t> LikelyCauses(TimePoint now) const;

  /// @return Identifiers of the crashes that the part has records of.
  std::vector<std::int64_t> CrashesOf(std::uint64_t part) const;

  /// @return Number of parts with a record of the crash.
  std::size_t PartsWith(std::int64_t crash) const;

  /// @return When the first crash with the part happened, of those it has
  /// records of.
  std::optional<TimePoint> FirstCrashAt(std::uint64_t part) const;

  /// Removes the records of a crash, whose cause is known.
  /// @param most_crashes Parts with records of more crashes keep theirs: a
  /// cause of fewer crashes does not explain them.
  void RemoveCrash(std::int64_t crash, std::size_t most_crashes = SIZE_MAX);

  /// Removes the records of a part.
  void Forget(std::uint64_t part) { m_records.erase(part); }

  /// @return Number of parts with records.
  std::size_t Size() const { return m_records.size(); }

 private:
  struct Record {
    std::int64_t crash = 0;
    TimePoint at;
    int calls = 0;
  };
  /// Ordered by time.
  using Records = std::vector<Record>;

  bool IsExpired(const Record& record, TimePoint now) const {
    return now - record.at >= m_options.retention;
  }
  int Moments(const Records& records, TimePoint now) const;
  /// @return Most calls with the part that one crash broke.
  static int MostCalls(const Records& records);
  bool HasEnoughCrashes(std::uint64_t part, const Records& records,
                        TimePoint now) const;
  /// @return When a part with enough crashes becomes a suspect.
  TimePoint SuspectAt(std::uint64_t part, const Records& records) const;
  void MakeRoom(std::int64_t crash, TimePoint now);

  PromptPartEvidenceOptions m_options;
  std::unordered_map<std::uint64_t, Records> m_records;
  TimePoint m_last_crash_at;
  /// Send times of the latest answered requests with a part, and those of the
  /// parts answered before them.
  std::unordered_map<std::uint64_t, TimePoint> m_answered;
  std::unordered_map<std::uint64_t, TimePoint> m_answered_before;
};

}  // namespace wasabiwall::coordination
