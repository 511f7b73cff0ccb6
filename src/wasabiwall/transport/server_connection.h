#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <string>

namespace wasabiwall::transport {

/// Server side of a caller's connection: writes responses, from one thread at a
/// time, and tracks whether a request is awaited or being answered. Duplicates
/// the socket's descriptor, so that bytes never reach another caller whose
/// connection was given the same descriptor number.
class ServerConnection {
 public:
  using Clock = std::chrono::steady_clock;

  /// @param socket Connected socket; it is duplicated.
  explicit ServerConnection(int socket);
  ~ServerConnection();
  ServerConnection(const ServerConnection&) = delete;
  ServerConnection& operator=(const ServerConnection&) = delete;

  /// Marks a request as received in full and its response as started.
  /// @return False if another request is being answered or the connection has
  /// expired; the request must then be dropped.
  bool StartRequest();

  /// Marks the response as written; the next request may follow.
  void FinishRequest();

  /// Timeout that has expired while the next request is awaited.
  enum class Timeout {
    /// No timeout has expired, or a response is being written.
    kNone,
    /// A request has arrived in part but not completed in time. The connection
    /// accepts no request after that.
    kSlowRequest,
    /// Nothing has arrived within the idle limit. The connection accepts no
    /// request after that.
    kIdle,
  };

  /// Checks the request and idle timeouts. To be called periodically, from one
  /// thread.
  /// @param request_limit Longest time from a request's first byte to its last.
  /// @param idle_limit Longest time without a byte.
  Timeout CheckTimeouts(std::chrono::milliseconds request_limit,
                        std::chrono::milliseconds idle_limit,
                        Clock::time_point now);

  /// Writes all bytes; blocks on a slow reader up to a limit.
  /// @return False if the caller is gone or too slow.
  bool Write(const std::string& bytes);

  /// Shuts down reading; a response in progress can be finished.
  void StopReading();

  /// Shuts down the connection in both directions.
  void Shutdown();

 private:
  enum class State { kReading, kAnswering, kExpired };

  std::uint64_t ReceivedBytes() const;
  bool Expire();

  int m_socket;
  std::atomic<State> m_state{State::kReading};
  /// Bytes received up to the end of the last response.
  std::atomic<std::uint64_t> m_answered_bytes{0};
  std::atomic<Clock::time_point> m_idle_since{Clock::now()};
  /// Last check that found no part of the next request.
  Clock::time_point m_request_since;
};

}  // namespace wasabiwall::transport
