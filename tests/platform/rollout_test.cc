// Roll-outs of gateways with their store, backend servers of two versions and
// callers, on one event loop.
#include <algorithm>
#include <catch2/catch.hpp>
#include <memory>
#include <nlohmann/json.hpp>

#include "fakes/gateway_fixture.h"
#include "platform_call_codec.h"
#include "platform_documents.h"
#include "rollout_documents.h"
#include "rollout_entries.h"
#include "soak/store_emulator.h"
#include "store_follower.h"

namespace wasabiwall::platform {
namespace {

using fakes::ScriptedBackend;
using fakes::TestClient;
using nlohmann::json;
using soak::StoreEmulator;
using std::chrono::milliseconds;

const std::string kStatusKey = "status/rollout/s";
const std::string kRecordKey = "wasabiwall/rollouts/s";
/// Time from an order to its deadline. The shift needs three seconds of it.
constexpr milliseconds kDuration{10000};
/// Time in which a roll-out has ended, also on a machine that is busy.
constexpr milliseconds kLongestWait{15000};
/// Time between two calls: enough that a tenth of them is evidence.
constexpr milliseconds kCallInterval{2};

/// A gateway on an event loop that it shares with others.
class Node {
 public:
  Node(transport::EventLoop* loop, const std::string& name,
       const std::string& store_address, bool is_enabled)
      : context(loop, Options(name, is_enabled), MakeCallCodec()),
        gateway(&context, [] {}),
        store(loop, store_address),
        entries(loop, &store, name,
                RolloutHooksOf(context.rollouts.get(), [] { return 2; })),
        follower(
            &context, &store, DecodeConfig, [this] { gateway.SetLoaded(); },
            nullptr, [this](const StoreItem& item) { entries.OnItem(item); }) {
    if (context.rollouts) {
      context.rollouts->SetWriter([this](const state::RolloutRecord& record) {
        if (!is_frozen) entries.Write(record);
      });
    }
    REQUIRE(gateway.Start());
    follower.Start();
  }

  transport::GatewayContext context;
  transport::Gateway gateway;
  StoreClient store;
  RolloutEntries entries;
  StoreFollower follower;
  /// Whether its decisions are not written any more.
  bool is_frozen = false;

 private:
  static transport::GatewayOptions Options(const std::string& name,
                                           bool is_enabled) {
    transport::GatewayOptions options = fakes::GatewayFixture::DefaultOptions();
    options.name = name;
    options.peer_address = {"127.0.0.1", 0};
    if (is_enabled) options.rollout = rollout::RolloutLimits{0.1, 50};
    return options;
  }
};

/// Two gateways, four backend servers of each version and steady callers.
class World {
 public:
  explicit World(bool is_enabled = true) {
    store.SetWriteListener(
        [this](const std::string& key, const std::string& value, std::int64_t) {
          if (key == kRecordKey) records.push_back(value);
          if (key == kStatusKey)
            phases.push_back(json::parse(value).at("phase"));
        });
    PutConfig();
    for (const std::string version : {"v1", "v2"}) {
      for (int i = 0; i < 4; ++i) AddBackend(version, i);
    }
    for (const std::string name : {"g0", "g1"}) {
      nodes.push_back(
          std::make_unique<Node>(&loop, name, store.Address(), is_enabled));
      store.Put("wasabiwall/gateways/" + name,
                nodes.back()->context.peer_socket.LocalAddress());
    }
    REQUIRE(RunUntil(milliseconds(5000), [this] {
      return std::ranges::all_of(nodes, [](const auto& node) {
        return node->context.registry.IsComplete() &&
               node->context.registry.Size() == 8 &&
               node->context.ProcessCount() == 2;
      });
    }));
    m_caller.StartRepeating(kCallInterval, [this] { Call(); });
  }

  /// Lets the calls end, which use the gateways.
  ~World() {
    m_caller.Stop();
    m_clients.clear();
    RunUntil(milliseconds(5000), [this] {
      return std::ranges::all_of(nodes, [](const auto& node) {
        return node->context.clients.Used() == 0;
      });
    });
  }
  World(const World&) = delete;
  World& operator=(const World&) = delete;

  void Order(const std::string& target) {
    store.Put("op/rollout/s", json{{"service", "s"},
                                   {"target", target},
                                   {"duration_s", kDuration.count() / 1000}}
                                  .dump());
  }

  bool RunUntil(milliseconds limit, const std::function<bool()>& done) {
    const auto end = loop.Now() + limit;
    transport::Timer wake(&loop);
    wake.StartRepeating(milliseconds(1), [] {});
    while (!done() && loop.Now() < end) uv_run(loop.Handle(), UV_RUN_ONCE);
    return done();
  }

  bool RunUntilEnded() {
    return RunUntil(kLongestWait, [this] {
      return !phases.empty() && phases.back() != "running";
    });
  }

  /// @return Calls that reached backend servers of a version.
  std::size_t Received(const std::string& version) const {
    std::size_t count = 0;
    for (const auto& [of, backend] : m_backends) {
      if (of == version) count += backend->Requests().size();
    }
    return count;
  }

  transport::EventLoop loop;
  StoreEmulator store{&loop, 1};
  std::vector<std::unique_ptr<Node>> nodes;
  /// Phases of the status documents that were written.
  std::vector<std::string> phases;
  /// Records that were written, for messages.
  std::vector<std::string> records;
  /// Of 100 calls, those that the new version answers with an error.
  int failing = 0;

