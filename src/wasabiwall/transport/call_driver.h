#pragma once

#include <functional>
#include <memory>
#include <string>

#include "wasabiwall/coordination/entry_node.h"
#include "wasabiwall/state/config_store.h"
#include "wasabiwall/transport/http_server.h"
#include "wasabiwall/transport/peer_client.h"

namespace wasabiwall::transport {

/// What became of a call, for logs and metrics.
struct CallOutcome {
  /// Name of the error kind; empty after a whole answer.
  std::string error_kind;
  std::string backend_server;
  std::string attempt;
  int attempts = 0;
  std::int64_t bytes = 0;
  /// Time to the first byte of the answer; zero when there was none.
  std::chrono::microseconds first_byte{0};
};

/// Hooks of a call driver.
struct CallDriverHooks {
  /// Fills the envelope of a message to a side process.
  std::function<protocol::gen::Envelope(const state::BackendServerId& target)>
      make_envelope;
  std::function<void(const protocol::gen::Envelope&)> on_envelope;
  /// Told the time between two parts of a streamed answer.
  std::function<void(const std::string& workspace,
                     std::chrono::microseconds gap)>
      on_part_gap;
};

/// Carries out the steps of a call's plan against side processes and writes
/// the answer to the caller.
class CallDriver {
 public:
  CallDriver(coordination::EntryNode* entry, const state::ConfigStore* config,
             PeerClient* peers, CallDriverHooks hooks);

  /// Drives one call to its end.
  CallOutcome Drive(const coordination::PlannedCall& call,
                    ServerResponse* response);

 private:
  class Run;

  coordination::EntryNode* m_entry;
  const state::ConfigStore* m_config;
  PeerClient* m_peers;
  CallDriverHooks m_hooks;
};

}  // namespace wasabiwall::transport
