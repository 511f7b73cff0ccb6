#include "fakes/scripted_backend.h"

#include <utility>

namespace wasabiwall::fakes {

using transport::Http1Parser;
using transport::TcpConnection;

void ScriptedBackend::Session::Close() {
  m_tcp->CloseAfterWrites();
  m_ended = true;
}

void ScriptedBackend::Session::Reset() {
  m_tcp->Reset();
  m_ended = true;
}

ScriptedBackend::ScriptedBackend(transport::EventLoop* loop, Script script)
    : m_loop(loop), m_script(std::move(script)) {
  m_listener = std::make_unique<transport::TcpListener>(
      loop, [this](uv_stream_t* stream) { OnAccept(stream); });
  m_listener->Listen({"127.0.0.1", 0});
}

std::string ScriptedBackend::Address() const {
  return "127.0.0.1:" + std::to_string(m_listener->Port());
}

ScriptedBackend::~ScriptedBackend() { Crash(); }

void ScriptedBackend::Crash() {
  if (m_listener) {
    const int port = m_listener->Port();
    m_listener.reset();
    m_reserved_port = std::make_unique<ReservedPort>(port);
  }
  for (const auto& session : m_sessions) session->Reset();
}

void ScriptedBackend::OnAccept(uv_stream_t* stream) {
  auto session = std::make_shared<Session>();
  const std::weak_ptr<Session> weak = session;
  session->m_parser = std::make_unique<Http1Parser>(
      Http1Parser::Kind::kRequests,
      Http1Parser::Handlers{.on_head =
                                [weak](transport::MessageHead head) {
                                  weak.lock()->m_head = std::move(head);
                                  weak.lock()->m_body.clear();
                                  return true;
                                },
                            .on_body =
                                [weak](std::string_view data) {
                                  weak.lock()->m_body.append(data);
                                },
                            .on_complete =
                                [this, weak] {
                                  const auto current = weak.lock();
                                  const Received received{current->m_head,
                                                          current->m_body,
                                                          current};
                                  m_requests.push_back(received);
                                  m_script(received);
                                }});
  session->m_tcp = std::make_unique<TcpConnection>(
      m_loop, stream, transport::TcpOptions{},
      TcpConnection::Handlers{.on_connected = nullptr,
                              .on_data =
                                  [weak](std::string_view data) {
                                    std::size_t consumed = 0;
                                    weak.lock()->m_parser->Feed(data,
                                                                &consumed);
                                  },
                              .on_end =
                                  [weak](transport::ConnectionEnd) {
                                    if (const auto ended = weak.lock())
                                      ended->m_ended = true;
                                  },
                              .on_drained = nullptr});
  m_sessions.push_back(std::move(session));
}

std::string PlainAnswer(const std::string& attempt_id, int status,
                        const std::string& body,
                        const std::string& extra_headers) {
  return "HTTP/1.1 " + std::to_string(status) + " X\r\nAttempt: " + attempt_id +
         "\r\n" + extra_headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string StreamHead(const std::string& attempt_id) {
  return "HTTP/1.1 200 OK\r\nAttempt: " + attempt_id +
         "\r\nSeal: s\r\nContent-Type: text/event-stream\r\n"
         "Transfer-Encoding: chunked\r\n\r\n";
}

std::string EventChunk(int id, const std::string& data) {
  return transport::EncodeChunk("id: " + std::to_string(id) +
                                "\ndata: " + data + "\n\n");
}

}  // namespace wasabiwall::fakes
