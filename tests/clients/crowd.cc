#include "clients/crowd.h"

#include <fcntl.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <memory>
#include <utility>

#include "fakes/loopback_address.h"

namespace wasabiwall::clients {
namespace {

/// Receive buffer of a client's socket: small, so that bytes that it does not
/// read wait at the gateway rather than in the kernel.
constexpr int kReceiveBufferBytes = 4096;
/// Segment size of a usual network. With that of the loopback device, the
/// kernel would buffer some 2.5 MB for each connection.
constexpr int kSegmentBytes = 1400;
constexpr std::size_t kReadBytes = 64U << 10U;
/// Bytes of an input that are prepared at a time.
constexpr std::size_t kPieceBytes = 16U << 10U;

}  // namespace

std::function<std::string(std::size_t)> FixedInput(std::string bytes) {
  // Shared, as a crowd has many clients with the same input.
  const auto input = std::make_shared<const std::string>(std::move(bytes));
  return [input](std::size_t offset) {
    return offset < input->size() ? input->substr(offset, kPieceBytes)
                                  : std::string();
  };
}

Crowd::~Crowd() {
  for (Client& client : m_clients) End(&client, false);
}

void Crowd::Add(ClientPlan plan) {
  Client client;
  client.plan = std::move(plan);
  client.socket =
      socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  if (client.socket < 0) return;
  setsockopt(client.socket, SOL_SOCKET, SO_RCVBUF, &kReceiveBufferBytes,
             sizeof(kReceiveBufferBytes));
  setsockopt(client.socket, IPPROTO_TCP, TCP_MAXSEG, &kSegmentBytes,
             sizeof(kSegmentBytes));
  const sockaddr_in target = fakes::LoopbackAddress(m_port);
  const int result =
      connect(client.socket, reinterpret_cast<const sockaddr*>(&target),
              sizeof(target));
  if (result != 0 && errno != EINPROGRESS) End(&client, false);
  m_clients.push_back(std::move(client));
}

std::size_t Crowd::Step() {
  std::size_t progress = 0;
  for (Client& client : m_clients) {
    if (client.socket < 0) continue;
    progress += Send(&client);
    if (client.socket >= 0) progress += Read(&client);
    if (client.socket < 0) ++progress;
    if (++client.steps == client.plan.reset_after) End(&client, true);
  }
  return progress;
}

std::size_t Crowd::Send(Client* client) {
  if (client->pending.empty() && !client->finished) {
    client->pending = client->plan.input(client->sent);
    client->finished = client->pending.empty();
  }
  if (client->pending.empty()) return 0;
  const auto size =
      std::min(client->pending.size(), client->plan.bytes_per_step);
  const auto sent =
      send(client->socket, client->pending.data(), size, MSG_NOSIGNAL);
  if (sent < 0) {
    if (errno != EAGAIN && errno != ENOTCONN) End(client, false);
    return 0;
  }
  client->sent += static_cast<std::size_t>(sent);
  client->pending.erase(0, static_cast<std::size_t>(sent));
  return static_cast<std::size_t>(sent);
}

std::size_t Crowd::Read(Client* client) {
  if (client->plan.reads_per_step == 0) return 0;
  std::array<char, kReadBytes> buffer;
  const auto size = std::min(buffer.size(), client->plan.reads_per_step);
  const auto received = recv(client->socket, buffer.data(), size, 0);
  if (received > 0) return static_cast<std::size_t>(received);
  if (received == 0 || (errno != EAGAIN && errno != ENOTCONN)) {
    End(client, false);
  }
  return 0;
}

void Crowd::End(Client* client, bool resets) {
  if (client->socket < 0) return;
  if (resets) {
    const linger now{1, 0};
    setsockopt(client->socket, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
  }
  close(std::exchange(client->socket, -1));
  client->pending = {};
}

std::size_t Crowd::OpenCount() const {
  return static_cast<std::size_t>(std::ranges::count_if(
      m_clients, [](const Client& client) { return client.socket >= 0; }));
}

}  // namespace wasabiwall::clients
