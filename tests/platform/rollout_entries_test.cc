// Orders, records and status documents of roll-outs in the store.
#include "rollout_entries.h"

#include <catch2/catch.hpp>
#include <memory>
#include <nlohmann/json.hpp>
#include <random>

#include "fakes/gateway_fixture.h"
#include "platform_documents.h"
#include "rollout_documents.h"
#include "soak/store_emulator.h"
#include "store_follower.h"

namespace wasabiwall::platform {
namespace {

using fakes::GatewayFixture;
using soak::StoreEmulator;
using soak::StoreMode;
using state::RolloutRecord;
using state::RolloutStage;
using std::chrono::milliseconds;

const std::string kService = "s";
const std::string kOrderKey = "op/rollout/s";
const std::string kStatusKey = "status/rollout/s";
const std::string kRecordKey = "wasabiwall/rollouts/s";
const std::string kOrderText =
    R"({"service":"s","target":"v2","duration_s":9})";

bool IsTerminal(RolloutStage stage) {
  return stage == RolloutStage::kCompleted ||
         stage == RolloutStage::kRolledBack;
}

/// A gateway's part in roll-outs, up to the store. In place of the controller
/// it keeps what it is told.
class Member {
 public:
  Member(GatewayFixture* fleet, const std::string& store, std::string name,
         std::uint64_t seed = 1, bool is_enabled = true)
      : random(seed),
        client(&fleet->loop, store),
        entries(&fleet->loop, &client, name, MakeHooks(is_enabled)),
        follower(
            &fleet->context, &client, DecodeConfig, [] {}, nullptr,
            [this](const StoreItem& item) { entries.OnItem(item); }),
        m_name(std::move(name)) {
    follower.Start();
  }

  /// @param writer Name of the process that decided; this one if empty.
  void Write(RolloutStage stage, const std::string& writer = "") {
    REQUIRE(order);
    entries.Write({.order = order->id,
                   .service = order->service,
                   .target_version = order->target_version,
                   .stage = stage,
                   .order_age = milliseconds(100),
                   .writer = writer.empty() ? m_name : writer,
                   .reason = "test"});
  }

  bool Knows(RolloutStage stage) const {
    return record && record->stage == stage;
  }

  std::mt19937_64 random;
  std::optional<state::RolloutOrder> order;
  std::optional<RolloutRecord> record;
  int reports = 0;
  int orders = 0;
  int withdrawals = 0;
  StoreClient client;
  RolloutEntries entries;
  StoreFollower follower;

 private:
  RolloutEntries::Hooks MakeHooks(bool is_enabled) {
    RolloutEntries::Hooks hooks;
    hooks.random = [this] { return random(); };
    if (!is_enabled) return hooks;
    hooks.on_order = [this](const state::RolloutOrder& news) {
      ++orders;
      order = news;
    };
    hooks.on_withdrawn = [this](const state::ServiceId&) { ++withdrawals; };
    hooks.on_record = [this](const state::ServiceId&,
                             const std::optional<RolloutRecord>& there) {
      ++reports;
      record = there;
    };
    return hooks;
  }

  std::string m_name;
};

/// Three gateways that have read an order.
class Members {
 public:
  explicit Members(GatewayFixture* gateway, std::uint64_t seed = 1)
      : store(&gateway->loop, seed), fleet(gateway) {
    store.SetWriteListener([this](const std::string& key,
                                  const std::string& value, std::int64_t era) {
      if (key == kStatusKey) statuses.emplace_back(era, value);
    });
    store.Put(kOrderKey, kOrderText);
    for (const std::string name : {"g0", "g1", "g2"}) {
      members.push_back(std::make_unique<Member>(fleet, store.Address(), name,
                                                 seed + members.size()));
    }
  }

  bool HaveOrder() const {
    return std::ranges::all_of(
        members, [](const auto& member) { return member->order.has_value(); });
  }

  bool AllKnow(RolloutStage stage) const {
    return std::ranges::all_of(
        members, [stage](const auto& member) { return member->Knows(stage); });
  }

  bool RunUntilAllKnow(RolloutStage stage) {
    return fleet->RunUntil([&] { return AllKnow(stage); });
  }

  /// @return Phases of the status documents that were written.
  std::vector<std::string> Phases() const {
    std::vector<std::string> phases;
    for (const auto& [era, text] : statuses) {
      phases.push_back(nlohmann::json::parse(text).at("phase"));
    }
    return phases;
  }

