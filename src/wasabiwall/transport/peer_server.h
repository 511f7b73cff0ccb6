#pragma once

#include <functional>
#include <memory>
#include <string>

#include "wasabiwall/protocol/gen/wasabiwall_types.h"

namespace wasabiwall::transport {

/// What a process does with the messages of others. An entry leaves submit,
/// pull and tombstone empty and refuses them.
struct PeerHandlers {
  std::function<protocol::gen::SubmitReply(const protocol::gen::SubmitRequest&)>
      submit;
  std::function<protocol::gen::PullReply(const protocol::gen::PullRequest&)>
      pull;
  std::function<protocol::gen::TombstoneReply(
      const protocol::gen::TombstoneRequest&)>
      tombstone;
  std::function<protocol::gen::ItemsReply(const protocol::gen::ItemsRequest&)>
      items_since;
  std::function<protocol::gen::StatusReply(const protocol::gen::StatusRequest&)>
      status;
  /// Seen for every authenticated message.
  std::function<void(const protocol::gen::Envelope&)> on_envelope;
  /// Fills the envelope of a reply to `receiver`; after a refusal the load
  /// must ride along.
  std::function<protocol::gen::Envelope(const std::string& receiver,
                                        bool refused)>
      make_envelope;
  /// Adds clock readings for the receiver of a reply; may be empty.
  std::function<void(const std::string& receiver, protocol::gen::Envelope*)>
      stamp;
};

/// Serves Thrift messages of other processes; messages without the fleet's
/// secret are refused.
class PeerServer {
 public:
  /// @param address `ip:port` to listen on.
  /// @param secret Secret that senders must give.
  PeerServer(const std::string& address, std::string secret,
             PeerHandlers handlers);
  ~PeerServer();

  /// Starts serving in a thread of its own.
  /// @return False when the address cannot be listened on.
  bool Start();

  /// Stops accepting and closes connections.
  void Stop();

 private:
  class Listener;
  std::unique_ptr<Listener> m_listener;
};

}  // namespace wasabiwall::transport
