#pragma once

#include <functional>
#include <memory>
#include <string>

#include "wasabiwall/state/backend_registry.h"
#include "wasabiwall/transport/http1_parser.h"
#include "wasabiwall/transport/tcp_connection.h"

namespace wasabiwall::transport {

/// A persistent HTTP/1.1 connection to one backend server that carries one call
/// at a time. Discards responses that belong to another call.
class BackendConnection
    : public std::enable_shared_from_this<BackendConnection> {
 public:
  struct CallHandlers {
    /// @return Whether the response belongs to the call.
    std::function<bool(const MessageHead&)> belongs_to_call;
    std::function<void(MessageHead)> on_head;
    std::function<void(std::string_view)> on_body;
    /// The response is complete; the connection may be released.
    std::function<void()> on_complete;
    /// The connection ended or received a malformed response.
    std::function<void()> on_failed;
  };

  BackendConnection(EventLoop* loop, state::BackendServer server);

  /// Starts to connect.
  /// @param on_ended Called when the connection has ended.
  void Open(const TcpOptions& options, std::function<void()> on_ended);

  /// Sends a request as soon as the connection is established.
  /// @param request Called once connected; returns the bytes to send, or
  /// nothing to withdraw the request.
  /// @param response_has_body False for requests whose responses have no body.
  void Send(std::function<std::string()> request, bool response_has_body,
            CallHandlers handlers);

  /// Closes the connection and abandons its call; calls none of the call's
  /// handlers.
  void Close();

  /// Uses the connection for no further call.
  void CloseAfterResponse() { m_keep_alive = false; }

  void PauseReading() { m_tcp->PauseReading(); }
  void ResumeReading() { m_tcp->ResumeReading(); }

  bool IsConnected() const { return m_tcp && m_tcp->IsConnected(); }

  /// @return Whether the request has been written to the socket.
  bool HasSent() const { return m_request_sent; }

  /// @return Whether the connection can carry another call.
  bool IsReusable() const;

  /// @return Whether a call has completed on the connection before the current
  /// one.
  bool WasUsedBefore() const { return m_completed_calls > 0; }

  /// @return Whether no response, to whichever call, came on the connection
  /// before the one that is arriving.
  bool IsFirstResponse() const {
    return m_completed_calls == 0 && !m_has_discarded;
  }

  /// @return Status of a response that is no answer since its status is none of
  /// the protocol; nothing if there was none.
  std::optional<int> InvalidStatus() const { return m_invalid_status; }

  /// @return Idle timeout that the backend server stated in a Keep-Alive
  /// header.
  std::optional<std::chrono::seconds> IdleTimeout() const {
    return m_idle_timeout;
  }

  const state::BackendServer& Server() const { return m_server; }

  /// Sets when the connection was released to its pool.
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
  bool m_response_has_body = true;
  bool m_request_sent = false;
  bool m_head_received = false;
  bool m_discarding = false;
  /// Whether a response has been discarded.
  bool m_has_discarded = false;
  bool m_response_complete = false;
  bool m_keep_alive = true;
  bool m_unusable = false;
  bool m_ended = false;
  std::optional<int> m_invalid_status;
  /// Bytes received since the last byte of a body of the call.
  std::size_t m_bytes_without_body = 0;
  int m_completed_calls = 0;
  std::optional<std::chrono::seconds> m_idle_timeout;
  coordination::TimePoint m_idle_since;
};

}  // namespace wasabiwall::transport
