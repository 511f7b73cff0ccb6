#include "fakes/silent_listener.h"

#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <stdexcept>

#include "fakes/loopback_address.h"

namespace wasabiwall::fakes {
namespace {

/// More than a queue of the shortest length takes.
constexpr int kFillers = 4;

sockaddr* Generic(sockaddr_in* address) {
  return reinterpret_cast<sockaddr*>(address);
}

}  // namespace

SilentListener::SilentListener()
    : m_listener(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
  sockaddr_in address = LoopbackAddress();
  socklen_t length = sizeof(address);
  if (bind(m_listener, Generic(&address), length) != 0 ||
      listen(m_listener, 0) != 0 ||
      getsockname(m_listener, Generic(&address), &length) != 0) {
    throw std::runtime_error("cannot listen on loopback");
  }
  m_address = "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
  for (int i = 0; i < kFillers; ++i) {
    m_fillers.push_back(
        socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    // Without waiting for the handshake, which may never come to its end.
    if (connect(m_fillers.back(), Generic(&address), length) != 0 &&
        errno != EINPROGRESS) {
      throw std::runtime_error("cannot connect on loopback");
    }
  }
}

SilentListener::~SilentListener() {
  for (const int filler : m_fillers) close(filler);
  close(m_listener);
}

}  // namespace wasabiwall::fakes
