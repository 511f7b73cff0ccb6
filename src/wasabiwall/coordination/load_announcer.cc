#include "wasabiwall/coordination/load_announcer.h"

#include <algorithm>
#include <utility>

namespace wasabiwall::coordination {
namespace {

using std::chrono::milliseconds;

/// Longest wait before an announcement. Long against the time that a message
/// takes, so that few gateways announce the same, and short against the time
/// in which a burst fills a backend server.
constexpr std::uint64_t kMaxDelayMs = 15;
/// Shortest time between two announcements of one backend server.
constexpr milliseconds kMinInterval{100};
/// The same for each loaded backend server, so that a gateway receives 500
/// loads a second, or 25 KB, while loads do not grow.
constexpr std::chrono::microseconds kIntervalPerServer{2000};
/// How long a backend server counts as loaded after an announcement.
constexpr milliseconds kLoadedTime{1000};
/// Age from which a load is not passed on or believed: the process that was
/// told it has been paused or delayed.
constexpr milliseconds kMaxAge{200};

}  // namespace

LoadAnnouncer::LoadAnnouncer(BackendLoadTable* loads, Hooks hooks)
    : m_loads(loads), m_hooks(std::move(hooks)) {}

void LoadAnnouncer::OnReport(const state::BackendServerId& server,
                             ReportedLoad load, double bound, TimePoint now) {
  const int calls = load.running + load.waiting;
  const auto pending = m_pending.find(server);
  if (calls + 1 <= bound) {
    if (pending != m_pending.end()) m_pending.erase(pending);
    return;
  }
  if (pending != m_pending.end()) {
    pending->second.calls = calls;
    pending->second.reported_at = now;
    return;
  }
  const auto announced = m_announced.find(server);
  if (announced != m_announced.end() &&
      now - announced->second.at < Interval(announced->second, calls)) {
    return;
  }
  const milliseconds delay(m_hooks.random() % (kMaxDelayMs + 1));
  m_pending.insert({server, {calls, now, now + delay}});
}

void LoadAnnouncer::OnMessage(const protocol::LoadMessage& message,
                              TimePoint now) {
  for (const auto& load : message.loads) {
    if (load.age > kMaxAge || !m_hooks.is_known(load.server)) continue;
    m_pending.erase(load.server);
    OnAnnounced(load.server, load.calls, now);
    m_loads->OnReport(load.server, {load.calls, 0}, now - load.age);
  }
}

std::optional<TimePoint> LoadAnnouncer::NextDue() const {
  if (m_pending.empty()) return std::nullopt;
  return std::ranges::min_element(m_pending,
                                  [](const auto& a, const auto& b) {
                                    return a.second.due < b.second.due;
                                  })
      ->second.due;
}

void LoadAnnouncer::SendDue(TimePoint now) {
  protocol::LoadMessage message;
  for (auto it = m_pending.begin(); it != m_pending.end();) {
    const auto& [server, pending] = *it;
    if (pending.due > now ||
        message.loads.size() == protocol::kMaxLoadsInMessage) {
      ++it;
      continue;
    }
    const auto age =
        std::chrono::duration_cast<milliseconds>(now - pending.reported_at);
    if (age <= kMaxAge) {
      message.loads.push_back({server, pending.calls, age});
      OnAnnounced(server, pending.calls, now);
    }
    it = m_pending.erase(it);
  }
  if (!message.loads.empty()) m_hooks.announce(message);
}

void LoadAnnouncer::Forget(const state::BackendServerId& server) {
  m_pending.erase(server);
  m_announced.erase(server);
}

milliseconds LoadAnnouncer::Interval(const Announced& last, int calls) const {
  const std::chrono::duration<double, std::micro> usual =
      kIntervalPerServer * m_announced.size();
  const double growth = (calls + 1.0) / (last.calls + 1.0);
  return std::max(kMinInterval, std::chrono::duration_cast<milliseconds>(
                                    usual / std::max(1.0, growth * growth)));
}

void LoadAnnouncer::OnAnnounced(const state::BackendServerId& server, int calls,
                                TimePoint now) {
  const auto found = m_announced.find(server);
  if (found == m_announced.end() || now - found->second.at > kLoadedTime) {
    std::erase_if(m_announced, [now](const auto& entry) {
      return now - entry.second.at > kLoadedTime;
    });
  }
  m_announced[server] = {now, calls};
}

}  // namespace wasabiwall::coordination
