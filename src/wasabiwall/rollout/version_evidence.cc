#include "wasabiwall/rollout/version_evidence.h"

#include <cstdint>

namespace wasabiwall::rollout {
namespace {

using protocol::TimeHistogram;
using protocol::VersionCounts;

/// Datagrams are at most that much out of order. A gateway whose age of the
/// order is smaller by more has restarted.
constexpr std::chrono::milliseconds kMaxReordering{2000};

std::uint32_t SaturatedSum(std::uint32_t a, std::uint32_t b) {
  return a > UINT32_MAX - b ? UINT32_MAX : a + b;
}

bool IsAtLeast(const TimeHistogram& now, const TimeHistogram& before) {
  for (std::size_t i = 0; i < now.size(); ++i) {
    if (now[i] < before[i]) return false;
  }
  return true;
}

}  // namespace

void AddCounts(const VersionCounts& from, VersionCounts* to) {
  to->answers = SaturatedSum(to->answers, from.answers);
  to->failures = SaturatedSum(to->failures, from.failures);
  for (std::size_t i = 0; i < protocol::kTimeBuckets; ++i) {
    to->first_byte[i] = SaturatedSum(to->first_byte[i], from.first_byte[i]);
    to->event_gap[i] = SaturatedSum(to->event_gap[i], from.event_gap[i]);
  }
}

VersionCounts CountsSince(const VersionCounts& before,
                          const VersionCounts& now) {
  if (now.answers < before.answers || now.failures < before.failures ||
      !IsAtLeast(now.first_byte, before.first_byte) ||
      !IsAtLeast(now.event_gap, before.event_gap)) {
    return now;
  }
  VersionCounts since;
  since.answers = now.answers - before.answers;
  since.failures = now.failures - before.failures;
  for (std::size_t i = 0; i < protocol::kTimeBuckets; ++i) {
    since.first_byte[i] = now.first_byte[i] - before.first_byte[i];
    since.event_gap[i] = now.event_gap[i] - before.event_gap[i];
  }
  return since;
}

bool VersionEvidence::Add(const std::string& gateway,
                          const protocol::RolloutMessage::RouteCounts& counts,
                          std::chrono::milliseconds age) {
  const auto route = m_routes.find(counts.route);
  if (route == m_routes.end() && m_routes.size() >= kMaxRoutes) return false;
  auto& reports = m_reports[gateway];
  auto report = reports.find(counts.route);
  if (report == reports.end()) {
    if (m_report_count >= kMaxReports) {
      if (reports.empty()) m_reports.erase(gateway);
      return false;
    }
    report = reports.emplace(counts.route, Report()).first;
    ++m_report_count;
  }
  Report& last = report->second;
  if (age < last.age && last.age - age < kMaxReordering) return true;
  RouteEvidence& sum = m_routes[counts.route];
  AddCounts(CountsSince(last.counts.target, counts.target), &sum.target);
  AddCounts(CountsSince(last.counts.others, counts.others), &sum.others);
  last = {{counts.target, counts.others}, age};
  return true;
}

}  // namespace wasabiwall::rollout
