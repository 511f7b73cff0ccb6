#include "wasabiwall/transport/tcp_connection.h"

#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <utility>

namespace wasabiwall::transport {
namespace {

constexpr std::size_t kReadBufferBytes = 65536;
constexpr int kListenBacklog = 512;
/// Idle time before keep-alive probes and interval between them; the shortest
/// that the system offers.
constexpr int kKeepAliveProbeSeconds = 1;
/// Unanswered keep-alive probes after which the peer is considered lost.
constexpr int kKeepAliveProbeCount = 2;

void SetOption(int socket, int level, int name, int value) {
  // The result is ignored: a broken socket reports its error on the next read.
  setsockopt(socket, level, name, &value, sizeof(value));
}

void Configure(uv_tcp_t* handle, const TcpOptions& options) {
  uv_tcp_nodelay(handle, 1);
  uv_os_fd_t socket = -1;
  if (uv_fileno(reinterpret_cast<uv_handle_t*>(handle), &socket) != 0) return;
  if (options.unacknowledged_timeout.count() > 0) {
    SetOption(socket, IPPROTO_TCP, TCP_USER_TIMEOUT,
              static_cast<int>(options.unacknowledged_timeout.count()));
  }
  if (!options.keep_alive) return;
  SetOption(socket, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetOption(socket, IPPROTO_TCP, TCP_KEEPIDLE, kKeepAliveProbeSeconds);
  SetOption(socket, IPPROTO_TCP, TCP_KEEPINTVL, kKeepAliveProbeSeconds);
  SetOption(socket, IPPROTO_TCP, TCP_KEEPCNT, kKeepAliveProbeCount);
}

/// Each read of a loop is handled before the next one, so they share a buffer.
std::array<char, kReadBufferBytes>& ReadBuffer() {
  thread_local std::array<char, kReadBufferBytes> buffer;
  return buffer;
}

struct WriteRequest {
  uv_write_t request;
  std::string data;
};

}  // namespace

/// Lives until libuv has closed the handle.
struct TcpConnection::State : std::enable_shared_from_this<State> {
  uv_tcp_t handle{};
  uv_connect_t connect_request{};
  Handlers handlers;
  TcpOptions options;
  bool connected = false;
  bool closing = false;
  bool close_after_writes = false;
  bool reading = false;
  /// Whether a write has failed and the connection ends with the next read that
  /// finds no more bytes.
  bool write_failed = false;
  /// Size of the write that libuv carries out, and the memory that holds it.
  std::size_t in_flight_bytes = 0;
  std::size_t in_flight_memory = 0;
  /// Bytes that follow it.
  std::string backlog;
  /// Keeps the state alive until the handle is closed.
  std::shared_ptr<State> self;

  static State* Of(void* data) { return static_cast<State*>(data); }

  void Init(EventLoop* loop) {
    uv_tcp_init(loop->Handle(), &handle);
    handle.data = this;
    self = shared_from_this();
  }

  void End(ConnectionEnd end) {
    if (closing) return;
    const auto guard = shared_from_this();
    CloseHandle();
    const auto callback = std::move(handlers.on_end);
    if (callback) callback(end);
  }

  void CloseHandle() {
    if (closing) return;
    closing = true;
    uv_close(reinterpret_cast<uv_handle_t*>(&handle), [](uv_handle_t* handle) {
      State* state = Of(handle->data);
      state->handlers = {};
      const auto last = std::move(state->self);
    });
  }

  void OnConnected(int status) {
    if (closing) return;
    if (status != 0) {
      End(ConnectionEnd::kBroken);
      return;
    }
    const auto guard = shared_from_this();
    connected = true;
    Configure(&handle, options);
    StartReading();
    if (handlers.on_connected) {
      const auto callback = handlers.on_connected;
      callback();
    }
  }

  void StartReading() {
    if (closing || reading) return;
    reading = true;
    uv_read_start(
        reinterpret_cast<uv_stream_t*>(&handle),
        [](uv_handle_t* socket, std::size_t, uv_buf_t* buffer) {
          const auto& limit = Of(socket->data)->options.read_bytes;
          const auto size = limit ? std::min(limit(), ReadBuffer().size())
                                  : ReadBuffer().size();
          *buffer = uv_buf_init(ReadBuffer().data(), size);
        },
        [](uv_stream_t* stream, ssize_t size, const uv_buf_t* buffer) {
          Of(stream->data)->OnRead(size, buffer->base);
        });
  }

