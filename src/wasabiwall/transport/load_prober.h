#pragma once

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

#include "wasabiwall/coordination/control_budget.h"
#include "wasabiwall/coordination/entry_node.h"
#include "wasabiwall/state/config_store.h"
#include "wasabiwall/transport/peer_client.h"

namespace wasabiwall::transport {

/// Hooks of a load prober.
struct LoadProberHooks {
  std::function<protocol::gen::Envelope()> make_envelope;
  std::function<void(const protocol::gen::Envelope&)> on_envelope;
};

/// Asks side processes for their load where no traffic brought it, within
/// what load news leaves of the control budget.
class LoadProber {
 public:
  LoadProber(coordination::EntryNode* entry, const state::ConfigStore* config,
             PeerClient* peers, coordination::ControlBudget* budget,
             LoadProberHooks hooks);

  void Start();
  void Stop();

 private:
  void Loop();
  void Probe(const state::BackendServerId& server);
  bool Stopped();

  coordination::EntryNode* m_entry;
  const state::ConfigStore* m_config;
  PeerClient* m_peers;
  coordination::ControlBudget* m_budget;
  LoadProberHooks m_hooks;
  std::mutex m_mutex;
  std::condition_variable m_changed;
  bool m_stopped = false;
  std::thread m_thread;
};

}  // namespace wasabiwall::transport
