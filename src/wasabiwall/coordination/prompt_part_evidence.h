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
  /// the first crash; and the time that these crashes must span.
  int crashes_if_answered_before = 5;
  std::chrono::milliseconds span_if_answered_before{2000};
  /// Crashes this close together count as one, since a failure of several
  /// backend servers has a cause outside of them.
  std::chrono::milliseconds same_moment{100};
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
/// the cause never experiences. Does no I/O. Not safe for concurrent use.
class PromptPartEvidence {
 public:
  explicit PromptPartEvidence(PromptPartEvidenceOptions options = {});

  /// Records that a backend server ended while it ran a request with the part.
  /// @param crash Identifies the end of the backend server in the fleet.
  /// @param at When it ended.
  void OnCrash(std::uint64_t part, std::int64_t crash, TimePoint at,
               TimePoint now);

  /// Records an answered request with the part.
  /// @param sent_at When the request was sent to the backend server.
  /// @return Whether this has cleared the part of a crash.
  bool OnAnswered(std::uint64_t part, TimePoint sent_at);

  /// @return When the latest answered request with the part was sent; nothing
  /// if none is known.
  std::optional<TimePoint> AnsweredRequestSentAt(std::uint64_t part) const;

  /// @return Whether the part is taken for the cause of its crashes.
  bool IsCause(std::uint64_t part, TimePoint now) const;

  /// @return Identifiers of the crashes that the part has records of.
  std::vector<std::int64_t> CrashesOf(std::uint64_t part) const;

  /// @return When the first crash with the part happened, of those it has
  /// records of.
  std::optional<TimePoint> FirstCrashAt(std::uint64_t part) const;

  /// Removes the records of a crash, whose cause is known.
  void RemoveCrash(std::int64_t crash);

  /// Removes the records of a part.
  void Forget(std::uint64_t part) { m_records.erase(part); }

  /// @return Number of parts with records.
  std::size_t Size() const { return m_records.size(); }

 private:
  struct Record {
    std::int64_t crash = 0;
    TimePoint at;
  };
  /// Ordered by time.
  using Records = std::vector<Record>;

  bool IsExpired(const Record& record, TimePoint now) const {
    return now - record.at >= m_options.retention;
  }
  int Moments(const Records& records, TimePoint now) const;
  void MakeRoom(std::int64_t crash, TimePoint now);

  PromptPartEvidenceOptions m_options;
  std::unordered_map<std::uint64_t, Records> m_records;
  /// Send times of the latest answered requests with a part, and those of the
  /// parts answered before them.
  std::unordered_map<std::uint64_t, TimePoint> m_answered;
  std::unordered_map<std::uint64_t, TimePoint> m_answered_before;
};

}  // namespace wasabiwall::coordination
