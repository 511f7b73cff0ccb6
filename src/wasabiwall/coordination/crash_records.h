#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "wasabiwall/coordination/clock.h"

namespace wasabiwall::coordination {

/// Number of crashes after which a fingerprint is quarantined.
inline constexpr int kQuarantineCrashes = 2;

/// A request that was in flight when a backend server crashed.
struct CrashRecord {
  std::string fingerprint;
  /// Identifier of the crash, the same for all requests in flight.
  std::int64_t crash = 0;
  /// Time since the crash.
  std::chrono::milliseconds age{0};
  /// Whether the answer to the request was established.
  bool is_established = false;
  /// Time since the latest of the calls that the crash broke was sent; nothing
  /// if it is not known.
  std::optional<std::chrono::milliseconds> sent_age = std::nullopt;
};

/// Limits of a CrashRecords table.
struct CrashRecordsOptions {
  /// Time after which a crash no longer counts.
  std::chrono::milliseconds retention = std::chrono::minutes(10);
  /// Records of one request, beyond which further ones change nothing.
  std::size_t max_records_per_request = kQuarantineCrashes;
  /// Largest number of records kept; the oldest are evicted.
  std::size_t max_records = 4096;
  /// Rate limit of records gossiped to peers.
  std::size_t records_per_second = 20;
};

/// Records, by request fingerprint, which requests were in flight when an
/// engine crashed. Each crash has an identifier, so that a record received
/// twice counts once. Safe for concurrent use.
class CrashRecords {
 public:
  explicit CrashRecords(CrashRecordsOptions options = {});

  /// Merges records of another process; malformed ones are ignored.
  void Observe(const std::vector<CrashRecord>& records, TimePoint now);

  /// Records that a request was in flight during a crash.
  void Add(const std::string& fingerprint, std::int64_t crash, TimePoint now);

  /// Removes the record of a request that turned out to have survived.
  void Withdraw(const std::string& fingerprint, std::int64_t crash);

  /// Removes the records of a crash.
  void RemoveCrash(std::int64_t crash);

  /// Removes the records of a request of crashes before a time.
  void ForgetBefore(const std::string& fingerprint, TimePoint time);

  /// Removes all records of a request.
  void Forget(const std::string& fingerprint);

  /// @return Number of crashes within the retention.
  int Count(const std::string& fingerprint, TimePoint now) const;

  /// @return Records of one fingerprint, for messages about that request.
  std::vector<CrashRecord> Of(const std::string& fingerprint,
                              TimePoint now) const;

  /// Selects records to gossip with any message, least often sent first,
  /// within the limits per call and per second.
  std::vector<CrashRecord> TakeForPeers(std::size_t max_records, TimePoint now);

  /// @return Number of records held.
  std::size_t Size() const;

 private:
  struct Record {
    std::int64_t crash = 0;
    TimePoint crashed_at;
    std::int64_t sends = 0;
  };
  using Table = std::unordered_map<std::string, std::vector<Record>>;

  void Insert(const std::string& fingerprint, const Record& record,
              TimePoint now);
  void DropExpired(TimePoint now);
  void DropOldest();
  bool Expired(const Record& record, TimePoint now) const;

  CrashRecordsOptions m_options;
  mutable std::mutex m_mutex;
  Table m_table;
  std::size_t m_size = 0;
  TimePoint m_second_start;
  std::size_t m_sent_in_second = 0;
};

}  // namespace wasabiwall::coordination