  StoreEmulator store;
  GatewayFixture* fleet;
  std::vector<std::unique_ptr<Member>> members;
  /// Status documents that were written, with their era.
  std::vector<std::pair<std::int64_t, std::string>> statuses;
};

TEST_CASE("an order is passed on with the version of its item") {
  GatewayFixture fleet;
  Members all(&fleet);
  REQUIRE(fleet.RunUntil([&] { return all.HaveOrder(); }));
  const Member& member = *all.members[0];
  CHECK(member.order->target_version == "v2");
  CHECK(member.order->duration == std::chrono::seconds(9));
  CHECK(member.order->id.era == 1);
  const auto first = member.order->id;
  // There is no record yet, which the controller must know.
  CHECK(member.reports == 1);
  CHECK_FALSE(member.record);
  all.store.Put(kOrderKey, R"({"service":"s","target":"v3","duration_s":0.5})");
  REQUIRE(fleet.RunUntil([&] { return member.orders == 2; }));
  CHECK(member.order->id > first);
  CHECK(member.order->duration == milliseconds(500));
  all.store.Remove(kOrderKey);
  CHECK(fleet.RunUntil([&] { return member.withdrawals == 1; }));
}

TEST_CASE("an unreadable order changes nothing") {
  GatewayFixture fleet;
  Members all(&fleet);
  REQUIRE(fleet.RunUntil([&] { return all.HaveOrder(); }));
  const Member& member = *all.members[0];
  for (const std::string text :
       {"", "{", "[]", "7", R"({"service":"s","target":"v2"})",
        R"({"service":"other","target":"v2","duration_s":9})",
        R"({"service":"s","target":"","duration_s":9})",
        R"({"service":"s","target":2,"duration_s":9})",
        R"({"service":"s","target":"v2","duration_s":0})",
        R"({"service":"s","target":"v2","duration_s":-1})",
        R"({"service":"s","target":"v2","duration_s":"9"})",
        R"({"service":"s","target":"v2","duration_s":1e300})",
        "{\"service\":\"s\",\"target\":\"v\xff\",\"duration_s\":9}"}) {
    CHECK_FALSE(DecodeRolloutOrder(kService, text, {1, 5}));
    all.store.Put(kOrderKey, text);
  }
  fleet.RunFor(milliseconds(1000));
  CHECK(member.orders == 1);
  CHECK(member.withdrawals == 0);
}

TEST_CASE("an order is ignored while roll-outs are disabled") {
  GatewayFixture fleet;
  StoreEmulator store(&fleet.loop, 1);
  store.Put(kOrderKey, kOrderText);
  Member member(&fleet, store.Address(), "g0", 1, false);
  fleet.RunFor(milliseconds(200));
  CHECK(member.orders == 0);
  CHECK_FALSE(store.Has(kStatusKey));
  CHECK_FALSE(store.Has(kRecordKey));
}

TEST_CASE("a record that was written is read unchanged") {
  const RolloutRecord record{.order = {2, 17},
                             .service = state::ServiceId(kService),
                             .target_version = "v2",
                             .stage = RolloutStage::kRolledBack,
                             .order_age = milliseconds(4321),
                             .writer = "g0",
                             .reason = "50 of 60 \"bad\" \xff answers"};
  const auto read = DecodeRolloutRecord(kService, EncodeRolloutRecord(record));
  REQUIRE(read);
  CHECK(read->order == record.order);
  CHECK(read->target_version == "v2");
  CHECK(read->stage == record.stage);
  CHECK(read->order_age == record.order_age);
  CHECK(read->writer == "g0");
  // A record of another service under this key is not one of this service.
  CHECK_FALSE(DecodeRolloutRecord("t", EncodeRolloutRecord(record)));
  CHECK_FALSE(DecodeRolloutRecord(kService, R"({"service":"s","stage":"x"})"));
}

TEST_CASE("of two gateways that decide only one is obeyed") {
  GatewayFixture fleet;
  Members all(&fleet);
  REQUIRE(fleet.RunUntil([&] { return all.HaveOrder(); }));
  all.members[0]->Write(RolloutStage::kShifting);
  REQUIRE(all.RunUntilAllKnow(RolloutStage::kShifting));
  all.members[1]->Write(RolloutStage::kRolledBack);
  all.members[2]->Write(RolloutStage::kCompleted);
  REQUIRE(fleet.RunUntil([&] {
    return std::ranges::all_of(all.members, [](const auto& member) {
      return member->record && IsTerminal(member->record->stage);
    });
  }));
  CHECK(all.AllKnow(all.members[0]->record->stage));
  CHECK(all.Phases().size() == 2);
  // The one that lost asks again, and no one writes.
  all.members[1]->Write(RolloutStage::kRolledBack);
  all.members[2]->Write(RolloutStage::kCompleted);
  fleet.RunFor(milliseconds(300));
  CHECK(all.Phases().size() == 2);
}

TEST_CASE("a gateway that starts later reads the record before the order") {
  GatewayFixture fleet;
  Members all(&fleet);
  REQUIRE(fleet.RunUntil([&] { return all.HaveOrder(); }));
  all.members[0]->Write(RolloutStage::kRolledBack);
  REQUIRE(all.RunUntilAllKnow(RolloutStage::kRolledBack));
  Member late(&fleet, all.store.Address(), "g3");
  REQUIRE(fleet.RunUntil([&] { return late.order.has_value(); }));
  CHECK(late.Knows(RolloutStage::kRolledBack));
}

TEST_CASE("a rolled-back stage is written once the store takes it") {
  GatewayFixture fleet;
  Members all(&fleet);
  REQUIRE(fleet.RunUntil([&] { return all.HaveOrder(); }));
  const auto mode = GENERATE(StoreMode::kBusy, StoreMode::kReset);
  all.store.SetMode(mode);
  all.members[0]->Write(RolloutStage::kRolledBack);
  fleet.RunFor(milliseconds(300));
  CHECK(all.Phases().empty());
  all.store.SetMode(StoreMode::kUp);
  CHECK(all.RunUntilAllKnow(RolloutStage::kRolledBack));
  CHECK(all.Phases() == std::vector<std::string>{"rolled_back"});
}

TEST_CASE("no other stage is written late") {
  GatewayFixture fleet;
  Members all(&fleet);
  REQUIRE(fleet.RunUntil([&] { return all.HaveOrder(); }));
  Member& member = *all.members[0];
  const int reports = member.reports;
  all.store.SetMode(StoreMode::kBusy);
  member.Write(RolloutStage::kCompleted);
  fleet.RunFor(milliseconds(300));
  all.store.SetMode(StoreMode::kUp);
  // What is there is reported, and the controller may decide anew.
  REQUIRE(fleet.RunUntil([&] { return member.reports > reports; }));
  fleet.RunFor(milliseconds(300));
  CHECK(all.Phases().empty());
  CHECK_FALSE(member.record);
}

TEST_CASE("a write whose answer is lost is not repeated") {
  GatewayFixture fleet;
  Members all(&fleet);
  REQUIRE(fleet.RunUntil([&] { return all.HaveOrder(); }));
  all.store.SetMode(StoreMode::kLosesAnswers);
  const auto stage =
      GENERATE(RolloutStage::kRolledBack, RolloutStage::kCompleted);
  all.members[0]->Write(stage);
  REQUIRE(fleet.RunUntil([&] { return !all.statuses.empty(); }));
  all.store.SetMode(StoreMode::kUp);
  REQUIRE(all.RunUntilAllKnow(stage));
  fleet.RunFor(milliseconds(1500));
  CHECK(all.Phases().size() == 1);
}

TEST_CASE("a write that is carried out late is not written twice") {
  GatewayFixture fleet;
  Members all(&fleet);
  REQUIRE(fleet.RunUntil([&] { return all.HaveOrder(); }));
  all.store.SetWriteDelay(milliseconds(1300));
  all.members[0]->Write(RolloutStage::kRolledBack);
  fleet.RunFor(milliseconds(100));
  all.store.SetWriteDelay(milliseconds(0));
  REQUIRE(all.RunUntilAllKnow(RolloutStage::kRolledBack));
  fleet.RunFor(milliseconds(1500));
  CHECK(all.Phases() == std::vector<std::string>{"rolled_back"});
}

TEST_CASE("a record that a restore has lost is written again") {
  GatewayFixture fleet;
  Members all(&fleet);
  REQUIRE(fleet.RunUntil([&] { return all.HaveOrder(); }));
  all.members[0]->Write(RolloutStage::kShifting);
  REQUIRE(all.RunUntilAllKnow(RolloutStage::kShifting));
  all.store.TakeCopy();
  const auto stage =
      GENERATE(RolloutStage::kRolledBack, RolloutStage::kCompleted);
  // With and without the process that decided.
  all.members[1]->Write(stage, GENERATE("", "gone"));
  REQUIRE(all.RunUntilAllKnow(stage));
  all.store.Restore();
  REQUIRE(fleet.RunUntil([&] { return all.statuses.size() == 3; }));
  CHECK(all.statuses[2].first == 2);
  CHECK(all.statuses[2].second == all.statuses[1].second);
  CHECK(all.AllKnow(stage));
}

/// Gateways that decide at random while the store loses, delays and refuses
/// writes and is restored.
class Fuzz {
 public:
  Fuzz(GatewayFixture* fleet, std::uint64_t seed)
      : m_all(fleet, seed),
        m_random(seed),
        m_store_timer(&fleet->loop),
        m_decision_timer(&fleet->loop) {
    m_all.store.TakeCopy();
    m_store_timer.StartRepeating(milliseconds(150), [this] { ChangeStore(); });
    m_decision_timer.StartRepeating(milliseconds(40), [this] { Decide(); });
  }

