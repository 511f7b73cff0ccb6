#include "fakes/early_responder.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <utility>
#include <vector>

#include "fakes/loopback_address.h"

namespace wasabiwall::fakes {
namespace {

constexpr int kPollMs = 20;
/// Time for which a connection that was ended in order stays open.
constexpr std::chrono::milliseconds kLingerTime{300};

}  // namespace

EarlyResponder::EarlyResponder(Script script) : m_script(std::move(script)) {
  m_listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  // A small window, so that a long upload cannot be written before the answer.
  const int window = 16384;
  setsockopt(m_listener, SOL_SOCKET, SO_RCVBUF, &window, sizeof(window));
  sockaddr_in address = LoopbackAddress();
  socklen_t size = sizeof(address);
  constexpr int backlog = 16;
  if (bind(m_listener, reinterpret_cast<sockaddr*>(&address), size) != 0 ||
      listen(m_listener, backlog) != 0) {
    std::abort();
  }
  getsockname(m_listener, reinterpret_cast<sockaddr*>(&address), &size);
  m_port = ntohs(address.sin_port);
  m_thread = std::thread([this] { Run(); });
}

EarlyResponder::~EarlyResponder() {
  m_stopped = true;
  m_thread.join();
  close(m_listener);
}

std::string EarlyResponder::Address() const {
  return "127.0.0.1:" + std::to_string(m_port);
}

void EarlyResponder::Run() {
  while (!m_stopped) {
    pollfd ready{m_listener, POLLIN, 0};
    if (poll(&ready, 1, kPollMs) <= 0) continue;
    const int socket = accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (socket >= 0) Serve(socket);
  }
}

void EarlyResponder::Serve(int socket) {
  std::vector<char> buffer(4096);
  std::size_t read = 0;
  while (read < m_script.read_bytes && !m_stopped) {
    pollfd ready{socket, POLLIN, 0};
    if (poll(&ready, 1, kPollMs) <= 0) continue;
    const auto size =
        recv(socket, buffer.data(),
             std::min(buffer.size(), m_script.read_bytes - read), 0);
    if (size <= 0) {
      close(socket);
      return;
    }
    read += static_cast<std::size_t>(size);
  }
  ++m_requests;
  send(socket, m_script.response.data(), m_script.response.size(),
       MSG_NOSIGNAL);
  std::this_thread::sleep_for(m_script.pause);
  if (m_script.end == End::kReset) {
    const linger now{1, 0};
    setsockopt(socket, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
  }
  if (m_script.end == End::kInOrder) {
    shutdown(socket, SHUT_WR);
    std::this_thread::sleep_for(kLingerTime);
  }
  close(socket);
}

}  // namespace wasabiwall::fakes
