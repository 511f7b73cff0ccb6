// What a connection reports when its peer ends it.
#include "wasabiwall/transport/tcp_connection.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <thread>

namespace wasabiwall::transport {
namespace {

using std::chrono::milliseconds;

TEST_CASE("bytes that arrived before a write failed are reported") {
  // Guards against an early response that is lost, so that its caller gets 502:
  // the failed write ended the connection before the response was read.
  EventLoop peer_loop;
  std::unique_ptr<TcpConnection> peer;
  TcpListener listener(&peer_loop, [&](uv_stream_t* stream) {
    peer = std::make_unique<TcpConnection>(&peer_loop, stream, TcpOptions{},
                                           TcpConnection::Handlers{});
  });
  REQUIRE(listener.Listen({"127.0.0.1", 0}));
  EventLoop loop;
  std::string received;
  std::optional<ConnectionEnd> end;
  bool is_connected = false;
  const Address address{"127.0.0.1",
                        static_cast<std::uint16_t>(listener.Port())};
  TcpConnection connection(
      &loop, address, TcpOptions{},
      {.on_connected = [&] { is_connected = true; },
       .on_data = [&](std::string_view data) { received.append(data); },
       .on_end = [&](ConnectionEnd how) { end = how; },
       .on_drained = nullptr});
  const auto run_until = [&](const auto& done) {
    const auto limit = loop.Now() + std::chrono::seconds(5);
    while (!done() && loop.Now() < limit) {
      uv_run(loop.Handle(), UV_RUN_NOWAIT);
      uv_run(peer_loop.Handle(), UV_RUN_NOWAIT);
    }
    REQUIRE(done());
  };
  run_until([&] { return is_connected && peer; });
  peer->Write("response");
  peer->Reset();
  uv_run(peer_loop.Handle(), UV_RUN_NOWAIT);
  // The loop has not run since, so that the write comes before the read.
  std::this_thread::sleep_for(milliseconds(20));
  connection.Write("more of the request");
  run_until([&] { return end.has_value(); });
  CHECK(received == "response");
  CHECK(*end == ConnectionEnd::kBroken);
}

}  // namespace
}  // namespace wasabiwall::transport