  void OnRead(ssize_t size, const char* data) {
    if (size == 0 || closing) return;
    if (size < 0) {
      const bool in_order =
          size == UV_EOF && !write_failed && !HasSocketError();
      End(in_order ? ConnectionEnd::kClosed : ConnectionEnd::kBroken);
      return;
    }
    const auto guard = shared_from_this();
    const auto callback = handlers.on_data;
    if (callback) callback({data, static_cast<std::size_t>(size)});
  }

  /// libuv reports a reset that arrives together with data as end of file; only
  /// the socket's error tells them apart.
  bool HasSocketError() const {
    uv_os_fd_t socket = -1;
    if (uv_fileno(reinterpret_cast<const uv_handle_t*>(&handle), &socket) !=
        0) {
      return true;
    }
    int error = 0;
    socklen_t length = sizeof(error);
    return getsockopt(socket, SOL_SOCKET, SO_ERROR, &error, &length) != 0 ||
           error != 0;
  }

  void Write(std::string data) {
    if (closing || write_failed || data.empty()) return;
    if (in_flight_bytes > 0) {
      // One write at a time: a write of its own costs some 300 bytes, several
      // times the size of a small response or event.
      if (backlog.empty()) {
        backlog = std::move(data);
      } else {
        backlog.append(data);
      }
      return;
    }
    uv_buf_t buffer = uv_buf_init(data.data(), data.size());
    const int result =
        uv_try_write(reinterpret_cast<uv_stream_t*>(&handle), &buffer, 1);
    const auto accepted = static_cast<std::size_t>(std::max(result, 0));
    if (accepted == data.size()) return;
    StartWrite(accepted == 0 ? std::move(data) : data.substr(accepted));
  }

  void StartWrite(std::string data) {
    auto* write = new WriteRequest{{}, std::move(data)};
    write->request.data = write;
    in_flight_bytes = write->data.size();
    in_flight_memory = write->data.capacity();
    uv_buf_t buffer = uv_buf_init(write->data.data(), write->data.size());
    const int status =
        uv_write(&write->request, reinterpret_cast<uv_stream_t*>(&handle),
                 &buffer, 1, [](uv_write_t* request, int result) {
                   const std::unique_ptr<WriteRequest> done(
                       static_cast<WriteRequest*>(request->data));
                   Of(request->handle->data)->OnWritten(result);
                 });
    if (status == 0) return;
    in_flight_bytes = 0;
    in_flight_memory = 0;
    delete write;
  }

  bool HasQueued() const { return in_flight_bytes > 0; }

  std::size_t QueuedBytes() const {
    // libuv has accepted part of the write in flight.
    const auto left = std::min(
        in_flight_bytes, uv_stream_get_write_queue_size(
                             reinterpret_cast<const uv_stream_t*>(&handle)));
    return left + backlog.size();
  }

  void OnWriteFailed() {
    // The peer may have sent bytes before it ended the connection, such as an
    // early response, and libuv reports a failed write before it reads them.
    if (reading && !close_after_writes) {
      write_failed = true;
      backlog = {};
      return;
    }
    End(ConnectionEnd::kBroken);
  }

