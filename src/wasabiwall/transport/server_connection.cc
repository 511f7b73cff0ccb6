#include "wasabiwall/transport/server_connection.h"

#include <linux/tcp.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>

namespace wasabiwall::transport {
namespace {

constexpr std::chrono::milliseconds kSlowReaderTimeout{10000};

/// Waits until a socket is writable.
/// @return False on a timeout or an error.
bool WaitWritable(int socket) {
  pollfd entry{socket, POLLOUT, 0};
  const int ready =
      poll(&entry, 1, static_cast<int>(kSlowReaderTimeout.count()));
  return ready > 0 && (entry.revents & POLLOUT) != 0;
}

}  // namespace

ServerConnection::ServerConnection(int socket)
    : m_socket(dup(socket)), m_request_since(Clock::now()) {}

ServerConnection::~ServerConnection() {
  if (m_socket >= 0) close(m_socket);
}

bool ServerConnection::StartRequest() {
  State reading = State::kReading;
  return m_state.compare_exchange_strong(reading, State::kAnswering);
}

void ServerConnection::FinishRequest() {
  m_idle_since = Clock::now();
  m_answered_bytes = ReceivedBytes();
  m_state = State::kReading;
}

ServerConnection::Timeout ServerConnection::CheckTimeouts(
    std::chrono::milliseconds request_limit,
    std::chrono::milliseconds idle_limit, Clock::time_point now) {
  const bool partly_received =
      m_state == State::kReading && ReceivedBytes() > m_answered_bytes.load();
  if (!partly_received) {
    m_request_since = now;
    const bool idle = now - m_idle_since.load() >= idle_limit;
    return idle && Expire() ? Timeout::kIdle : Timeout::kNone;
  }
  const bool slow = now - m_request_since >= request_limit;
  return slow && Expire() ? Timeout::kSlowRequest : Timeout::kNone;
}

std::uint64_t ServerConnection::ReceivedBytes() const {
  tcp_info info{};
  socklen_t length = sizeof(info);
  if (getsockopt(m_socket, IPPROTO_TCP, TCP_INFO, &info, &length) != 0)
    return 0;
  return info.tcpi_bytes_received;
}

bool ServerConnection::Expire() {
  State reading = State::kReading;
  return m_state.compare_exchange_strong(reading, State::kExpired);
}

bool ServerConnection::Write(const std::string& bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t count =
        send(m_socket, bytes.data() + sent, bytes.size() - sent,
             MSG_NOSIGNAL | MSG_DONTWAIT);
    if (count > 0) {
      sent += static_cast<std::size_t>(count);
      continue;
    }
    if (errno == EINTR) continue;
    const bool full = errno == EAGAIN || errno == EWOULDBLOCK;
    if (!full || !WaitWritable(m_socket)) return false;
  }
  return true;
}

void ServerConnection::StopReading() { shutdown(m_socket, SHUT_RD); }

void ServerConnection::Shutdown() { shutdown(m_socket, SHUT_RDWR); }

}  // namespace wasabiwall::transport
