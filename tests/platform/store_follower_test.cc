// What a gateway does while it reads news of the store.
#include "store_follower.h"

#include <catch2/catch.hpp>
#include <future>

#include "fakes/followed_store.h"
#include "fakes/gateway_fixture.h"
#include "platform_documents.h"
#include "wasabiwall/transport/base64.h"

namespace wasabiwall::platform {
namespace {

using fakes::FollowedStore;
using fakes::GatewayFixture;
using fakes::ScriptedBackend;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char* kConfig =
    R"({"version":9,"routes":[],"services":[],"limits":{}})";

std::string Item(const std::string& key, const std::string& value,
                 int revision) {
  return R"({"key":")" + key + R"(","value":")" +
         transport::EncodeBase64(value) + R"(","revision":)" +
         std::to_string(revision) + "}";
}

/// Answers the first read with the items and leaves watches waiting.
ScriptedBackend::Script StoreWith(const std::string& items) {
  return [items](const ScriptedBackend::Received& call) {
    if (call.head.target.find("range") == std::string::npos) return;
    const std::string body = R"({"items":[)" + items + R"(],"at":5})";
    call.session->Write(fakes::PlainAnswer("", 200, body));
  };
}

TEST_CASE("calls go on while a configuration is decoded") {
  GatewayFixture fleet;
  ScriptedBackend store(&fleet.loop, StoreWith(Item("op/config", kConfig, 3)));
  StoreClient client(&fleet.loop, store.Address());
  std::promise<void> answered;
  bool went_on = false;
  bool loaded = false;
  StoreFollower follower(
      &fleet.context, &client,
      [&](const std::string& text) {
        constexpr seconds patience{3};
        went_on = answered.get_future().wait_for(patience) ==
                  std::future_status::ready;
        return DecodeConfig(text);
      },
      [&] { loaded = true; });
  follower.Start();
  // Stands for a call that is answered meanwhile.
  transport::Timer call(&fleet.loop);
  call.Start(milliseconds(20), [&] { answered.set_value(); });
  REQUIRE(fleet.RunUntil([&] { return loaded; }));
  CHECK(went_on);
  CHECK(fleet.context.Config()->version == 9);
}

TEST_CASE("a configuration is in force before the backend servers are read") {
  GatewayFixture fleet;
  const std::string config =
      R"({"version":9,"routes":[],"services":[)"
      R"({"name":"s","cold_start_s":3.0,"cold_per_s":20.0}],"limits":{}})";
  const std::string server =
      R"({"service":"s","address":"10.0.0.1:80","zone":"z","version":"1",)"
      R"("capacity":4,"phase":"ready","cold_left_ms":0,"sequence":1})";
  ScriptedBackend store(&fleet.loop,
                        StoreWith(Item("servers/b", server, 2) + "," +
                                  Item("op/config", config, 3)));
  const FollowedStore followed(&fleet, store.Address());
  REQUIRE(followed.RunUntilLoaded());
  auto& registry = fleet.context.registry;
  const auto* known = registry.Find(state::BackendServerId("b"));
  REQUIRE(known != nullptr);
  const auto now = fleet.loop.Now();
  registry.SetEvacuated(state::FailureDomainId("z"), true, now);
  registry.SetEvacuated(state::FailureDomainId("z"), false, now);
  CHECK(registry.ColdUntil(*known) == now + seconds(3));
}

TEST_CASE("an unreadable configuration leaves the former one in force") {
  GatewayFixture fleet;
  ScriptedBackend store(&fleet.loop, StoreWith(Item("op/config", "{", 3)));
  const FollowedStore followed(&fleet, store.Address());
  REQUIRE(followed.RunUntilLoaded());
  CHECK(fleet.context.Config()->version == 1);
}

TEST_CASE("a gateway that starts reads the requests that are quarantined") {
  GatewayFixture fleet;
  ScriptedBackend store(
      &fleet.loop, StoreWith(Item("wasabiwall/quarantine/request", "g1", 3)));
  std::vector<std::string> keys;
  const FollowedStore followed(
      &fleet, store.Address(),
      [&](const StoreItem& item) { keys.push_back(item.key); });
  REQUIRE(followed.RunUntilLoaded());
  CHECK(keys == std::vector<std::string>{"wasabiwall/quarantine/request"});
}