  void OnWritten(int status) {
    in_flight_bytes = 0;
    in_flight_memory = 0;
    if (closing) {
      backlog = {};
      return;
    }
    if (status != 0) {
      OnWriteFailed();
      return;
    }
    if (!backlog.empty()) {
      StartWrite(std::exchange(backlog, {}));
      return;
    }
    const auto guard = shared_from_this();
    if (close_after_writes) {
      CloseHandle();
      return;
    }
    const auto callback = handlers.on_drained;
    if (callback) callback();
  }
};

TcpConnection::TcpConnection(EventLoop* loop, const Address& address,
                             const TcpOptions& options, Handlers handlers)
    : m_state(std::make_shared<State>()) {
  m_state->handlers = std::move(handlers);
  m_state->options = options;
  m_state->Init(loop);
  sockaddr_in target;
  int status = uv_ip4_addr(address.host.c_str(), address.port, &target);
  if (status == 0)
    status =
        uv_tcp_connect(&m_state->connect_request, &m_state->handle,
                       reinterpret_cast<const sockaddr*>(&target),
                       [](uv_connect_t* request, int result) {
                         State::Of(request->handle->data)->OnConnected(result);
                       });
  if (status == 0) return;
  loop->Post([state = m_state] { state->End(ConnectionEnd::kBroken); });
}

TcpConnection::TcpConnection(EventLoop* loop, uv_stream_t* listener,
                             const TcpOptions& options, Handlers handlers)
    : m_state(std::make_shared<State>()) {
  m_state->handlers = std::move(handlers);
  m_state->options = options;
  m_state->Init(loop);
  auto* stream = reinterpret_cast<uv_stream_t*>(&m_state->handle);
  if (uv_accept(listener, stream) != 0) {
    loop->Post([state = m_state] { state->End(ConnectionEnd::kBroken); });
    return;
  }
  m_state->connected = true;
  Configure(&m_state->handle, options);
  m_state->StartReading();
}

TcpConnection::~TcpConnection() {
  m_state->handlers = {};
  if (m_state->close_after_writes && m_state->HasQueued()) return;
  m_state->CloseHandle();
}

void TcpConnection::Write(std::string data) { m_state->Write(std::move(data)); }

void TcpConnection::CloseAfterWrites() {
  if (!m_state->HasQueued()) {
    m_state->CloseHandle();
    return;
  }
  m_state->close_after_writes = true;
}

void TcpConnection::Close() { m_state->CloseHandle(); }

void TcpConnection::Reset() {
  if (m_state->closing) return;
  uv_os_fd_t socket = -1;
  auto* handle = reinterpret_cast<uv_handle_t*>(&m_state->handle);
  if (uv_fileno(handle, &socket) == 0) {
    const linger now{1, 0};
    setsockopt(socket, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
  }
  m_state->CloseHandle();
}

void TcpConnection::PauseReading() {
  if (m_state->closing || !m_state->reading) return;
  m_state->reading = false;
  uv_read_stop(reinterpret_cast<uv_stream_t*>(&m_state->handle));
}

void TcpConnection::ResumeReading() {
  if (m_state->connected) m_state->StartReading();
}

bool TcpConnection::IsConnected() const {
  return m_state->connected && !m_state->closing;
}

std::size_t TcpConnection::QueuedBytes() const {
  return m_state->QueuedBytes();
}

std::size_t TcpConnection::HeldBytes() const {
  return m_state->in_flight_memory + m_state->backlog.capacity();
}

std::string TcpConnection::PeerAddress() const {
  sockaddr_in peer{};
  int length = sizeof(peer);
  if (m_state->closing ||
      uv_tcp_getpeername(&m_state->handle, reinterpret_cast<sockaddr*>(&peer),
                         &length) != 0) {
    return "";
  }
  std::array<char, INET_ADDRSTRLEN> host{};
  uv_ip4_name(&peer, host.data(), host.size());
  return std::string(host.data()) + ":" + std::to_string(ntohs(peer.sin_port));
}

std::size_t TcpConnection::UnacknowledgedBytes() const {
  const auto* handle = reinterpret_cast<const uv_handle_t*>(&m_state->handle);
  const std::size_t queued = m_state->QueuedBytes();
  uv_os_fd_t socket = -1;
  int sent = 0;
  if (m_state->closing || uv_fileno(handle, &socket) != 0 ||
      ioctl(socket, SIOCOUTQ, &sent) != 0) {
    return queued;
  }
  return queued + static_cast<std::size_t>(sent);
}

struct TcpListener::State {
  uv_tcp_t handle;
  AcceptHandler on_accept;
};

TcpListener::TcpListener(EventLoop* loop, AcceptHandler on_accept)
    : m_state(new State) {
  uv_tcp_init(loop->Handle(), &m_state->handle);
  m_state->handle.data = m_state;
  m_state->on_accept = std::move(on_accept);
}

TcpListener::~TcpListener() {
  uv_close(
      reinterpret_cast<uv_handle_t*>(&m_state->handle),
      [](uv_handle_t* handle) { delete static_cast<State*>(handle->data); });
}

bool TcpListener::Listen(const Address& address) {
  sockaddr_in local;
  if (uv_ip4_addr(address.host.c_str(), address.port, &local) != 0)
    return false;
  if (uv_tcp_bind(&m_state->handle, reinterpret_cast<sockaddr*>(&local), 0) !=
      0) {
    return false;
  }
  const auto on_connection = [](uv_stream_t* stream, int status) {
    if (status == 0) static_cast<State*>(stream->data)->on_accept(stream);
  };
  return uv_listen(reinterpret_cast<uv_stream_t*>(&m_state->handle),
                   kListenBacklog, on_connection) == 0;
}

int TcpListener::Port() const {
  sockaddr_in local;
  int length = sizeof(local);
  uv_tcp_getsockname(&m_state->handle, reinterpret_cast<sockaddr*>(&local),
                     &length);
  return ntohs(local.sin_port);
}

}  // namespace wasabiwall::transport
