#pragma once

#include <chrono>
#include <memory>
#include <string>
#include <tl/expected.hpp>

#include "wasabiwall/coordination/call_plan.h"
#include "wasabiwall/protocol/gen/wasabiwall_types.h"

namespace wasabiwall::transport {

template <typename Reply>
using PeerResult = tl::expected<Reply, coordination::DeliveryFailure>;

/// Calls other processes by Thrift over TCP; idle connections are kept and
/// used again. Safe for concurrent use.
class PeerClient {
 public:
  /// @param connect_timeout Longest time to connect.
  /// @param reply_timeout Longest time for a reply beyond a pull's own wait.
  PeerClient(std::chrono::milliseconds connect_timeout,
             std::chrono::milliseconds reply_timeout);
  ~PeerClient();

  /// @param address Thrift address of the process, `ip:port`.
  PeerResult<protocol::gen::SubmitReply> Submit(
      const std::string& address, const protocol::gen::SubmitRequest& request);
  PeerResult<protocol::gen::PullReply> Pull(
      const std::string& address, const protocol::gen::PullRequest& request);
  PeerResult<protocol::gen::TombstoneReply> Tombstone(
      const std::string& address,
      const protocol::gen::TombstoneRequest& request);
  PeerResult<protocol::gen::ItemsReply> ItemsSince(
      const std::string& address, const protocol::gen::ItemsRequest& request);
  PeerResult<protocol::gen::StatusReply> Status(
      const std::string& address, const protocol::gen::StatusRequest& request);

 private:
  class Pool;
  std::unique_ptr<Pool> m_pool;
};

}  // namespace wasabiwall::transport
