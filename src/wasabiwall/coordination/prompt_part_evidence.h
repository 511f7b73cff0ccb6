#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "wasabiwall/coordination/clock.h"
#include "wasabiwall/quarantine/crash_explanations.h"
#include "wasabiwall/quarantine/recent_times.h"

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
  /// Crashes at different moments that make a part the cause although answers
  /// to requests with it, sent after them, are established.
  int crashes_if_established = 8;
  /// Calls with the part that one crash broke from which the part is a popular
  /// one, which is in flight at most crashes; and the time by which its verdict
  /// comes after that of other parts, among which the cause usually is. Twice
  /// the time from twice the calls on.
  int popular_calls = 4;
  std::chrono::milliseconds wait_if_popular{500};
  /// Time in which other gateways tell what they know of a crash, since this
  /// gateway knows of it. That nothing explains it says nothing before.
  std::chrono::milliseconds settle_time{100};
  /// Time after a crash in which verdicts may follow from waiting alone.
  std::chrono::milliseconds judgement_time{4000};
  /// Crashes this close together count as one, since a failure of several
  /// backend servers has a cause outside of them; but not one that broke a call
  /// which was sent after the other, as the repeat of a call is.
  std::chrono::milliseconds same_moment{50};
  /// How much later than a crash such a call may seem to be sent by the clocks
  /// and messages of several gateways.
  std::chrono::milliseconds send_time_error{5};
  /// Largest number of parts with crashes.
  std::size_t max_parts = 8192;
  /// Number of answered parts that are remembered at least.
  std::size_t min_answered = 8192;
};

/// A part of prompts that is taken for the cause of crashes.
struct LikelyCause {
  std::uint64_t part = 0;
  /// Identifiers of the crashes, in the order of their times.
  std::vector<std::int64_t> crashes;
  TimePoint first_crash_at;
  /// Whether answers to requests with the part were established.
  bool is_last_resort = false;
};

/// Tells which part of prompts ends the backend servers that answer it, however
/// the requests that hold it differ otherwise.
///
/// All parts in flight at a crash get a record. A request that was sent after a
/// crash and is answered clears its parts of that crash, which the part that is
/// the cause never experiences. An answer is established once it has gone on
/// for a while; the cause ends its backend server before. Parts that only
/// established answers speak for, or that were only in calls with such, are
/// suspects of last resort. Of the other suspects the cause is the one that
/// leaves the fewest crashes unexplained and was in the fewest calls. A crash
/// that one part explains counts against no other while that belief lasts. Does
/// no I/O. Not safe for concurrent use.
class PromptPartEvidence {
 public:
  explicit PromptPartEvidence(PromptPartEvidenceOptions options = {});

  /// Records that a backend server ended while it ran a request with the part.
  /// @param crash Identifies the end of the backend server in the fleet.
  /// @param at When it ended.
  /// @param calls Calls with the part that it broke before their answers were
  /// established; several reports of one crash add up. 0 if there were only
  /// others.
  /// @param sent_at When the latest of these calls was sent, if it is known.
  void OnCrash(std::uint64_t part, std::int64_t crash, TimePoint at,
               TimePoint now, int calls = 1,
               std::optional<TimePoint> sent_at = std::nullopt);

  /// Records an answered request with the part.
  /// @param sent_at When the request was sent to the backend server.
  /// @return Whether this has cleared the part of a crash.
  bool OnAnswered(std::uint64_t part, TimePoint sent_at);

  /// Records a request with the part whose answer is established.
  /// @param sent_at When the request was sent to the backend server.
  /// @return Whether this speaks against a record for the first time.
  bool OnEstablished(std::uint64_t part, TimePoint sent_at);

  /// @return When the latest answered request with the part was sent; nothing
  /// if none is known.
  std::optional<TimePoint> AnsweredRequestSentAt(std::uint64_t part) const;

  /// @return Whether a crash is so recent that waiting may bring a verdict.
  bool IsJudgementOpen(TimePoint now) const {
    return !m_records.empty() &&
           (now - m_last_change_at < m_options.judgement_time ||
            now - m_last_record_at < m_options.settle_time);
  }

  /// @return Whether there is enough against the part to take it for a cause.
  bool IsSuspect(std::uint64_t part, TimePoint now) const;

