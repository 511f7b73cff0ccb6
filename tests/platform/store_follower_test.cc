// What a gateway does while it reads news of the store.
#include "store_follower.h"

#include <catch2/catch.hpp>
#include <future>

#include "fakes/gateway_fixture.h"
#include "platform_documents.h"
#include "wasabiwall/transport/base64.h"

namespace wasabiwall::platform {
namespace {

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
  StoreClient client(&fleet.loop, store.Address());
  bool loaded = false;
  StoreFollower follower(&fleet.context, &client, DecodeConfig,
                         [&] { loaded = true; });
  follower.Start();
  REQUIRE(fleet.RunUntil([&] { return loaded; }));
  const auto* known = fleet.context.registry.Find(state::BackendServerId("b"));
  REQUIRE(known != nullptr);
  CHECK(known->cold_time == seconds(3));
}

TEST_CASE("an unreadable configuration leaves the former one in force") {
  GatewayFixture fleet;
  ScriptedBackend store(&fleet.loop, StoreWith(Item("op/config", "{", 3)));
  StoreClient client(&fleet.loop, store.Address());
  bool loaded = false;
  StoreFollower follower(&fleet.context, &client, DecodeConfig,
                         [&] { loaded = true; });
  follower.Start();
  REQUIRE(fleet.RunUntil([&] { return loaded; }));
  CHECK(fleet.context.Config()->version == 1);
}

}  // namespace
}  // namespace wasabiwall::platform
