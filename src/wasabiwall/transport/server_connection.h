#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <string>

namespace wasabiwall::transport {

/// A caller's connection: writes answers from any one thread at a time and
/// knows whether a request is awaited or being answered. It keeps the socket
/// open under a descriptor of its own, so that bytes never reach another
/// caller whose connection was given the same number.
class ServerConnection {
 public:
  using Clock = std::chrono::steady_clock;

  /// @param socket Connected socket; it is duplicated.
  explicit ServerConnection(int socket);
  ~ServerConnection();
  ServerConnection(const ServerConnection&) = delete;
  ServerConnection& operator=(const ServerConnection&) = delete;

  /// Notes that a whole request has arrived.
  /// @return False when one is being answered or the connection has expired;
  /// the request must then be dropped.
  bool StartRequest();

  /// Notes that the answer has been written; the next request may come.
  void FinishRequest();

  /// What a check of the time that the next request takes found.
  enum class Timeout {
    /// In time, or an answer is being written.
    kNone,
    /// A part of a request has arrived, and the rest did not in time. It takes
    /// no request after that.
    kSlowRequest,
    /// Nothing has arrived for long. It takes no request after that.
    kIdle,
  };

  /// Checks the time that the next request takes; for one thread, regularly.
  /// @param request_limit Longest time from a request's first byte to its last.
  /// @param idle_limit Longest time without a byte.
  Timeout CheckTimeouts(std::chrono::milliseconds request_limit,
                        std::chrono::milliseconds idle_limit,
                        Clock::time_point now);

  /// Writes all bytes; waits for a slow reader up to a limit.
  /// @return False when the caller is gone or too slow.
  bool Write(const std::string& bytes);

  /// Reads no further request; what is being written can be finished.
  void StopReading();

  /// Ends the connection.
  void Shutdown();

 private:
  enum class State { kReading, kAnswering, kExpired };

  std::uint64_t ReceivedBytes() const;
  bool Expire();

  int m_socket;
  std::atomic<State> m_state{State::kReading};
  /// Bytes received up to the end of the last answer.
  std::atomic<std::uint64_t> m_answered_bytes{0};
  std::atomic<Clock::time_point> m_idle_since{Clock::now()};
  /// First check that saw a part of the next request.
  Clock::time_point m_request_since;
};

}  // namespace wasabiwall::transport
