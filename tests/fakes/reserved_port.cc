#include "fakes/reserved_port.h"

#include <sys/socket.h>
#include <unistd.h>

#include "fakes/loopback_address.h"

namespace wasabiwall::fakes {

ReservedPort::ReservedPort(int port)
    : m_socket(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
  // Lets the test listen on the port again.
  const int reuse = 1;
  setsockopt(m_socket, SOL_SOCKET, SO_REUSEADDR, &reuse, sizeof(reuse));
  const sockaddr_in address = LoopbackAddress(port);
  static_cast<void>(bind(m_socket, reinterpret_cast<const sockaddr*>(&address),
                         sizeof(address)));
}

ReservedPort::~ReservedPort() { close(m_socket); }

}  // namespace wasabiwall::fakes
