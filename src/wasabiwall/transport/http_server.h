#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace wasabiwall::transport {

/// A request as received over HTTP.
struct ServerRequest {
  std::string method;
  std::string path;
  /// Query string with its `?`, empty when there is none.
  std::string query;
  std::string body;
  std::string authorization;
  std::string chat_id;
  std::string idempotency_key;
  std::string attempt_id;
};

/// Answer of one request: either one Send, or Begin, any number of Write and
/// one End. False means that the caller is gone.
class ServerResponse {
 public:
  virtual ~ServerResponse() = default;

  /// Sends a whole answer.
  /// @param retry_after Time to come back; zero leaves the header out.
  virtual bool Send(int status, const std::string& content_type,
                    const std::string& body,
                    std::chrono::milliseconds retry_after) = 0;

  /// Starts a chunked answer.
  virtual bool Begin(int status, const std::string& content_type) = 0;
  virtual bool Write(std::string_view data) = 0;
  virtual bool End() = 0;
};

/// Options of an HTTP server.
struct HttpServerOptions {
  /// `ip:port` to listen on.
  std::string address;
  int http_threads = 2;
  /// Threads that handle requests; more requests wait in a bounded queue.
  int worker_threads = 256;
  std::size_t max_body_bytes = 1 << 20;
  std::chrono::milliseconds header_timeout{5000};
  std::chrono::milliseconds body_timeout{10000};
};

using ServerHandler =
    std::function<void(const ServerRequest& request,
                       const std::shared_ptr<ServerResponse>& response)>;

/// Serves HTTP by Pistache and handles each request on a worker thread.
class HttpServer {
 public:
  HttpServer(HttpServerOptions options, ServerHandler handler);
  ~HttpServer();

  /// Starts serving.
  /// @return False when the address cannot be listened on.
  bool Start();

  /// Waits until handled requests have been answered, at most `timeout`, then
  /// stops.
  void Stop(std::chrono::milliseconds timeout);

  /// @return Requests that are being handled or wait for a worker.
  int InProgress() const;

 private:
  class Endpoint;
  std::unique_ptr<Endpoint> m_endpoint;
};

}  // namespace wasabiwall::transport
