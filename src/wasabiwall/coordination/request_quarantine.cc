#include "wasabiwall/coordination/request_quarantine.h"

#include <algorithm>
#include <utility>

#include "wasabiwall/coordination/request_fingerprint.h"
#include "wasabiwall/state/digest.h"

namespace wasabiwall::coordination {
namespace {

using std::chrono::milliseconds;

/// Announcements are repeated after this share of the quarantine time while the
/// request keeps coming.
constexpr int kAnnouncementsPerQuarantine = 2;
/// Time in which the claim of a probe is decided.
constexpr milliseconds kClaimTime{2000};
/// Time in which the outcome of most probes is known to all gateways.
constexpr milliseconds kOutcomeTime{5000};
/// Own crashes kept, to know which gateway announces a quarantine.
constexpr std::size_t kMaxOwnCrashes = 4096;
/// Latest crashes of a quarantined part that other gateways are told of.
constexpr std::size_t kMaxCrashesOfPart = 32;
/// Time in which the judges of a part confirm what this gateway, which is none
/// of them, takes for its crashes.
constexpr milliseconds kConfirmationTime{3000};

}  // namespace

RequestQuarantine::RequestQuarantine(Hooks hooks,
                                     RequestQuarantineOptions options)
    : m_hooks(std::move(hooks)),
      m_options(options),
      m_records({.retention = options.quarantine_time,
                 .max_records_per_request = static_cast<std::size_t>(
                     options.crashes_if_answered_before)}),
      m_part_evidence(options.prompt_parts),
      m_answered(options.min_answered) {}

int RequestQuarantine::CrashesNeeded(const std::string& fingerprint) const {
  return m_answered.Find(state::FastHash(fingerprint))
             ? m_options.crashes_if_answered_before
             : kQuarantineCrashes;
}

bool RequestQuarantine::IsClearedOf(const std::string& fingerprint,
                                    TimePoint crash_at) const {
  const auto answered = m_answered.Find(state::FastHash(fingerprint));
  return answered && *answered > crash_at;
}

bool RequestQuarantine::OnCrash(const std::string& fingerprint,
                                std::int64_t crash, TimePoint now,
                                milliseconds age, int calls,
                                std::optional<TimePoint> sent_at) {
  const auto part = PromptPartOf(fingerprint);
  if (!part && IsClearedOf(fingerprint, now - age)) return false;
  if (m_own_crashes.size() >= kMaxOwnCrashes) m_own_crashes.clear();
  m_own_crashes[fingerprint] = now;
  if (part) {
    OnPartCrash(fingerprint, *part, crash, now - age, now, calls, sent_at);
  } else {
    if (!m_part_evidence.IsExplained(crash, now)) {
      m_records.Add(fingerprint, crash, now - age);
    }
    Judge(fingerprint, "crashes", now);
  }
  return true;
}

void RequestQuarantine::OnPartCrash(const std::string& fingerprint,
                                    std::uint64_t part, std::int64_t crash,
                                    TimePoint at, TimePoint now, int calls,
                                    std::optional<TimePoint> sent_at) {
  if (calls > 0 && TimeLeft(fingerprint, now)) Attribute(part, {crash}, now);
  m_part_evidence.OnCrash(part, crash, at, now, calls, sent_at);
}

std::vector<std::string> RequestQuarantine::OnPeerRecords(
    const std::vector<CrashRecord>& records, TimePoint now) {
  std::vector<std::string> answered;
  for (const CrashRecord& record : records) {
    if (const auto part = PromptPartOf(record.fingerprint)) {
      const auto sent_at = record.sent_age
                               ? std::optional(now - *record.sent_age)
                               : std::nullopt;
      OnPartCrash(record.fingerprint, *part, record.crash, now - record.age,
                  now, record.is_established ? 0 : 1, sent_at);
      if (m_part_evidence.AnsweredRequestSentAt(*part)) {
        answered.push_back(record.fingerprint);
      }
      continue;
    }
    if (AnsweredRequestSentAt(record.fingerprint)) {
      answered.push_back(record.fingerprint);
    }
    if (IsClearedOf(record.fingerprint, now - record.age)) continue;
    if (!m_part_evidence.IsExplained(record.crash, now)) {
      m_records.Observe({record}, now);
    }
    Judge(record.fingerprint, "peer", now);
  }
  return answered;
}

void RequestQuarantine::Judge(const std::string& fingerprint,
                              const char* source, TimePoint now) {
  const std::vector<CrashRecord> crashes = m_records.Of(fingerprint, now);
  const auto needed = static_cast<std::size_t>(CrashesNeeded(fingerprint));
  if (crashes.size() < needed) return;
  const bool is_known = TimeLeft(fingerprint, now).has_value();
  const auto first = std::ranges::max_element(crashes, {}, &CrashRecord::age);
  const bool was_answered = AnsweredRequestSentAt(fingerprint).has_value();
  if (was_answered && first->age < m_options.wait_if_answered_before) return;
  Entry& entry = Insert(fingerprint,
                        {.source = source,
                         .crashes = crashes.size(),
                         .first_crash_age = first->age},
                        now);
  entry.judged_crashes = static_cast<int>(crashes.size());
  if (!is_known && MayAnnounce(fingerprint)) {
    Announce(fingerprint, &entry, now);
  }
}

bool RequestQuarantine::JudgePromptParts(TimePoint now) {
  m_part_evidence.StartJudgement(now);
  // Each verdict explains its crashes, which count against no other then.
  for (auto causes = m_part_evidence.LikelyCauses(now); !causes.empty();
       causes = m_part_evidence.LikelyCauses(now)) {
    for (const LikelyCause& cause : causes) {
      const std::string fingerprint = FingerprintOfPromptPart(cause.part);
      if (!m_hooks.is_judge || m_hooks.is_judge(fingerprint)) {
        QuarantinePart(cause, now);
      } else {
        Attribute(cause.part, cause.crashes, now, now + kConfirmationTime);
      }
    }
  }
  return m_part_evidence.IsJudgementOpen(now);
}

void RequestQuarantine::QuarantinePart(const LikelyCause& verdict,
                                       TimePoint now) {
  const std::string fingerprint = FingerprintOfPromptPart(verdict.part);
  Entry& entry =
      Insert(fingerprint,
             {.source = "crashes",
              .crashes = verdict.crashes.size(),
              .first_crash_age = std::chrono::duration_cast<milliseconds>(
                  now - verdict.first_crash_at),
              .crash_ids = verdict.crashes},
             now);
  entry.is_judged = !verdict.is_last_resort;
  Attribute(verdict.part, verdict.crashes, now);
  if (MayAnnounce(fingerprint)) Announce(fingerprint, &entry, now);
}

void RequestQuarantine::OnCauseFound(const std::string& cause,
                                     const std::vector<std::int64_t>& crashes,
                                     TimePoint now) {
  const auto part = PromptPartOf(cause);
  if (!part) return;
  Attribute(*part, crashes, now,
            TimeLeft(cause, now) ? TimePoint::max() : now + kConfirmationTime);
}

std::vector<std::string> RequestQuarantine::CausesAmong(
    const std::map<std::string, int>& calls, TimePoint now) const {
  std::vector<std::string> causes;
  for (const auto& [fingerprint, count] : calls) {
    if (count > 0 && PromptPartOf(fingerprint) && TimeLeft(fingerprint, now)) {
      causes.push_back(fingerprint);
    }
  }
  return causes;
}

std::vector<std::int64_t> RequestQuarantine::CrashesOf(
    const std::string& fingerprint) const {
  const auto part = PromptPartOf(fingerprint);
  if (!part || !m_quarantined.contains(fingerprint)) return {};
  return m_part_evidence.ExplainedBy(*part, kMaxCrashesOfPart);
}

void RequestQuarantine::Attribute(std::uint64_t cause,
                                  const std::vector<std::int64_t>& crashes,
                                  TimePoint now, TimePoint until) {
  for (const std::int64_t crash : crashes) {
    const bool is_new = !m_part_evidence.IsExplained(crash, now);
    m_part_evidence.Explain(crash, cause, until);
    m_records.RemoveCrash(crash);
    if (is_new && m_hooks.on_attributed) {
      m_hooks.on_attributed(FingerprintOfPromptPart(cause), crash);
    }
  }
}

bool RequestQuarantine::MayAnnounce(const std::string& fingerprint) const {
  // Of two gateways that saw one crash each, neither may know of the other.
  return m_own_crashes.contains(fingerprint) ||
         (m_hooks.is_announcer && m_hooks.is_announcer(fingerprint));
}

void RequestQuarantine::OnAnnounced(const std::string& fingerprint, int probes,
                                    TimePoint now, milliseconds age) {
  const bool is_part = PromptPartOf(fingerprint).has_value();
  if (!is_part && IsClearedOf(fingerprint, now - age)) {
    // Few gateways reply, since all that have answered it get here.
    const bool replies =
        m_hooks.is_announcer && m_hooks.is_announcer(fingerprint);
    if (replies && m_hooks.announce_answered) {
      m_hooks.announce_answered(fingerprint);
    }
    return;
  }
  Entry& entry = Insert(
      fingerprint, {.source = "announcement", .first_crash_age = age}, now);
  entry.announced_at = now;
  CountProbes(&entry, probes, now);
}

RequestQuarantine::Entry& RequestQuarantine::Insert(
    const std::string& fingerprint, const QuarantineReason& reason,
    TimePoint now) {
  const bool is_known = TimeLeft(fingerprint, now).has_value();
  if (!is_known && m_quarantined.size() >= m_options.max_quarantined) {
    MakeRoom(now);
  }
  Entry& entry = m_quarantined[fingerprint];
  if (!is_known) {
    entry = {.first_crash_at = now - reason.first_crash_age,
             .probe_at = now + m_options.first_probe_delay + ProbeJitter()};
  }
  entry.until = now + m_options.quarantine_time;
  if (!is_known && m_hooks.on_quarantined) {
    m_hooks.on_quarantined(fingerprint, reason);
  }
  return entry;
}

void RequestQuarantine::MakeRoom(TimePoint now) {
  DropExpired(now);
  if (m_quarantined.size() < m_options.max_quarantined) return;
  m_quarantined.erase(std::min_element(m_quarantined.begin(),
                                       m_quarantined.end(),
                                       [](const auto& a, const auto& b) {
                                         return a.second.until < b.second.until;
                                       }));
}

void RequestQuarantine::Announce(const std::string& fingerprint, Entry* entry,
                                 TimePoint now) {
  entry->announced_at = now;
  if (m_hooks.announce) m_hooks.announce(fingerprint);
}

bool RequestQuarantine::ClearRequest(const std::string& fingerprint,
                                     TimePoint sent_at) {
  m_answered.Set(state::FastHash(fingerprint), sent_at);
  m_records.ForgetBefore(fingerprint, sent_at);
  const auto found = m_quarantined.find(fingerprint);
  if (found == m_quarantined.end()) return false;
  const Entry& entry = found->second;
  // Of an announced quarantine the crashes are not known here.
  const bool is_premature = entry.judged_crashes > 0 &&
                            entry.judged_crashes < CrashesNeeded(fingerprint);
  if (sent_at <= entry.first_crash_at && !is_premature) return false;
  return Release(fingerprint);
}

void RequestQuarantine::OnAnswered(const std::string& fingerprint,
                                   TimePoint sent_at) {
  const bool was_quarantined = ClearRequest(fingerprint, sent_at);
  if (was_quarantined && m_hooks.announce_answered) {
    m_hooks.announce_answered(fingerprint);
  }
}

void RequestQuarantine::OnPartAnswered(std::uint64_t part, TimePoint sent_at) {
  const bool is_cleared = m_part_evidence.OnAnswered(part, sent_at);
  if (!is_cleared && m_quarantined.empty()) return;
  const std::string fingerprint = FingerprintOfPromptPart(part);
  if (is_cleared && m_hooks.on_part_cleared) {
    m_hooks.on_part_cleared(fingerprint, sent_at);
  }
  if (ReleasePart(fingerprint, sent_at) && m_hooks.announce_answered) {
    m_hooks.announce_answered(fingerprint);
  }
}

void RequestQuarantine::OnPartEstablished(std::uint64_t part,
                                          TimePoint sent_at) {
  const bool is_news = m_part_evidence.OnEstablished(part, sent_at);
  if (!is_news && m_quarantined.empty()) return;
  const std::string fingerprint = FingerprintOfPromptPart(part);
  const bool is_held = m_quarantined.contains(fingerprint);
  if ((is_news || is_held) && m_hooks.on_part_established) {
    m_hooks.on_part_established(fingerprint, sent_at);
  }
  if (is_held) ReleaseIfEstablished(fingerprint, sent_at);
}

void RequestQuarantine::ReleaseIfEstablished(const std::string& fingerprint,
                                             TimePoint sent_at) {
  const auto found = m_quarantined.find(fingerprint);
  if (found == m_quarantined.end() || !found->second.is_judged) return;
  if (ReleasePart(fingerprint, sent_at) && m_hooks.announce_answered) {
    m_hooks.announce_answered(fingerprint);
  }
}

void RequestQuarantine::OnPeerEstablished(const std::string& fingerprint,
                                          TimePoint sent_at) {
  const auto part = PromptPartOf(fingerprint);
  if (!part) return;
  m_part_evidence.OnEstablished(*part, sent_at);
  ReleaseIfEstablished(fingerprint, sent_at);
}

bool RequestQuarantine::ReleasePart(const std::string& fingerprint,
                                    TimePoint sent_at) {
  const auto first_crash_at = FirstCrashAt(fingerprint);
  if (!first_crash_at || sent_at <= *first_crash_at) return false;
  return Release(fingerprint);
}

std::optional<TimePoint> RequestQuarantine::AnsweredRequestSentAt(
    const std::string& fingerprint) const {
  const auto part = PromptPartOf(fingerprint);
  if (!part) return m_answered.Find(state::FastHash(fingerprint));
  return m_part_evidence.AnsweredRequestSentAt(*part);
}

std::size_t RequestQuarantine::CrashCount(const std::string& fingerprint,
                                          TimePoint now) const {
  const auto part = PromptPartOf(fingerprint);
  return part ? m_part_evidence.CrashesOf(*part, now).size() : 0;
}

std::optional<TimePoint> RequestQuarantine::FirstCrashAt(
    const std::string& fingerprint) const {
  const auto found = m_quarantined.find(fingerprint);
  if (found == m_quarantined.end()) return std::nullopt;
  return found->second.first_crash_at;
}

void RequestQuarantine::OnPeerAnswered(const std::string& fingerprint,
                                       TimePoint sent_at) {
  if (const auto part = PromptPartOf(fingerprint)) {
    m_part_evidence.OnAnswered(*part, sent_at);
    if (ReleasePart(fingerprint, sent_at) && MayAnnounce(fingerprint) &&
        m_hooks.announce_answered) {
      m_hooks.announce_answered(fingerprint);
    }
    return;
  }
  const bool announces = MayAnnounce(fingerprint);
  const bool was_quarantined = ClearRequest(fingerprint, sent_at);
  if (was_quarantined && announces && m_hooks.announce_answered) {
    m_hooks.announce_answered(fingerprint);
  }
}

void RequestQuarantine::OnAnsweredAnnounced(const std::string& fingerprint,
                                            TimePoint now) {
  // The announcement does not tell when the answered request was sent.
  if (const auto part = PromptPartOf(fingerprint)) {
    m_part_evidence.Forget(*part);
  } else {
    m_answered.Set(state::FastHash(fingerprint), now);
    m_records.ForgetBefore(fingerprint, now);
  }
  Release(fingerprint);
}

bool RequestQuarantine::Release(const std::string& fingerprint) {
  if (const auto part = PromptPartOf(fingerprint)) {
    m_part_evidence.Withdraw(*part);
  }
  m_own_crashes.erase(fingerprint);
  const bool was_quarantined = m_quarantined.erase(fingerprint) > 0;
  if (was_quarantined && m_hooks.on_released) m_hooks.on_released(fingerprint);
  return was_quarantined;
}

bool RequestQuarantine::IsProbeDue(const std::string& fingerprint,
                                   TimePoint now) const {
  const auto found = m_quarantined.find(fingerprint);
  if (found == m_quarantined.end()) return false;
  const Entry& entry = found->second;
  return entry.has_probe ||
         (entry.probes < m_options.max_probes && now >= entry.probe_at);
}

bool RequestQuarantine::StartProbeClaim(const std::string& fingerprint,
                                        TimePoint now) {
  const auto found = m_quarantined.find(fingerprint);
  if (found == m_quarantined.end()) return false;
  Entry& entry = found->second;
  if (entry.probes >= m_options.max_probes || now < entry.probe_at) {
    return false;
  }
  entry.probe_at = now + kClaimTime;
  entry.probes_before_claim = entry.probes;
  return true;
}

void RequestQuarantine::OnProbeClaimed(const std::string& fingerprint,
                                       int probes, TimePoint now) {
  const auto found = m_quarantined.find(fingerprint);
  if (found == m_quarantined.end()) return;
  Entry& entry = found->second;
  // The entry in the store may have lapsed, and its count of probes with it.
  CountProbes(&entry, std::max(probes, entry.probes_before_claim + 1), now);
  entry.has_probe = true;
}

void RequestQuarantine::CountProbes(Entry* entry, int probes,
                                    TimePoint now) const {
  if (probes <= entry->probes) return;
  entry->probes = probes;
  entry->outcome_at = now + kOutcomeTime;
  constexpr int most_doublings = 10;
  const int doublings = std::min(probes - 1, most_doublings);
  entry->probe_at =
      now + m_options.probe_interval * (1 << doublings) + ProbeJitter();
}

milliseconds RequestQuarantine::ProbeJitter() const {
  return m_hooks.probe_jitter ? m_hooks.probe_jitter() : milliseconds(0);
}

bool RequestQuarantine::TakeProbe(const std::string& fingerprint) {
  const auto found = m_quarantined.find(fingerprint);
  return found != m_quarantined.end() &&
         std::exchange(found->second.has_probe, false);
}

void RequestQuarantine::ReturnProbe(const std::string& fingerprint) {
  const auto found = m_quarantined.find(fingerprint);
  if (found != m_quarantined.end()) found->second.has_probe = true;
}

void RequestQuarantine::OnAmbiguousCrash(const std::string& fingerprint,
                                         TimePoint now) {
  const auto found = m_quarantined.find(fingerprint);
  if (found == m_quarantined.end() || found->second.probes != 1) return;
  TimePoint& probe_at = found->second.probe_at;
  probe_at = std::min(probe_at, now + m_options.repeated_probe_delay);
}

void RequestQuarantine::OnRepeated(const std::string& fingerprint,
                                   TimePoint now) {
  const auto found = m_quarantined.find(fingerprint);
  if (found == m_quarantined.end()) return;
  Entry& entry = found->second;
  entry.until = now + m_options.quarantine_time;
  const auto announce_period =
      m_options.quarantine_time / kAnnouncementsPerQuarantine;
  if (now - entry.announced_at >= announce_period) {
    Announce(fingerprint, &entry, now);
  }
}

std::optional<milliseconds> RequestQuarantine::TimeLeft(
    const std::string& fingerprint, TimePoint now) const {
  const auto found = m_quarantined.find(fingerprint);
  if (found == m_quarantined.end() || now >= found->second.until) return {};
  return std::chrono::ceil<milliseconds>(found->second.until - now);
}

milliseconds RequestQuarantine::RetryAfter(const std::string& fingerprint,
                                           TimePoint now) const {
  const auto found = m_quarantined.find(fingerprint);
  if (found == m_quarantined.end()) return milliseconds(0);
  const Entry& entry = found->second;
  TimePoint retry_at = entry.until;
  if (entry.probes < m_options.max_probes) {
    retry_at = std::min(retry_at, entry.probe_at);
  }
  if (now < entry.outcome_at) retry_at = std::min(retry_at, entry.outcome_at);
  // A claim that is being decided has left the time of the probe behind.
  constexpr milliseconds shortest{1};
  return std::max(shortest, std::chrono::ceil<milliseconds>(retry_at - now));
}

std::size_t RequestQuarantine::Size(TimePoint now) {
  DropExpired(now);
  return m_quarantined.size();
}

void RequestQuarantine::DropExpired(TimePoint now) {
  std::erase_if(m_quarantined,
                [now](const auto& entry) { return now >= entry.second.until; });
}

}  // namespace wasabiwall::coordination