  /// @return The suspects that are the most likely cause; several if nothing
  /// tells them apart, none while an answer may still clear the most likely.
  std::vector<LikelyCause> LikelyCauses(TimePoint now) const;

  /// @return Identifiers of the crashes with the part that nothing explains.
  std::vector<std::int64_t> CrashesOf(std::uint64_t part, TimePoint now) const;

  /// Records that a part is believed to have made a crash, which counts against
  /// nothing from now on; records of it may also arrive later.
  /// @param until When the belief ends unless it is confirmed.
  void Explain(std::int64_t crash, std::uint64_t cause,
               TimePoint until = TimePoint::max()) {
    m_explanations.Add(crash, cause, until);
  }

  /// @return Whether a crash is explained.
  bool IsExplained(std::int64_t crash, TimePoint now) const {
    return m_explanations.Contains(crash, now);
  }

  /// @return The latest crashes that a part is believed to have made, at most
  /// `most`.
  std::vector<std::int64_t> ExplainedBy(std::uint64_t cause,
                                        std::size_t most) const {
    return m_explanations.CrashesOf(cause, most);
  }

  /// Ends the belief that a part is a cause; what it explained counts against
  /// the others again.
  void Withdraw(std::uint64_t cause);

  /// Keeps the judgement open for a time if a belief has ended since the last
  /// call.
  void StartJudgement(TimePoint now);

  /// Removes the records of a part.
  void Forget(std::uint64_t part) { m_records.erase(part); }

  /// @return Number of parts with records.
  std::size_t Size() const { return m_records.size(); }

 private:
  struct Record {
    std::int64_t crash = 0;
    TimePoint at;
    /// Since when this gateway knows of it.
    TimePoint known_at;
    int calls = 0;
    /// When the latest of the calls was sent, if it is known.
    std::optional<TimePoint> sent_at;
  };
  /// Ordered by time.
  using Records = std::vector<Record>;

  bool IsExpired(const Record& record, TimePoint now) const {
    return now - record.at >= m_options.retention;
  }
  /// @return Records of the part that have not expired.
  Records CurrentOf(std::uint64_t part, TimePoint now) const;
  /// @return Number of the records that are explained or that other gateways
  /// had the time to explain.
  std::size_t CountSettled(const Records& records, TimePoint now) const;
  /// @return Those of the records that nothing explains.
  Records Unexplained(Records records, TimePoint now) const;
  /// @return Those of a part's records that no other part explains which
  /// explains most of them that are settled. A part of which that cannot be
  /// said may have been taken for a cause wrongly.
  Records NotExplainedTogether(std::uint64_t part, Records records,
                               TimePoint now) const;
  /// @return Number of different moments of the crashes.
  int Moments(const Records& records) const;
  /// @return Most calls with the part that one crash broke.
  static int MostCalls(const Records& records);
  /// A part with enough crashes to be a cause.
  struct Suspect {
    std::uint64_t part = 0;
    /// Its crashes, the first one first.
    Records records;
    /// Whether it is one only if there is no other.
    bool is_last_resort = false;
    /// How unlikely it is.
    double cost = 0;
  };
  /// @return Those of the records that speak against the part: of calls whose
  /// answers were not established, at crashes since the last request whose
  /// answer is.
  Records Strong(std::uint64_t part, const Records& records) const;
  std::optional<Suspect> SuspectOf(std::uint64_t part, TimePoint now) const;
  /// @return How unlikely the part is the cause.
  /// @param most_crashes Most crashes of any suspect.
  double CostOf(const Suspect& suspect, std::size_t most_crashes) const;
  /// @return When a part with enough crashes becomes a suspect.
  TimePoint SuspectAt(std::uint64_t part, const Records& records) const;
  void MakeRoom(std::int64_t crash, TimePoint now);

  PromptPartEvidenceOptions m_options;
  std::unordered_map<std::uint64_t, Records> m_records;
  quarantine::CrashExplanations m_explanations;
  /// When the last crash happened, or the first judgement after a belief ended.
  TimePoint m_last_change_at;
  /// When the last record was added.
  TimePoint m_last_record_at;
  bool m_has_withdrawn = false;
  /// Send times of the latest answered requests with a part.
  quarantine::RecentTimes m_answered;
  /// Send times of the latest requests with a part whose answers are
  /// established.
  quarantine::RecentTimes m_established;
};

}  // namespace wasabiwall::coordination
