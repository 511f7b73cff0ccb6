#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "wasabiwall/coordination/attempt_policy.h"
#include "wasabiwall/transport/gateway_context.h"
#include "wasabiwall/transport/reply_reader.h"
#include "wasabiwall/transport/resolved_call.h"
#include "wasabiwall/transport/rollout_observer.h"

namespace wasabiwall::transport {

/// One attempt of a call at one backend server: its connection, its timers and
/// its response.
///
/// Keeps the tables of the gateway that count the calls of a backend server.
/// Decides nothing about the call: it reports what happens, and the owner ends
/// it.
class Attempt : public std::enable_shared_from_this<Attempt> {
 public:
  /// Functions of the owner. Each may end the attempt, and none is called after
  /// its end.
  struct Hooks {
    /// Called once connected.
    /// @return The request to send, or nothing to withdraw it.
    std::function<std::string(Attempt&)> encode_request;
    /// @return Whether the call may run again although it may have run.
    std::function<bool()> may_run_again;
    /// Complete events of a stream have arrived.
    std::function<void(Attempt&, const std::string& events)> on_events;
    /// The response has arrived in full, as its framing says.
    std::function<void(Attempt&)> on_complete;
    /// The request was withdrawn, the connection could not be established or
    /// has ended, or the response is malformed.
    std::function<void(Attempt&)> on_failed;
    /// The response is too large to be buffered.
    std::function<void(Attempt&)> on_too_large;
    std::function<void(Attempt&)> on_connect_timeout;
    /// The backend server has been silent for longer than the call waits for
    /// it; the attempt goes on unless it is ended.
    std::function<void(Attempt&)> on_idle_timeout;
  };

  /// @param call Must outlive the attempt's last hook.
  /// @param placement Backend server at which the attempt runs.
  Attempt(GatewayContext* context, const ResolvedCall* call,
          coordination::Placement placement, Hooks hooks);

  /// Sets where the stream begins; to be called before Start.
  /// @param caller_resumes Whether the caller resumes a stream that it has
  /// received in part.
  /// @param previous Attempt after whose last event the stream continues; null
  /// for the first one.
  void SetStreamStart(bool caller_resumes, const Attempt* previous);

  /// Connects and sends the request.
  /// @param response_has_body False for requests whose responses have no body.
  /// @param max_connection_idle Longest idle time after which a pooled
  /// connection may still be used, or BackendPool::kNewConnection.
  void Start(bool response_has_body,
             std::chrono::milliseconds max_connection_idle);

  /// Ends the attempt and returns its connection; does nothing if it has ended.
  /// @param signal What the end says about the backend server.
  void End(coordination::HealthSignal signal);

  /// Closes the connection, so that work for the call ends, and ends the
  /// attempt; does nothing if it has ended.
  /// @param signal What the end says about the backend server.
  void Abort(coordination::HealthSignal signal);

  /// Stops reading until the caller's socket has accepted all output.
  void PauseReading();

  /// Resumes reading after PauseReading; does nothing without one.
  void ResumeReading();

  /// Waits anew for data from the backend server, if the request was sent.
  void RestartIdleTimer() {
    if (m_connection && HasSent()) StartIdleTimer();
  }

  /// Records that the stream has made progress.
  /// @param gap Time since the event before, if there was one.
  void OnProgress(std::optional<std::chrono::microseconds> gap);

  /// @return Whether the stream has gone on for a while since its first event:
  /// a prompt that ends its backend server does so before.
  bool IsEstablished() const;

  /// @return Whether it is established and this call is the first to say so.
  bool HasJustBeenEstablished() {
    return IsEstablished() && !std::exchange(m_has_told_established, true);
  }

  /// Counts the response by how it ended.
  void CountResponse(const char* end);

  /// @return Whether it has not ended.
  bool IsRunning() const { return m_connection != nullptr; }

  /// @return Whether the request has been written to the socket; only before
  /// the end.
  bool HasSent() const { return m_connection->HasSent(); }

  /// @return Whether the attempt may have failed only because the backend
  /// server had dropped an idle connection; only before the end.
  bool IsStale() const {
    return m_connection->WasUsedBefore() && !m_reply.HasStarted();
  }

  /// @return Whether the response had a status that none has; only before the
  /// end.
  bool HasInvalidStatus() const {
    return m_connection->InvalidStatus().has_value();
  }

  /// @return Whether the request was withdrawn instead of being sent.
  bool IsWithdrawn() const { return m_is_withdrawn; }

  /// @return What the roll-outs are told of this attempt.
  RolloutObserver& Rollout() { return m_rollout; }

  const state::BackendServer& Server() const { return m_placement.server; }
  const coordination::Placement& Placement() const { return m_placement; }

  /// @return When the request was written to the backend server.
  coordination::TimePoint SentAt() const { return m_sent_at; }

  /// @return Response, as far as it has arrived; it stays after the end.
  const ReplyReader& Reply() const { return m_reply; }

 private:
  coordination::AttemptPolicy Policy() const;
  void LogStart() const;
  BackendConnection::CallHandlers ConnectionHandlers();
  std::string EncodeRequest();
  /// @return Whether a response is one to this call.
  bool BelongsToCall(const MessageHead& head);
  void OnHead(MessageHead head);
  void OnBody(std::string_view data);
  /// Stops reading until other calls have left room for the response.
  void WaitForRoom();
  void OnRoom();
  void StartIdleTimer();

  GatewayContext* m_context;
  const ResolvedCall* m_call;
  coordination::Placement m_placement;
  Hooks m_hooks;
  Timer m_timer;
  ReplyReader m_reply;
  RolloutObserver m_rollout;
  std::shared_ptr<BackendConnection> m_connection;
  coordination::TimePoint m_sent_at;
  /// Whether the caller's socket is behind.
  bool m_reading_paused = false;
  /// Whether the response waits for room in the buffers.
  bool m_waits_for_room = false;
  bool m_is_withdrawn = false;
  /// When the backend server sent the first event of the stream.
  std::optional<coordination::TimePoint> m_first_event_at;
  bool m_has_told_established = false;
};

}  // namespace wasabiwall::transport
