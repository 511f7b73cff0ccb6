#include "wasabiwall/transport/peer_client.h"

#include <sys/socket.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TSocket.h>

#include <cerrno>
#include <mutex>
#include <unordered_map>
#include <vector>

#include "wasabiwall/protocol/gen/Side.h"
#include "wasabiwall/transport/address.h"
#include "wasabiwall/transport/peer_transport.h"

namespace wasabiwall::transport {
namespace {

using apache::thrift::protocol::TCompactProtocol;
using apache::thrift::transport::TSocket;
using coordination::DeliveryFailure;

constexpr std::size_t kMaxIdleConnections = 64;

/// Whether an idle connection has been closed or has unexpected bytes.
bool ClosedByPeer(int socket) {
  char byte = 0;
  const ssize_t count = recv(socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return !(count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK));
}

struct Connection {
  std::shared_ptr<TSocket> socket;
  std::unique_ptr<protocol::gen::SideClient> client;
  std::chrono::milliseconds receive_timeout{0};
};

}  // namespace

/// Idle connections by address.
class PeerClient::Pool {
 public:
  Pool(std::chrono::milliseconds connect_timeout,
       std::chrono::milliseconds reply_timeout)
      : m_connect_timeout(connect_timeout), m_reply_timeout(reply_timeout) {}

  /// Runs one call on a kept or new connection. A kept connection that turns
  /// out to be closed is replaced once, before anything was received.
  template <typename Reply, typename Call>
  PeerResult<Reply> Run(const std::string& address,
                        std::chrono::milliseconds extra_wait, Call call) {
    std::unique_ptr<Connection> connection = Take(address);
    if (!connection) return tl::make_unexpected(DeliveryFailure::kNotDelivered);
    SetReceiveTimeout(connection.get(), m_reply_timeout + extra_wait);
    try {
      Reply reply;
      call(connection->client.get(), &reply);
      Give(address, std::move(connection));
      return reply;
    } catch (const apache::thrift::TException&) {
      return tl::make_unexpected(DeliveryFailure::kInDoubt);
    }
  }

 private:
  /// Each change is a system call, so an unchanged one is left out.
  static void SetReceiveTimeout(Connection* connection,
                                std::chrono::milliseconds timeout) {
    if (connection->receive_timeout == timeout) return;
    connection->receive_timeout = timeout;
    connection->socket->setRecvTimeout(static_cast<int>(timeout.count()));
  }

  std::unique_ptr<Connection> Take(const std::string& address) {
    {
      const std::lock_guard lock(m_mutex);
      auto& idle = m_idle[address];
      while (!idle.empty()) {
        std::unique_ptr<Connection> connection = std::move(idle.back());
        idle.pop_back();
        if (!ClosedByPeer(connection->socket->getSocketFD())) return connection;
      }
    }
    return Connect(address);
  }

  std::unique_ptr<Connection> Connect(const std::string& address) {
    const std::optional<Address> parsed = ParseAddress(address);
    if (!parsed) return nullptr;
    auto connection = std::make_unique<Connection>();
    connection->socket = std::make_shared<TSocket>(parsed->host, parsed->port);
    connection->socket->setConnTimeout(
        static_cast<int>(m_connect_timeout.count()));
    connection->socket->setNoDelay(true);
    connection->socket->setSendTimeout(
        static_cast<int>(m_reply_timeout.count()));
    const auto buffered = BufferedTransport(connection->socket);
    connection->client = std::make_unique<protocol::gen::SideClient>(
        std::make_shared<TCompactProtocol>(buffered));
    try {
      buffered->open();
    } catch (const apache::thrift::TException&) {
      return nullptr;
    }
    return connection;
  }

  void Give(const std::string& address,
            std::unique_ptr<Connection> connection) {
    const std::lock_guard lock(m_mutex);
    auto& idle = m_idle[address];
    if (idle.size() < kMaxIdleConnections)
      idle.push_back(std::move(connection));
  }

  std::chrono::milliseconds m_connect_timeout;
  std::chrono::milliseconds m_reply_timeout;
  std::mutex m_mutex;
  std::unordered_map<std::string, std::vector<std::unique_ptr<Connection>>>
      m_idle;
};

PeerClient::PeerClient(std::chrono::milliseconds connect_timeout,
                       std::chrono::milliseconds reply_timeout)
    : m_pool(std::make_unique<Pool>(connect_timeout, reply_timeout)) {}

PeerClient::~PeerClient() = default;

PeerResult<protocol::gen::SubmitReply> PeerClient::Submit(
    const std::string& address, const protocol::gen::SubmitRequest& request) {
  return m_pool->Run<protocol::gen::SubmitReply>(
      address, std::chrono::milliseconds(0),
      [&](auto* client, auto* reply) { client->submit(*reply, request); });
}

PeerResult<protocol::gen::PullReply> PeerClient::Pull(
    const std::string& address, const protocol::gen::PullRequest& request) {
  return m_pool->Run<protocol::gen::PullReply>(
      address, std::chrono::milliseconds(request.wait_ms),
      [&](auto* client, auto* reply) { client->pull(*reply, request); });
}

PeerResult<protocol::gen::TombstoneReply> PeerClient::Tombstone(
    const std::string& address,
    const protocol::gen::TombstoneRequest& request) {
  return m_pool->Run<protocol::gen::TombstoneReply>(
      address, std::chrono::milliseconds(0),
      [&](auto* client, auto* reply) { client->tombstone(*reply, request); });
}

PeerResult<protocol::gen::ItemsReply> PeerClient::ItemsSince(
    const std::string& address, const protocol::gen::ItemsRequest& request) {
  return m_pool->Run<protocol::gen::ItemsReply>(
      address, std::chrono::milliseconds(0),
      [&](auto* client, auto* reply) { client->items_since(*reply, request); });
}

PeerResult<protocol::gen::StatusReply> PeerClient::Status(
    const std::string& address, const protocol::gen::StatusRequest& request) {
  return m_pool->Run<protocol::gen::StatusReply>(
      address, std::chrono::milliseconds(0),
      [&](auto* client, auto* reply) { client->status(*reply, request); });
}

}  // namespace wasabiwall::transport
