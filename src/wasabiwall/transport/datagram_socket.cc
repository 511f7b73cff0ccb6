#include "wasabiwall/transport/datagram_socket.h"

#include <arpa/inet.h>
#include <netinet/in.h>

#include <array>
#include <optional>
#include <utility>

namespace wasabiwall::transport {
namespace {

/// Largest datagram that is read; messages are far smaller.
constexpr std::size_t kMaxDatagramBytes = 2048;

std::optional<sockaddr_in> ToSystemAddress(const Address& address) {
  sockaddr_in system{};
  if (uv_ip4_addr(address.host.c_str(), address.port, &system) != 0) {
    return std::nullopt;
  }
  return system;
}

std::string FormatAddress(const sockaddr_in& address) {
  std::array<char, INET_ADDRSTRLEN> host{};
  uv_ip4_name(&address, host.data(), host.size());
  return std::string(host.data()) + ":" +
         std::to_string(ntohs(address.sin_port));
}

}  // namespace

/// Lives until libuv has closed the handle.
struct DatagramSocket::State {
  uv_udp_t handle;
  Handler on_datagram;
  std::array<char, kMaxDatagramBytes> buffer;
};

DatagramSocket::DatagramSocket(EventLoop* loop, Handler on_datagram)
    : m_state(new State) {
  uv_udp_init(loop->Handle(), &m_state->handle);
  m_state->handle.data = m_state;
  m_state->on_datagram = std::move(on_datagram);
}

DatagramSocket::~DatagramSocket() {
  m_state->on_datagram = nullptr;
  uv_close(
      reinterpret_cast<uv_handle_t*>(&m_state->handle),
      [](uv_handle_t* handle) { delete static_cast<State*>(handle->data); });
}

bool DatagramSocket::Bind(const Address& address) {
  const auto system = ToSystemAddress(address);
  if (!system) return false;
  if (uv_udp_bind(&m_state->handle, reinterpret_cast<const sockaddr*>(&*system),
                  0) != 0) {
    return false;
  }
  return uv_udp_recv_start(
             &m_state->handle,
             [](uv_handle_t* handle, std::size_t, uv_buf_t* buffer) {
               auto* state = static_cast<State*>(handle->data);
               *buffer = uv_buf_init(state->buffer.data(),
                                     static_cast<unsigned>(kMaxDatagramBytes));
             },
             [](uv_udp_t* handle, ssize_t size, const uv_buf_t* buffer,
                const sockaddr* from, unsigned) {
               auto* state = static_cast<State*>(handle->data);
               if (size <= 0 || from == nullptr || !state->on_datagram) return;
               state->on_datagram(
                   FormatAddress(*reinterpret_cast<const sockaddr_in*>(from)),
                   {buffer->base, static_cast<std::size_t>(size)});
             }) == 0;
}

void DatagramSocket::Send(const std::string& to, const std::string& data) {
  const auto address = ParseAddress(to);
  const auto system = address ? ToSystemAddress(*address) : std::nullopt;
  if (!system) return;
  // The result is ignored: receivers tolerate lost datagrams.
  const uv_buf_t buffer = uv_buf_init(const_cast<char*>(data.data()),
                                      static_cast<unsigned>(data.size()));
  uv_udp_try_send(&m_state->handle, &buffer, 1,
                  reinterpret_cast<const sockaddr*>(&*system));
}

std::string DatagramSocket::LocalAddress() const {
  sockaddr_in system{};
  int size = sizeof(system);
  if (uv_udp_getsockname(&m_state->handle, reinterpret_cast<sockaddr*>(&system),
                         &size) != 0) {
    return "";
  }
  return FormatAddress(system);
}

}  // namespace wasabiwall::transport
