// Backend servers that end the connection inside the head of a response.
#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "fakes/gateway_fixture.h"

namespace wasabiwall::fakes {
namespace {

constexpr const char* kCall = "a1";

/// How a response is cut.
struct Cut {
  /// Interim responses before it.
  std::string before;
  std::string head;
  std::size_t bytes = 0;
  bool resets = false;
  /// Whether another call was answered on the connection before.
  bool is_later_response = false;
};

std::string HeadOf(int status, const std::string& framing) {
  return "HTTP/1.1 " + std::to_string(status) + " Done\r\nAttempt: " + kCall +
         "\r\n" + framing + "X-Seal: abc\r\n\r\n";
}

/// Sends a call to a backend server that cuts its response.
/// @return Status that the caller got; 0 if none.
int StatusAfter(const Cut& cut, const std::string& path, int* runs) {
  GatewayFixture fleet;
  bool has_cut = false;
  *runs = 0;
  fleet.AddBackend("b", [&](const ScriptedBackend::Received& call) {
    const std::string id = *call.head.headers.Find("Attempt");
    if (id != kCall) {
      call.session->Write(PlainAnswer(id, 200, "first"));
      return;
    }
    ++*runs;
    if (std::exchange(has_cut, true)) {
      call.session->Write(PlainAnswer(id, 200, "served"));
      return;
    }
    call.session->Write(cut.before + cut.head.substr(0, cut.bytes));
    cut.resets ? call.session->Reset() : call.session->Close();
  });
  if (cut.is_later_response) {
    TestClient& first = fleet.Call(path, "a0");
    REQUIRE(fleet.RunUntil([&] { return first.Status() == 200; }));
  }
  TestClient& client = fleet.Call(path, kCall);
  REQUIRE(fleet.RunUntil([&] { return client.Status() != 0; }));
  fleet.RunUntil([&] { return client.Has("\r\n\r\n"); });
  if (client.Status() == 200) CHECK(client.Has("served"));
  return client.Status();
}

TEST_CASE("a response that ends inside its head is never passed on") {
  const std::vector<std::string> heads = {
      HeadOf(200, "Content-Length: 5\r\n"),
      HeadOf(200, "Transfer-Encoding: chunked\r\n"),
      HeadOf(200, ""),
      HeadOf(204, ""),
      HeadOf(304, ""),
  };
  int runs = 0;
  for (const std::string& head : heads) {
    for (std::size_t bytes = 0; bytes < head.size(); ++bytes) {
      INFO(head.substr(0, bytes));
      CHECK(StatusAfter({.head = head, .bytes = bytes}, "/once/x", &runs) ==
            502);
      CHECK(runs == 1);
    }
  }
}

TEST_CASE("such a response is none after interim ones or other responses") {
  const std::string head = HeadOf(200, "Content-Length: 5\r\n");
  int runs = 0;
  for (std::size_t bytes = 0; bytes < head.size(); bytes += 3) {
    for (const std::string before :
         {"", "HTTP/1.1 100 Continue\r\n\r\n",
          "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"}) {
      for (const bool resets : {false, true}) {
        const Cut cut{.before = before,
                      .head = head,
                      .bytes = bytes,
                      .resets = resets,
                      .is_later_response = bytes % 2 == 0};
        INFO(before << head.substr(0, bytes) << resets);
        CHECK(StatusAfter(cut, "/once/x", &runs) == 502);
        CHECK(runs == 1);
        // A call that may run again does.
        CHECK(StatusAfter(cut, "/safe/x", &runs) == 200);
        CHECK(runs == 2);
      }
    }
  }
}

TEST_CASE("a stream whose response ends inside its head is not empty") {
  const std::string head = HeadOf(200, "Content-Type: text/event-stream\r\n");
  int runs = 0;
  for (std::size_t bytes = 0; bytes < head.size(); bytes += 5) {
    INFO(head.substr(0, bytes));
    CHECK(StatusAfter({.head = head, .bytes = bytes}, "/talk/x", &runs) == 502);
    CHECK(runs == 1);
  }
}

}  // namespace
}  // namespace wasabiwall::fakes
