#include "wasabiwall/transport/http_server.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <thread>

#include "fakes/test_port.h"
#include "wasabiwall/transport/http_client.h"

namespace wasabiwall::transport {
namespace {

const std::uint16_t kHeadersPort = fakes::TestPort(0);
const std::uint16_t kBadInputPort = fakes::TestPort(1);
const std::uint16_t kKeptPort = fakes::TestPort(2);
constexpr std::size_t kMaxBody = 4096;

/// A server that echoes bodies, streams at /stream and never answers /hang.
class EchoServer {
 public:
  explicit EchoServer(std::uint16_t port)
      : m_server({.address = "127.0.0.1:" + std::to_string(port),
                  .worker_threads = 4,
                  .max_body_bytes = kMaxBody,
                  .header_timeout = std::chrono::milliseconds(200),
                  .body_timeout = std::chrono::milliseconds(200)},
                 [this](const auto& request, const auto& response) {
                   if (request.path == "/hang") m_hanging = response;
                   if (request.path == "/hang") return;
                   if (request.path != "/stream") {
                     response->Send(503, "text/plain", request.body,
                                    std::chrono::milliseconds(1500));
                     return;
                   }
                   response->Begin(200, "text/event-stream");
                   for (int i = 0; i < 100; ++i) response->Write("part ");
                   response->End();
                 }) {
    REQUIRE(m_server.Start());
  }

 private:
  std::shared_ptr<ServerResponse> m_hanging;
  HttpServer m_server;
};

/// Sends raw bytes and reads until `until` arrives or the server closes.
/// @param closes Whether to close the sending direction after the bytes.
std::string Exchange(std::uint16_t port, const std::string& bytes,
                     const std::string& until = "\r\n\r\n",
                     bool closes = false) {
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
  REQUIRE(connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) ==
          0);
  send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
  if (closes) shutdown(fd, SHUT_WR);
  std::string answer;
  char buffer[4096];
  ssize_t length = 1;
  while (length > 0 && answer.find(until) == std::string::npos) {
    length = recv(fd, buffer, sizeof(buffer), 0);
    if (length > 0) answer.append(buffer, static_cast<std::size_t>(length));
  }
  close(fd);
  return answer;
}

HttpRequest Post(std::uint16_t port, const std::string& path,
                 const std::string& body) {
  HttpRequest request;
  request.method = "POST";
  request.url = "http://127.0.0.1:" + std::to_string(port) + path;
  request.body = body;
  return request;
}

}  // namespace

