#pragma once

#include <functional>
#include <utility>
#include <vector>

#include "wasabiwall/transport/attempt.h"
#include "wasabiwall/transport/gateway_context.h"
#include "wasabiwall/transport/queue_wait.h"
#include "wasabiwall/transport/resolved_call.h"

namespace wasabiwall::transport {

/// Starts a second attempt for a call whose backend server is silent once
/// another one has room.
class CallMove {
 public:
  /// @param try_move Starts the second attempt if another backend server has
  /// room now. Returns whether it was started.
  CallMove(GatewayContext* context, std::function<bool()> try_move)
      : m_context(context),
        m_try_move(std::move(try_move)),
        m_wait(&context->queue) {}

  /// Starts the second attempt now or queues the call for it, after the first
  /// has received no data for the idle timeout.
  /// @param excluded Backend servers at which it is not to be started.
  /// @param may_move Whether the call may run again.
  void OnSilent(const ResolvedCall& call, const Attempt& attempt,
                const std::vector<state::BackendServerId>& excluded,
                bool may_move);

  /// Ends the wait for room, since the attempt goes on or has ended.
  void Cancel() { m_wait.Leave(); }

 private:
  GatewayContext* m_context;
  std::function<bool()> m_try_move;
  QueueWait m_wait;
};

}  // namespace wasabiwall::transport
