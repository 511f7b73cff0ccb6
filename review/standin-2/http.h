// HTTP/1.1 over blocking sockets for the stand-ins of the second review.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace standin {

using Clock = std::chrono::steady_clock;
using Time = Clock::time_point;
using std::chrono::milliseconds;

inline Time Start() {
  static const Time start = Clock::now();
  return start;
}

/// Seconds since the script began.
inline double Seconds(Time time = Clock::now()) {
  return std::chrono::duration<double>(time - Start()).count();
}

inline void SleepFor(milliseconds time) { std::this_thread::sleep_for(time); }

struct Head {
  std::string first;
  std::vector<std::pair<std::string, std::string>> fields;

  std::string Find(const std::string& name) const {
    for (const auto& [key, value] : fields) {
      if (strcasecmp(key.c_str(), name.c_str()) == 0) return value;
    }
    return "";
  }
  /// Status of a response.
  int Status() const {
    return first.size() < 12 ? 0 : std::atoi(first.c_str() + 9);
  }
  std::string Method() const { return first.substr(0, first.find(' ')); }
  std::string Target() const {
    const auto begin = first.find(' ') + 1;
    return first.substr(begin, first.find(' ', begin) - begin);
  }
};

/// A connected socket with a read buffer.
class Connection {
 public:
  explicit Connection(int socket) : m_socket(socket) {
    const int one = 1;
    setsockopt(m_socket, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
  }
  ~Connection() { Close(); }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  static std::unique_ptr<Connection> Open(int port, milliseconds timeout) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    if (fd < 0) return nullptr;
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(static_cast<std::uint16_t>(port));
    to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    connect(fd, reinterpret_cast<sockaddr*>(&to), sizeof(to));
    pollfd entry{fd, POLLOUT, 0};
    int error = 0;
    socklen_t size = sizeof(error);
    if (poll(&entry, 1, static_cast<int>(timeout.count())) != 1 ||
        getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 ||
        error != 0) {
      close(fd);
      return nullptr;
    }
    return std::make_unique<Connection>(fd);
  }

  bool Write(const std::string& data) {
    std::size_t sent = 0;
    while (sent < data.size()) {
      const ssize_t count = send(m_socket, data.data() + sent,
                                 data.size() - sent, MSG_NOSIGNAL);
      if (count > 0) {
        sent += static_cast<std::size_t>(count);
        continue;
      }
      if (errno != EAGAIN && errno != EINTR) return false;
      pollfd entry{m_socket, POLLOUT, 0};
      if (poll(&entry, 1, 20000) != 1) return false;
    }
    return true;
  }

  /// Reads until the buffer holds what `size_of` finds, or the deadline.
  bool ReadHead(Head* head, Time deadline) {
    std::size_t end = 0;
    while ((end = m_buffer.find("\r\n\r\n")) == std::string::npos) {
      if (!Fill(deadline)) return false;
    }
    *head = {};
    std::size_t at = 0;
    while (at < end) {
      const auto line_end = std::min(m_buffer.find("\r\n", at), end);
      const std::string line = m_buffer.substr(at, line_end - at);
      at = line_end + 2;
      if (head->first.empty()) {
        head->first = line;
        continue;
      }
      const auto colon = line.find(':');
      if (colon == std::string::npos) continue;
      auto value = line.substr(colon + 1);
      while (!value.empty() && value.front() == ' ') value.erase(0, 1);
      head->fields.emplace_back(line.substr(0, colon), value);
    }
    m_buffer.erase(0, end + 4);
    return true;
  }

  /// Reads a body with a length, or in chunks.
  bool ReadBody(const Head& head, std::string* body, Time deadline) {
    body->clear();
    if (head.Find("Transfer-Encoding") != "chunked") {
      const auto size = static_cast<std::size_t>(
          std::strtoull(head.Find("Content-Length").c_str(), nullptr, 10));
      return Take(size, body, deadline);
    }
    while (true) {
      std::string line;
      if (!TakeLine(&line, deadline)) return false;
      const auto size = std::strtoull(line.c_str(), nullptr, 16);
      std::string chunk;
      if (!Take(size, &chunk, deadline)) return false;
      body->append(chunk);
      if (!TakeLine(&line, deadline)) return false;
      if (size == 0) return true;
    }
  }

