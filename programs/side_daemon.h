#pragma once

#include <atomic>
#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "peer_envelopes.h"
#include "wasabiwall/coordination/control_budget.h"
#include "wasabiwall/coordination/side_node.h"
#include "wasabiwall/protocol/settings.h"
#include "wasabiwall/state/config_store.h"
#include "wasabiwall/transport/backend_runner.h"
#include "wasabiwall/transport/config_follower.h"
#include "wasabiwall/transport/http_server.h"
#include "wasabiwall/transport/key_value_client.h"
#include "wasabiwall/transport/metrics.h"
#include "wasabiwall/transport/peer_client.h"
#include "wasabiwall/transport/peer_server.h"
#include "wasabiwall/transport/shard_owner_loop.h"

namespace wasabiwall::programs {

/// The side process: admits, records and runs what reaches its backend server.
class SideDaemon {
 public:
  explicit SideDaemon(protocol::Settings settings);

  /// Starts all servers and loops.
  /// @return False when an address cannot be listened on.
  bool Start();

  /// Stops gracefully: no new work, work in progress first, then the lease.
  void Stop();

 private:
  void CommitLoop();
  void PlatformLoop();
  /// Ticks the node.
  void TickLoop();
  void VmListLoop();
  void TendShards();
  void WatchEngine();
  /// Refuses a call that an engine which has just turned cold could not bear.
  std::optional<protocol::ErrorKind> CheckBeforeRun(
      const protocol::gen::SubmitRequest& request);
  void HandleHttp(const transport::ServerRequest& request,
                  transport::ServerResponse* response);
  void WaitUntilIdle();
  std::string BackendUrl() const;
  transport::PeerHandlers MakePeerHandlers();

  protocol::Settings m_settings;
  state::BackendServerId m_self;
  state::ConfigStore m_config;
  transport::KeyValueClient m_key_value;
  state::KeyValueStore m_store;
  transport::PeerClient m_peers;
  transport::BackendRunner m_runner;
  coordination::SideNode m_node;
  coordination::ControlBudget m_control_budget;
  PeerEnvelopes m_envelopes;
  transport::ConfigFollower m_follower;
  transport::Metrics m_metrics;
  transport::PeerServer m_peer_server;
  transport::HttpServer m_http_server;
  std::mutex m_engine_mutex;
  state::PoolId m_shard_pool;
  std::unique_ptr<transport::ShardOwnerLoop> m_shard_owner;
  std::string m_engine_incarnation;
  /// Whether the backend server gives load reports.
  std::atomic<bool> m_engine_reports{false};

  std::mutex m_mutex;
  std::condition_variable m_changed;
  bool m_stopped = false;
  bool m_commit_wanted = false;
  std::thread m_commit_thread;
  std::thread m_platform_thread;
  std::thread m_tick_thread;
  std::thread m_vm_list_thread;
};

}  // namespace wasabiwall::programs
