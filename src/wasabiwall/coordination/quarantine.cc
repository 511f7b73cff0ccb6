#include "wasabiwall/coordination/quarantine.h"

#include <utility>

namespace wasabiwall::coordination {
namespace {

constexpr std::chrono::milliseconds kCrashCooldown{500};

}  // namespace

Quarantine::Quarantine(ClockHook clock, RandomHook random,
                       CrashRecordsOptions options)
    : m_clock(std::move(clock)),
      m_random(std::move(random)),
      m_records(options),
      m_retention(options.retention) {}

QuarantineVerdict Quarantine::Judge(const std::string& fingerprint,
                                    bool last_resort) {
  const TimePoint now = m_clock();
  const int crashes = m_records.Count(fingerprint, now);
  if (crashes == 0) return QuarantineVerdict::kRun;
  if (crashes >= kQuarantineCrashes) return QuarantineVerdict::kQuarantined;
  if (last_resort) return QuarantineVerdict::kRunAlone;
  const std::lock_guard lock(m_mutex);
  const auto seen = m_crashed_here.find(fingerprint);
  const bool here =
      seen != m_crashed_here.end() && now - seen->second < m_retention;
  return here ? QuarantineVerdict::kNotHere : QuarantineVerdict::kRunAlone;
}

bool Quarantine::Begin(const state::AttemptId& attempt,
                       const std::string& fingerprint) {
  const bool suspect =
      !fingerprint.empty() && m_records.Count(fingerprint, m_clock()) > 0;
  const std::lock_guard lock(m_mutex);
  if (suspect && m_suspect_runs) {
    m_runs[attempt] = {.fingerprint = fingerprint, .exclusive = true};
    m_waiting.push_back(attempt);
    return false;
  }
  m_suspect_runs = m_suspect_runs || suspect;
  m_runs[attempt] = {.fingerprint = fingerprint, .exclusive = suspect};
  return true;
}

void Quarantine::OnConnectionBroken(const state::AttemptId& attempt) {
  const TimePoint now = m_clock();
  const std::lock_guard lock(m_mutex);
  const auto broken = m_runs.find(attempt);
  if (broken == m_runs.end() || broken->second.broken) return;
  broken->second.broken = true;
  if (broken->second.crash != 0) return;
  const std::int64_t crash = static_cast<std::int64_t>(m_random() | 1U);
  const std::unordered_set<state::AttemptId> waiting(m_waiting.begin(),
                                                     m_waiting.end());
  m_crashed_at = now;
  std::erase_if(m_crashed_here, [&](const auto& entry) {
    return now - entry.second >= m_retention;
  });
  for (auto& [id, run] : m_runs) {
    if (run.crash != 0 || waiting.count(id) > 0) continue;
    run.crash = crash;
    if (run.fingerprint.empty()) continue;
    m_records.Add(run.fingerprint, crash, now);
    m_crashed_here[run.fingerprint] = now;
  }
}

std::optional<state::AttemptId> Quarantine::OnEnded(
    const state::AttemptId& attempt) {
  const std::lock_guard lock(m_mutex);
  const auto found = m_runs.find(attempt);
  if (found == m_runs.end()) return std::nullopt;
  const Run run = found->second;
  m_runs.erase(found);
  if (run.crash != 0 && !run.broken) {
    m_records.Withdraw(run.fingerprint, run.crash);
    m_crashed_here.erase(run.fingerprint);
  }
  if (!run.exclusive) return std::nullopt;
  m_suspect_runs = !m_waiting.empty();
  if (m_waiting.empty()) return std::nullopt;
  state::AttemptId next = std::move(m_waiting.front());
  m_waiting.pop_front();
  return next;
}

bool Quarantine::IsCoolingDown() const {
  const TimePoint now = m_clock();
  const std::lock_guard lock(m_mutex);
  return m_crashed_at && now - *m_crashed_at < kCrashCooldown;
}

std::size_t Quarantine::Waiting() const {
  const std::lock_guard lock(m_mutex);
  return m_waiting.size();
}

}  // namespace wasabiwall::coordination
