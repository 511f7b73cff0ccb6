#include "wasabiwall/transport/status_server.h"

#include <utility>

#include "wasabiwall/transport/local_reply.h"

namespace wasabiwall::transport {

struct StatusServer::Connection {
  std::unique_ptr<TcpConnection> tcp;
  std::unique_ptr<Http1Parser> parser;
  MessageHead head;
  bool ended = false;
};

StatusServer::StatusServer(EventLoop* loop, PageHandler on_page)
    : m_loop(loop),
      m_on_page(std::move(on_page)),
      m_listener(loop, [this](uv_stream_t* stream) { OnAccept(stream); }) {}

StatusServer::~StatusServer() = default;

bool StatusServer::Listen(const Address& address) {
  return m_listener.Listen(address);
}

void StatusServer::OnAccept(uv_stream_t* stream) {
  auto owned = std::make_unique<Connection>();
  Connection* connection = owned.get();
  const auto end = [this, connection] {
    if (std::exchange(connection->ended, true)) return;
    connection->tcp->Close();
    // Deferred, since the parser may still be running.
    m_loop->Post([this, connection] { m_connections.erase(connection); });
  };
  connection->parser = std::make_unique<Http1Parser>(
      Http1Parser::Kind::kRequests,
      Http1Parser::Handlers{
          .on_head =
              [connection](MessageHead head) {
                connection->head = std::move(head);
                return true;
              },
          .on_body = [](std::string_view) {},
          .on_complete =
              [this, connection] {
                const std::string& target = connection->head.target;
                const StatusPage page =
                    m_on_page(target.substr(0, target.find('?')));
                MessageHead head;
                head.status = page.status;
                head.headers.Add("Content-Type", page.content_type);
                connection->tcp->Write(
                    EncodeHead(head, page.body.size(), false) + page.body);
              }});
  connection->tcp = std::make_unique<TcpConnection>(
      m_loop, stream, TcpOptions{.keep_alive = true},
      TcpConnection::Handlers{
          .on_connected = nullptr,
          .on_data =
              [connection, end](std::string_view data) {
                std::size_t consumed = 0;
                const auto status = connection->parser->Feed(data, &consumed);
                if (status != Http1Parser::Status::kOk) end();
              },
          .on_end = [end](ConnectionEnd) { end(); },
          .on_drained = nullptr});
  m_connections.emplace(connection, std::move(owned));
}

}  // namespace wasabiwall::transport
