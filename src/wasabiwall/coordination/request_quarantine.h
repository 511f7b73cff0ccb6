#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "wasabiwall/coordination/clock.h"
#include "wasabiwall/coordination/crash_records.h"
#include "wasabiwall/coordination/prompt_part_evidence.h"
#include "wasabiwall/quarantine/recent_times.h"

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
  /// Crashes since its last answer that quarantine a request that was answered
  /// before: two calls with a repeat each. One that is popular is in flight at
  /// most crashes and usually answered between two of them.
  int crashes_if_answered_before = 4;
  /// Time since the first of these crashes, in which a copy of a popular
  /// request is usually answered although many backend servers ended at once.
  std::chrono::milliseconds wait_if_answered_before{1000};
  /// Time until the first probe: longer than the answers of copies that were in
  /// flight, and the records of the same crashes, usually take.
  std::chrono::milliseconds first_probe_delay = std::chrono::seconds(2);
  /// Time from the first probe to the second one; doubles with each probe.
  std::chrono::milliseconds probe_interval = std::chrono::minutes(10);
  /// Time from a probe that met a crash with other suspects to the next one.
  std::chrono::milliseconds repeated_probe_delay = std::chrono::seconds(5);
  /// Probes of one quarantine in the whole fleet. With the crashes before them,
  /// a request that is the cause ends at most five backend servers.
  int max_probes = 3;
  PromptPartEvidenceOptions prompt_parts;
};

/// Why a content is quarantined, for the log.
struct QuarantineReason {
  /// How this gateway knows.
  const char* source = "";
  /// Crashes with the content that this gateway knows of.
  std::size_t crashes = 0;
  /// Time since the first of them.
  std::chrono::milliseconds first_crash_age{0};
  /// Identifiers of the crashes that a verdict on a prompt part rests on.
  std::vector<std::int64_t> crash_ids;
};

/// Decides which contents a gateway holds off because backend servers ended
/// while they ran them, however often and through whichever gateway callers
/// send them.
///
/// A content is a whole request or a part of prompts, known by its fingerprint.
/// All contents in flight when a backend server ends get a record. An answer to
/// a request that was sent after the crash removes it. A request with
/// kQuarantineCrashes records is quarantined; one that was answered before
/// needs more, so that a popular one that is in flight at every crash keeps
/// running, and one that a new version does not bear is held off. Parts are
/// judged by PromptPartEvidence.
/// A crash that is attributed to a part counts against nothing else until the
/// part turns out to be sound.
///
/// A content that was only in flight when others ended backend servers is told
/// from the cause by a half-open probe: one request at a time, which one
/// gateway of the fleet claims, runs. An answer releases the content at all
/// gateways. Does no I/O. Not safe for concurrent use.
class RequestQuarantine {
 public:
  struct Hooks {
    /// A content is quarantined from now on.
    std::function<void(const std::string& fingerprint,
                       const QuarantineReason& reason)>
        on_quarantined;
    /// A crash has been attributed to a prompt part.
    std::function<void(const std::string& cause, std::int64_t crash)>
        on_attributed;
    /// A quarantined request may run again, since it has been answered.
    std::function<void(const std::string& fingerprint)> on_released;
    /// All gateways, those that start later too, must learn of the quarantine.
    std::function<void(const std::string& fingerprint)> announce;
    /// All gateways must learn that a quarantined request has been answered.
    std::function<void(const std::string& fingerprint)> announce_answered;
    /// An answered request has cleared a prompt part of a crash, of which other
    /// gateways have records.
    std::function<void(const std::string& fingerprint, TimePoint sent_at)>
        on_part_cleared;
    /// An established answer speaks for a prompt part of which other gateways
    /// have records.
    std::function<void(const std::string& fingerprint, TimePoint sent_at)>
        on_part_established;
    /// @return Whether this gateway gets all records of a prompt part, so that
    /// it may judge the part. Not set: it may.
    std::function<bool(const std::string& fingerprint)> is_judge;
    /// @return Whether this gateway is one of the few that announce what they
    /// were told of the request: its quarantine, or an answer.
    std::function<bool(const std::string& fingerprint)> is_announcer;
    /// @return Further delay of a probe at this gateway, so that few gateways
    /// claim the same one.
    std::function<std::chrono::milliseconds()> probe_jitter;
  };

  explicit RequestQuarantine(Hooks hooks,
                             RequestQuarantineOptions options = {});

  /// Records that a backend server ended while it ran a content for this
  /// gateway.
  /// @param crash Identifies the end of the backend server in the fleet.
  /// @param age Time since then.
  /// @param calls Calls with the content that it broke before their answers
  /// went on, which is what a prompt part that is the cause does.
  /// @param sent_at When the latest of these calls was sent, if it is known.
  /// @return Whether the content may be the cause, so that other gateways need
  /// the record.
  bool OnCrash(const std::string& fingerprint, std::int64_t crash,
               TimePoint now,
               std::chrono::milliseconds age = std::chrono::milliseconds(0),
               int calls = 1, std::optional<TimePoint> sent_at = std::nullopt);

  /// Quarantines the prompt parts that the records make the likely causes. To
  /// be called a moment after a crash, when the records of it are complete.
  /// @return Whether to call it again soon although there is no other crash.
  bool JudgePromptParts(TimePoint now);

  /// Records that another gateway has found the cause of crashes, so that
  /// nothing else is a suspect of them. Holds for a short time only while the
  /// cause is not quarantined here.
  /// @param cause Fingerprint of a prompt part.
  void OnCauseFound(const std::string& cause,
                    const std::vector<std::int64_t>& crashes, TimePoint now);

  /// @return The latest crashes that are attributed to a quarantined prompt
  /// part, as many as a message names.
  std::vector<std::int64_t> CrashesOf(const std::string& fingerprint) const;