  /// Leaves the store in order and the gateways without decisions.
  void Calm() {
    m_store_timer.Stop();
    m_is_calm = true;
    m_all.store.SetWriteDelay(milliseconds(0));
    m_all.store.SetMode(StoreMode::kUp);
  }

  bool IsSettled() const {
    const auto& first = m_all.members.front()->record;
    return first && IsTerminal(first->stage) && m_all.AllKnow(first->stage) &&
           m_all.Phases().back() == (first->stage == RolloutStage::kCompleted
                                         ? "completed"
                                         : "rolled_back");
  }

  /// Within an era a terminal phase never changes and is written once; a later
  /// era writes only what an earlier one had.
  void Check() const {
    std::map<std::int64_t, std::string> terminal;
    for (const auto& [era, text] : m_all.statuses) {
      const std::string phase = nlohmann::json::parse(text).at("phase");
      const bool is_first = terminal.try_emplace(era, "").second;
      INFO("era " << era << " phase " << phase << " first " << is_first);
      if (!terminal[era].empty()) FAIL("written after a terminal phase");
      if (phase == "running") continue;
      for (const auto& [earlier, before] : terminal) {
        if (!before.empty()) CHECK(before == phase);
      }
      terminal[era] = phase;
    }
  }

  const Members& All() const { return m_all; }

