#pragma once

#include <atomic>
#include <chrono>
#include <cstddef>
#include <string>
#include <thread>

namespace wasabiwall::fakes {

/// A backend server that answers a request before it has read it, and then ends
/// the connection.
class EarlyResponder {
 public:
  /// How the connection ends.
  enum class End {
    /// By a reset.
    kReset,
    /// Closed with unread bytes, for which the system sends a reset.
    kClose,
    /// In order, and a reset only later.
    kInOrder,
  };

  struct Script {
    std::string response;
    End end = End::kReset;
    /// Bytes of the request that are read before the response.
    std::size_t read_bytes = 1;
    /// Time between the response and the end.
    std::chrono::milliseconds pause{50};
  };

  /// Listens on a free loopback port and serves one connection after another.
  explicit EarlyResponder(Script script);
  ~EarlyResponder();
  EarlyResponder(const EarlyResponder&) = delete;
  EarlyResponder& operator=(const EarlyResponder&) = delete;

  /// @return `ip:port`.
  std::string Address() const;

  /// @return Connections that sent a request.
  int Requests() const { return m_requests; }

 private:
  void Run();
  void Serve(int socket);

  Script m_script;
  int m_listener = -1;
  int m_port = 0;
  std::atomic<int> m_requests{0};
  std::atomic<bool> m_stopped{false};
  std::thread m_thread;
};

}  // namespace wasabiwall::fakes
