#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "wasabiwall/coordination/clock.h"
#include "wasabiwall/rollout/sequential_test.h"
#include "wasabiwall/rollout/version_evidence.h"

namespace wasabiwall::rollout {

/// Judges a version by its answers in comparison with those of the other
/// versions on the same routes, for each route and for all together. Failures
/// and slow answers are tested separately: the share of slow answers of a good
/// version depends on the spread of its times and may be large.
class VersionVerdict {
 public:
  VersionVerdict();

  /// Adds what has been counted since the last call.
  void Update(const VersionEvidence& evidence, coordination::TimePoint now);

  /// @return Why the version is bad; nothing unless it is.
  const std::optional<std::string>& BadReason() const { return m_bad_reason; }

  /// @return Whether the version is good so far: enough answers in total, some
  /// on each route that is in use, and some in the last seconds.
  bool IsGood(const VersionEvidence& evidence,
              coordination::TimePoint now) const;

  /// @return The counts the verdict rests on, for operators.
  std::string Summary(const VersionEvidence& evidence) const;

 private:
  struct RouteTests {
    RouteTests();
    /// Counts of the version that have been compared.
    protocol::VersionCounts seen;
    SequentialTest failures;
    SequentialTest first_byte;
    SequentialTest event_gap;
  };

  void UpdateRoute(const std::string& name, const RouteEvidence& evidence,
                   RouteTests* tests);
  void SetBad(const std::string& what, const RouteEvidence& evidence);

  std::map<std::string, RouteTests> m_routes;
  SequentialTest m_total;
  protocol::VersionCounts m_seen_in_total;
  std::optional<coordination::TimePoint> m_last_answer;
  std::optional<std::string> m_bad_reason;
};

}  // namespace wasabiwall::rollout
