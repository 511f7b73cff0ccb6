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
  /// It was reset, timed out or could not be made.
  kBroken,
};

/// Settings of a TCP connection.
struct TcpOptions {
  /// Longest time that sent data may stay without acknowledgement.
  std::chrono::milliseconds unacknowledged_timeout{0};
  /// Whether a silent peer is probed.
  bool keep_alive = false;
};

/// A TCP connection on an event loop. Callbacks may destroy it.
class TcpConnection {
 public:
  struct Handlers {
    std::function<void()> on_connected;
    std::function<void(std::string_view)> on_data;
    /// Called once; not after Close.
    std::function<void(ConnectionEnd)> on_end;
    /// All written data has been taken by the system.
    std::function<void()> on_drained;
  };

  /// Starts to connect.
  TcpConnection(EventLoop* loop, const Address& address,
                const TcpOptions& options, Handlers handlers);

  /// Takes over a connection that a listener accepted.
  TcpConnection(EventLoop* loop, uv_stream_t* listener,
                const TcpOptions& options, Handlers handlers);

  ~TcpConnection();
  TcpConnection(const TcpConnection&) = delete;
  TcpConnection& operator=(const TcpConnection&) = delete;

  /// Sends data, or queues what the system does not take now.
  void Write(std::string data);

  /// Closes in order once all written data has been taken.
  void CloseAfterWrites();

  /// Closes now; data not yet taken by the system is lost.
  void Close();

  /// Closes with a reset, so that the peer cannot take what it has received
  /// for a complete message.
  void Reset();

  void PauseReading();
  void ResumeReading();

  bool IsConnected() const;

  /// @return Bytes that wait for the system to take them.
  std::size_t QueuedBytes() const;

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

  /// @return False when the address cannot be listened on.
  bool Listen(const Address& address);

  /// @return Port that is listened on, also when 0 was asked for.
  int Port() const;

 private:
  struct State;

  State* m_state;
};

}  // namespace wasabiwall::transport
