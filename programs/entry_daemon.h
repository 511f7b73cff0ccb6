#pragma once

#include <atomic>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

#include "peer_envelopes.h"
#include "wasabiwall/coordination/control_budget.h"
#include "wasabiwall/coordination/entry_node.h"
#include "wasabiwall/protocol/settings.h"
#include "wasabiwall/state/config_store.h"
#include "wasabiwall/transport/call_driver.h"
#include "wasabiwall/transport/config_follower.h"
#include "wasabiwall/transport/http_server.h"
#include "wasabiwall/transport/key_value_client.h"
#include "wasabiwall/transport/load_prober.h"
#include "wasabiwall/transport/metrics.h"
#include "wasabiwall/transport/peer_client.h"
#include "wasabiwall/transport/peer_server.h"

namespace wasabiwall::programs {

/// The entry process: takes callers' requests and passes them to side
/// processes.
class EntryDaemon {
 public:
  explicit EntryDaemon(protocol::Settings settings);

  /// Starts all servers and loops.
  /// @return False when an address cannot be listened on.
  bool Start();

  /// Stops gracefully: readiness first, then requests in progress.
  void Stop();

 private:
  void Handle(const transport::ServerRequest& request,
              transport::ServerResponse* response);
  void HandleCall(const transport::ServerRequest& request,
                  transport::ServerResponse* response);
  protocol::Result<coordination::PlannedCall> PlanCall(
      const transport::ServerRequest& request);
  void FollowVmList();
  transport::PeerHandlers MakePeerHandlers();
  void OnEnvelope(const protocol::gen::Envelope& envelope);
  bool Ready() const;

  protocol::Settings m_settings;
  state::ConfigStore m_config;
  transport::KeyValueClient m_key_value;
  transport::PeerClient m_peers;
  coordination::EntryNode m_node;
  coordination::ControlBudget m_control_budget;
  PeerEnvelopes m_envelopes;
  transport::ConfigFollower m_follower;
  transport::CallDriver m_driver;
  transport::Metrics m_metrics;
  transport::LoadProber m_prober;
  transport::PeerServer m_peer_server;
  transport::HttpServer m_http_server;
  std::atomic<bool> m_draining{false};
  std::mutex m_mutex;
  std::condition_variable m_changed;
  bool m_stopped = false;
  std::thread m_vm_list_thread;
};

}  // namespace wasabiwall::programs
