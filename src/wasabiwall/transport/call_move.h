#pragma once

#include <functional>
#include <vector>

#include "wasabiwall/transport/attempt.h"
#include "wasabiwall/transport/gateway_context.h"
#include "wasabiwall/transport/queue_wait.h"
#include "wasabiwall/transport/resolved_call.h"

namespace wasabiwall::transport {

/// Moves a call from a silent backend server to another one once that has room;
/// until then the silent one may still answer.
class CallMove {
 public:
  /// @param try_move Moves the call if another backend server has room now.
  /// Returns whether it was moved.
  CallMove(GatewayContext* context, std::function<bool()> try_move)
      : m_context(context),
        m_try_move(std::move(try_move)),
        m_wait(&context->queue) {}

  /// Moves the call now or queues it, after its attempt has received no data
  /// for the idle timeout.
  /// @param excluded Backend servers to which the call is not to be moved.
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
