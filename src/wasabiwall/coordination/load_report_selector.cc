#include "wasabiwall/coordination/load_report_selector.h"

#include <algorithm>
#include <utility>

#include "wasabiwall/protocol/encoded_size.h"

namespace wasabiwall::coordination {
namespace {

using protocol::gen::LoadReport;
using std::chrono::milliseconds;

constexpr milliseconds kReportInterval{100};
/// Older loads would soon be too old for the receiver.
constexpr milliseconds kMaxReportAge{1000};
constexpr std::size_t kMaxPeers = 8192;
constexpr std::size_t kMaxReports = 8;
/// Ages are sent in whole milliseconds, so that times computed from two ages
/// of the same load may differ by one.
constexpr milliseconds kAgeRounding{1};

TimePoint ObservedAt(const LoadReport& report, TimePoint now) {
  return now - milliseconds(report.age_ms);
}

}  // namespace

LoadReportSelector::LoadReportSelector(std::string own, ControlBudget* budget,
                                       ClockHook clock)
    : m_own_server(std::move(own)),
      m_budget(budget),
      m_clock(std::move(clock)) {}

LoadReportSelector::Reports LoadReportSelector::Select(
    const std::string& peer, bool urgent,
    const std::function<Reports()>& known) {
  const TimePoint now = m_clock();
  if (!IsDue(peer, urgent, now)) return {};
  Reports reports = known();
  // Oldest first, so that every backend server gets its turn when more reports
  // are due than a message holds.
  std::stable_sort(reports.begin(), reports.end(),
                   [this](const LoadReport& a, const LoadReport& b) {
                     const bool a_own = a.backend_server == m_own_server;
                     const bool b_own = b.backend_server == m_own_server;
                     if (a_own != b_own) return a_own;
                     return a.age_ms > b.age_ms;
                   });
  Reports chosen;
  const std::lock_guard lock(m_mutex);
  Peer& state = m_peers[peer];
  for (LoadReport& report : reports) {
    if (chosen.size() >= kMaxReports) break;
    if (report.backend_server == peer) continue;
    if (report.age_ms > kMaxReportAge.count()) continue;
    if (report.backend_server == m_own_server) {
      if (TakeOwnBudget(report, urgent)) chosen.push_back(std::move(report));
      continue;
    }
    const TimePoint observed_at = ObservedAt(report, now);
    if (observed_at <= state.newest_sent_at + kAgeRounding) continue;
    if (!m_budget->Take(protocol::EncodedSize(report))) break;
    state.newest_sent_at = observed_at;
    chosen.push_back(std::move(report));
  }
  return chosen;
}

bool LoadReportSelector::IsDue(const std::string& peer, bool urgent,
                               TimePoint now) {
  const std::lock_guard lock(m_mutex);
  if (m_peers.size() >= kMaxPeers) {
    std::erase_if(m_peers, [&](const auto& entry) {
      return now - entry.second.sent_at >= kReportInterval;
    });
  }
  const auto [entry, inserted] =
      m_peers.try_emplace(peer, Peer{now, TimePoint::min()});
  if (inserted || urgent || now - entry->second.sent_at >= kReportInterval) {
    entry->second.sent_at = now;
    return true;
  }
  return false;
}

bool LoadReportSelector::TakeOwnBudget(const LoadReport& report, bool urgent) {
  const std::int64_t bytes = protocol::EncodedSize(report);
  if (!urgent) return m_budget->Take(bytes);
  m_budget->Charge(bytes);
  return true;
}

}  // namespace wasabiwall::coordination
