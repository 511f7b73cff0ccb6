#pragma once

#include <functional>
#include <string>
#include <string_view>

#include "wasabiwall/transport/address.h"
#include "wasabiwall/transport/event_loop.h"

namespace wasabiwall::transport {

/// Sends and receives UDP datagrams on an event loop. Datagrams may be lost.
class DatagramSocket {
 public:
  /// Receives a datagram and the `ip:port` of its sender.
  using Handler =
      std::function<void(const std::string& from, std::string_view data)>;

  DatagramSocket(EventLoop* loop, Handler on_datagram);
  ~DatagramSocket();
  DatagramSocket(const DatagramSocket&) = delete;
  DatagramSocket& operator=(const DatagramSocket&) = delete;

  /// @param address Local address; port 0 selects a free port.
  /// @return False if the address cannot be bound.
  bool Bind(const Address& address);

  /// Sends a datagram; drops it if the kernel does not accept it at once.
  void Send(const std::string& to, const std::string& data);

  /// @return Local `ip:port`.
  std::string LocalAddress() const;

 private:
  struct State;

  State* m_state;
};

}  // namespace wasabiwall::transport
