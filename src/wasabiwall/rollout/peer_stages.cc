#include "wasabiwall/rollout/peer_stages.h"

#include <algorithm>

namespace wasabiwall::rollout {
namespace {

using coordination::TimePoint;

/// Gateways heard from within that time must have shifted, from the design
/// page.
constexpr std::chrono::milliseconds kHeardTime{2000};
/// Most gateways that are followed: the design target.
constexpr std::size_t kMaxPeers = 1024;

}  // namespace

void PeerStages::OnMessage(const std::string& from,
                           const protocol::RolloutMessage& message,
                           TimePoint now) {
  const auto found = m_peers.find(from);
  if (found == m_peers.end()) {
    if (m_peers.size() >= kMaxPeers) {
      std::erase_if(m_peers, [now](const auto& entry) {
        return now - entry.second.heard_at > kHeardTime;
      });
    }
    if (m_peers.size() >= kMaxPeers) return;
    m_peers[from] = {now, message.stage, message.running_on_old,
                     message.order_age};
    return;
  }
  Peer& peer = found->second;
  peer.heard_at = now;
  // Of messages in another order than they were sent, the newest counts. A
  // gateway whose age of the order is far smaller has restarted.
  if (message.order_age < peer.age &&
      peer.age - message.order_age <= kHeardTime) {
    return;
  }
  peer.stage = message.stage;
  peer.running_on_old = message.running_on_old;
  peer.age = message.order_age;
}

bool PeerStages::HaveShifted(TimePoint now) const {
  return std::all_of(m_peers.begin(), m_peers.end(), [now](const auto& entry) {
    const Peer& peer = entry.second;
    return now - peer.heard_at > kHeardTime ||
           (peer.stage != state::RolloutStage::kCanary &&
            peer.running_on_old == 0);
  });
}

bool PeerStages::HaveHeardFrom(const std::vector<std::string>& gateways,
                               const std::string& self, TimePoint now) const {
  return std::all_of(gateways.begin(), gateways.end(),
                     [&](const std::string& name) {
                       if (name == self) return true;
                       const auto found = m_peers.find(name);
                       return found != m_peers.end() &&
                              now - found->second.heard_at <= kHeardTime;
                     });
}

}  // namespace wasabiwall::rollout
