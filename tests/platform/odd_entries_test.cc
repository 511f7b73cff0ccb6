// Entries of other writers among those of the backend servers.
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "fakes/followed_store.h"
#include "fakes/gateway_fixture.h"
#include "platform_documents.h"
#include "soak/store_emulator.h"
#include "wasabiwall/transport/base64.h"

namespace wasabiwall::platform {
namespace {

using fakes::FollowedStore;
using fakes::GatewayFixture;
using fakes::ScriptedBackend;
using fakes::TestClient;
using nlohmann::json;
using soak::StoreEmulator;
using std::chrono::milliseconds;

constexpr int kOk = 200;
constexpr std::size_t kDepth = 20'000;

json Entry(const std::string& address) {
  return {{"service", "s"}, {"address", address}, {"zone", "z"},
          {"version", "1"}, {"capacity", 10},     {"phase", "ready"},
          {"sequence", 1},  {"cold_left_ms", 0},  {"born", 1000}};
}

/// @return The entry with another JSON text for the value of a field.
std::string WithField(const std::string& address, const std::string& field,
                      const std::string& value) {
  json entry = Entry(address);
  entry[field] = "REPLACED";
  std::string text = entry.dump();
  const std::string placeholder = "\"REPLACED\"";
  return text.replace(text.find(placeholder), placeholder.size(), value);
}

std::string Nested(const std::string& opening, const std::string& closing) {
  std::string text;
  for (std::size_t i = 0; i < kDepth; ++i) text += opening;
  for (std::size_t i = 0; i < kDepth; ++i) text += closing;
  return text;
}

/// @return Entries that name no backend server, by what is wrong with them.
std::vector<std::pair<std::string, std::string>> OddEntries(
    const std::string& address) {
  std::vector<std::pair<std::string, std::string>> odd = {
      {"nested-lists", Nested("[", "]")},
      {"nested-open", std::string(kDepth, '[')},
      {"nested-field", WithField(address, "zone", Nested("[", "]"))},
      {"nested-objects", Nested(R"({"a":)", "}")},
      {"empty", ""},
      {"bytes", "\xff\xfe\x00\x01"}};
  const auto add = [&](const std::string& field, const std::string& value) {
    odd.emplace_back(field + "-" + value.substr(0, 8),
                     WithField(address, field, value));
  };
  for (const char* number :
       {"1e400", "1e300", "-1", "99999999999", "18446744073709551615",
        "123456789012345678901234567890", "null", "\"7\"", "[]"}) {
    add("capacity", number);
    add("cold_left_ms", number);
    // A start long ago is odd too, but a time.
    if (number != std::string("99999999999")) add("born", number);
  }
  for (const char* place :
       {"\"127.0.0.1:65536\"", "\"127.0.0.1:99999\"", "\"127.0.0.1:0\"",
        "\"127.0.0.1:-1\"", "\"127.0.0.1:\"", "\"127.0.0.1\"", "\":80\"",
        "\"300.0.0.1:80\"", "\"host:80\"", "\"127.0.0.1\\r\\nX-A: b:80\"", "7",
        "{}"}) {
    add("address", place);
  }
  return odd;
}

TEST_CASE("an odd entry names no backend server and stops nothing") {
  GatewayFixture gateway;
  ScriptedBackend backend(
      &gateway.loop, [](const ScriptedBackend::Received& call) {
        call.session->Write(
            fakes::PlainAnswer(*call.head.headers.Find("Attempt"), kOk, "ok"));
      });
  StoreEmulator store(&gateway.loop, 1);
  const auto odd = OddEntries(backend.Address());
  store.Put("servers/good", Entry(backend.Address()).dump());
  // Half are there at the first read, the others come as changes.
  const auto half = odd.size() / 2;
  for (std::size_t i = 0; i < half; ++i) {
    store.Put("servers/" + odd[i].first, odd[i].second);
  }
  const FollowedStore followed(&gateway, store.Address());
  REQUIRE(followed.RunUntilLoaded());
  for (std::size_t i = half; i < odd.size(); ++i) {
    store.Put("servers/" + odd[i].first, odd[i].second);
  }
  store.Put("servers/line\r\nbreak", Entry(backend.Address()).dump());
  store.Put("servers/", Entry(backend.Address()).dump());
  store.Put("servers/last", Entry(backend.Address()).dump());
  const auto is_known = [&](const std::string& id) {
    return gateway.context.registry.Find(state::BackendServerId(id)) != nullptr;
  };
  REQUIRE(gateway.RunUntil([&] { return is_known("last"); }));
  for (const auto& [name, text] : odd) {
    INFO(name);
    CHECK_FALSE(is_known(name));
  }
  CHECK(gateway.context.registry.Size() == 2);
  const TestClient& client = gateway.Call("/safe/x", "a1");
  REQUIRE(gateway.RunUntil([&] { return client.Status() != 0; }));
  CHECK(client.Status() == kOk);
}

TEST_CASE("an item that cannot be read does not stop those beside it") {
  GatewayFixture gateway;
  const std::string good = json{
      {"key", "servers/good"},
      {"value", transport::EncodeBase64(Entry("127.0.0.1:80").dump())},
      {"revision", 3}}.dump();
  const std::string odd = GENERATE(
      R"({"key":"servers/odd","revision":2,"value":"*"})",
      R"({"key":"servers/odd","revision":2,"value":7})",
      R"({"key":"servers/odd","revision":2})", R"({"key":7,"revision":2})",
      R"({"key":"servers/odd","revision":"new","value":""})", "7", "null",
      "{\"key\":\"servers/\xff\xfe\",\"revision\":2,\"value\":\"e30=\"}");
  INFO(odd);
  ScriptedBackend store(
      &gateway.loop, [&](const ScriptedBackend::Received& call) {
        if (call.head.target.find("kv-range") == std::string::npos) return;
        call.session->Write(fakes::PlainAnswer(
            "", kOk, R"({"items":[)" + odd + "," + good + R"(],"at":5})"));
      });
  const FollowedStore followed(&gateway, store.Address());
  REQUIRE(followed.RunUntilLoaded());
  CHECK(gateway.context.registry.Size() == 1);
}

}  // namespace
}  // namespace wasabiwall::platform
