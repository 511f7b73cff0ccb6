#pragma once

#include <functional>
#include <string>

#include "wasabiwall/coordination/crash_records.h"
#include "wasabiwall/coordination/load_report_selector.h"
#include "wasabiwall/protocol/settings.h"
#include "wasabiwall/state/config_store.h"

namespace wasabiwall::programs {

/// Makes the envelopes of a process's messages to other processes.
class PeerEnvelopes {
 public:
  /// What the process knows.
  struct Sources {
    const state::ConfigStore* config = nullptr;
    coordination::CrashRecords* crashes = nullptr;
    /// Returns the loads that the process could report.
    std::function<coordination::LoadReportSelector::Reports()> loads;
  };

  /// @param own Backend server of a side process; empty at an entry.
  /// @param budget Must outlive the envelopes, as the sources must.
  PeerEnvelopes(const protocol::Settings& settings, const std::string& own,
                coordination::ControlBudget* budget, Sources sources);

  /// @return An envelope without news.
  protocol::gen::Envelope Make() const;

  /// @param urgent Whether to include the own load in any case.
  /// @return An envelope with the loads and crashes that the receiver needs.
  protocol::gen::Envelope MakeFor(const std::string& receiver, bool urgent);

 private:
  std::string m_address;
  std::string m_secret;
  Sources m_sources;
  coordination::LoadReportSelector m_load_selector;
};

}  // namespace wasabiwall::programs