  /// Ends the connection with a reset.
  void Reset() {
    const linger now{1, 0};
    setsockopt(m_socket, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
    Close();
  }

  void Close() {
    const int fd = m_socket.exchange(-1);
    if (fd >= 0) close(fd);
  }

  /// Waits for bytes and takes all that have come.
  bool ReadSome(std::string* bytes) {
    if (m_buffer.empty() && !Fill(Clock::now() + std::chrono::seconds(60))) {
      return false;
    }
    *bytes = std::exchange(m_buffer, {});
    return true;
  }

  /// Ends the connection with a reset while another thread uses it; that
  /// thread's calls fail.
  void Break() {
    const linger now{1, 0};
    setsockopt(m_socket, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
    // Disconnects without freeing the descriptor.
    sockaddr none{};
    none.sa_family = AF_UNSPEC;
    connect(m_socket, &none, sizeof(none));
  }

 private:
  bool Fill(Time deadline) {
    const auto left =
        std::chrono::duration_cast<milliseconds>(deadline - Clock::now());
    if (left.count() <= 0) return false;
    pollfd entry{m_socket, POLLIN, 0};
    if (poll(&entry, 1, static_cast<int>(left.count())) != 1) return false;
    char bytes[16384];
    const ssize_t count = recv(m_socket, bytes, sizeof(bytes), 0);
    if (count <= 0) return false;
    m_buffer.append(bytes, static_cast<std::size_t>(count));
    return true;
  }
  bool Take(std::size_t size, std::string* out, Time deadline) {
    while (m_buffer.size() < size) {
      if (!Fill(deadline)) return false;
    }
    *out = m_buffer.substr(0, size);
    m_buffer.erase(0, size);
    return true;
  }
  bool TakeLine(std::string* line, Time deadline) {
    std::size_t end = 0;
    while ((end = m_buffer.find("\r\n")) == std::string::npos) {
      if (!Fill(deadline)) return false;
    }
    *line = m_buffer.substr(0, end);
    m_buffer.erase(0, end + 2);
    return true;
  }

  std::atomic<int> m_socket;
  std::string m_buffer;
};

/// Accepts connections on a free loopback port, a thread for each.
class Listener {
 public:
  using Handler = std::function<void(Connection&)>;

  explicit Listener(Handler handler) : m_handler(std::move(handler)) {
    Listen();
  }

  /// Refuses connections until Listen is called.
  void Stop() {
    const int fd = m_socket.exchange(-1);
    // Ends the thread that accepts, which closes the socket.
    if (fd >= 0) shutdown(fd, SHUT_RDWR);
  }

  void Listen() {
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    const int one = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(static_cast<std::uint16_t>(m_port));
    socklen_t size = sizeof(address);
    if (bind(fd, reinterpret_cast<sockaddr*>(&address), size) != 0 ||
        listen(fd, 1024) != 0 ||
        getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size) != 0) {
      std::_Exit(2);
    }
    m_port = ntohs(address.sin_port);
    m_socket = fd;
    std::thread([this, fd] {
      while (true) {
        const int accepted = accept(fd, nullptr, nullptr);
        if (accepted < 0 && m_socket != fd) break;
        if (accepted < 0) continue;
        std::thread([this, accepted] {
          Connection connection(accepted);
          m_handler(connection);
        }).detach();
      }
      close(fd);
    }).detach();
  }

  int Port() const { return m_port; }

 private:
  Handler m_handler;
  std::atomic<int> m_socket{-1};
  int m_port = 0;
};

/// A port that is free at the moment.
inline int FreePort() {
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof(address);
  bind(fd, reinterpret_cast<sockaddr*>(&address), size);
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  close(fd);
  return ntohs(address.sin_port);
}

}  // namespace standin