 private:
  void PutConfig() {
    json routes = json::array();
    for (const std::string kind : {"safe", "unsafe"}) {
      routes.push_back({{"name", kind},
                        {"host", "h"},
                        {"path_prefix", "/" + kind + "/"},
                        {"type", kind},
                        {"timeout_ms", 3000},
                        {"goal_ms", 1000},
                        {"max_attempts", 2},
                        {"service", "s"}});
    }
    store.Put("op/config",
              json{{"version", 1},
                   {"routes", routes},
                   {"services", {{{"name", "s"}, {"max_conns", 400}}}},
                   {"limits", json::object()}}
                  .dump());
  }

  void AddBackend(const std::string& version, int index) {
    auto backend = std::make_unique<ScriptedBackend>(
        &loop, [this, version](const ScriptedBackend::Received& call) {
          const std::string* id = call.head.headers.Find("X-Attempt-Id");
          const bool fails = version != "v1" && m_answers++ % 100 < failing;
          call.session->Write("HTTP/1.1 " +
                              std::string(fails ? "500 Bad" : "200 OK") +
                              "\r\nX-Attempt-Id: " + (id ? *id : "") +
                              "\r\nContent-Length: 2\r\n\r\nok");
        });
    store.Put("servers/" + version + "-" + std::to_string(index),
              json{{"service", "s"},
                   {"address", backend->Address()},
                   {"zone", "z"},
                   {"version", version},
                   {"phase", "ready"},
                   {"capacity", 50},
                   {"cold_left_ms", 0},
                   {"sequence", 1}}
                  .dump());
    m_backends.emplace_back(version, std::move(backend));
  }

  void Call() {
    while (m_clients.size() > 200) m_clients.pop_front();
    Node& node = *nodes[static_cast<std::size_t>(m_calls) % nodes.size()];
    auto client =
        std::make_unique<TestClient>(&loop, node.gateway.ListenPort());
    const std::string kind = m_calls % 3 == 0 ? "unsafe" : "safe";
    client->Send("GET /" + kind + "/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: c" +
                 std::to_string(m_calls++) +
                 "\r\nX-Deadline-Ms: 3000\r\nConnection: close\r\n\r\n");
    m_clients.push_back(std::move(client));
  }

  std::vector<std::pair<std::string, std::unique_ptr<ScriptedBackend>>>
      m_backends;
  std::deque<std::unique_ptr<TestClient>> m_clients;
  transport::Timer m_caller{&loop};
  int m_calls = 0;
  int m_answers = 0;
};

TEST_CASE("gateways complete the roll-out of a good version") {
  World world;
  world.Order("v2");
  REQUIRE(world.RunUntilEnded());
  INFO(world.records.back());
  CHECK(world.phases.back() == "completed");
  CHECK(std::ranges::count(world.phases, "completed") == 1);
  // All gateways follow, and the old version gets no more calls.
  REQUIRE(world.RunUntil(milliseconds(3000), [&] {
    return std::ranges::none_of(world.nodes, [](const auto& node) {
      return node->context.IsRolloutActive();
    });
  }));
  const std::size_t old_calls = world.Received("v1");
  const std::size_t new_calls = world.Received("v2");
  world.RunUntil(milliseconds(500), [] { return false; });
  CHECK(world.Received("v1") == old_calls);
  CHECK(world.Received("v2") > new_calls);
  const auto record =
      DecodeRolloutRecord("s", world.store.Value(kRecordKey).value_or(""));
  REQUIRE(record);
  CHECK(record->stage == state::RolloutStage::kCompleted);
}

TEST_CASE("gateways roll a bad version back") {
  World world;
  world.failing = GENERATE(20, 100);
  world.Order("v2");
  REQUIRE(world.RunUntilEnded());
  INFO(world.records.back());
  CHECK(world.phases.back() == "rolled_back");
  const std::size_t all = world.Received("v1") + world.Received("v2");
  CHECK(static_cast<double>(world.Received("v2")) <=
        0.1 * static_cast<double>(all) + 50);
  world.RunUntil(milliseconds(200), [] { return false; });
  const std::size_t bad_calls = world.Received("v2");
  world.RunUntil(milliseconds(500), [] { return false; });
  CHECK(world.Received("v2") == bad_calls);
  CHECK(std::ranges::count(world.phases, "completed") == 0);
}

TEST_CASE("a roll-out ends although a decider stops to write midway") {
  World world;
  world.Order("v2");
  REQUIRE(world.RunUntil(milliseconds(3000),
                         [&] { return !world.phases.empty(); }));
  const auto record =
      DecodeRolloutRecord("s", world.store.Value(kRecordKey).value_or(""));
  REQUIRE(record);
  world.nodes[record->writer == "g0" ? 0 : 1]->is_frozen = true;
  REQUIRE(world.RunUntilEnded());
  INFO(world.records.back());
  CHECK(world.phases.back() == "completed");
}

TEST_CASE("a second order ends the first one") {
  World world;
  world.Order("v2");
  REQUIRE(world.RunUntil(milliseconds(3000),
                         [&] { return !world.phases.empty(); }));
  world.Order("v1");
  REQUIRE(world.RunUntil(kLongestWait, [&] {
    const auto record =
        DecodeRolloutRecord("s", world.store.Value(kRecordKey).value_or(""));
    return record && record->target_version == "v1" &&
           world.phases.back() != "running";
  }));
  // The service is still served.
  const std::size_t calls = world.Received("v1");
  world.RunUntil(milliseconds(300), [] { return false; });
  CHECK(world.Received("v1") > calls);
}

TEST_CASE("without bounds an order has no effect") {
  World world(false);
  world.Order("v2");
  world.RunUntil(milliseconds(2000), [] { return false; });
  CHECK(world.phases.empty());
  CHECK_FALSE(world.store.Has(kRecordKey));
  // Both versions go on to serve.
  CHECK(world.Received("v1") > 0);
  CHECK(world.Received("v2") > 0);
}

}  // namespace
}  // namespace wasabiwall::platform
