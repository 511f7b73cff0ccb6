#pragma once

#include <functional>
#include <memory>
#include <string>

#include "wasabiwall/state/backend_registry.h"
#include "wasabiwall/transport/http1_parser.h"
#include "wasabiwall/transport/tcp_connection.h"

namespace wasabiwall::transport {

/// A kept HTTP/1.1 connection to one backend server, which answers one call at
/// a time. Answers that belong to another call are dropped.
class BackendConnection
    : public std::enable_shared_from_this<BackendConnection> {
 public:
  struct CallHandlers {
    /// @return Whether the answer belongs to the call.
    std::function<bool(const MessageHead&)> is_own;
    std::function<void(MessageHead)> on_head;
    std::function<void(std::string_view)> on_body;
    /// The answer is complete; the connection may have been given back.
    std::function<void()> on_complete;
    /// The connection ended or sent what is no answer.
    std::function<void()> on_failed;
  };

  BackendConnection(EventLoop* loop, state::BackendServer server);

  /// Starts to connect.
  /// @param on_ended Called when the connection can be used no longer.
  void Open(const TcpOptions& options, std::function<void()> on_ended);

  /// Sends a call once connected.
  /// @param request Called when connected, for the bytes to send.
  /// @param answer_has_body False for calls whose answers have none.
  void Send(std::function<std::string()> request, bool answer_has_body,
            CallHandlers handlers);

  /// Ends the connection and the call on it; no handler is called.
  void Close();

  void PauseReading() { m_tcp->PauseReading(); }
  void ResumeReading() { m_tcp->ResumeReading(); }

  bool IsConnected() const { return m_tcp && m_tcp->IsConnected(); }

  /// @return Whether the request has been given to the system.
  bool HasSent() const { return m_sent; }

  /// @return Whether the backend server allows another call on it.
  bool IsReusable() const;

  /// @return Whether a call had been answered on it before the current one.
  bool WasUsedBefore() const { return m_answers > 0; }

  /// @return How long the backend server keeps it when idle, if it said so.
  std::optional<std::chrono::seconds> KeptFor() const { return m_kept_for; }

  const state::BackendServer& Server() const { return m_server; }

  /// Notes when it was given back.
  void SetIdleSince(coordination::TimePoint time) { m_idle_since = time; }
  coordination::TimePoint IdleSince() const { return m_idle_since; }

 private:
  void OnData(std::string_view data);
  void OnEnd(ConnectionEnd end);
  bool OnHead(MessageHead head);
  void OnBody(std::string_view data);
  void OnMessageComplete();
  void SendNow();
  void Fail();
  void Complete();

  EventLoop* m_loop;
  state::BackendServer m_server;
  std::unique_ptr<TcpConnection> m_tcp;
  Http1Parser m_parser;
  std::function<void()> m_on_ended;
  std::function<std::string()> m_request;
  std::shared_ptr<CallHandlers> m_call;
  bool m_answer_has_body = true;
  bool m_sent = false;
  bool m_head_seen = false;
  bool m_dropping = false;
  bool m_complete = false;
  bool m_keep_alive = true;
  bool m_spoiled = false;
  bool m_ended = false;
  int m_answers = 0;
  std::optional<std::chrono::seconds> m_kept_for;
  coordination::TimePoint m_idle_since;
};

}  // namespace wasabiwall::transport
