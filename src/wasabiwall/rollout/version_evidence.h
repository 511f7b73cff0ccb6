#pragma once

#include <chrono>
#include <cstddef>
#include <map>
#include <string>

#include "wasabiwall/protocol/rollout_message.h"

namespace wasabiwall::rollout {

/// Adds counts to others; sums that exceed 32 bits stay at the largest.
void AddCounts(const protocol::VersionCounts& from,
               protocol::VersionCounts* to);

/// @return What was counted from `before` to `now`; all of `now` if one of its
/// counts is smaller, since its gateway has restarted.
protocol::VersionCounts CountsSince(const protocol::VersionCounts& before,
                                    const protocol::VersionCounts& now);

/// Counts of a route, of the target version and of the others.
struct RouteEvidence {
  protocol::VersionCounts target;
  protocol::VersionCounts others;
};

/// Sums the cumulative counts of all gateways by route. The newest message of
/// each gateway counts; what a gateway counted before a restart stays.
class VersionEvidence {
 public:
  /// Most routes that are judged on their own; services have a few.
  static constexpr std::size_t kMaxRoutes = 64;
  /// Most routes of all gateways together: four routes at 1,000 gateways, some
  /// 2 MB.
  static constexpr std::size_t kMaxReports = 4096;

  /// Adds the counts of a gateway.
  /// @param age Age of the order by which messages of a gateway are ordered.
  /// @return Whether all of it was counted; there may be no room.
  bool Add(const std::string& gateway,
           const protocol::RolloutMessage::RouteCounts& counts,
           std::chrono::milliseconds age);

  const std::map<std::string, RouteEvidence>& Routes() const {
    return m_routes;
  }

 private:
  struct Report {
    RouteEvidence counts;
    std::chrono::milliseconds age{0};
  };

  std::map<std::string, std::map<std::string, Report>> m_reports;
  std::size_t m_report_count = 0;
  std::map<std::string, RouteEvidence> m_routes;
};

}  // namespace wasabiwall::rollout
