#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "wasabiwall/coordination/attempt_policy.h"
#include "wasabiwall/protocol/error_kind.h"
#include "wasabiwall/transport/attempt.h"
#include "wasabiwall/transport/call_hedge.h"
#include "wasabiwall/transport/call_move.h"
#include "wasabiwall/transport/caller_response.h"
#include "wasabiwall/transport/gateway_context.h"
#include "wasabiwall/transport/prompt_holder_lookup.h"
#include "wasabiwall/transport/quarantine_guard.h"
#include "wasabiwall/transport/queue_wait.h"
#include "wasabiwall/transport/resolved_call.h"

namespace wasabiwall::transport {

/// A caller's request, received in full.
struct GatewayRequest {
  MessageHead head;
  std::string body;
  coordination::TimePoint received;
};

/// Forwards one request to a backend server and its response to the caller.
///
/// Retries only calls that are idempotent or have certainly not run. A
/// resumable stream that breaks off is resumed at another backend server after
/// its last complete event.
class Exchange : public std::enable_shared_from_this<Exchange> {
 public:
  /// How the exchange ended for the caller's connection.
  enum class End {
    /// The response was written in full.
    kComplete,
    /// The response was truncated; the connection must be reset, so that the
    /// caller does not take it for complete.
    kTruncated,
  };

  /// @param output Takes the response.
  /// @param on_end Called once, after all output.
  Exchange(GatewayContext* context, GatewayRequest request,
           CallerResponse::Output output, std::function<void(End)> on_end);

  /// Resolves the route and the service, then starts the first attempt or
  /// queues the call; answers with an error if neither is possible.
  void Start();

  /// Aborts the call after the caller has disconnected; writes no more output.
  void Cancel();

  /// Ends the call because the process is about to exit: with an error if the
  /// response has not begun, otherwise by truncating it.
  void OnProcessExit();

  /// Resumes reading from the backend server once the caller's socket has
  /// accepted all output.
  void OnOutputDrained() {
    if (m_attempt) m_attempt->ResumeReading();
  }

 private:
  // Admission.
  coordination::PlacementQuery Query() const;
  /// Resolves the call and places it, or refuses it.
  void Resolve();
  /// Queues the call until the configuration is known.
  /// @return False if it may not wait.
  bool WaitForConfig();
  /// Chooses a backend server and starts an attempt there. If there is none,
  /// queues or refuses the call, unless it is queued already.
  /// @return Whether an attempt was started or the call has ended.
  bool Place();
  /// Refuses the call if its request is quarantined, unless it may run as a
  /// probe.
  /// @return Whether the call must not be placed now.
  bool RefuseIfQuarantined();
  /// Refuses a call that has waited and may not end before this process does.
  /// @return Whether it was refused.
  bool RefuseIfStopping();
  void Enqueue(coordination::PlacementRefusal refusal);
  /// @return How far the call is as it enters the queue.
  coordination::AttemptPolicy::QueueStage QueueStage() const;
  void RefuseUnplaced(coordination::PlacementRefusal refusal);
  /// @return Time until a backend server of the service that is held off may
  /// get calls again.
  std::chrono::milliseconds HoldOffLeft() const {
    return m_context->placement.HoldOffLeft(*m_call.service,
                                            m_context->loop->Now());
  }
  /// Answers with an error and a retry-after time that spreads the retries of
  /// refused callers.
  /// @param hold_off Time until a backend server takes calls again, if all have
  /// asked for none.
  void Refuse(
      protocol::ErrorKind kind, const char* detail,
      std::chrono::milliseconds hold_off = std::chrono::milliseconds(0));
  coordination::AttemptPolicy Policy() const {
    return coordination::AttemptPolicy(*m_call.route);
  }

  // One attempt.
  void StartAttempt(coordination::Placement placement);
  std::shared_ptr<Attempt> MakeAttempt(coordination::Placement placement);
  void StartSending(Attempt& attempt);
  Attempt::Hooks AttemptHooks();
  /// Counts the send and encodes the request.
  /// @return Nothing to send if the request has been quarantined meanwhile.
  std::string EncodeRequest(const Attempt& attempt);
  void OnEvents(Attempt& attempt, const std::string& events);
  void OnReplyComplete(Attempt& attempt);
  void OnAttemptFailed(Attempt& attempt);
  void OnReplyTooLarge(Attempt& attempt);
  void OnConnectTimeout(Attempt& attempt);
  void OnIdleTimeout(Attempt& attempt);
  /// Starts a second attempt, beside the one whose backend server is silent,
  /// if another backend server has room and the retry budget allows it.
  /// @return Whether it was started.
  bool StartMove();
  /// Aborts the attempt that is running, if there is one.
  void AbortAttempt(coordination::HealthSignal signal) {
    CancelSecond();
    if (m_attempt) m_attempt->Abort(signal);
  }

  // A second attempt beside the first one.
  void OnHedgeDue();
  /// Cancels the other attempt, if there is one, after this one was answered.
  void KeepOnly(Attempt& winner);
  /// Forgets an attempt that has failed while the other one goes on.
  /// @return Whether there is another one.
  bool DropIfSecond(const Attempt& attempt);
  /// Cancels the second attempt, or the wait for it.
  void CancelSecond();

  // After an attempt.
  void RetryOrFail(const Attempt& attempt, bool not_run,
                   protocol::ErrorKind kind, const char* reason);
  /// Takes a retry from the service's budget; a call that has not been sent yet
  /// needs none.
  bool TakeRetryToken() {
    return m_counts.sends == 0 ||
           m_context->RetryBudgetFor(m_call.service->id).Take();
  }

  // Response to the caller.
  /// Writes the head of the backend server's response.
  void WriteHead(const ReplyReader& reply, std::optional<std::size_t> length);
  void WriteBufferedReply(const ReplyReader& reply);
  void FinishStream(const ReplyReader& reply);
  void FinishAnswered(const ReplyReader& reply);
  void Fail(protocol::Error error);
  void OnDeadline();
  void Finish(End end, const std::string& outcome);

  std::chrono::milliseconds TimeLeft() const;

  GatewayContext* m_context;
  GatewayRequest m_request;
  CallerResponse m_response;
  std::function<void(End)> m_on_end;
  ResolvedCall m_call;
  Timer m_deadline_timer;
  QuarantineGuard m_quarantine;
  PromptHolderLookup m_holder_lookup;
  /// Set while no attempt runs and the call waits for a backend server.
  QueueWait m_queue_wait;
  CallMove m_move;

  /// The latest attempt; stays after its end until the next one starts.
  std::shared_ptr<Attempt> m_attempt;
  /// Second attempt beside the first one, until either is answered or fails.
  std::shared_ptr<Attempt> m_second_attempt;
  /// Whether the second attempt was started since the first one was silent, and
  /// not to hedge it.
  bool m_is_moving = false;
  CallHedge m_hedge;
  std::vector<state::BackendServerId> m_tried_servers;
  /// Backend servers to which the call was sent, those before a wait too.
  std::set<state::BackendServerId> m_contacted_servers;
  std::vector<state::FailureDomainId> m_silent_domains;
  coordination::AttemptCounts m_counts;
  bool m_ended = false;
};

}  // namespace wasabiwall::transport
