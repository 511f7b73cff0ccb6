#include "wasabiwall/transport/quarantine_guard.h"

#include <algorithm>
#include <utility>

#include "wasabiwall/coordination/request_fingerprint.h"
#include "wasabiwall/transport/logging.h"

namespace wasabiwall::transport {
namespace {

using std::chrono::milliseconds;

/// Time for which a call waits for each quarantined content beyond the first
/// before it is a probe. Calls with fewer come first, since a crash of theirs
/// says more about each.
constexpr milliseconds kProbeDelayPerContent{1000};

}  // namespace

void QuarantineGuard::Start(const MessageHead& head, const std::string& body,
                            const ResolvedCall& call) {
  const std::string* host = head.headers.Find("Host");
  m_fingerprint = coordination::FingerprintOf(
      {call.WorkspaceName(), head.method, host == nullptr ? "" : *host,
       head.target, body});
  m_prompt_parts = call.metadata.prompt_parts;
  m_call_id = call.metadata.attempt_id;
}

std::vector<std::string> QuarantineGuard::Quarantined() const {
  std::vector<std::string> quarantined;
  const coordination::RequestQuarantine& quarantine = m_context->quarantine;
  if (quarantine.IsEmpty()) return quarantined;
  const auto now = m_context->loop->Now();
  if (quarantine.TimeLeft(m_fingerprint, now)) {
    quarantined.push_back(m_fingerprint);
  }
  for (const std::uint64_t part : m_prompt_parts) {
    std::string fingerprint = coordination::FingerprintOfPromptPart(part);
    if (quarantine.TimeLeft(fingerprint, now)) {
      quarantined.push_back(std::move(fingerprint));
    }
  }
  return quarantined;
}

QuarantineGuard::Verdict QuarantineGuard::Check(
    bool has_run, std::function<void()> on_decided) {
  const auto quarantined = Quarantined();
  if (quarantined.empty()) return Verdict::kRun;
  if (!has_run) {
    const Verdict verdict = Probe(quarantined, std::move(on_decided));
    if (verdict != Verdict::kRefuse) return verdict;
  }
  for (const std::string& fingerprint : quarantined) {
    m_context->quarantine.OnRepeated(fingerprint, m_context->loop->Now());
  }
  m_held_by = quarantined;
  return Verdict::kRefuse;
}

QuarantineGuard::Verdict QuarantineGuard::Probe(
    const std::vector<std::string>& fingerprints,
    std::function<void()> on_decided) {
  coordination::RequestQuarantine& quarantine = m_context->quarantine;
  const auto now = m_context->loop->Now();
  const auto delay =
      kProbeDelayPerContent * (static_cast<int>(fingerprints.size()) - 1);
  const bool all_due =
      std::ranges::all_of(fingerprints, [&](const std::string& fingerprint) {
        return m_probes.contains(fingerprint) ||
               quarantine.IsProbeDue(fingerprint, now - delay);
      });
  if (!all_due) return Verdict::kRefuse;
  for (const std::string& fingerprint : fingerprints) {
    if (m_probes.contains(fingerprint)) continue;
    if (quarantine.TakeProbe(fingerprint)) {
      m_probes.insert(fingerprint);
      LogInfo("quarantine_probe",
              {{"id", m_call_id}, {"fingerprint", fingerprint}});
      continue;
    }
    const auto& claim = m_context->quarantine_sharing.claim_probe;
    const bool is_claimed = claim &&
                            quarantine.StartProbeClaim(fingerprint, now) &&
                            claim(fingerprint, std::move(on_decided));
    return is_claimed ? Verdict::kUndecided : Verdict::kRefuse;
  }
  return Verdict::kRun;
}

bool QuarantineGuard::IsWithdrawn() const {
  return std::ranges::any_of(Quarantined(),
                             [this](const std::string& fingerprint) {
                               return !m_probes.contains(fingerprint);
                             });
}

milliseconds QuarantineGuard::RetryAfter() const {
  milliseconds longest{0};
  for (const std::string& fingerprint : m_held_by) {
    longest = std::max(longest, m_context->quarantine.RetryAfter(
                                    fingerprint, m_context->loop->Now()));
  }
  return longest;
}

std::vector<LogField> QuarantineGuard::LogFields() const {
  std::string names;
  for (const std::string& fingerprint : m_held_by) {
    if (!names.empty()) names += ',';
    names += fingerprint;
  }
  return {{"fingerprint", m_fingerprint.empty() ? "-" : m_fingerprint},
          {"held_by", names.empty() ? "-" : names}};
}

void QuarantineGuard::OnBroken(const state::BackendServer& server,
                               bool is_established,
                               coordination::TimePoint sent_at) {
  std::vector<std::string> fingerprints{m_fingerprint};
  for (const std::uint64_t part : m_prompt_parts) {
    fingerprints.push_back(coordination::FingerprintOfPromptPart(part));
  }
  m_context->crash_monitor.OnConnectionBroken(server, fingerprints,
                                              is_established, sent_at);
}

void QuarantineGuard::OnEstablished(coordination::TimePoint sent_at) {
  for (const std::uint64_t part : m_prompt_parts) {
    m_context->quarantine.OnPartEstablished(part, sent_at);
  }
}

void QuarantineGuard::OnAnswered(int status, coordination::TimePoint sent_at) {
  constexpr int first_server_error = 500;
  if (status >= first_server_error) return;
  m_context->quarantine.OnAnswered(m_fingerprint, sent_at);
  if (!IsSuccess(status)) return;
  for (const std::uint64_t part : m_prompt_parts) {
    m_context->quarantine.OnPartAnswered(part, sent_at);
  }
}

void QuarantineGuard::OnEnded(bool has_run) {
  if (has_run) return;
  for (const std::string& fingerprint : m_probes) {
    m_context->quarantine.ReturnProbe(fingerprint);
  }
}

}  // namespace wasabiwall::transport
