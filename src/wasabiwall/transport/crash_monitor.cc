#include "wasabiwall/transport/crash_monitor.h"

#include <algorithm>
#include <map>
#include <utility>

#include "wasabiwall/coordination/rendezvous_homes.h"
#include "wasabiwall/coordination/request_fingerprint.h"
#include "wasabiwall/state/digest.h"
#include "wasabiwall/transport/logging.h"

namespace wasabiwall::transport {
namespace {

using std::chrono::milliseconds;

/// Time for a new connection: more than a lost first packet takes, which is
/// sent again after a second.
constexpr milliseconds kCheckTimeout{1500};
/// Gateways that are told of a crash. With as many, some can be reached from
/// each failure domain while domains are cut off from each other.
constexpr std::size_t kHomes = 32;
/// Homes that announce a quarantine; more than one, since messages are lost and
/// gateways restart.
constexpr std::size_t kAnnouncingHomes = 3;

/// Time within which a new incarnation shows that the one before has ended: a
/// restart, and the time until the registry tells of it.
constexpr std::chrono::seconds kReplacementTime{10};
/// Homes that judge a prompt part: enough that some are left when failure
/// domains are lost or cut off.
constexpr std::size_t kJudges = 8;
/// Crashes of a prompt part from which its judges are told of answers. One may
/// have any cause.
constexpr std::size_t kCrashesBeforeJudgement = 2;
/// Time in which the records that other gateways have of a crash arrive.
constexpr milliseconds kJudgeDelay{100};
/// Contents that are kept for one backend server.
constexpr std::size_t kMaxKeptFingerprints = 1024;

/// @return Identifier of the end of a backend server.
std::int64_t CrashIdOf(const state::BackendServer& server) {
  const auto incarnation = static_cast<std::uint64_t>(server.incarnation);
  return static_cast<std::int64_t>(state::FastHash(
      server.address, state::FastHash(server.id.value, incarnation)));
}

}  // namespace

/// A check of a backend server that is under way.
struct CrashMonitor::Check {
  explicit Check(EventLoop* loop) : timer(loop) {}

