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

/// Chooses the load reports that ride on a message: only those that are new
/// to the receiver, not more often than an interval, and within the control
/// budget. Safe for concurrent use.
class LoadReportSelector {
 public:
  using Reports = std::vector<protocol::gen::LoadReport>;

  /// @param own Backend server beside this process; empty at an entry.
  LoadReportSelector(std::string own, ControlBudget* budget, ClockHook clock);

  /// Chooses reports and charges their bytes.
  /// @param peer Receiver: a backend server's name or a process's address.
  /// @param urgent Whether the own load must ride in any case, as on a
  /// refusal.
  /// @param known Gives all reports that this process could send; called only
  /// when some are due.
  /// @return Reports to send, the own one first.
  Reports Select(const std::string& peer, bool urgent,
                 const std::function<Reports()>& known);

 private:
  struct Peer {
    TimePoint sent_at;
    /// Time of the newest figure of others that the peer was sent.
    TimePoint news_until;
  };

  bool Due(const std::string& peer, bool urgent, TimePoint now);
  bool TakeOwn(const protocol::gen::LoadReport& report, bool urgent);

  std::string m_own;
  ControlBudget* m_budget;
  ClockHook m_clock;
  std::mutex m_mutex;
  std::unordered_map<std::string, Peer> m_peers;
};

}  // namespace wasabiwall::coordination