 private:
  void ChangeStore() {
    switch (m_random() % 9) {
      case 0:
        m_all.store.SetMode(StoreMode::kBusy);
        break;
      case 1:
        m_all.store.SetMode(StoreMode::kReset);
        break;
      case 2:
        m_all.store.SetMode(StoreMode::kLosesAnswers);
        break;
      case 3:
        m_all.store.SetWriteDelay(milliseconds(300 + m_random() % 1500));
        break;
      case 4:
        m_all.store.TakeCopy();
        break;
      case 5:
        if (m_restores++ < 2) m_all.store.Restore();
        break;
      default:
        m_all.store.SetWriteDelay(milliseconds(0));
        m_all.store.SetMode(StoreMode::kUp);
        break;
    }
  }

  /// Like the controller, a gateway that knows a terminal stage asks for no
  /// other, and the gateways agree in what they decide: each seed has its own
  /// verdict, as the collectors have the same evidence.
  void Decide() {
    Member& member = *m_all.members[m_random() % m_all.members.size()];
    if (!member.order) return;
    const bool is_over = member.record && IsTerminal(member.record->stage);
    if (is_over && !m_is_calm) return;
    if (!m_is_calm && m_random() % 8 != 0) return;
    const bool is_early = !m_is_calm && !member.record;
    member.Write(is_early   ? RolloutStage::kShifting
                 : m_is_bad ? RolloutStage::kRolledBack
                            : RolloutStage::kCompleted);
  }

  Members m_all;
  std::mt19937_64 m_random;
  transport::Timer m_store_timer;
  transport::Timer m_decision_timer;
  bool m_is_bad = m_random() % 2 == 0;
  bool m_is_calm = false;
  int m_restores = 0;
};

TEST_CASE("terminal phases never change whatever happens to writes") {
  GatewayFixture fleet;
  std::vector<std::unique_ptr<Fuzz>> runs;
  for (std::uint64_t seed = 1; seed <= 24; ++seed) {
    runs.push_back(std::make_unique<Fuzz>(&fleet, seed));
  }
  fleet.RunFor(milliseconds(4000));
  for (const auto& run : runs) run->Calm();
  // Writes that were left without an answer are carried out meanwhile.
  fleet.RunFor(milliseconds(2000));
  for (std::size_t i = 0; i < runs.size(); ++i) {
    INFO("seed " << i + 1);
    CHECK(fleet.RunUntil([&] { return runs[i]->IsSettled(); }));
    runs[i]->Check();
  }
}

}  // namespace
}  // namespace wasabiwall::platform
