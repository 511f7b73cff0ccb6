// Backend servers that announce in their responses that they leave.
#include <catch2/catch.hpp>

#include "fakes/gateway_fixture.h"

namespace wasabiwall::fakes {
namespace {

using std::chrono::milliseconds;

constexpr char kLeaving[] = "Leaving: 1\r\n";

/// @return Head of a chunked event stream of a backend server that leaves.
std::string LeavingStreamHead(const std::string& attempt_id) {
  const std::string head = StreamHead(attempt_id);
  return head.substr(0, head.size() - 2) + kLeaving + "\r\n";
}

TEST_CASE("the head of a stream takes a leaving backend server out at once") {
  GatewayFixture fixture;
  std::shared_ptr<ScriptedBackend::Session> stream;
  const auto& leaving =
      fixture.AddBackend("b1", [&](const ScriptedBackend::Received& call) {
        if (stream) {
          call.session->Reset();
          return;
        }
        stream = call.session;
        stream->Write(LeavingStreamHead("a1") + EventChunk(1, "one"));
      });
  TestClient& client = fixture.Call("/talk/x", "a1");
  REQUIRE(fixture.RunUntil([&] { return client.Has("one"); }));
  fixture.AddBackend("b2", [](const ScriptedBackend::Received& call) {
    call.session->Write(StreamHead(*call.head.headers.Find("Attempt")) +
                        EventChunk(1, "other") +
                        std::string(transport::kLastChunk));
  });
  // Without the announcement, about half of these prompts belong to each.
  for (int i = 2; i < 20; ++i) {
    TestClient& later = fixture.Call("/talk/x", "a" + std::to_string(i),
                                     "Part: " + std::to_string(i) + "\r\n");
    fixture.RunUntil([&] { return later.Status() != 0; });
    CHECK(later.Has("other"));
  }
  CHECK(leaving.Requests().size() == 1);
  stream->Write(EventChunk(2, "two") + std::string(transport::kLastChunk));
  REQUIRE(fixture.RunUntil([&] { return client.Has("0\r\n\r\n"); }));
  CHECK(client.Has("two"));
}

TEST_CASE("a call that a leaving backend server refuses is tried elsewhere") {
  GatewayFixture fixture;
  int refusals = 0;
  const auto refuse_once = [&](const ScriptedBackend::Received& call) {
    const std::string& id = *call.head.headers.Find("Attempt");
    call.session->Write(
        ++refusals == 1
            ? PlainAnswer(id, 503, "", kLeaving + std::string("Not-Run: 1\r\n"))
            : PlainAnswer(id, 200, "served"));
  };
  const auto& b1 = fixture.AddBackend("b1", refuse_once);
  const auto& b2 = fixture.AddBackend("b2", refuse_once);
  for (int i = 0; i < 10; ++i) {
    TestClient& client = fixture.Call("/once/x", "a" + std::to_string(i));
    REQUIRE(fixture.RunUntil([&] { return client.Status() != 0; }));
    CHECK(client.Status() == 200);
  }
  CHECK(std::min(b1.Requests().size(), b2.Requests().size()) == 1);
}

TEST_CASE("calls are refused at once when all backend servers leave") {
  GatewayFixture fixture;
  fixture.AddBackend("b", [](const ScriptedBackend::Received& call) {
    call.session->Write(
        PlainAnswer(*call.head.headers.Find("Attempt"), 200, "last", kLeaving));
  });
  TestClient& first = fixture.Call("/once/x", "a1");
  REQUIRE(fixture.RunUntil([&] { return first.Status() != 0; }));
  CHECK(first.Status() == 200);
  const auto start = fixture.loop.Now();
  TestClient& second = fixture.Call("/once/x", "a2");
  REQUIRE(fixture.RunUntil([&] { return second.Status() != 0; }));
  CHECK(second.Status() == 503);
  CHECK(second.Has("Retry-After:"));
  CHECK(fixture.loop.Now() - start < milliseconds(100));
}

TEST_CASE("a new incarnation at the address of one that left gets calls") {
  GatewayFixture fixture;
  fixture.AddBackend("b", [](const ScriptedBackend::Received& call) {
    call.session->Write(PlainAnswer(*call.head.headers.Find("Attempt"), 200,
                                    "answer", kLeaving));
  });
  const auto server =
      fixture.context.registry.Find(state::BackendServerId("b"))->server;
  TestClient& first = fixture.Call("/once/x", "a1");
  REQUIRE(fixture.RunUntil([&] { return first.Status() == 200; }));
  auto restarted = server;
  restarted.incarnation = server.incarnation + 1;
  fixture.context.registry.Put(restarted, fixture.loop.Now(), true);
  TestClient& second = fixture.Call("/once/x", "a2");
  REQUIRE(fixture.RunUntil([&] { return second.Status() != 0; }));
  CHECK(second.Status() == 200);
}

TEST_CASE("the response of a wrong instance does not mark the expected one") {
  GatewayFixture fixture;
  int calls = 0;
  fixture.AddBackend("b", [&](const ScriptedBackend::Received& call) {
    const std::string& id = *call.head.headers.Find("Attempt");
    call.session->Write(
        ++calls == 1
            ? PlainAnswer(id, 421, "",
                          kLeaving + std::string("Wrong-Backend: 1\r\n"))
            : PlainAnswer(id, 200, "served"));
  });
  TestClient& first = fixture.Call("/once/x", "a1");
  REQUIRE(fixture.RunUntil([&] { return first.Status() != 0; }));
  CHECK(fixture.context.registry.LeavingCount() == 0);
}

}  // namespace
}  // namespace wasabiwall::fakes
