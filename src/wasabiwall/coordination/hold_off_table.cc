#include "wasabiwall/coordination/hold_off_table.h"

#include <algorithm>

namespace wasabiwall::coordination {
namespace {

using std::chrono::milliseconds;

/// Longest time that is honoured; a longer one is taken for a mistake.
constexpr std::chrono::hours kMaxTime{1};
/// The return is delayed by at most this, and by at most a quarter of the time.
constexpr milliseconds kMaxReturnDelay{500};
constexpr int kReturnDelayDivisor = 4;
/// Time after which another first call may be sent: longer than the objective
/// of any call.
constexpr milliseconds kProbeTimeout{1000};

}  // namespace

const HoldOffTable::Entry* HoldOffTable::Find(
    const state::BackendServer& server) const {
  const auto found = m_entries.find(server.id);
  const bool same_incarnation =
      found != m_entries.end() &&
      found->second.incarnation == state::IncarnationOf(server);
  return same_incarnation ? &found->second : nullptr;
}

milliseconds HoldOffTable::OnRequest(const state::BackendServer& server,
                                     milliseconds time, TimePoint now) {
  const milliseconds limited =
      std::clamp(time, milliseconds(0), milliseconds(kMaxTime));
  const auto most_delay =
      std::min(kMaxReturnDelay, limited / kReturnDelayDivisor);
  const milliseconds delay(m_random() %
                           static_cast<std::uint64_t>(most_delay.count() + 1));
  const Entry* known = Find(server);
  TimePoint until = now + limited + delay;
  if (known != nullptr) until = std::max(until, known->until);
  m_entries[server.id] = {state::IncarnationOf(server), until, {}};
  return TimeLeft(server, now);
}

void HoldOffTable::OnSent(const state::BackendServer& server, TimePoint now) {
  if (Find(server) != nullptr) m_entries[server.id].probe_sent = now;
}

void HoldOffTable::OnAnswer(const state::BackendServer& server, TimePoint now) {
  const Entry* entry = Find(server);
  if (entry != nullptr && now >= entry->until) m_entries.erase(server.id);
}

bool HoldOffTable::IsHeldOff(const state::BackendServer& server,
                             TimePoint now) const {
  const Entry* entry = Find(server);
  if (entry == nullptr) return false;
  if (now < entry->until) return true;
  return entry->probe_sent && *entry->probe_sent >= entry->until &&
         now - *entry->probe_sent < kProbeTimeout;
}

milliseconds HoldOffTable::TimeLeft(const state::BackendServer& server,
                                    TimePoint now) const {
  const Entry* entry = Find(server);
  if (entry == nullptr || now >= entry->until) return milliseconds(0);
  return std::chrono::ceil<milliseconds>(entry->until - now);
}

void HoldOffTable::Expire(TimePoint now) {
  std::erase_if(m_entries, [now](const auto& entry) {
    return now - entry.second.until > kMaxTime;
  });
}

int HoldOffTable::Count(TimePoint now) const {
  return static_cast<int>(std::count_if(
      m_entries.begin(), m_entries.end(),
      [now](const auto& entry) { return now < entry.second.until; }));
}

}  // namespace wasabiwall::coordination
