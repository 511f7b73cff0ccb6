#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "wasabiwall/transport/address.h"
#include "wasabiwall/transport/event_loop.h"

namespace wasabiwall::transport {

/// How a connection ended.
enum class ConnectionEnd {
  /// The peer closed it in order.
  kClosed,
  /// It was reset, timed out or could not be established.
  kBroken,
};

/// Settings of a TCP connection.
struct TcpOptions {
  /// Longest time that sent data may stay unacknowledged; 0 for the system's
  /// default.
  std::chrono::milliseconds unacknowledged_timeout{0};
  /// Whether TCP keep-alive probes are sent.
  bool keep_alive = false;
  /// @return Most bytes of the next read; all that a buffer holds if unset.
  std::function<std::size_t()> read_bytes;
};

/// A TCP connection on an event loop. Callbacks may destroy it.
class TcpConnection {
 public:
  struct Handlers {
    std::function<void()> on_connected;
    std::function<void(std::string_view)> on_data;
    /// Called once; not after Close.
    std::function<void(ConnectionEnd)> on_end;
    /// The kernel has accepted all written data.
    std::function<void()> on_drained;
  };

  /// Starts to connect.
  TcpConnection(EventLoop* loop, const Address& address,
                const TcpOptions& options, Handlers handlers);

  /// Accepts the pending connection of a listener.
  TcpConnection(EventLoop* loop, uv_stream_t* listener,
                const TcpOptions& options, Handlers handlers);

  ~TcpConnection();
  TcpConnection(const TcpConnection&) = delete;
  TcpConnection& operator=(const TcpConnection&) = delete;

  /// Writes data; queues what the kernel does not accept at once.
  void Write(std::string data);

  /// Closes in order once the kernel has accepted all written data.
  void CloseAfterWrites();

  /// Closes now; discards queued data.
  void Close();

  /// Closes with a reset, so that the peer cannot mistake what it has received
  /// for a complete message.
  void Reset();

  void PauseReading();
  void ResumeReading();

  bool IsConnected() const;

  /// @return Bytes queued until the kernel accepts them.
  std::size_t QueuedBytes() const;

  /// @return Bytes of memory that hold queued bytes: more than these while part
  /// of a write has been accepted.
  std::size_t HeldBytes() const;

  /// @return `ip:port` of the peer, for logs; empty if it is unknown.
  std::string PeerAddress() const;

  /// @return Written bytes that the peer has not acknowledged yet, queued ones
  /// included. Shrinks while the peer takes bytes.
  std::size_t UnacknowledgedBytes() const;

 private:
  struct State;

  std::shared_ptr<State> m_state;
};

/// Accepts TCP connections.
class TcpListener {
 public:
  /// Called for each connection; hand the stream to a TcpConnection.
  using AcceptHandler = std::function<void(uv_stream_t*)>;

  TcpListener(EventLoop* loop, AcceptHandler on_accept);
  ~TcpListener();
  TcpListener(const TcpListener&) = delete;
  TcpListener& operator=(const TcpListener&) = delete;

  /// @return False if the address cannot be bound.
  bool Listen(const Address& address);

  /// @return The listening port; the one assigned if port 0 was requested.
  int Port() const;

 private:
  struct State;

  State* m_state;
};

}  // namespace wasabiwall::transport
