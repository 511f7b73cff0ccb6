#include "wasabiwall/transport/call_hedge.h"

#include <utility>

#include "wasabiwall/transport/logging.h"

namespace wasabiwall::transport {
namespace {

using hedging::HedgeDecision;
using hedging::LoadClass;
using std::chrono::milliseconds;

/// Margin before the idle timeout of the first attempt, which would give it up.
constexpr milliseconds kIdleMargin{1};

/// @return Class of the load that the backend server had when it was chosen.
LoadClass LoadClassOf(const coordination::Placement& placement) {
  const bool is_high = placement.load * 2 >= placement.server.capacity;
  return is_high ? LoadClass::kHigh : LoadClass::kLow;
}

}  // namespace

CallHedge::CallHedge(GatewayContext* context)
    : m_context(context), m_timer(context->loop) {}

void CallHedge::Arm(const ResolvedCall& call, const Attempt& first,
                    std::function<void()> on_due) {
  // A hedge of a call on trial would add to the exposure of its version.
  if (!m_context->hedging.IsEnabled() || m_context->stopping ||
      m_context->IsRolloutActive()) {
    return;
  }
  const coordination::AttemptPolicy policy(*call.route);
  const auto delay =
      m_context->hedging.Delay(*call.route, LoadClassOf(first.Placement()),
                               policy.AttemptIdleTimeout(false) - kIdleMargin);
  if (!delay) return;
  m_is_armed = true;
  m_timer.Start(*delay, [this, on_due = std::move(on_due)] {
    m_is_late = true;
    on_due();
  });
}

void CallHedge::Disarm() { m_timer.Stop(); }

std::chrono::microseconds CallHedge::AgeOf(const Attempt& attempt) const {
  return m_context->loop->Now() - attempt.SentAt();
}

std::optional<coordination::Placement> CallHedge::Choose(
    const ResolvedCall& call, const Attempt& first,
    const coordination::AttemptCounts& counts,
    const coordination::PlacementQuery& query) {
  std::optional<coordination::Placement> placement;
  if (auto chosen =
          m_context->placement.Choose(query, m_context->loop->Now())) {
    placement = std::move(*chosen);
  }
  const HedgeDecision decision = Decide(call, first, counts, placement);
  m_context->metrics.CountHedge(call.service->id.value,
                                hedging::NameOf(decision));
  if (decision != HedgeDecision::kHedge) return std::nullopt;
  LogInfo(
      "call_hedged",
      {{"id", call.metadata.attempt_id},
       {"backend", first.Server().id.value},
       {"hedge_backend", placement->server.id.value},
       {"age_ms",
        std::to_string(
            std::chrono::duration_cast<milliseconds>(AgeOf(first)).count())}});
  return placement;
}

HedgeDecision CallHedge::Decide(
    const ResolvedCall& call, const Attempt& first,
    const coordination::AttemptCounts& counts,
    const std::optional<coordination::Placement>& placement) {
  const coordination::AttemptPolicy policy(*call.route);
  const auto now = m_context->loop->Now();
  // A call whose first attempt has not been sent yet waits for a connection,
  // which has a timeout of its own.
  if (counts.runs != 1 || !policy.MayRunAgain(counts)) {
    return HedgeDecision::kNotRepeatable;
  }
  const auto left =
      std::chrono::duration_cast<milliseconds>(call.deadline - now);
  if (!policy.MayRetry(counts, false, left)) return HedgeDecision::kDeadline;
  if (!placement) return HedgeDecision::kShortOfCapacity;
  if (placement->load >= m_context->loads.Estimate(first.Server().id, now)) {
    return HedgeDecision::kNoTarget;
  }
  const HedgeDecision decision = m_context->hedging.Take(
      call.service->id, m_context->queue.Size() > 0, now);
  if (decision != HedgeDecision::kHedge) return decision;
  return m_context->RetryBudgetFor(call.service->id).Take()
             ? HedgeDecision::kHedge
             : HedgeDecision::kRetryBudget;
}

void CallHedge::OnAnswered(const ResolvedCall& call, const Attempt& winner,
                           const Attempt* loser) {
  if (!m_context->hedging.IsEnabled() || std::exchange(m_is_answered, true)) {
    return;
  }
  Disarm();
  if (m_is_armed) {
    m_context->hedging.OnDelayResult(call.service->id, m_is_late);
  }
  m_context->hedging.OnAnswered(*call.route, LoadClassOf(winner.Placement()),
                                AgeOf(winner));
  if (loser == nullptr) return;
  if (loser->HasSent()) {
    m_context->hedging.OnCancelled(*call.route, LoadClassOf(loser->Placement()),
                                   AgeOf(*loser));
  }
  m_context->metrics.CountHedge(
      call.service->id.value,
      loser->HasSent() && winner.SentAt() > loser->SentAt() ? "won" : "lost");
  LogInfo("hedge_answered", {{"id", call.metadata.attempt_id},
                             {"backend", winner.Server().id.value},
                             {"cancelled_backend", loser->Server().id.value}});
}

}  // namespace wasabiwall::transport
