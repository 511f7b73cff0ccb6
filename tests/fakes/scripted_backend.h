#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "fakes/reserved_port.h"
#include "wasabiwall/transport/http1_parser.h"
#include "wasabiwall/transport/tcp_connection.h"

namespace wasabiwall::fakes {

/// A backend server on an event loop whose responses a test scripts byte by
/// byte.
class ScriptedBackend {
 public:
  /// A connection to the backend server.
  class Session {
   public:
    /// Writes raw bytes of a response.
    void Write(const std::string& bytes) { m_tcp->Write(bytes); }

    /// Closes the connection in order.
    void Close();

    /// Resets the connection.
    void Reset();

    /// @return Bytes written that the socket has not taken yet.
    std::size_t QueuedBytes() const { return m_tcp->QueuedBytes(); }

    /// @return Whether either side has ended the connection.
    bool Ended() const { return m_ended; }

   private:
    friend class ScriptedBackend;

    std::unique_ptr<transport::TcpConnection> m_tcp;
    std::unique_ptr<transport::Http1Parser> m_parser;
    transport::MessageHead m_head;
    std::string m_body;
    bool m_ended = false;
  };

  /// A request that arrived.
  struct Received {
    transport::MessageHead head;
    std::string body;
    std::shared_ptr<Session> session;
  };

  using Script = std::function<void(const Received&)>;

  /// Listens on a free loopback port.
  ScriptedBackend(transport::EventLoop* loop, Script script);

  /// Resets all connections, also those of sessions that others hold.
  ~ScriptedBackend();
  ScriptedBackend(const ScriptedBackend&) = delete;
  ScriptedBackend& operator=(const ScriptedBackend&) = delete;

  /// @return `ip:port`.
  std::string Address() const;

  /// @return Requests that arrived so far.
  const std::vector<Received>& Requests() const { return m_requests; }

  /// @return Connections accepted so far.
  int Accepted() const { return static_cast<int>(m_sessions.size()); }

  /// Stops listening and resets all connections. No other process gets the
  /// port, where a check would find it alive.
  void Crash();

 private:
  void OnAccept(uv_stream_t* stream);

  transport::EventLoop* m_loop;
  Script m_script;
  std::unique_ptr<transport::TcpListener> m_listener;
  std::unique_ptr<ReservedPort> m_reserved_port;
  std::vector<std::shared_ptr<Session>> m_sessions;
  std::vector<Received> m_requests;
};

/// @return A complete response with a Content-Length.
std::string PlainAnswer(const std::string& attempt_id, int status,
                        const std::string& body,
                        const std::string& extra_headers = "");

/// @return Head of a chunked event stream.
std::string StreamHead(const std::string& attempt_id);

/// @return One event in a chunk.
std::string EventChunk(int id, const std::string& data);

}  // namespace wasabiwall::fakes
