#pragma once

#include <functional>
#include <string>
#include <string_view>

#include "wasabiwall/transport/address.h"
#include "wasabiwall/transport/event_loop.h"

namespace wasabiwall::transport {

/// Sends and receives datagrams on an event loop. Datagrams may be lost.
class DatagramSocket {
 public:
  /// Receives a datagram and the `ip:port` of its sender.
  using Handler =
      std::function<void(const std::string& from, std::string_view data)>;

  DatagramSocket(EventLoop* loop, Handler on_datagram);
  ~DatagramSocket();
  DatagramSocket(const DatagramSocket&) = delete;
  DatagramSocket& operator=(const DatagramSocket&) = delete;

  /// @param address Own address; port 0 takes a free one.
  /// @return False when the address cannot be bound.
  bool Bind(const Address& address);

  /// Sends a datagram; one that the system does not take at once is dropped.
  void Send(const std::string& to, const std::string& data);

  /// @return Own `ip:port`.
  std::string LocalAddress() const;

 private:
  struct State;

  State* m_state;
};

}  // namespace wasabiwall::transport
