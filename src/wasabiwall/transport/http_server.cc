#include "wasabiwall/transport/http_server.h"

#include <pistache/endpoint.h>
#include <pistache/http.h>
#include <pistache/peer.h>

#include <algorithm>
#include <atomic>
#include <sstream>
#include <thread>
#include <utility>

#include "wasabiwall/protocol/error_kind.h"
#include "wasabiwall/transport/connection_watch.h"
#include "wasabiwall/transport/server_connection.h"
#include "wasabiwall/transport/worker_pool.h"

namespace wasabiwall::transport {
namespace {

namespace http = Pistache::Http;

constexpr std::size_t kQueuePerWorker = 4;
/// Past this multiple of the body's limit Pistache itself cuts a request off.
constexpr std::size_t kBufferPerBody = 4;
/// Pistache counts the time of an answer as time of the next request, and
/// would cut long answers; ConnectionWatch does not.
constexpr std::chrono::hours kLibraryTimeout{24};
constexpr char kConnectionData[] = "connection";
constexpr std::chrono::milliseconds kStopPoll{10};

std::string RawHeader(const http::Request& request, const std::string& name) {
  const auto header = request.headers().tryGetRaw(name);
  return header ? header->value() : "";
}

ServerRequest ReadRequest(const http::Request& request) {
  ServerRequest read;
  read.method = http::methodString(request.method());
  read.path = request.resource();
  read.query = request.query().as_str();
  read.body = request.body();
  read.authorization = RawHeader(request, "Authorization");
  read.chat_id = RawHeader(request, "X-Chat-Id");
  read.idempotency_key = RawHeader(request, "Idempotency-Key");
  read.attempt_id = RawHeader(request, "X-Attempt-Id");
  return read;
}

/// Status line and the headers that every answer has. Pistache 0.0.5 leaves raw
/// headers out of its own answers and closes connections that HTTP/1.1 keeps
/// open.
std::string Head(int status, const std::string& content_type, bool close) {
  return "HTTP/1.1 " + std::to_string(status) + " " +
         http::codeString(static_cast<http::Code>(status)) +
         "\r\nContent-Type: " + content_type +
         (close ? "\r\nConnection: close\r\n" : "\r\n");
}

std::string WholeAnswer(int status, const std::string& content_type,
                        const std::string& body,
                        std::chrono::milliseconds retry_after, bool close) {
  std::string answer = Head(status, content_type, close);
  if (retry_after.count() > 0) {
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(retry_after);
    answer += "Retry-After: " + std::to_string(seconds.count()) + "\r\n";
  }
  answer += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
  return answer + body;
}

/// Writes one answer to its connection. Pistache's own writers are not used:
/// ResponseStream::flush races with the connection's thread and ends the
/// process, and queued writes cost a wake-up of that thread for each token.
class ConnectionResponse : public ServerResponse {
 public:
  /// @param close Whether the caller asked for the connection to be closed.
  ConnectionResponse(std::shared_ptr<ServerConnection> connection, bool close)
      : m_connection(std::move(connection)), m_close(close) {}

  ~ConnectionResponse() override {
    // An answer that was not finished must not look whole.
    if (!m_finished) m_connection->Shutdown();
  }

  bool Send(int status, const std::string& content_type,
            const std::string& body,
            std::chrono::milliseconds retry_after) override {
    return Finish(
        WholeAnswer(status, content_type, body, retry_after, m_close));
  }

  bool Begin(int status, const std::string& content_type) override {
    return m_connection->Write(Head(status, content_type, m_close) +
                               "Transfer-Encoding: chunked\r\n\r\n");
  }

  bool Write(std::string_view data) override {
    if (data.empty()) return true;
    std::ostringstream chunk;
    chunk << std::hex << data.size() << "\r\n" << data << "\r\n";
    return m_connection->Write(chunk.str());
  }

  bool End() override { return Finish("0\r\n\r\n"); }

 private:
  bool Finish(const std::string& bytes) {
    m_finished = true;
    // The next request may arrive as soon as the last byte is out.
    m_connection->FinishRequest();
    const bool written = m_connection->Write(bytes);
    if (!written) m_connection->Shutdown();
    return written;
  }

  std::shared_ptr<ServerConnection> m_connection;
  bool m_close;
  bool m_finished = false;
};

std::string ErrorAnswer(protocol::ErrorKind kind) {
  const protocol::Error error{kind, "", {}};
  return WholeAnswer(protocol::RowOf(kind).http_status, "application/json",
                     protocol::ErrorBody(error), error.RetryAfter(), true);
}

void SendError(ServerResponse* response, protocol::ErrorKind kind) {
  const protocol::Error error{kind, "", {}};
  response->Send(protocol::RowOf(kind).http_status, "application/json",
                 protocol::ErrorBody(error), error.RetryAfter());
}

/// What the library keeps for a connection. The connection's own thread uses
/// it; the library may release it on the thread that accepts, and orders the
/// two in code that the thread sanitizer does not see.
class ConnectionHandle {
 public:
  explicit ConnectionHandle(std::shared_ptr<ServerConnection> connection)
      : m_connection(std::move(connection)) {
    m_used.store(true, std::memory_order_release);
  }

  ~ConnectionHandle() {
    // Orders the release after all uses.
    static_cast<void>(m_used.load(std::memory_order_acquire));
  }

  ConnectionHandle(const ConnectionHandle&) = delete;
  ConnectionHandle& operator=(const ConnectionHandle&) = delete;

  std::shared_ptr<ServerConnection> Connection() {
    auto connection = m_connection;
    m_used.store(true, std::memory_order_release);
    return connection;
  }

