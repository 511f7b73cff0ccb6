#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "wasabiwall/coordination/attempt_policy.h"
#include "wasabiwall/protocol/error_kind.h"
#include "wasabiwall/protocol/event_stream.h"
#include "wasabiwall/transport/gateway_context.h"

namespace wasabiwall::transport {

/// A request that was read whole.
struct GatewayRequest {
  MessageHead head;
  std::string body;
  coordination::TimePoint received;
};

/// Forwards one request to a backend server and its answer to the caller.
///
/// Repeats only what may run again or has certainly not run; a resumable
/// stream that breaks off goes on at another backend server after its last
/// whole event.
class Exchange : public std::enable_shared_from_this<Exchange> {
 public:
  /// How the exchange ended for the caller's connection.
  enum class End {
    /// The answer was written in full.
    kWhole,
    /// The answer was cut; the connection must not look as if it were whole.
    kCut,
  };

  struct Output {
    /// Writes bytes of the answer to the caller.
    std::function<void(std::string)> write;
    /// Called once, last.
    std::function<void(End)> on_end;
    /// @return Bytes that the caller has not taken yet.
    std::function<std::size_t()> queued_bytes;
    /// @return Whether the connection closes after the answer.
    std::function<bool()> closes;
  };

  Exchange(GatewayContext* context, GatewayRequest request, Output output);

  /// Starts to look for a backend server.
  void Start();

  /// The caller left: ends the work for it. No more output.
  void Cancel();

  /// The caller has taken all bytes written so far.
  void OnOutputDrained();

 private:
  /// Answer of a backend server in the making.
  struct Reply {
    MessageHead head;
    std::string body;
  };

  // Admission.
  std::optional<protocol::Error> Resolve();
  const state::Service* ChooseService() const;
  coordination::PlacementQuery Query() const;
  /// Asks other gateways who holds the prompt, when that is not known here.
  /// @return Whether it asked; the call is placed after the answer.
  bool AskForHolders();
  void OnHoldersAnswered(const char* outcome);
  bool Place();
  void WaitForPlace(coordination::PlacementRefusal refusal);
  void RefuseUnplaced(coordination::PlacementRefusal refusal);
  /// Answers with a time to come back that spreads refused callers.
  void Refuse(protocol::ErrorKind kind, const char* detail);
  coordination::AttemptPolicy Policy() const;

  // One attempt.
  void Begin(coordination::Placement placement);
  std::string RequestBytes();
  void OnReplyHead(MessageHead head);
  void OnReplyBody(std::string_view data);
  void OnReplyComplete();
  void OnAttemptFailed();
  void OnConnectTimeout();
  void OnSilence();
  void StartSilenceTimer();
  void EndAttempt(coordination::HealthSignal signal);
  void AbandonAttempt(coordination::HealthSignal signal);

  // After an attempt.
  void RepeatOrFail(bool not_run, protocol::ErrorKind kind, const char* reason);
  bool TakeRepeat();

  // Answer to the caller.
  bool IsEventStream() const;
  void ForwardStream(std::string_view data);
  void WriteHead(const MessageHead& head, std::optional<std::size_t> length);
  void WritePlainReply();
  void FinishStream();
  void Fail(protocol::Error error);
  void OnDeadline();
  void Finish(End end, const std::string& outcome);

  std::chrono::milliseconds TimeLeft() const;
  int Priority() const;

  GatewayContext* m_context;
  GatewayRequest m_request;
  Output m_output;
  CallMetadata m_call;
  std::shared_ptr<const state::ServiceConfig> m_config;
  const state::Route* m_route = nullptr;
  const state::Workspace* m_workspace = nullptr;
  const state::Service* m_service = nullptr;
  coordination::TimePoint m_deadline;
  Timer m_deadline_timer;
  Timer m_attempt_timer;
  coordination::AdmissionQueue::WaiterId m_ticket = 0;
  std::optional<coordination::PromptDirectory::LookupId> m_question;

  std::shared_ptr<BackendConnection> m_connection;
  std::optional<coordination::Placement> m_placement;
  std::vector<state::BackendServerId> m_tried;
  coordination::AttemptCounts m_counts;
  Reply m_reply;
  bool m_reply_begun = false;

  protocol::EventStreamSplitter m_events;
  /// Whether the head of the answer has been written to the caller.
  bool m_head_written = false;
  bool m_reading_paused = false;
  bool m_ended = false;
  std::optional<coordination::TimePoint> m_first_byte;
  /// When the call was handed to the current backend server.
  coordination::TimePoint m_sent_at;
  /// Whether the current backend server has sent an event of the stream.
  bool m_run_has_events = false;
  coordination::TimePoint m_last_event;
  std::chrono::microseconds m_longest_gap{0};
};

}  // namespace wasabiwall::transport