  BrokenCalls calls;
  Timer timer;
  std::unique_ptr<TcpConnection> connection;
};

void CrashMonitor::BrokenCalls::Add(const std::string& content, int calls,
                                    coordination::TimePoint call_sent_at) {
  fingerprints[content] += calls;
  auto& latest = sent_at[content];
  latest = std::max(latest, call_sent_at);
}

CrashMonitor::CrashMonitor(EventLoop* loop,
                           coordination::RequestQuarantine* quarantine,
                           std::string own_name, SendHook send)
    : m_loop(loop),
      m_quarantine(quarantine),
      m_own_name(std::move(own_name)),
      m_send(std::move(send)),
      m_judge_timer(loop) {}

CrashMonitor::~CrashMonitor() = default;

bool CrashMonitor::IsFirstHome(const std::string& fingerprint) const {
  const auto homes = coordination::RendezvousHomes(
      *m_members, state::FastHash(fingerprint), kAnnouncingHomes);
  return std::ranges::find(homes, m_own_name) != homes.end();
}

bool CrashMonitor::IsJudge(const std::string& fingerprint) const {
  if (!m_members->contains(m_own_name)) return true;
  const auto judges = coordination::RendezvousHomes(
      *m_members, state::FastHash(fingerprint), kJudges);
  return std::ranges::find(judges, m_own_name) != judges.end();
}

void CrashMonitor::OnConnectionBroken(
    const state::BackendServer& server,
    const std::vector<std::string>& fingerprints, bool is_established,
    coordination::TimePoint sent_at) {
  auto& check = m_checks[server.id];
  const int calls = is_established ? 0 : 1;
  if (check) {
    ++check->calls.count;
    for (const auto& content : fingerprints) {
      check->calls.Add(content, calls, sent_at);
    }
    return;
  }
  const auto address = ParseAddress(server.address);
  if (!address) {
    m_checks.erase(server.id);
    return;
  }
  check = std::make_unique<Check>(m_loop);
  check->calls = {.server = server,
                  .count = 1,
                  .fingerprints = {},
                  .broken_at = m_loop->Now()};
  for (const auto& content : fingerprints) {
    check->calls.Add(content, calls, sent_at);
  }
  const state::BackendServerId id = server.id;
  check->timer.Start(kCheckTimeout, [this, id] { OnChecked(id, true); });
  check->connection = std::make_unique<TcpConnection>(
      m_loop, *address, TcpOptions{},
      TcpConnection::Handlers{
          .on_connected = [this, id] { OnChecked(id, false); },
          .on_data = [](std::string_view) {},
          .on_end = [this, id](ConnectionEnd) { OnChecked(id, true); },
          .on_drained = nullptr});
}

void CrashMonitor::OnChecked(const state::BackendServerId& id, bool has_ended) {
  const auto found = m_checks.find(id);
  if (found == m_checks.end()) return;
  const std::unique_ptr<Check> check = std::move(found->second);
  m_checks.erase(found);
  if (has_ended) {
    RecordCrash(check->calls);
  } else {
    KeepForReplacement(std::move(check->calls));
  }
}

void CrashMonitor::KeepForReplacement(BrokenCalls calls) {
  std::erase_if(m_survived, [now = m_loop->Now()](const auto& entry) {
    return now - entry.second.broken_at > kReplacementTime;
  });
  BrokenCalls& kept = m_survived[calls.server.id];
  kept.server = std::move(calls.server);
  kept.count += calls.count;
  kept.broken_at = calls.broken_at;
  for (const auto& [fingerprint, count] : calls.fingerprints) {
    if (kept.fingerprints.size() >= kMaxKeptFingerprints) break;
    kept.Add(fingerprint, count, calls.sent_at.at(fingerprint));
  }
}

void CrashMonitor::OnGone(const state::BackendServerId& id) {
  // The connection that is being opened would reach the next incarnation.
  OnChecked(id, true);
  const auto found = m_survived.find(id);
  if (found == m_survived.end()) return;
  const BrokenCalls calls = std::move(found->second);
  m_survived.erase(found);
  if (m_loop->Now() - calls.broken_at > kReplacementTime) return;
  RecordCrash(calls);
}

void CrashMonitor::RecordCrash(const BrokenCalls& calls) {
  const auto now = m_loop->Now();
  protocol::CrashMessage crash{.crash = CrashIdOf(calls.server),
                               .age = AgeOf(calls.broken_at)};
  protocol::CrashMessage established = crash;
  established.kind = protocol::CrashMessage::Kind::kCrashEstablished;
  AttributeToQuarantined(calls, crash.crash);
  // Before the records, which homes judge as they arrive.
  TellKnownAnswers(calls.fingerprints);
  std::size_t suspects = 0;
  for (const auto& [fingerprint, count] : calls.fingerprints) {
    if (calls.count > 1) m_quarantine->OnAmbiguousCrash(fingerprint, now);
    const auto sent_at = calls.sent_at.at(fingerprint);
    if (!m_quarantine->OnCrash(fingerprint, crash.crash, now, crash.age, count,
                               sent_at)) {
      continue;
    }
    ++suspects;
    const bool is_part = coordination::PromptPartOf(fingerprint).has_value();
    if (is_part && count == 0) {
      established.fingerprints.push_back(fingerprint);
      continue;
    }
    const int times = is_part ? std::min(count, protocol::kMaxCallsPerPart) : 1;
    crash.fingerprints.insert(crash.fingerprints.end(),
                              static_cast<std::size_t>(times), fingerprint);
    crash.sent_ages.resize(crash.fingerprints.size(), AgeOf(sent_at));
  }
  LogWarn("backend_crashed",
          {{"backend", calls.server.id.value},
           {"crash", std::to_string(crash.crash)},
           {"requests", std::to_string(calls.count)},
           {"suspects", std::to_string(suspects)},
           {"known_after_ms", std::to_string(crash.age.count())}});
  SendToHomes(crash);
  SendToHomes(established);
  JudgeSoon();
}

void CrashMonitor::AttributeToQuarantined(const BrokenCalls& calls,
                                          std::int64_t crash) {
  const auto now = m_loop->Now();
  const auto causes = m_quarantine->CausesAmong(calls.fingerprints, now);
  if (causes.empty()) return;
  std::set<std::string> others;
  for (const auto& [fingerprint, count] : calls.fingerprints) {
    if (coordination::PromptPartOf(fingerprint)) others.insert(fingerprint);
  }
  for (const std::string& cause : causes) {
    m_quarantine->OnCauseFound(cause, {crash}, now);
    SendToJudges(others, {.kind = protocol::CrashMessage::Kind::kAttributed,
                          .fingerprints = {cause},
                          .caused_crashes = m_quarantine->CrashesOf(cause)});
  }
}

void CrashMonitor::SendToJudges(const std::set<std::string>& fingerprints,
                                const protocol::CrashMessage& message) {
  std::set<std::string> judges;
  for (const std::string& fingerprint : fingerprints) {
    for (const std::string& judge : coordination::RendezvousHomes(
             *m_members, state::FastHash(fingerprint), kJudges)) {
      if (judge != m_own_name) judges.insert(judge);
    }
  }
  for (const std::string& judge : judges) {
    m_send(m_members->at(judge), message);
  }
}

void CrashMonitor::TellEstablished(const std::string& fingerprint,
                                   coordination::TimePoint sent_at) {
  SendToJudges({fingerprint},
               {.kind = protocol::CrashMessage::Kind::kEstablished,
                .age = AgeOf(sent_at),
                .fingerprints = {fingerprint}});
}

void CrashMonitor::JudgeSoon() {
  if (std::exchange(m_judges_soon, true)) return;
  m_judge_timer.Start(kJudgeDelay, [this] {
    m_judges_soon = false;
    if (m_quarantine->JudgePromptParts(m_loop->Now())) JudgeSoon();
  });
}

milliseconds CrashMonitor::AgeOf(coordination::TimePoint time) const {
  const auto age = std::chrono::ceil<milliseconds>(m_loop->Now() - time);
  return std::max(age, milliseconds(0));
}

std::optional<coordination::TimePoint> CrashMonitor::AddKnownAnswer(
    const std::string& fingerprint, AnswerMessages* answers) const {
  const auto sent_at = m_quarantine->AnsweredRequestSentAt(fingerprint);
  if (!sent_at) return std::nullopt;
  protocol::CrashMessage& message = coordination::PromptPartOf(fingerprint)
                                        ? answers->parts
                                        : answers->requests;
  message.fingerprints.push_back(fingerprint);
  // The oldest holds for all of them.
  message.age = std::max(message.age, AgeOf(*sent_at));
  return sent_at;
}

void CrashMonitor::TellKnownAnswers(
    const std::map<std::string, int>& fingerprints) {
  AnswerMessages answers;
  for (const auto& [fingerprint, count] : fingerprints) {
    AddKnownAnswer(fingerprint, &answers);
  }
  SendToHomes(answers.requests);
  SendToHomes(answers.parts);
}

void CrashMonitor::TellAnswered(const std::string& fingerprint,
                                coordination::TimePoint sent_at) {
  SendToHomes({.kind = protocol::CrashMessage::Kind::kAnswered,
               .age = AgeOf(sent_at),
               .fingerprints = {fingerprint}});
}

void CrashMonitor::TellJudges(const std::string& fingerprint,
                              coordination::TimePoint sent_at) {
  const auto now = m_loop->Now();
  if (m_quarantine->CrashCount(fingerprint, now) < kCrashesBeforeJudgement) {
    return;
  }
  SendToJudges({fingerprint}, {.kind = protocol::CrashMessage::Kind::kAnswered,
                               .age = AgeOf(sent_at),
                               .fingerprints = {fingerprint}});
}

void CrashMonitor::TellQuarantined(const std::string& fingerprint,
                                   coordination::TimePoint first_crash_at) {
  SendToAll({.kind = protocol::CrashMessage::Kind::kQuarantined,
             .age = AgeOf(first_crash_at),
             .fingerprints = {fingerprint},
             .caused_crashes = m_quarantine->CrashesOf(fingerprint)});
}

void CrashMonitor::TellReleased(const std::string& fingerprint,
                                coordination::TimePoint sent_at) {
  SendToAll({.kind = protocol::CrashMessage::Kind::kAnswered,
             .age = AgeOf(sent_at),
             .fingerprints = {fingerprint}});
}

void CrashMonitor::SendToAll(const protocol::CrashMessage& message) {
  for (const auto& [name, address] : *m_members) {
    if (name != m_own_name) m_send(address, message);
  }
}

void CrashMonitor::SendToHomes(const protocol::CrashMessage& message) {
  // Positions in the message.
  std::map<std::string, std::vector<std::size_t>> by_home;
  for (std::size_t i = 0; i < message.fingerprints.size(); ++i) {
    const std::uint64_t key = state::FastHash(message.fingerprints[i]);
    for (const std::string& home :
         coordination::RendezvousHomes(*m_members, key, kHomes)) {
      if (home != m_own_name) by_home[home].push_back(i);
    }
  }
  const protocol::CrashMessage empty{
      .kind = message.kind, .crash = message.crash, .age = message.age};
  for (const auto& [home, positions] : by_home) {
    protocol::CrashMessage part = empty;
    for (const std::size_t i : positions) {
      part.fingerprints.push_back(message.fingerprints[i]);
      if (!message.sent_ages.empty()) {
        part.sent_ages.push_back(message.sent_ages[i]);
      }
      if (part.fingerprints.size() < protocol::kMaxCrashMessageRequests) {
        continue;
      }
      m_send(m_members->at(home), part);
      part = empty;
    }
    if (!part.fingerprints.empty()) m_send(m_members->at(home), part);
  }
}

void CrashMonitor::OnMessage(const std::string& from,
                             const protocol::CrashMessage& message) {
  const auto now = m_loop->Now();
  switch (message.kind) {
    case protocol::CrashMessage::Kind::kAnswered:
      for (const std::string& fingerprint : message.fingerprints) {
        m_quarantine->OnPeerAnswered(fingerprint, now - message.age);
      }
      return;
    case protocol::CrashMessage::Kind::kQuarantined:
      for (const std::string& fingerprint : message.fingerprints) {
        m_quarantine->OnAnnounced(fingerprint, 0, now, message.age);
        m_quarantine->OnCauseFound(fingerprint, message.caused_crashes, now);
      }
      return;
    case protocol::CrashMessage::Kind::kEstablished:
      for (const std::string& fingerprint : message.fingerprints) {
        m_quarantine->OnPeerEstablished(fingerprint, now - message.age);
      }
      return;
    case protocol::CrashMessage::Kind::kAttributed:
      for (const std::string& fingerprint : message.fingerprints) {
        m_quarantine->OnCauseFound(fingerprint, message.caused_crashes, now);
      }
      return;
    case protocol::CrashMessage::Kind::kCrash:
    case protocol::CrashMessage::Kind::kCrashEstablished:
      break;
  }
  std::vector<coordination::CrashRecord> records;
  records.reserve(message.fingerprints.size());
  const bool is_established =
      message.kind == protocol::CrashMessage::Kind::kCrashEstablished;
  for (std::size_t i = 0; i < message.fingerprints.size(); ++i) {
    records.push_back(
        {message.fingerprints[i], message.crash, message.age, is_established});
    if (!message.sent_ages.empty()) {
      records.back().sent_age = message.sent_ages[i];
    }
  }
  AnswerMessages answers;
  for (const std::string& fingerprint :
       m_quarantine->OnPeerRecords(records, now)) {
    const auto sent_at = AddKnownAnswer(fingerprint, &answers);
    if (sent_at && coordination::PromptPartOf(fingerprint)) {
      TellJudges(fingerprint, *sent_at);
    }
  }
  JudgeSoon();
  if (!answers.requests.fingerprints.empty()) m_send(from, answers.requests);
  if (!answers.parts.fingerprints.empty()) m_send(from, answers.parts);
}

}  // namespace wasabiwall::transport
