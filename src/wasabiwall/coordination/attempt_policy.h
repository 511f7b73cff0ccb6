#pragma once

#include <chrono>

#include "wasabiwall/coordination/backend_placement.h"
#include "wasabiwall/protocol/error_kind.h"
#include "wasabiwall/state/service_config.h"

namespace wasabiwall::coordination {

/// Counters of the attempts of one call.
struct AttemptCounts {
  /// Attempts that a backend server may have executed.
  int runs = 0;
  /// Times the call was sent, including attempts refused without execution.
  int sends = 0;
  /// Attempts that failed because the backend server was unreachable.
  int unreachable = 0;
};

/// Decides the timeouts of the attempts of a call on one route and whether a
/// failed attempt may be retried. Does no I/O.
class AttemptPolicy {
 public:
  /// How far a call is that no backend server can take now.
  enum class QueueStage {
    kNew,
    /// It was already sent to a backend server.
    kTried,
    /// The caller has a part of the response, which would be truncated.
    kResponseBegun,
  };

  /// @param route Must outlive the policy.
  explicit AttemptPolicy(const state::Route& route) : m_route(route) {}

  /// @return Timeout for connecting to a backend server.
  std::chrono::milliseconds ConnectTimeout() const;

  /// @return Longest idle time after which a pooled connection may still be
  /// used for the call.
  std::chrono::milliseconds MaxConnectionIdle() const;

  /// @return Time without data from the backend server after which the call is
  /// tried elsewhere.
  /// @param response_started Whether the response has begun to arrive.
  std::chrono::milliseconds AttemptIdleTimeout(bool response_started) const;

  /// @return Longest time in the admission queue; 0 if the call must not be
  /// queued.
  /// @param left Time until the deadline of the call.
  std::chrono::milliseconds QueueTimeout(PlacementRefusal refusal,
                                         QueueStage stage,
                                         std::chrono::milliseconds left) const;

  /// @return Whether the call may be executed again although a backend server
  /// may already have executed it.
  bool MayRunAgain(const AttemptCounts& counts) const;

  /// @return Whether a failed attempt may be followed by another one.
  /// @param not_run Whether the failed attempt was certainly not executed.
  /// @param left Time until the deadline of the call.
  bool MayRetry(const AttemptCounts& counts, bool not_run,
                std::chrono::milliseconds left) const;

 private:
  const state::Route& m_route;
};

/// @return Error for a call that could not be placed.
protocol::ErrorKind ErrorOf(PlacementRefusal refusal);

/// @return Name of the refusal for logs and error details.
const char* NameOf(PlacementRefusal refusal);

/// @return Shortest Retry-After time for an error of this kind.
std::chrono::milliseconds MinRetryAfter(protocol::ErrorKind kind);

/// @return Longest Retry-After time.
/// @param left Time until the deadline of the call.
std::chrono::milliseconds MaxRetryAfter(std::chrono::milliseconds left);

}  // namespace wasabiwall::coordination
