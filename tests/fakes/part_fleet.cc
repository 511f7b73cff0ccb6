#include "fakes/part_fleet.h"

#include <algorithm>
#include <iterator>
#include <numeric>

#include "wasabiwall/coordination/request_fingerprint.h"
#include "wasabiwall/state/digest.h"

namespace wasabiwall::fakes {
namespace {

using coordination::CrashRecord;
using coordination::FingerprintOfPromptPart;
using coordination::RequestQuarantine;
using coordination::TimePoint;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Part that each request begins with, and the one that is the cause.
constexpr std::uint64_t kTemplate = 1;
constexpr std::uint64_t kCause = 2;
/// Part that comes only together with the cause.
constexpr std::uint64_t kCompanion = 3;
/// A second part that ends backend servers.
constexpr std::uint64_t kSecondCause = 4;
/// Sound part that comes mostly with the cause, and the share of the other
/// requests that hold it.
constexpr std::uint64_t kDecoy = 5;
constexpr double kDecoyShareOfOthers = 0.01;
constexpr std::uint64_t kFirstCommonPart = 100;
constexpr int kCommonParts = 40;
constexpr std::uint64_t kFirstRarePart = 1'000'000;

constexpr milliseconds kStep{2};
constexpr std::size_t kHomes = 32;
constexpr std::size_t kJudges = 8;
constexpr std::size_t kAnnouncers = 3;
constexpr double kCallsPerSecond = 190;
constexpr int kServers = 18;
constexpr milliseconds kMessageTime{3};
constexpr milliseconds kStoreTime{100};
constexpr milliseconds kRestartTime{3000};
constexpr milliseconds kJudgeDelay{100};
constexpr milliseconds kRepeatDelay{10};
/// Time from a request to the moment when its answer is established.
constexpr milliseconds kEstablishedTime{750};
constexpr std::size_t kFifth = 4;

}  // namespace

int PartFleet::CauseLog::SendsAfterFifth(milliseconds time) const {
  if (ends.size() <= kFifth) return 0;
  return static_cast<int>(std::ranges::count_if(
      sends, [&](TimePoint sent) { return sent > ends[kFifth] + time; }));
}

TimePoint PartFleet::CauseLog::FifthEnd() const {
  if (ends.empty()) return kStart;
  return ends[std::min(ends.size() - 1, kFifth)];
}

PartFleet::PartFleet(const PartScenario& scenario)
    : m_scenario(scenario), m_random(scenario.seed) {
  for (int i = 0; i < scenario.gateways; ++i) {
    m_members["g" + std::to_string(i)] = "a";
  }
  for (const auto& [name, address] : m_members) Start(name);
}

void PartFleet::Run(milliseconds time) {
  const TimePoint end = m_now + time;
  while (m_now < end) {
    m_now += kStep;
    while (!m_events.empty() && m_events.begin()->first <= m_now) {
      const auto event = std::move(m_events.begin()->second);
      m_events.erase(m_events.begin());
      event();
    }
    if (Chance(kCallsPerSecond * kStep.count() / 1000.0)) Arrive();
  }
}

void PartFleet::LoseServers(int count, int first) {
  for (int i = 0; i < count; ++i) EndServer((first + i) % kServers);
}

double PartFleet::SoundShareSince(TimePoint since) const {
  int all = 0;
  int begun = 0;
  for (const auto& [at, was_sent] : m_sound) {
    if (at < since) continue;
    ++all;
    begun += was_sent ? 1 : 0;
  }
  return all == 0 ? 1 : static_cast<double>(begun) / all;
}

void PartFleet::ConvictDecoy() {
  const std::string decoy = FingerprintOfPromptPart(kDecoy);
  std::vector<std::int64_t> crashes(static_cast<std::size_t>(m_crashes));
  std::iota(crashes.begin(), crashes.end(), 1);
  for (const auto& [name, gateway] : m_gateways) {
    gateway->OnAnnounced(
        decoy, 0, m_now,
        std::chrono::duration_cast<milliseconds>(m_now - kStart));
    gateway->OnCauseFound(decoy, crashes, m_now);
  }
}

int PartFleet::GatewaysHoldingDecoy() const {
  const std::string decoy = FingerprintOfPromptPart(kDecoy);
  return static_cast<int>(
      std::ranges::count_if(m_gateways, [&](const auto& entry) {
        return entry.second->TimeLeft(decoy, m_now).has_value();
      }));
}

bool PartFleet::Chance(double share) {
  return std::bernoulli_distribution(share)(m_random);
}

milliseconds PartFleet::Between(milliseconds least, milliseconds most) {
  return milliseconds(std::uniform_int_distribution<int>(
      static_cast<int>(least.count()),
      static_cast<int>(most.count()))(m_random));
}

void PartFleet::After(milliseconds time, std::function<void()> event) {
  m_events.emplace(m_now + time, std::move(event));
}

void PartFleet::Send(const std::string& to, const Message& message) {
  if (Chance(m_scenario.loss)) return;
  After(kMessageTime,
        [this, to, message] { message(m_gateways.at(to).get()); });
}

std::vector<std::string> PartFleet::HomesOf(const std::string& fingerprint,
                                            std::size_t count) const {
  return coordination::RendezvousHomes(m_members, state::FastHash(fingerprint),
                                       count);
}

bool PartFleet::IsHome(const std::string& fingerprint, const std::string& name,
                       std::size_t count) const {
  const auto homes = HomesOf(fingerprint, count);
  return std::ranges::find(homes, name) != homes.end();
}

void PartFleet::SendToHomes(const std::string& from,
                            const std::string& fingerprint,
                            const Message& message) {
  for (const auto& home : HomesOf(fingerprint, kHomes)) {
    if (home != from) Send(home, message);
  }
}

void PartFleet::SendToJudges(const std::string& from,
                             const std::vector<std::string>& fingerprints,
                             const Message& message) {
  std::set<std::string> judges;
  for (const std::string& fingerprint : fingerprints) {
    for (const auto& judge : HomesOf(fingerprint, kJudges)) {
      if (judge != from) judges.insert(judge);
    }
  }
  for (const auto& judge : judges) Send(judge, message);
}

void PartFleet::SendToAll(const std::string& from, const Message& message) {
  for (const auto& [name, address] : m_members) {
    if (name != from) Send(name, message);
  }
}

void PartFleet::Announce(const std::string& name,
                         const std::string& fingerprint) {
  const TimePoint first =
      m_gateways.at(name)->FirstCrashAt(fingerprint).value_or(m_now);
  const auto crashes = m_gateways.at(name)->CrashesOf(fingerprint);
  const auto tell = [=, this](RequestQuarantine* gateway) {
    gateway->OnAnnounced(
        fingerprint, m_probes[fingerprint], m_now,
        std::chrono::duration_cast<milliseconds>(m_now - first));
    gateway->OnCauseFound(fingerprint, crashes, m_now);
  };
  SendToAll(name, tell);
  if (!m_scenario.has_store) return;
  After(kStoreTime, [this, tell] {
    for (const auto& [other, gateway] : m_gateways) tell(gateway.get());
  });
}

void PartFleet::AnnounceAnswered(const std::string& name,
                                 const std::string& fingerprint) {
  const TimePoint sent_at =
      m_gateways.at(name)->AnsweredRequestSentAt(fingerprint).value_or(m_now);
  SendToAll(name, [=](RequestQuarantine* gateway) {
    gateway->OnPeerAnswered(fingerprint, sent_at);
  });
  if (!m_scenario.has_store) return;
  After(kStoreTime, [this, fingerprint] {
    for (const auto& [other, gateway] : m_gateways) {
      gateway->OnAnsweredAnnounced(fingerprint, m_now);
    }
  });
}

void PartFleet::Start(const std::string& name) {
  m_gateways[name] =
      std::make_unique<RequestQuarantine>(RequestQuarantine::Hooks{
          .on_released = [this, name](const std::string&) { JudgeSoon(name); },
          .announce =
              [this, name](const std::string& fingerprint) {
                Announce(name, fingerprint);
              },
          .announce_answered =
              [this, name](const std::string& fingerprint) {
                AnnounceAnswered(name, fingerprint);
              },
          .on_part_cleared =
              [this, name](const std::string& fingerprint, TimePoint sent_at) {
                SendToHomes(name, fingerprint, [=](RequestQuarantine* home) {
                  home->OnPeerAnswered(fingerprint, sent_at);
                });
              },
          .on_part_established =
              [this, name](const std::string& fingerprint, TimePoint sent_at) {
                SendToJudges(name, {fingerprint},
                             [=](RequestQuarantine* judge) {
                               judge->OnPeerEstablished(fingerprint, sent_at);
                             });
              },
          .is_judge =
              [this, name](const std::string& fingerprint) {
                return IsHome(fingerprint, name, kJudges);
              },
          .is_announcer =
              [this, name](const std::string& fingerprint) {
                return IsHome(fingerprint, name, kAnnouncers);
              }});
}

bool PartFleet::MayRun(Call& call) {
  RequestQuarantine& gateway = *m_gateways.at(call.gateway);
  std::vector<std::string> held;
  for (const std::uint64_t part : call.parts) {
    const std::string fingerprint = FingerprintOfPromptPart(part);
    if (gateway.TimeLeft(fingerprint, m_now)) held.push_back(fingerprint);
  }
  if (held.empty()) return true;
  if (call.sends > 0 || !m_scenario.has_store) return false;
  const auto delay = seconds(1) * (static_cast<int>(held.size()) - 1);
  for (const auto& fingerprint : held) {
    if (!gateway.IsProbeDue(fingerprint, m_now - delay)) return false;
  }
  for (const auto& fingerprint : held) {
    call.probes.push_back(fingerprint);
    if (gateway.TakeProbe(fingerprint)) continue;
    if (!gateway.StartProbeClaim(fingerprint, m_now)) return false;
    const int probes = ++m_probes[fingerprint];
    for (const auto& [name, other] : m_gateways) {
      other->OnAnnounced(fingerprint, probes, m_now);
    }
    gateway.OnProbeClaimed(fingerprint, probes, m_now);
    if (!gateway.TakeProbe(fingerprint)) return false;
  }
  return true;
}

void PartFleet::JudgeSoon(const std::string& name) {
  if (!m_judging.insert(name).second) return;
  After(kJudgeDelay, [this, name] {
    m_judging.erase(name);
    if (m_gateways.at(name)->JudgePromptParts(m_now)) JudgeSoon(name);
  });
}

void PartFleet::Record(const std::string& name,
                       const std::map<std::string, int>& calls,
                       const SentTimes& sent_times, std::int64_t crash) {
  RequestQuarantine& gateway = *m_gateways.at(name);
  JudgeSoon(name);
  std::vector<std::string> contents;
  contents.reserve(calls.size());
  for (const auto& [fingerprint, count] : calls) {
    contents.push_back(fingerprint);
  }
  for (const auto& cause : gateway.CausesAmong(calls, m_now)) {
    gateway.OnCauseFound(cause, {crash}, m_now);
    const auto crashes = gateway.CrashesOf(cause);
    SendToJudges(name, contents, [=, this](RequestQuarantine* judge) {
      judge->OnCauseFound(cause, crashes, m_now);
    });
  }
  for (const auto& [fingerprint, count] : calls) {
    const TimePoint call_sent_at = sent_times.at(fingerprint);
    gateway.OnCrash(fingerprint, crash, m_now, milliseconds(0), count,
                    call_sent_at);
    SendRecord(name, fingerprint, crash, count, call_sent_at);
    const auto sent_at = gateway.AnsweredRequestSentAt(fingerprint);
    if (!sent_at) continue;
    const std::string content = fingerprint;
    SendToHomes(name, content, [=](RequestQuarantine* home) {
      home->OnPeerAnswered(content, *sent_at);
    });
  }
}

void PartFleet::SendRecord(const std::string& from,
                           const std::string& fingerprint, std::int64_t crash,
                           int calls, TimePoint sent_at) {
  const TimePoint at = m_now;
  for (const auto& home : HomesOf(fingerprint, kHomes)) {
    if (home == from) continue;
    Send(home, [=, this](RequestQuarantine* gateway) {
      const auto age = std::chrono::duration_cast<milliseconds>(m_now - at);
      constexpr int most_reported = 4;
      const std::vector<CrashRecord> records(
          static_cast<std::size_t>(std::clamp(calls, 1, most_reported)),
          {fingerprint, crash, age, calls == 0,
           std::chrono::duration_cast<milliseconds>(m_now - sent_at)});
      const auto answered = gateway->OnPeerRecords(records, m_now);
      JudgeSoon(home);
      if (answered.empty()) return;
      const auto answered_at = gateway->AnsweredRequestSentAt(fingerprint);
      auto told = HomesOf(fingerprint, kJudges);
      if (gateway->CrashCount(fingerprint, m_now) < 2) told.clear();
      told.push_back(from);
      for (const auto& judge : told) {
        Send(judge, [=](RequestQuarantine* other) {
          other->OnPeerAnswered(fingerprint, answered_at.value());
        });
      }
    });
  }
}

void PartFleet::Arrive() {
  auto call = std::make_shared<Call>();
  auto gateway = m_members.begin();
  std::advance(gateway, m_random() % m_members.size());
  call->gateway = gateway->first;
  call->parts = DrawParts(call.get());
  const bool was_sent = Place(call);
  if (call->holds_cause || call->holds_second_cause) return;
  m_sound.emplace_back(m_now, was_sent);
}

std::vector<std::uint64_t> PartFleet::DrawParts(Call* call) {
  std::vector<std::uint64_t> parts{kTemplate};
  const bool would_hold_cause = Chance(m_scenario.share);
  call->holds_cause = would_hold_cause && IsPast(m_scenario.absent_before);
  const auto add_cause = [&] {
    if (!call->holds_cause) return;
    parts.push_back(kCause);
    if (m_scenario.has_companion) parts.push_back(kCompanion);
  };
  if (m_scenario.cause_is_early) add_cause();
  parts.push_back(kFirstCommonPart + m_random() % kCommonParts);
  // One in three prompts has a part that few others share.
  if (Chance(0.3)) parts.push_back(kFirstRarePart + m_random() % 10000);
  if (m_scenario.second_share > 0 && !call->holds_cause &&
      IsPast(m_scenario.second_absent_before) &&
      Chance(m_scenario.second_share)) {
    call->holds_second_cause = true;
    parts.push_back(kSecondCause);
  }
  if (!m_scenario.cause_is_early) add_cause();
  if (m_scenario.decoy_share > 0 &&
      Chance(call->holds_cause ? m_scenario.decoy_share
                               : kDecoyShareOfOthers)) {
    parts.push_back(kDecoy);
  }
  return parts;
}

bool PartFleet::Place(const std::shared_ptr<Call>& call) {
  if (!MayRun(*call)) return false;
  std::vector<int> up;
  for (int i = 0; i < kServers; ++i) {
    if (m_servers[i].is_up) up.push_back(i);
  }
  // Nothing of the quarantine: the call would wait for a backend server.
  if (up.empty()) {
    for (const auto& fingerprint : call->probes) {
      m_gateways.at(call->gateway)->ReturnProbe(fingerprint);
    }
    return true;
  }
  const int server = up[m_random() % up.size()];
  const int incarnation = m_servers[server].incarnation;
  call->sent_at = m_now;
  ++call->sends;
  m_servers[server].calls.push_back(call);
  const bool ends_server =
      (call->holds_cause && IsPast(m_scenario.sound_before)) ||
      call->holds_second_cause;
  CauseLog& cause = call->holds_second_cause ? m_second_cause : m_cause;
  if (ends_server) cause.sends.push_back(m_now);
  const auto run_time =
      ends_server
          ? Between(milliseconds(30), milliseconds(500))
          : Between(m_scenario.shortest_answer, m_scenario.longest_answer);
  const auto is_gone = [=, this] {
    return m_servers[server].incarnation != incarnation;
  };
  if (!ends_server && run_time > kEstablishedTime) {
    After(kEstablishedTime, [=, this] {
      if (is_gone()) return;
      for (const std::uint64_t part : call->parts) {
        m_gateways.at(call->gateway)->OnPartEstablished(part, call->sent_at);
      }
    });
  }
  After(run_time, [=, this, &cause] {
    if (is_gone()) return;
    if (ends_server) {
      cause.ends.push_back(m_now);
      EndServer(server);
      return;
    }
    std::erase(m_servers[server].calls, call);
    for (const std::uint64_t part : call->parts) {
      m_gateways.at(call->gateway)->OnPartAnswered(part, call->sent_at);
    }
  });
  return true;
}

void PartFleet::EndServer(int index) {
  Server& server = m_servers[index];
  if (!std::exchange(server.is_up, false)) return;
  const std::int64_t crash = ++m_crashes;
  ++server.incarnation;
  After(kRestartTime, [&server] { server.is_up = true; });
  const auto broken = std::exchange(server.calls, {});
  std::map<std::string, std::map<std::string, int>> contents;
  std::map<std::string, SentTimes> sent_times;
  std::map<std::string, int> calls;
  for (const auto& call : broken) {
    ++calls[call->gateway];
    const bool is_established = m_now - call->sent_at >= kEstablishedTime;
    for (const std::uint64_t part : call->parts) {
      contents[call->gateway][FingerprintOfPromptPart(part)] +=
          is_established ? 0 : 1;
      TimePoint& latest =
          sent_times[call->gateway][FingerprintOfPromptPart(part)];
      latest = std::max(latest, call->sent_at);
    }
  }
  for (const auto& [name, counts] : contents) {
    Record(name, counts, sent_times.at(name), crash);
    if (calls.at(name) == 1) continue;
    for (const auto& [fingerprint, count] : counts) {
      m_gateways.at(name)->OnAmbiguousCrash(fingerprint, m_now);
    }
  }
  for (const auto& call : broken) {
    if (call->sends >= 2) continue;
    After(kRepeatDelay, [this, call] { Place(call); });
  }
}

}  // namespace wasabiwall::fakes
