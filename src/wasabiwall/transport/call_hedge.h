#pragma once

#include <chrono>
#include <functional>
#include <optional>

#include "wasabiwall/coordination/attempt_policy.h"
#include "wasabiwall/hedging/hedge_controller.h"
#include "wasabiwall/transport/attempt.h"
#include "wasabiwall/transport/gateway_context.h"
#include "wasabiwall/transport/resolved_call.h"

namespace wasabiwall::transport {

/// Hedges one call: starts the delay with its first attempt, chooses a second
/// backend server when it has passed, and records how both attempts ended.
class CallHedge {
 public:
  explicit CallHedge(GatewayContext* context);

  /// Starts the delay of the first attempt, if the call may be hedged.
  /// @param on_due Called when a second attempt is due.
  void Arm(const ResolvedCall& call, const Attempt& first,
           std::function<void()> on_due);

  /// Ends the delay; does nothing if it has ended.
  void Disarm();

  /// Chooses the backend server of the second attempt and takes the hedge from
  /// the limits.
  /// @param query Call without the backend server of the first attempt.
  /// @return Nothing if the call is not hedged.
  std::optional<coordination::Placement> Choose(
      const ResolvedCall& call, const Attempt& first,
      const coordination::AttemptCounts& counts,
      const coordination::PlacementQuery& query);

  /// Records that an attempt was answered first.
  /// @param loser Other attempt, which is about to be cancelled; null if there
  /// is none.
  void OnAnswered(const ResolvedCall& call, const Attempt& winner,
                  const Attempt* loser);

 private:
  std::chrono::microseconds AgeOf(const Attempt& attempt) const;
  hedging::HedgeDecision Decide(
      const ResolvedCall& call, const Attempt& first,
      const coordination::AttemptCounts& counts,
      const std::optional<coordination::Placement>& placement);

  GatewayContext* m_context;
  Timer m_timer;
  /// Whether the delay was started, and has passed.
  bool m_is_armed = false;
  bool m_is_late = false;
  bool m_is_answered = false;
};

}  // namespace wasabiwall::transport