/// A store behind a small link.
class SlowStore {
 public:
  using Reply = std::function<std::string(const std::string& target)>;

  /// @param reply Body of the answer to a call; empty to leave it waiting.
  /// @param bytes_per_step Bytes that pass in 10 ms; the default is 10 Mbit/s.
  SlowStore(transport::EventLoop* loop, Reply reply,
            std::size_t bytes_per_step = 12500)
      : m_reply(std::move(reply)),
        m_bytes_per_step(bytes_per_step),
        m_timer(loop),
        m_server(loop, [this](const ScriptedBackend::Received& call) {
          const std::string body = m_reply(call.head.target);
          if (body.empty()) return;
          m_answers.push_back(
              {call.session, fakes::PlainAnswer("", 200, body)});
        }) {
    m_timer.StartRepeating(kStep, [this] { WriteNext(); });
  }

  std::string Address() const { return m_server.Address(); }

  /// @return Bytes written so far.
  std::size_t Written() const { return m_written; }

 private:
  static constexpr milliseconds kStep{10};

  struct Answer {
    std::shared_ptr<ScriptedBackend::Session> session;
    std::string rest;
  };

  void WriteNext() {
    std::erase_if(m_answers, [](const Answer& answer) {
      return answer.rest.empty() || answer.session->Ended();
    });
    if (m_answers.empty()) return;
    Answer& answer = m_answers.front();
    const std::string bytes = answer.rest.substr(0, m_bytes_per_step);
    answer.rest.erase(0, bytes.size());
    answer.session->Write(bytes);
    m_written += bytes.size();
  }

  Reply m_reply;
  std::size_t m_bytes_per_step;
  std::vector<Answer> m_answers;
  std::size_t m_written = 0;
  transport::Timer m_timer;
  ScriptedBackend m_server;
};

/// @return A configuration of a size that many routes give it.
std::string LargeConfig(int version, std::size_t bytes) {
  return R"({"version":)" + std::to_string(version) +
         R"(,"routes":[],"services":[],"limits":{},"note":")" +
         std::string(bytes, 'x') + R"("})";
}

TEST_CASE(
    "the newest of many large configurations is not late for the others") {
  constexpr int newest = 40;
  constexpr std::size_t config_bytes = 200000;
  GatewayFixture fleet;
  std::string backlog;
  for (int version = 2; version <= newest; ++version) {
    if (!backlog.empty()) backlog += ",";
    backlog += Item("op/config", LargeConfig(version, config_bytes), version);
  }
  bool was_read = false;
  SlowStore store(&fleet.loop, [&](const std::string& target) -> std::string {
    if (target.find("range") != std::string::npos) {
      const int version = std::exchange(was_read, true) ? newest : 1;
      return R"({"items":[)" +
             Item("op/config", LargeConfig(version, config_bytes), version) +
             R"(],"at":)" + std::to_string(version) + "}";
    }
    if (target.find("after=1&") == std::string::npos) return "";
    return R"({"events":[)" + backlog + R"(],"at":)" + std::to_string(newest) +
           "}";
  });
  StoreClient client(&fleet.loop, store.Address());
  StoreFollower follower(&fleet.context, &client, DecodeConfig, [] {});
  follower.Start();
  REQUIRE(fleet.RunUntil(
      [&] { return fleet.context.Config()->version == newest; }));
  // Two full reads, and what was under way when the watch was ended.
  CHECK(store.Written() < 4 * config_bytes * 4 / 3);
}

TEST_CASE("a first read that takes longer than a call's timeout succeeds") {
  constexpr std::size_t config_bytes = 300'000;
  constexpr std::size_t bytes_per_step = 2500;
  GatewayFixture fleet;
  SlowStore store(
      &fleet.loop,
      [&](const std::string& target) -> std::string {
        if (target.find("range") == std::string::npos) return "";
        return R"({"items":[)" +
               Item("op/config", LargeConfig(9, config_bytes), 9) +
               R"(],"at":9})";
      },
      bytes_per_step);
  const FollowedStore followed(&fleet, store.Address());
  REQUIRE(followed.RunUntilLoaded());
  CHECK(fleet.context.Config()->version == 9);
}

}  // namespace
}  // namespace wasabiwall::platform
