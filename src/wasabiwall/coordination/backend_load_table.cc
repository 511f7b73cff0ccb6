#include "wasabiwall/coordination/backend_load_table.h"

#include <algorithm>
#include <cmath>

namespace wasabiwall::coordination {
namespace {

using Seconds = std::chrono::duration<double>;

/// Half-life of a reported load: about the mean duration of a chat response.
constexpr Seconds kReportHalfLife{2.0};

double Weight(Seconds age) { return std::exp2(-(age / kReportHalfLife)); }

}  // namespace

void BackendLoadTable::OnSent(const state::BackendServerId& id) {
  ++m_entries[id].own;
}

void BackendLoadTable::OnFinished(const state::BackendServerId& id) {
  const auto found = m_entries.find(id);
  if (found == m_entries.end()) return;
  Entry& entry = found->second;
  entry.own = std::max(0, entry.own - 1);
  if (entry.gone && entry.own == 0) m_entries.erase(found);
}

void BackendLoadTable::OnReport(const state::BackendServerId& id,
                                ReportedLoad load, TimePoint now) {
  Entry& entry = m_entries[id];
  if (now < entry.reported_at) return;
  entry.others = std::max(
      0.0, static_cast<double>(load.running + load.waiting - entry.own));
  entry.reported_at = now;
}

void BackendLoadTable::Forget(const state::BackendServerId& id) {
  const auto found = m_entries.find(id);
  if (found == m_entries.end()) return;
  found->second.gone = true;
  if (found->second.own == 0) m_entries.erase(found);
}

int BackendLoadTable::OwnInFlight(const state::BackendServerId& id) const {
  const auto found = m_entries.find(id);
  return found == m_entries.end() ? 0 : found->second.own;
}

double BackendLoadTable::Estimate(const state::BackendServerId& id,
                                  TimePoint now) const {
  const auto found = m_entries.find(id);
  if (found == m_entries.end()) return 0;
  const Entry& entry = found->second;
  return entry.own + entry.others * Weight(now - entry.reported_at);
}

double BackendLoadTable::Expected(const state::BackendServerId& id,
                                  TimePoint now, double usual_others) const {
  const auto found = m_entries.find(id);
  if (found == m_entries.end()) return usual_others;
  const Entry& entry = found->second;
  const double weight = Weight(now - entry.reported_at);
  return entry.own + weight * entry.others + (1 - weight) * usual_others;
}

}  // namespace wasabiwall::coordination
