#include "wasabiwall/transport/peer_server.h"

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/server/TThreadedServer.h>
#include <thrift/transport/TServerSocket.h>

#include <atomic>
#include <future>
#include <thread>
#include <utility>

#include "wasabiwall/protocol/error_kind.h"
#include "wasabiwall/protocol/gen/Side.h"
#include "wasabiwall/state/digest.h"
#include "wasabiwall/transport/address.h"
#include "wasabiwall/transport/peer_transport.h"

namespace wasabiwall::transport {
namespace {

namespace gen = protocol::gen;
using protocol::ErrorKind;

constexpr int kMaxConnections = 4096;

/// Checks each message and passes it to the process's handlers.
class Handler : public gen::SideIf {
 public:
  Handler(std::string secret, PeerHandlers handlers)
      : m_secret(std::move(secret)), m_handlers(std::move(handlers)) {}

  void submit(gen::SubmitReply& reply,
              const gen::SubmitRequest& request) override {
    if (!Accept(request.envelope) || !m_handlers.submit) {
      reply.error_kind = protocol::RowOf(ErrorKind::kUnauthenticatedPeer).name;
      return;
    }
    reply = m_handlers.submit(request);
    reply.envelope = ReplyTo(request.envelope, !reply.admitted);
  }

  void pull(gen::PullReply& reply, const gen::PullRequest& request) override {
    if (!Accept(request.envelope) || !m_handlers.pull) {
      reply.ended = true;
      reply.error_kind = protocol::RowOf(ErrorKind::kUnauthenticatedPeer).name;
      return;
    }
    reply = m_handlers.pull(request);
    reply.envelope = ReplyTo(request.envelope);
  }

  void tombstone(gen::TombstoneReply& reply,
                 const gen::TombstoneRequest& request) override {
    if (!Accept(request.envelope) || !m_handlers.tombstone) return;
    reply = m_handlers.tombstone(request);
    reply.envelope = ReplyTo(request.envelope);
  }

  void items_since(gen::ItemsReply& reply,
                   const gen::ItemsRequest& request) override {
    if (!Accept(request.envelope)) return;
    reply = m_handlers.items_since(request);
    reply.envelope = ReplyTo(request.envelope);
  }

  void status(gen::StatusReply& reply,
              const gen::StatusRequest& request) override {
    if (!Accept(request.envelope)) return;
    reply = m_handlers.status(request);
    reply.envelope = ReplyTo(request.envelope);
  }

 private:
  gen::Envelope ReplyTo(const gen::Envelope& request,
                        bool refused = false) const {
    gen::Envelope envelope = m_handlers.make_envelope(request.sender, refused);
    if (m_handlers.stamp) m_handlers.stamp(request.sender, &envelope);
    return envelope;
  }

  bool Accept(const gen::Envelope& envelope) const {
    if (!state::EqualInConstantTime(envelope.secret, m_secret)) return false;
    m_handlers.on_envelope(envelope);
    return true;
  }

  std::string m_secret;
  PeerHandlers m_handlers;
};

/// Tells whether the server came to listen.
class StartSignal : public apache::thrift::server::TServerEventHandler {
 public:
  std::future<bool> Listening() { return m_listening.get_future(); }

  void preServe() override { Set(true); }

  void Fail() { Set(false); }

 private:
  void Set(bool listening) {
    if (!m_set.exchange(true)) m_listening.set_value(listening);
  }

  std::promise<bool> m_listening;
  std::atomic<bool> m_set{false};
};

}  // namespace

/// Thrift server and its thread.
class PeerServer::Listener {
 public:
  Listener(const std::string& address, std::string secret,
           PeerHandlers handlers) {
    const Address parsed = ParseAddress(address).value_or(Address{});
    m_socket = std::make_shared<apache::thrift::transport::TServerSocket>(
        parsed.host, parsed.port);
    m_server = std::make_unique<apache::thrift::server::TThreadedServer>(
        std::make_shared<gen::SideProcessor>(
            std::make_shared<Handler>(std::move(secret), std::move(handlers))),
        m_socket, std::make_shared<BufferedTransportFactory>(),
        std::make_shared<apache::thrift::protocol::TCompactProtocolFactory>());
    m_server->setConcurrentClientLimit(kMaxConnections);
  }

  bool Start() {
    const auto started = std::make_shared<StartSignal>();
    m_server->setServerEventHandler(started);
    std::future<bool> listening = started->Listening();
    m_thread = std::thread([this, started] {
      try {
        m_server->serve();
      } catch (const apache::thrift::TException&) {
        started->Fail();
      }
    });
    return listening.get();
  }

  void Stop() {
    if (!m_thread.joinable()) return;
    m_server->stop();
    m_thread.join();
  }

 private:
  std::shared_ptr<apache::thrift::transport::TServerSocket> m_socket;
  std::unique_ptr<apache::thrift::server::TThreadedServer> m_server;
  std::thread m_thread;
};

PeerServer::PeerServer(const std::string& address, std::string secret,
                       PeerHandlers handlers)
    : m_listener(std::make_unique<Listener>(address, std::move(secret),
                                            std::move(handlers))) {}

PeerServer::~PeerServer() { Stop(); }

bool PeerServer::Start() { return m_listener->Start(); }

void PeerServer::Stop() { m_listener->Stop(); }

}  // namespace wasabiwall::transport