TEST_CASE("answers carry their headers and streams arrive whole",
          "[http_server]") {
  const EchoServer server(kHeadersPort);
  const auto echo = HttpClient::Send(Post(kHeadersPort, "/", "hello"));
  REQUIRE(echo);
  CHECK(echo->status == 503);
  CHECK(echo->content_type == "text/plain");
  CHECK(echo->body == "hello");
  const auto stream = HttpClient::Send(Post(kHeadersPort, "/stream", ""));
  REQUIRE(stream);
  CHECK(stream->content_type == "text/event-stream");
  CHECK(stream->body.size() == 500);
  const std::string raw = Exchange(
      kHeadersPort, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n");
  CHECK(raw.find("Retry-After: 2\r\n") != std::string::npos);
  CHECK(raw.find("Connection: close") == std::string::npos);
}

TEST_CASE("bad input is refused and the server goes on", "[http_server]") {
  const EchoServer server(kBadInputPort);
  struct Case {
    const char* name;
    std::string bytes;
    std::string status;
  };
  const std::string post = "POST / HTTP/1.1\r\nHost: a\r\n";
  const Case cases[] = {
      {"body over the limit",
       post + "Content-Length: 5000\r\n\r\n" + std::string(5000, 'a'), "413"},
      {"body far over the limit",
       post + "Content-Length: 90000\r\n\r\n" + std::string(90000, 'a'), "413"},
      {"header flood", post + "X: " + std::string(90000, 'a'), "413"},
      {"slow header", post, "408"},
      {"slow body", post + "Content-Length: 10\r\n\r\nabc", "408"},
      {"unknown method", "BREW / HTTP/1.1\r\nHost: a\r\n\r\n", "400"},
  };
  for (const Case& bad : cases) {
    INFO(bad.name);
    CHECK(Exchange(kBadInputPort, bad.bytes).substr(9, 3) == bad.status);
    const auto good = HttpClient::Send(Post(kBadInputPort, "/", "still here"));
    REQUIRE(good);
    CHECK(good->body == "still here");
  }
}

TEST_CASE("a request that closes before its end is not handled",
          "[http_server]") {
  const std::uint16_t port = fakes::TestPort(15);
  std::atomic<int> handled = 0;
  HttpServer server({.address = fakes::TestAddress(15)},
                    [&](const auto&, const auto& response) {
                      ++handled;
                      response->Send(200, "text/plain", "", {});
                    });
  REQUIRE(server.Start());
  struct Row {
    std::string whole;
    /// Bytes after which nothing of the body can be missing.
    std::size_t enough;
  };
  const std::string head = "POST / HTTP/1.1\r\nHost: a\r\n";
  const std::string by_length = head + "Content-Length: 5\r\n\r\nabcde";
  const std::string to_last_chunk =
      head + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n";
  for (const Row& row : {Row{by_length, by_length.size()},
                         Row{to_last_chunk + "\r\n", to_last_chunk.size()}}) {
    for (std::size_t cut = 1; cut < row.enough; ++cut) {
      CAPTURE(row.whole, cut);
      Exchange(port, row.whole.substr(0, cut), "\r\n\r\n", true);
      CHECK(handled == 0);
    }
    Exchange(port, row.whole);
    CHECK(handled.exchange(0) == 1);
  }
}

TEST_CASE("an answer may take longer than a request", "[http_server]") {
  HttpServer server(
      {.address = fakes::TestAddress(3),
       .header_timeout = std::chrono::milliseconds(50),
       .body_timeout = std::chrono::milliseconds(50)},
      [](const auto&, const auto& response) {
        response->Begin(200, "text/plain");
        for (int i = 0; i < 6; ++i) {
          std::this_thread::sleep_for(std::chrono::milliseconds(60));
          response->Write("x");
        }
        response->End();
      });
  REQUIRE(server.Start());
  const auto answer = HttpClient::Send(Post(fakes::TestPort(3), "/", ""));
  REQUIRE(answer);
  CHECK(answer->body == "xxxxxx");
}

TEST_CASE("answers to requests sent at once do not cross", "[http_server]") {
  HttpServer server({.address = fakes::TestAddress(7), .worker_threads = 4},
                    [](const auto& request, const auto& response) {
                      response->Begin(200, "text/plain");
                      for (int i = 0; i < 50; ++i) {
                        response->Write(request.path);
                      }
                      response->End();
                    });
  REQUIRE(server.Start());
  const std::string raw = Exchange(fakes::TestPort(7),
                                   "GET /first HTTP/1.1\r\nHost: a\r\n\r\n"
                                   "GET /second HTTP/1.1\r\nHost: a\r\n\r\n",
                                   "0\r\n\r\n");
  CHECK(raw.find("/first") != std::string::npos);
  CHECK(raw.find("/second") == std::string::npos);
}

TEST_CASE("a timeout on a kept connection is not taken for no connection",
          "[http_client]") {
  const EchoServer server(kKeptPort);
  REQUIRE(HttpClient::Send(Post(kKeptPort, "/", "opens the connection")));
  HttpRequest hanging = Post(kKeptPort, "/hang", "may have been run");
  hanging.total_timeout = std::chrono::milliseconds(100);
  const auto result = HttpClient::Send(hanging);
  REQUIRE_FALSE(result);
  CHECK(result.error() == HttpFailure::kTimeout);
}

}  // namespace wasabiwall::transport
