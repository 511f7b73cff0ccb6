#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "wasabiwall/coordination/clock.h"
#include "wasabiwall/protocol/error_kind.h"
#include "wasabiwall/state/strong_id.h"

namespace wasabiwall::coordination {

/// What a plan needs to know of the call.
struct CallSpec {
  /// Whether the call may be run again after it may have run.
  bool idempotent = true;
  /// Whether an idempotency key makes a repeat safe.
  bool keyed = false;
  TimePoint deadline;
};

/// Next thing for the driver of a plan to do.
enum class StepKind {
  /// Submit `attempt` to `target`.
  kSubmit,
  /// Pull the answer of `attempt` from `target` at `offset`.
  kPull,
  /// Ask `target` to call off `attempt` unless it has started.
  kTombstone,
  /// Wait for `wait`, then call OnWaited.
  kWait,
  /// The answer is whole.
  kDone,
  /// Answer the caller with `error`.
  kFail,
};

struct Step {
  StepKind kind = StepKind::kFail;
  state::BackendServerId target;
  state::AttemptId attempt;
  std::int64_t offset = 0;
  /// All other backend servers have been asked.
  bool last_resort = false;
  std::chrono::milliseconds wait{0};
  protocol::Error error;
};

/// How a message to a side process failed.
enum class DeliveryFailure {
  /// It was certainly not received.
  kNotDelivered,
  /// It may have been received.
  kInDoubt,
};

/// Hooks of a plan.
struct CallPlanHooks {
  /// Makes a new attempt identifier.
  std::function<state::AttemptId()> new_attempt;
  /// Asks the retry budget for one more attempt after a failure that cost a
  /// backend server work; false ends the call.
  std::function<bool()> take_retry;
  /// Asks for one more submit after a refusal; false ends the call.
  std::function<bool()> take_resubmit = [] { return true; };
  /// Number of engine crashes at which the request is known to have been in
  /// flight.
  std::function<int()> known_crashes = [] { return 0; };
};

/// Decides, without I/O, how one call goes through candidates, refusals, cut
/// hops and retries until it has one final answer.
class CallPlan {
 public:
  /// @param order Candidates, best first.
  CallPlan(CallSpec spec, std::vector<state::BackendServerId> order,
           CallPlanHooks hooks);

  /// @return The first step.
  Step Start(TimePoint now);

  /// The side process admitted the attempt.
  Step OnAdmitted(TimePoint now);

  /// The side process refused the attempt.
  /// @param owner Backend server that owns the key's shard, when known.
  Step OnRefused(TimePoint now, const protocol::Error& error,
                 const state::BackendServerId& owner);

  /// The submit message failed.
  Step OnSubmitFailed(TimePoint now, DeliveryFailure failure);

  /// A part arrived and was forwarded.
  /// @param offset Bytes received so far.
  Step OnPart(TimePoint now, std::int64_t offset);

  /// The attempt ended.
  /// @param error Why it failed; nothing after a whole answer.
  Step OnEnded(TimePoint now, const std::optional<protocol::Error>& error);

  /// The pull message failed.
  Step OnPullFailed(TimePoint now);

  /// The tombstone was answered.
  Step OnTombstone(TimePoint now, bool never_started);

  /// The tombstone message failed.
  Step OnTombstoneFailed(TimePoint now);

  /// The wait of a kWait step is over.
  Step OnWaited(TimePoint now);

  /// @return Number of submits so far.
  int Attempts() const { return m_attempts; }

 private:
  enum class AfterWait { kPull, kResubmit, kAllAgain };

  Step Submit(TimePoint now, const state::BackendServerId& target);
  Step Pull() const;
  Step Wait(std::chrono::milliseconds wait, AfterWait after);
  Step FailWith(const protocol::Error& error) const;
  Step NextCandidate(TimePoint now, const protocol::Error& error);
  /// Waits for a warming backend server and then asks all candidates again.
  Step WaitForRoom(const protocol::Error& error);
  bool MayWaitForRoom(TimePoint now, const protocol::Error& error) const;
  Step AfterCrash(TimePoint now, const protocol::Error& error);
  /// Tells all candidates of the crashes, so that a repeat through any entry
  /// is refused, then fails.
  Step EndQuarantined(TimePoint now, const protocol::Error& error);
  Step TellNext(TimePoint now);
  Step AfterLostAttempt(TimePoint now);
  bool MayRunAgain() const;

  CallSpec m_spec;
  std::vector<state::BackendServerId> m_order;
  CallPlanHooks m_hooks;
  std::size_t m_next = 0;
  int m_attempts = 0;
  int m_max_attempts;
  bool m_last_resort = false;
  /// The error to end with, while candidates are being told.
  std::optional<protocol::Error> m_last_word;
  int m_redirects = 0;
  int m_pull_failures = 0;
  int m_room_waits = 0;
  /// The refusal that the call waits on.
  std::optional<protocol::Error> m_waits_on;
  /// Whether the current or an earlier attempt may have been run, so that no
  /// answer may claim that the call was not.
  bool m_current_may_run = false;
  bool m_earlier_may_run = false;
  std::int64_t m_offset = 0;
  state::BackendServerId m_target;
  state::AttemptId m_attempt;
  AfterWait m_after_wait = AfterWait::kPull;
};

}  // namespace wasabiwall::coordination