 private:
  std::shared_ptr<ServerConnection> m_connection;
  std::atomic<bool> m_used = false;
};

/// Passes requests to the workers.
class Handler : public http::Handler {
 public:
  HTTP_PROTOTYPE(Handler)

  Handler(ServerHandler handler, std::shared_ptr<WorkerPool> workers,
          std::shared_ptr<ConnectionWatch> watch, std::size_t max_body_bytes)
      : m_handler(std::move(handler)),
        m_workers(std::move(workers)),
        m_watch(std::move(watch)),
        m_max_body_bytes(max_body_bytes) {}

  void onRequest(const http::Request& request,
                 http::ResponseWriter writer) override {
    const auto peer = writer.getPeer();
    if (!peer) return;
    const std::shared_ptr<ServerConnection> connection =
        static_cast<ConnectionHandle*>(peer->getData(kConnectionData).get())
            ->Connection();
    if (!connection->StartRequest()) {
      // A request sent before the answer to the one before it; answers written
      // at the same time could cross.
      connection->StopReading();
      return;
    }
    const auto control = request.headers().tryGet<http::Header::Connection>();
    const bool close =
        control && control->control() == http::ConnectionControl::Close;
    auto response = std::make_shared<ConnectionResponse>(connection, close);
    if (request.body().size() > m_max_body_bytes) {
      SendError(response.get(), protocol::ErrorKind::kBodyTooLarge);
      return;
    }
    auto task = [handler = m_handler, read = ReadRequest(request), response] {
      Handle(handler, read, response);
    };
    if (m_workers->Run(std::move(task))) return;
    SendError(response.get(), protocol::ErrorKind::kOverloaded);
  }

 private:
  static void Handle(const ServerHandler& handler, const ServerRequest& request,
                     const std::shared_ptr<ConnectionResponse>& response) {
    try {
      handler(request, response);
    } catch (const std::exception&) {
      SendError(response.get(), protocol::ErrorKind::kInternal);
    }
  }

  /// Gives the connection its parser, as the base class does, and its record.
  void onConnection(const std::shared_ptr<Pistache::Tcp::Peer>& peer) override {
    peer->putData(ParserData,
                  std::make_shared<http::RequestParser>(getMaxRequestSize()));
    const auto connection = std::make_shared<ServerConnection>(peer->fd());
    peer->putData(kConnectionData,
                  std::make_shared<ConnectionHandle>(connection));
    m_watch->Add(connection);
  }

  ServerHandler m_handler;
  std::shared_ptr<WorkerPool> m_workers;
  std::shared_ptr<ConnectionWatch> m_watch;
  std::size_t m_max_body_bytes;
};

}  // namespace

/// Pistache endpoint with its workers.
class HttpServer::Endpoint {
 public:
  Endpoint(HttpServerOptions options, ServerHandler handler)
      : m_options(std::move(options)),
        m_workers(std::make_shared<WorkerPool>(
            m_options.worker_threads,
            kQueuePerWorker *
                static_cast<std::size_t>(m_options.worker_threads))),
        m_watch(std::make_shared<ConnectionWatch>(
            m_options.header_timeout + m_options.body_timeout,
            ErrorAnswer(protocol::ErrorKind::kSlowRequest))),
        m_handler(std::make_shared<Handler>(
            std::move(handler), m_workers, m_watch, m_options.max_body_bytes)) {
  }

  bool Start() {
    try {
      m_endpoint = std::make_unique<http::Endpoint>(
          Pistache::Address(m_options.address));
      m_endpoint->init(
          http::Endpoint::options()
              .threads(m_options.http_threads)
              .flags(Pistache::Tcp::Options::ReuseAddr |
                     Pistache::Tcp::Options::NoDelay)
              .maxRequestSize(kBufferPerBody * m_options.max_body_bytes)
              .headerTimeout(kLibraryTimeout)
              .bodyTimeout(kLibraryTimeout)
              .keepaliveTimeout(kLibraryTimeout));
      m_endpoint->setHandler(m_handler);
      m_endpoint->serveThreaded();
    } catch (const std::exception&) {
      return false;
    }
    return true;
  }

  void Stop(std::chrono::milliseconds timeout) {
    if (!m_endpoint) return;
    const auto end = std::chrono::steady_clock::now() + timeout;
    while (m_workers->InProgress() > 0 &&
           std::chrono::steady_clock::now() < end) {
      std::this_thread::sleep_for(kStopPoll);
    }
    m_workers->Stop();
    // Pistache leaves kept connections open.
    m_watch->ShutdownAll();
    m_endpoint->shutdown();
    m_endpoint.reset();
  }

  int InProgress() const { return m_workers->InProgress(); }

 private:
  HttpServerOptions m_options;
  std::shared_ptr<WorkerPool> m_workers;
  std::shared_ptr<ConnectionWatch> m_watch;
  std::shared_ptr<Handler> m_handler;
  std::unique_ptr<http::Endpoint> m_endpoint;
};

HttpServer::HttpServer(HttpServerOptions options, ServerHandler handler)
    : m_endpoint(
          std::make_unique<Endpoint>(std::move(options), std::move(handler))) {}

HttpServer::~HttpServer() { Stop(std::chrono::milliseconds(0)); }

bool HttpServer::Start() { return m_endpoint->Start(); }

void HttpServer::Stop(std::chrono::milliseconds timeout) {
  m_endpoint->Stop(timeout);
}

int HttpServer::InProgress() const { return m_endpoint->InProgress(); }

}  // namespace wasabiwall::transport
