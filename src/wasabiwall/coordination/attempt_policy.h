#pragma once

#include <chrono>

#include "wasabiwall/coordination/backend_placement.h"
#include "wasabiwall/protocol/error_kind.h"
#include "wasabiwall/state/service_config.h"

namespace wasabiwall::coordination {

/// What one call has been through so far.
struct AttemptCounts {
  /// Backend servers that may have run it.
  int runs = 0;
  /// Times that it was sent, those included that were refused unrun.
  int sends = 0;
  /// Backend servers that could not be reached for it.
  int unreachable = 0;
};

/// Decides how long the attempts of a call on one route may take, and whether
/// another one may follow. Does no I/O.
class AttemptPolicy {
 public:
  /// @param route Must outlive the policy.
  explicit AttemptPolicy(const state::Route& route) : m_route(route) {}

  /// @return Longest time to connect to a backend server.
  std::chrono::milliseconds ConnectTimeout() const;

  /// @return Longest idle time of a connection that the call may use.
  std::chrono::milliseconds MaxConnectionIdle() const;

  /// @return Silence of a backend server after which the call is tried
  /// elsewhere.
  /// @param begun Whether its answer has begun.
  std::chrono::milliseconds AttemptIdleTimeout(bool begun) const;

  /// @return How long the call may wait for a backend server; 0 for not at all.
  /// @param left Time left to the call.
  std::chrono::milliseconds QueueTimeout(PlacementRefusal refusal,
                                         bool tried_before,
                                         std::chrono::milliseconds left) const;

  /// @return Whether the call may run on another backend server although one
  /// may have run it.
  bool MayRunAgain(const AttemptCounts& counts) const;

  /// @return Whether another attempt may follow a failed one.
  /// @param not_run Whether the failed one has certainly not run.
  bool MayRetry(const AttemptCounts& counts, bool not_run,
                std::chrono::milliseconds left) const;

 private:
  const state::Route& m_route;
};

/// @return Error with which a call is refused that found no backend server.
protocol::ErrorKind ErrorOf(PlacementRefusal refusal);

/// @return Name of the refusal for logs and details.
const char* NameOf(PlacementRefusal refusal);

/// @return Shortest time after which a refused caller may come back.
std::chrono::milliseconds MinRetryAfter(protocol::ErrorKind kind);

/// @return Longest time after which a refused caller may come back.
/// @param left Time left to the call.
std::chrono::milliseconds MaxRetryAfter(std::chrono::milliseconds left);

}  // namespace wasabiwall::coordination
