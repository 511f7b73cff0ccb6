#pragma once

#include <cstdint>
#include <functional>
#include <mutex>
#include <string>
#include <unordered_map>
#include <vector>

#include "wasabiwall/coordination/clock.h"
#include "wasabiwall/coordination/control_budget.h"
#include "wasabiwall/protocol/gen/wasabiwall_types.h"

namespace wasabiwall::coordination {

/// Selects the load reports that a message to a peer carries: only reports
/// newer than those sent to that peer before, at a bounded rate and within the
/// control budget. Safe for concurrent use.
class LoadReportSelector {
 public:
  using Reports = std::vector<protocol::gen::LoadReport>;

  /// @param own Backend server of this side process; empty at an entry.
  LoadReportSelector(std::string own, ControlBudget* budget, ClockHook clock);

  /// Selects reports and charges their bytes to the control budget.
  /// @param peer Receiver: a backend server's name or a process's address.
  /// @param urgent Whether to include the own load regardless of interval and
  /// budget, as on a refusal.
  /// @param known Returns all reports that this process could send; called only
  /// when some are due.
  /// @return Reports to send, the own one first.
  Reports Select(const std::string& peer, bool urgent,
                 const std::function<Reports()>& known);

 private:
  struct Peer {
    TimePoint sent_at;
    /// Time of the newest load of other backend servers sent to the peer.
    TimePoint newest_sent_at;
  };

  bool IsDue(const std::string& peer, bool urgent, TimePoint now);
  bool TakeOwnBudget(const protocol::gen::LoadReport& report, bool urgent);

  std::string m_own_server;
  ControlBudget* m_budget;
  ClockHook m_clock;
  std::mutex m_mutex;
  std::unordered_map<std::string, Peer> m_peers;
};

}  // namespace wasabiwall::coordination
