#include <catch2/catch.hpp>
#include <map>
#include <random>

#include "wasabiwall/coordination/entry_node.h"
#include "wasabiwall/coordination/unreported_load.h"
#include "wasabiwall/state/digest.h"

namespace wasabiwall::coordination {

namespace {

using std::chrono::milliseconds;

constexpr std::int64_t kFloorUnits = 4000;
constexpr int kBurst = 100;

state::ConfigItem Item(state::ItemKind kind, const std::string& name,
                       nlohmann::json content) {
  return {kind, name, 1, 1, false, std::move(content)};
}

void Configure(state::ConfigStore* config) {
  std::vector<state::ConfigItem> items = {
      Item(state::ItemKind::kWorkspace, "w",
           {{"token_digest", state::Sha256Hex("t")}}),
      Item(state::ItemKind::kFailureDomain, "a", {{"state", "in"}}),
      Item(state::ItemKind::kPool, "p",
           {{"models", {"m"}}, {"load_floor_units", kFloorUnits}})};
  for (int i = 0; i < 20; ++i) {
    items.push_back(Item(state::ItemKind::kBackendServer, std::to_string(i),
                         {{"pool", "p"}, {"failure_domain", "a"}}));
  }
  config->Apply(items);
}

}  // namespace

TEST_CASE("a burst of one chat spreads before a report comes back",
          "[routing]") {
  state::ConfigStore config;
  Configure(&config);
  TimePoint now{milliseconds(0)};
  EntryNode node(&config, milliseconds(1000),
                 {[&] { return now; }, std::mt19937_64(1)});
  CallerRequest call;
  call.token = "t";
  call.chat_id = "hot";
  call.body =
      R"({"model":"m","max_tokens":300,"messages":[{"role":"user","content":"x"}]})";
  std::map<std::string, std::int64_t> sent;
  const std::string home = node.PlanChat(call)->order.front().value;
  for (int i = 1; i < kBurst; ++i) {
    const auto planned = node.PlanChat(call);
    sent[planned->order.front().value] += planned->request.cost_units;
  }
  // The whole burst fits under the floor of 20 backend servers.
  for (const auto& [server, units] : sent) {
    INFO(server);
    CHECK(units <= kFloorUnits);
  }
  CHECK(sent.size() < 20);

  SECTION("reports of idle backend servers bring the chat back") {
    now += milliseconds(1);
    std::vector<protocol::gen::LoadReport> reports;
    for (const auto& [server, units] : sent) {
      reports.emplace_back().backend_server = server;
    }
    node.ObserveLoads(reports, milliseconds(0));
    CHECK(node.PlanChat(call)->order.front().value == home);
  }
  SECTION("the load reported with a refusal moves the chat on") {
    now += milliseconds(5000);
    CHECK(node.PlanChat(call)->order.front().value == home);
    protocol::gen::LoadReport report;
    report.backend_server = home;
    report.load_units = kFloorUnits;
    node.ObserveLoads({report}, milliseconds(0));
    CHECK(node.PlanChat(call)->order.front().value != home);
  }
}

TEST_CASE("unreported load drops calls when reported or too old", "[routing]") {
  UnreportedLoad load(milliseconds(100));
  const state::BackendServerId server("s");
  const auto at = [](int ms) { return TimePoint(milliseconds(ms)); };
  for (int i = 0; i < 40; ++i) load.Add(server, 1, at(i));
  CHECK(load.Of(server, at(40)) == 40);
  // Entries beyond the sixteenth are merged and count until the last of them.
  load.OnReport(server, at(10));
  CHECK(load.Of(server, at(40)) == 29);
  CHECK(load.Of(server, at(112)) == 27);
  load.OnReport(server, at(40));
  CHECK(load.Of(server, at(40)) == 0);
  CHECK(load.Of(state::BackendServerId("other"), at(0)) == 0);
}

}  // namespace wasabiwall::coordination
