#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <utility>
#include <vector>

namespace wasabiwall::transport {

/// One HTTP header.
struct HttpHeader {
  std::string name;
  std::string value;
};

/// One HTTP request with its limits.
struct HttpRequest {
  std::string method = "GET";
  std::string url;
  std::vector<HttpHeader> headers;
  std::string body;
  std::chrono::milliseconds connect_timeout{1000};
  /// Longest time without a byte; zero for no limit.
  std::chrono::seconds idle_timeout{0};
  std::chrono::milliseconds total_timeout{10000};
  std::int64_t max_response_bytes = 16 << 20;
  /// Never use a kept connection: libcurl sends a request a second time, and
  /// tells nobody, when a kept connection turns out to be closed.
  bool send_once = false;
  /// Receives status and content type before the first byte of the body.
  std::function<void(int status, const std::string& content_type)> on_head;
  /// Receives the body as it arrives; the response's body stays empty then.
  std::function<void(std::string_view data)> on_data;
  /// Asked regularly; true ends the request.
  std::function<bool()> cancelled;
};

struct HttpResponse {
  int status = 0;
  std::string content_type;
  std::string body;
};

/// Why a request has no response.
enum class HttpFailure {
  /// The server was never reached.
  kNotConnected,
  /// The connection broke after the request may have been sent.
  kBroken,
  kTimeout,
  kTooLarge,
  kCancelled,
};

/// Sends HTTP requests by libcurl; connections are kept per thread.
class HttpClient {
 public:
  /// Sends a request and waits for its end.
  static tl::expected<HttpResponse, HttpFailure> Send(
      const HttpRequest& request);
};

}  // namespace wasabiwall::transport
