#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <mutex>
#include <unordered_map>

#include "wasabiwall/coordination/clock.h"
#include "wasabiwall/state/strong_id.h"

namespace wasabiwall::coordination {

/// Sums the cost of calls sent to each backend server since its last load
/// report, so that a burst spreads over the pool before the first report
/// arrives. Safe for concurrent use.
class UnreportedLoad {
 public:
  /// @param max_age Time after which a call is assumed to be in a report.
  explicit UnreportedLoad(std::chrono::milliseconds max_age);

  /// Records that a call was sent to a backend server.
  void Add(const state::BackendServerId& server, std::int64_t cost_units,
           TimePoint now);

  /// Removes the calls sent up to the time at which a load was measured.
  void OnReport(const state::BackendServerId& server, TimePoint observed_at);

  /// @return Cost of the calls that no report includes yet, in load units.
  std::int64_t Of(const state::BackendServerId& server, TimePoint now) const;

 private:
  struct Sent {
    TimePoint at;
    std::int64_t cost_units;
  };
  using SentCalls = std::deque<Sent>;

  void DropExpired(TimePoint now);

  std::chrono::milliseconds m_max_age;
  mutable std::mutex m_mutex;
  std::unordered_map<state::BackendServerId, SentCalls> m_sent;
};

}  // namespace wasabiwall::coordination
