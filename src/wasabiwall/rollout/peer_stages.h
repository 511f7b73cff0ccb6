#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "wasabiwall/coordination/clock.h"
#include "wasabiwall/protocol/rollout_message.h"

namespace wasabiwall::rollout {

/// What the other gateways have reported of their stage and of their calls on
/// old backend servers.
class PeerStages {
 public:
  /// Takes the report of a gateway.
  void OnMessage(const std::string& from,
                 const protocol::RolloutMessage& message,
                 coordination::TimePoint now);

  /// @return Whether all gateways that were heard from lately have shifted and
  /// run no call that cannot be repeated on old backend servers.
  bool HaveShifted(coordination::TimePoint now) const;

  /// @return Whether all of the gateways were heard from lately.
  /// @param self Name of this process, which is not waited for.
  bool HaveHeardFrom(const std::vector<std::string>& gateways,
                     const std::string& self,
                     coordination::TimePoint now) const;

 private:
  struct Peer {
    coordination::TimePoint heard_at;
    state::RolloutStage stage = state::RolloutStage::kCanary;
    std::uint32_t running_on_old = 0;
    /// Age of the order in the report.
    std::chrono::milliseconds age{0};
  };

  std::map<std::string, Peer> m_peers;
};

}  // namespace wasabiwall::rollout
