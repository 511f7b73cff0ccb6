#pragma once

namespace wasabiwall::fakes {

/// A loopback port that refuses connections and that no other process gets, as
/// the address of a machine whose process has ended.
class ReservedPort {
 public:
  /// @param port A port on which nothing listens. If another process already
  /// has it, nothing is reserved.
  explicit ReservedPort(int port);
  ~ReservedPort();
  ReservedPort(const ReservedPort&) = delete;
  ReservedPort& operator=(const ReservedPort&) = delete;

 private:
  int m_socket;
};

}  // namespace wasabiwall::fakes
