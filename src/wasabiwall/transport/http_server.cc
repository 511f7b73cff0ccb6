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
#include "wasabiwall/transport/worker_pool.h"

namespace wasabiwall::transport {
namespace {

namespace http = Pistache::Http;

constexpr std::size_t kQueuePerWorker = 4;
/// Past this multiple of the body's limit Pistache itself cuts a request off.
constexpr std::size_t kBufferPerBody = 4;
constexpr std::int64_t kMaxUnsentBytes = 4 << 20;
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

/// Answers through a Pistache response writer.
class PistacheResponse : public ServerResponse {
 public:
  /// @param close Whether the caller asked for the connection to be closed.
  PistacheResponse(http::ResponseWriter writer, bool close)
      : m_writer(std::move(writer)), m_close(close) {}

  bool Send(int status, const std::string& content_type,
            const std::string& body,
            std::chrono::milliseconds retry_after) override {
    std::string head = Head(status, content_type);
    if (retry_after.count() > 0) {
      const auto seconds = std::chrono::ceil<std::chrono::seconds>(retry_after);
      head += "Retry-After: " + std::to_string(seconds.count()) + "\r\n";
    }
    head += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    return Queue(head + body) && Finish();
  }

  bool Begin(int status, const std::string& content_type) override {
    return Queue(Head(status, content_type) +
                 "Transfer-Encoding: chunked\r\n\r\n");
  }

  bool Write(std::string_view data) override {
    if (data.empty()) return true;
    std::ostringstream chunk;
    chunk << std::hex << data.size() << "\r\n" << data << "\r\n";
    return Queue(chunk.str());
  }

  bool End() override { return Queue("0\r\n\r\n") && Finish(); }

 private:
  /// Status line and the headers that every answer has. Pistache 0.0.5 leaves
  /// raw headers out of its own answers and closes connections that HTTP/1.1
  /// keeps open.
  std::string Head(int status, const std::string& content_type) const {
    return "HTTP/1.1 " + std::to_string(status) + " " +
           http::codeString(static_cast<http::Code>(status)) +
           "\r\nContent-Type: " + content_type +
           (m_close ? "\r\nConnection: close\r\n" : "\r\n");
  }

  /// Lets the connection's idle time start.
  bool Finish() {
    const std::shared_ptr<Pistache::Tcp::Peer> peer = m_writer.getPeer();
    if (peer) peer->setIdle(true);
    return peer != nullptr;
  }

  /// Hands bytes to the connection's own thread. Pistache's ResponseStream
  /// flushes from the calling thread, which races with that thread and ends
  /// the process; a queued write does not.
  bool Queue(const std::string& bytes) {
    const std::shared_ptr<Pistache::Tcp::Peer> peer = m_writer.getPeer();
    if (!peer) return false;
    const auto length = static_cast<std::int64_t>(bytes.size());
    const bool too_slow =
        *m_unsent_bytes > 0 && *m_unsent_bytes + length > kMaxUnsentBytes;
    if (too_slow) return false;
    *m_unsent_bytes += length;
    const auto unsent = m_unsent_bytes;
    peer->send(Pistache::RawBuffer(bytes, bytes.size()))
        .then([unsent, length](ssize_t) { *unsent -= length; },
              [](const std::exception_ptr&) {});
    return true;
  }

  http::ResponseWriter m_writer;
  bool m_close;
  /// Shared with writes that outlive this object.
  std::shared_ptr<std::atomic<std::int64_t>> m_unsent_bytes =
      std::make_shared<std::atomic<std::int64_t>>(0);
};

void SendError(ServerResponse* response, protocol::ErrorKind kind) {
  const protocol::Error error{kind, "", {}};
  response->Send(protocol::RowOf(kind).http_status, "application/json",
                 protocol::ErrorBody(error), error.RetryAfter());
}

/// Passes requests to the workers.
class Handler : public http::Handler {
 public:
  HTTP_PROTOTYPE(Handler)

  Handler(ServerHandler handler, std::shared_ptr<WorkerPool> workers,
          std::size_t max_body_bytes)
      : m_handler(std::move(handler)),
        m_workers(std::move(workers)),
        m_max_body_bytes(max_body_bytes) {}

  void onRequest(const http::Request& request,
                 http::ResponseWriter writer) override {
    const auto connection =
        request.headers().tryGet<http::Header::Connection>();
    const bool close =
        connection && connection->control() == http::ConnectionControl::Close;
    auto response =
        std::make_shared<PistacheResponse>(std::move(writer), close);
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

  void onTimeout(const http::Request& /*request*/,
                 http::ResponseWriter writer) override {
    PistacheResponse response(std::move(writer), true);
    SendError(&response, protocol::ErrorKind::kSlowRequest);
  }

 private:
  static void Handle(const ServerHandler& handler, const ServerRequest& request,
                     const std::shared_ptr<PistacheResponse>& response) {
    try {
      handler(request, response);
    } catch (const std::exception&) {
      SendError(response.get(), protocol::ErrorKind::kInternal);
    }
  }

  ServerHandler m_handler;
  std::shared_ptr<WorkerPool> m_workers;
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
        m_handler(std::make_shared<Handler>(std::move(handler), m_workers,
                                            m_options.max_body_bytes)) {}

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
              .headerTimeout(m_options.header_timeout)
              .bodyTimeout(m_options.body_timeout));
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
    m_endpoint->shutdown();
    m_endpoint.reset();
  }

  int InProgress() const { return m_workers->InProgress(); }

 private:
  HttpServerOptions m_options;
  std::shared_ptr<WorkerPool> m_workers;
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
