#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "wasabiwall/coordination/clock.h"
#include "wasabiwall/coordination/crash_records.h"

namespace wasabiwall::coordination {

/// Limits of a RequestQuarantine.
struct RequestQuarantineOptions {
  /// Time for which a request is quarantined after its last crash or repeat.
  std::chrono::milliseconds quarantine_time = std::chrono::minutes(10);
  /// Largest number of quarantined requests; the one that ends first makes
  /// room.
  std::size_t max_quarantined = 4096;
  /// Number of answered requests that are remembered at least.
  std::size_t min_answered = 8192;
  /// Time until the first probe: longer than the answers of copies that were in
  /// flight, and the records of the same crashes, usually take.
  std::chrono::milliseconds first_probe_delay = std::chrono::seconds(2);
  /// Time from the first probe to the second one; doubles with each probe.
  std::chrono::milliseconds probe_interval = std::chrono::minutes(10);
  /// Probes of one quarantine in the whole fleet. With the crashes before them,
  /// a request that is the cause ends at most five backend servers.
  int max_probes = 3;
};

/// Decides which requests a gateway holds off because backend servers ended
/// while they ran them, however often and through whichever gateway their
/// callers repeat them.
///
/// A request is known by its fingerprint. All requests in flight when a backend
/// server ends get a record; one with kQuarantineCrashes records and no answer
/// is quarantined. A request that was answered lately is never a suspect, so
/// that a popular one that is in flight at every crash keeps running.
///
/// A request that was only in flight when others ended backend servers is told
/// from the cause by a half-open probe: one repeat at a time, which one gateway
/// of the fleet claims, runs. An answer releases the request at all gateways.
/// Does no I/O. Not safe for concurrent use.
class RequestQuarantine {
 public:
  struct Hooks {
    /// A request is quarantined from now on.
    std::function<void(const std::string& fingerprint, const char* source)>
        on_quarantined;
    /// A quarantined request may run again, since it has been answered.
    std::function<void(const std::string& fingerprint)> on_released;
    /// All gateways, those that start later too, must learn of the quarantine.
    std::function<void(const std::string& fingerprint)> announce;
    /// All gateways must learn that a quarantined request has been answered.
    std::function<void(const std::string& fingerprint)> announce_answered;
    /// @return Whether this gateway is one of the few that announce what they
    /// were told of the request: its quarantine, or an answer.
    std::function<bool(const std::string& fingerprint)> is_announcer;
    /// @return Further delay of a probe at this gateway, so that few gateways
    /// claim the same one.
    std::function<std::chrono::milliseconds()> probe_jitter;
  };

  explicit RequestQuarantine(Hooks hooks,
                             RequestQuarantineOptions options = {});

  /// Records that a backend server ended while it ran a request for this
  /// gateway.
  /// @param crash Identifies the end of the backend server in the fleet.
  /// @return Whether the request may be the cause, so that other gateways need
  /// the record.
  bool OnCrash(const std::string& fingerprint, std::int64_t crash,
               TimePoint now);

  /// Merges records of another gateway.
  /// @return Fingerprints of requests that were answered lately, so that they
  /// are not the cause.
  std::vector<std::string> OnPeerRecords(
      const std::vector<CrashRecord>& records, TimePoint now);

  /// Records that another gateway has announced the quarantine of a request.
  /// @param probes Probes that gateways have claimed so far.
  void OnAnnounced(const std::string& fingerprint, int probes, TimePoint now);

  /// Records that a backend server has answered a request in full.
  void OnAnswered(const std::string& fingerprint);

  /// Records that another gateway knows of an answer.
  void OnPeerAnswered(const std::string& fingerprint);

  /// Records that it was announced that a request has been answered.
  void OnAnsweredAnnounced(const std::string& fingerprint);

  /// Records that a quarantined request was repeated, which extends the
  /// quarantine.
  void OnRepeated(const std::string& fingerprint, TimePoint now);

  /// Decides whether this gateway should claim the next probe in the fleet.
  /// After a yes, the answer is no for a time in which the claim is decided.
  bool StartProbeClaim(const std::string& fingerprint, TimePoint now);

  /// Records that this gateway has claimed a probe.
  /// @param probes Probes claimed in the fleet, this one included.
  void OnProbeClaimed(const std::string& fingerprint, int probes,
                      TimePoint now);

  /// Takes the probe that this gateway has claimed.
  /// @return Whether the request may run once although it is quarantined.
  bool TakeProbe(const std::string& fingerprint);

  /// Gives back a probe that certainly did not run, for the next repeat.
  void ReturnProbe(const std::string& fingerprint);

  /// @return Time until the quarantine ends if the request is not repeated;
  /// nothing if it is not quarantined.
  std::optional<std::chrono::milliseconds> TimeLeft(
      const std::string& fingerprint, TimePoint now) const;

  /// @return Time after which a caller should repeat a quarantined request.
  std::chrono::milliseconds RetryAfter(const std::string& fingerprint,
                                       TimePoint now) const;

  /// @return Number of quarantined requests.
  std::size_t Size(TimePoint now);

 private:
  struct Entry {
    TimePoint until;
    TimePoint announced_at;
    /// When the next probe may be claimed, if any are left.
    TimePoint probe_at;
    /// When the outcome of a probe that is under way should be known.
    TimePoint outcome_at;
    int probes = 0;
    /// `probes` when this gateway last started a claim.
    int probes_before_claim = 0;
    /// Whether this gateway has claimed a probe that has not run yet.
    bool has_probe = false;
  };

  bool WasAnswered(const std::string& fingerprint) const;
  /// @return Whether it is up to this gateway to announce the quarantine.
  bool MayAnnounce(const std::string& fingerprint) const;
  /// Quarantines the request if it has enough records.
  void Judge(const std::string& fingerprint, const char* source, TimePoint now);
  Entry& Insert(const std::string& fingerprint, const char* source,
                TimePoint now);
  void Announce(const std::string& fingerprint, Entry* entry, TimePoint now);
  /// Takes over the number of probes claimed in the fleet if it has risen.
  void CountProbes(Entry* entry, int probes, TimePoint now) const;
  std::chrono::milliseconds ProbeJitter() const;
  /// @return Whether the request was quarantined.
  bool Release(const std::string& fingerprint);
  void MakeRoom(TimePoint now);
  void DropExpired(TimePoint now);

  Hooks m_hooks;
  RequestQuarantineOptions m_options;
  CrashRecords m_records;
  /// Last crash that this gateway saw of a request by itself.
  std::unordered_map<std::string, TimePoint> m_own_crashes;
  std::unordered_map<std::string, Entry> m_quarantined;
  /// Hashes of the fingerprints answered lately, and of those before them.
  std::unordered_set<std::uint64_t> m_answered;
  std::unordered_set<std::uint64_t> m_answered_before;
};

}  // namespace wasabiwall::coordination
