#include "wasabiwall/transport/call_driver.h"

#include <catch2/catch.hpp>

#include "fakes/pool_fixture.h"
#include "fakes/test_port.h"
#include "wasabiwall/state/digest.h"
#include "wasabiwall/transport/peer_server.h"

namespace wasabiwall::transport {
namespace {

namespace gen = protocol::gen;

constexpr std::chrono::milliseconds kTimeout{5000};
constexpr int kPort = 11;

/// Records what a caller receives.
class RecordedResponse : public ServerResponse {
 public:
  bool Send(int status, const std::string&, const std::string& body,
            std::chrono::milliseconds) override {
    m_status = status;
    m_body = body;
    return true;
  }
  bool Begin(int status, const std::string&) override {
    m_status = status;
    return true;
  }
  bool Write(std::string_view data) override {
    m_body.append(data);
    return true;
  }
  bool End() override { return true; }

  int Status() const { return m_status; }
  const std::string& Body() const { return m_body; }

 private:
  int m_status = 0;
  std::string m_body;
};

/// A side process that answers the pulls of one streamed call with given parts.
/// After the last one, the backend server crashes or the answer is complete.
class ScriptedSide {
 public:
  ScriptedSide(std::string content_type, std::vector<std::string> parts,
               bool crashes)
      : m_content_type(std::move(content_type)),
        m_parts(std::move(parts)),
        m_crashes(crashes),
        m_server(fakes::TestAddress(kPort), "", MakeHandlers()) {
    REQUIRE(m_server.Start());
  }

 private:
  PeerHandlers MakeHandlers() {
    PeerHandlers handlers;
    handlers.submit = [](const auto&) {
      gen::SubmitReply reply;
      reply.admitted = true;
      return reply;
    };
    handlers.pull = [this](const gen::PullRequest& request) {
      gen::PullReply reply;
      reply.attempt_id = request.attempt_id;
      reply.offset = request.offset;
      reply.content_type = m_content_type;
      reply.http_status = 200;
      if (m_next < m_parts.size()) {
        reply.data = m_parts[m_next++];
        m_digest.Add(reply.data);
        m_bytes += static_cast<std::int64_t>(reply.data.size());
        return reply;
      }
      reply.ended = true;
      reply.error_kind = m_crashes ? "backend_server_crashed" : "";
      reply.total_bytes = m_bytes;
      reply.digest = m_digest.Finish();
      return reply;
    };
    handlers.tombstone = [](const auto&) { return gen::TombstoneReply(); };
    handlers.items_since = [](const auto&) { return gen::ItemsReply(); };
    handlers.status = [](const auto&) { return gen::StatusReply(); };
    handlers.on_envelope = [](const auto&) {};
    handlers.make_envelope = [](const auto&, bool) { return gen::Envelope(); };
    return handlers;
  }

  std::string m_content_type;
  std::vector<std::string> m_parts;
  bool m_crashes;
  std::size_t m_next = 0;
  std::int64_t m_bytes = 0;
  state::Sha256Hasher m_digest;
  PeerServer m_server;
};

/// @return What the caller of one streamed call receives.
RecordedResponse ResponseTo(const std::string& content_type,
                            const std::vector<std::string>& parts,
                            bool crashes) {
  const ScriptedSide side(content_type, parts, crashes);
  state::ConfigStore config;
  auto items = fakes::PoolItems({.members = 0});
  items.push_back(fakes::Domain(0, 1, true));
  items.push_back(fakes::Item(state::ItemKind::kBackendServer, "0", 1,
                              {{"pool", "p"},
                               {"failure_domain", "0"},
                               {"side", fakes::TestAddress(kPort)}}));
  config.Apply(items);
  coordination::EntryNode entry(
      &config, kTimeout,
      {.clock = coordination::SteadyClock(), .random = [] { return 4U; }});
  PeerClient peers(kTimeout, kTimeout);
  CallDriver driver(
      &entry, &config, &peers,
      {.make_envelope = [](const auto&) { return gen::Envelope(); },
       .on_envelope = [](const auto&) {},
       .on_part_gap = [](const auto&, auto) {}});
  coordination::PlannedCall call;
  call.spec.deadline = coordination::SteadyClock()() + kTimeout;
  call.order = {state::BackendServerId("0")};
  call.request = fakes::Call("", 1);
  call.streaming = true;
  RecordedResponse response;
  driver.Drive(call, &response);
  return response;
}

TEST_CASE("an event inside which a streamed answer breaks off is not forwarded",
          "[driver]") {
  const RecordedResponse response =
      ResponseTo("text/event-stream",
                 {"data: one\n\nda", "ta: two\n", "\ndata: thr"}, true);
  CHECK(response.Status() == 200);
  CHECK(response.Body().starts_with(
      "data: one\n\ndata: two\n\nevent: error\ndata: "));
  CHECK(response.Body().find("thr") == std::string::npos);
}

TEST_CASE("a complete streamed answer is forwarded whole", "[driver]") {
  const RecordedResponse response =
      ResponseTo("text/event-stream",
                 {"data: one\n\nda", "ta: [DONE]\n", "\n: bye"}, false);
  CHECK(response.Status() == 200);
  CHECK(response.Body() == "data: one\n\ndata: [DONE]\n\n: bye");
}

TEST_CASE("a JSON answer to a streamed call that breaks off is an error",
          "[driver]") {
  const std::vector<std::string> parts = {R"({"text":)", R"("one"})"};
  CHECK(ResponseTo("application/json", parts, true).Status() == 502);
  const RecordedResponse whole = ResponseTo("application/json", parts, false);
  CHECK(whole.Status() == 200);
  CHECK(whole.Body() == R"({"text":"one"})");
}

}  // namespace
}  // namespace wasabiwall::transport