  /// Merges records of another gateway.
  /// @return Fingerprints of requests that were answered lately, and of prompt
  /// parts that were in such requests.
  std::vector<std::string> OnPeerRecords(
      const std::vector<CrashRecord>& records, TimePoint now);

  /// Records that another gateway has announced the quarantine of a content.
  /// @param probes Probes that gateways have claimed so far.
  /// @param age Time since the first crash with the content, or less.
  void OnAnnounced(
      const std::string& fingerprint, int probes, TimePoint now,
      std::chrono::milliseconds age = std::chrono::milliseconds(0));

  /// Records that a backend server has answered a request in full.
  /// @param sent_at When the request was sent. What the answer shows ends with
  /// the next crash: another version may not bear the request.
  void OnAnswered(const std::string& fingerprint, TimePoint sent_at);

  /// Records that a backend server has answered a request with a prompt part.
  /// @param sent_at When the request was sent.
  void OnPartAnswered(std::uint64_t part, TimePoint sent_at);

  /// Records that the answer to a request with a prompt part is established.
  /// @param sent_at When the request was sent.
  void OnPartEstablished(std::uint64_t part, TimePoint sent_at);

  /// Records that another gateway knows of such an answer.
  /// @param fingerprint Of a prompt part.
  void OnPeerEstablished(const std::string& fingerprint, TimePoint sent_at);

  /// Records that another gateway knows of an answer.
  /// @param sent_at When the answered request was sent.
  void OnPeerAnswered(const std::string& fingerprint, TimePoint sent_at);

  /// @return When the latest answered request with the content was sent;
  /// nothing if none is known.
  std::optional<TimePoint> AnsweredRequestSentAt(
      const std::string& fingerprint) const;

  /// @return Number of crashes with a prompt part that count against it.
  std::size_t CrashCount(const std::string& fingerprint, TimePoint now) const;

  /// @return When the first crash with a quarantined content happened; nothing
  /// if it is not quarantined.
  std::optional<TimePoint> FirstCrashAt(const std::string& fingerprint) const;

  /// @return The quarantined prompt parts among those that a crash broke before
  /// their answers went on, which have made the crash.
  /// @param calls Number of such calls of each content.
  std::vector<std::string> CausesAmong(const std::map<std::string, int>& calls,
                                       TimePoint now) const;

  /// @return Whether anything is quarantined.
  bool IsEmpty() const { return m_quarantined.empty(); }

  /// Records that it was announced that a content has been answered.
  /// @param now The answer counts against crashes before this.
  void OnAnsweredAnnounced(const std::string& fingerprint, TimePoint now);

  /// Records that a quarantined request was repeated, which extends the
  /// quarantine.
  void OnRepeated(const std::string& fingerprint, TimePoint now);

  /// @return Whether the next probe is due, or has been claimed by this gateway
  /// and not been taken.
  bool IsProbeDue(const std::string& fingerprint, TimePoint now) const;

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

  /// Records that a crash had several suspects. If the first probe of the
  /// content met it, that has told nothing and is repeated soon.
  void OnAmbiguousCrash(const std::string& fingerprint, TimePoint now);

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
    /// When the first crash with the content happened, or later.
    TimePoint first_crash_at;
    /// Whether this gateway has judged the part by calls without established
    /// answers.
    bool is_judged = false;
    /// Crashes by which this gateway has judged a request; 0 if it has not.
    int judged_crashes = 0;
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

  /// @return Crashes since its last answer that quarantine a request.
  int CrashesNeeded(const std::string& fingerprint) const;
  /// @return Whether a request that was sent after a crash is answered, so that
  /// the crash does not count against it.
  bool IsClearedOf(const std::string& fingerprint, TimePoint crash_at) const;
  /// Records an answer to a request, and releases it if the answered request
  /// was sent after its first crash, or if it was judged here without knowledge
  /// of the answer.
  /// @return Whether it was quarantined and is released.
  bool ClearRequest(const std::string& fingerprint, TimePoint sent_at);
  /// @return Whether it is up to this gateway to announce the quarantine.
  bool MayAnnounce(const std::string& fingerprint) const;
  /// Quarantines the request if it has enough records.
  void Judge(const std::string& fingerprint, const char* source, TimePoint now);
  void OnPartCrash(const std::string& fingerprint, std::uint64_t part,
                   std::int64_t crash, TimePoint at, TimePoint now, int calls,
                   std::optional<TimePoint> sent_at);
  void QuarantinePart(const LikelyCause& verdict, TimePoint now);
  Entry& Insert(const std::string& fingerprint, const QuarantineReason& reason,
                TimePoint now);
  /// Takes crashes for those of one part, so that nothing else that was in
  /// flight is a suspect of them.
  /// @param until When this ends unless the part is quarantined.
  void Attribute(std::uint64_t cause, const std::vector<std::int64_t>& crashes,
                 TimePoint now, TimePoint until = TimePoint::max());
  /// Releases a part that was judged here if an established answer shows that
  /// it is sound.
  void ReleaseIfEstablished(const std::string& fingerprint, TimePoint sent_at);
  /// Releases a quarantined part if the answered request was sent after its
  /// first crash.
  /// @return Whether it was released.
  bool ReleasePart(const std::string& fingerprint, TimePoint sent_at);
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
  PromptPartEvidence m_part_evidence;
  /// Last crash that this gateway saw of a request by itself.
  std::unordered_map<std::string, TimePoint> m_own_crashes;
  std::unordered_map<std::string, Entry> m_quarantined;
  /// When the latest answered copy of a request was sent, by the hash of its
  /// fingerprint.
  quarantine::RecentTimes m_answered;
};

}  // namespace wasabiwall::coordination
