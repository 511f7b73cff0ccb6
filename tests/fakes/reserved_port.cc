#include "fakes/reserved_port.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdint>

namespace wasabiwall::fakes {

ReservedPort::ReservedPort(int port)
    : m_socket(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
  // Lets the test listen on the port again.
  const int reuse = 1;
  setsockopt(m_socket, SOL_SOCKET, SO_REUSEADDR, &reuse, sizeof(reuse));
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  static_cast<void>(
      bind(m_socket, reinterpret_cast<sockaddr*>(&address), sizeof(address)));
}

ReservedPort::~ReservedPort() { close(m_socket); }

}  // namespace wasabiwall::fakes
