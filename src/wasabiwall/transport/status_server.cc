#include "wasabiwall/transport/status_server.h"

#include <utility>

#include "wasabiwall/transport/local_reply.h"
#include "wasabiwall/transport/logging.h"

namespace wasabiwall::transport {

struct StatusServer::Connection {
  explicit Connection(EventLoop* loop) : timer(loop) {}

  std::unique_ptr<TcpConnection> tcp;
  std::unique_ptr<Http1Parser> parser;
  Timer timer;
  std::string target;
  std::size_t body_bytes = 0;
  /// Bytes after the request whose page is being taken.
  std::string pipelined;
  /// When it was accepted, or its last request was answered.
  coordination::TimePoint last_request;
  bool keep_alive = true;
  bool ended = false;
};

StatusServer::StatusServer(EventLoop* loop, PageHandler on_page,
                           StatusLimits limits)
    : m_loop(loop),
      m_on_page(std::move(on_page)),
      m_limits(limits),
      m_listener(loop, [this](uv_stream_t* stream) { OnAccept(stream); }) {}

StatusServer::~StatusServer() = default;

bool StatusServer::Listen(const Address& address) {
  return m_listener.Listen(address);
}

void StatusServer::OnAccept(uv_stream_t* stream) {
  if (m_connections.size() >= m_limits.connections) EvictOne();
  auto owned = std::make_unique<Connection>(m_loop);
  Connection* connection = owned.get();
  connection->last_request = m_loop->Now();
  connection->parser = std::make_unique<Http1Parser>(
      Http1Parser::Kind::kRequests,
      Http1Parser::Handlers{
          .on_head =
              [connection](const MessageHead& head) {
                // The fields are not kept, as they may take much memory.
                connection->target = head.target;
                connection->keep_alive = head.keep_alive;
                connection->body_bytes = 0;
                return true;
              },
          .on_body =
              [connection](std::string_view data) {
                connection->body_bytes += data.size();
              },
          .on_complete = [this, connection] { OnRequest(connection); }});
  connection->parser->SetMaxHeadBytes(m_limits.head_bytes);
  connection->tcp = std::make_unique<TcpConnection>(
      m_loop, stream, TcpOptions{.keep_alive = true},
      TcpConnection::Handlers{
          .on_connected = nullptr,
          .on_data = [this, connection](
                         std::string_view data) { OnData(connection, data); },
          .on_end = [this, connection](ConnectionEnd) { End(connection); },
          .on_drained = [this, connection] { OnDrained(connection); }});
  m_connections.emplace(connection, std::move(owned));
  StartTimer(connection);
}

void StatusServer::OnData(Connection* connection, std::string_view data) {
  if (connection->ended) return;
  const bool was_idle = !connection->parser->InMessage();
  Parse(connection, data);
  if (!connection->ended && was_idle && connection->parser->InMessage()) {
    StartTimer(connection);
  }
}

void StatusServer::Parse(Connection* connection, std::string_view data) {
  std::size_t consumed = 0;
  const auto status = connection->parser->Feed(data, &consumed);
  if (status == Http1Parser::Status::kPaused) {
    // Not read further: one page at a time, however many are asked for.
    connection->pipelined.append(data.substr(consumed));
    connection->tcp->PauseReading();
    return;
  }
  if (status != Http1Parser::Status::kOk ||
      connection->body_bytes > m_limits.body_bytes) {
    End(connection);
  }
}

void StatusServer::OnRequest(Connection* connection) {
  const std::string& target = connection->target;
  const StatusPage page = m_on_page(target.substr(0, target.find('?')));
  MessageHead head;
  head.status = page.status;
  head.headers.Add("Content-Type", page.content_type);
  connection->last_request = m_loop->Now();
  connection->parser->Pause();
  connection->tcp->Write(
      EncodeHead(head, page.body.size(), !connection->keep_alive) + page.body);
  // Deferred, since the parser is still running.
  m_loop->Post([this, connection] {
    if (!m_connections.contains(connection) || connection->ended) return;
    StartTimer(connection);
    if (connection->tcp->QueuedBytes() == 0) OnDrained(connection);
  });
}

void StatusServer::OnDrained(Connection* connection) {
  if (connection->ended) return;
  if (!connection->keep_alive) {
    End(connection);
    return;
  }
  connection->parser->Resume();
  connection->tcp->ResumeReading();
  StartTimer(connection);
  const std::string pipelined = std::exchange(connection->pipelined, {});
  if (!pipelined.empty()) OnData(connection, pipelined);
}

void StatusServer::StartTimer(Connection* connection) {
  const bool waits =
      connection->parser->InMessage() || connection->tcp->QueuedBytes() > 0;
  connection->timer.Start(waits ? m_limits.request_time : m_limits.idle_time,
                          [this, connection] { End(connection); });
}

void StatusServer::End(Connection* connection) {
  if (std::exchange(connection->ended, true)) return;
  connection->tcp->Close();
  // Deferred, since the parser or the timer may still be running.
  m_loop->Post([this, connection] { m_connections.erase(connection); });
}

void StatusServer::EvictOne() {
  Connection* oldest = nullptr;
  std::size_t open = 0;
  for (const auto& [connection, owned] : m_connections) {
    if (connection->ended) continue;
    ++open;
    if (oldest == nullptr || connection->last_request < oldest->last_request) {
      oldest = connection;
    }
  }
  if (oldest == nullptr || open < m_limits.connections) return;
  ++m_evicted;
  End(oldest);
}

}  // namespace wasabiwall::transport
