#include "quarantine_entries.h"

#include <catch2/catch.hpp>
#include <memory>

#include "fakes/gateway_fixture.h"
#include "platform_documents.h"
#include "soak/store_emulator.h"
#include "store_follower.h"
#include "wasabiwall/coordination/request_fingerprint.h"

namespace wasabiwall::platform {
namespace {

using fakes::GatewayFixture;
using soak::StoreMode;
using std::chrono::milliseconds;

const std::string kRequest(32, 'a');
const std::string kKey = "wasabiwall/quarantine/" + kRequest;

/// A gateway's part in the quarantine, up to the store.
class Member {
 public:
  Member(GatewayFixture* fleet, const std::string& store,
         const std::string& name)
      : quarantine(
            {.announce = [this](const std::string& f) { entries.Announce(f); },
             .announce_answered =
                 [this](const std::string& f) { entries.AnnounceAnswered(f); }},
            {.first_probe_delay = milliseconds(0)}),
        client(&fleet->loop, store),
        entries(&fleet->loop, &client, &quarantine, name),
        follower(
            &fleet->context, &client, DecodeConfig, [] {},
            [this](const StoreItem& item) { entries.OnItem(item); }),
        m_loop(&fleet->loop) {
    follower.Start();
  }

  bool IsQuarantined() const {
    return quarantine.TimeLeft(kRequest, m_loop->Now()).has_value();
  }

  void SeeCrashes() {
    quarantine.OnCrash(kRequest, 1, m_loop->Now());
    quarantine.OnCrash(kRequest, 2, m_loop->Now());
  }

  coordination::RequestQuarantine quarantine;
  StoreClient client;
  QuarantineEntries entries;
  StoreFollower follower;

 private:
  transport::EventLoop* m_loop;
};

class Members {
 public:
  Members() {
    store.Put("op/config",
              R"({"version":1,"routes":[],"services":[],"limits":{}})");
    for (const std::string name : {"g0", "g1", "g2"}) {
      members.push_back(
          std::make_unique<Member>(&fleet, store.Address(), name));
    }
  }

  bool RunUntilAll(bool quarantined) {
    return fleet.RunUntil([&] {
      return std::ranges::all_of(members, [&](const auto& member) {
        return member->IsQuarantined() == quarantined;
      });
    });
  }

  GatewayFixture fleet;
  soak::StoreEmulator store{&fleet.loop, 1};
  std::vector<std::unique_ptr<Member>> members;
};

TEST_CASE("one gateway claims a probe and its answer releases the request") {
  Members all;
  all.members[0]->SeeCrashes();
  REQUIRE(all.RunUntilAll(true));
  int done = 0;
  for (const auto& member : all.members) {
    CHECK(member->entries.ClaimProbe(kRequest, [&] { ++done; }));
  }
  REQUIRE(all.fleet.RunUntil([&] { return done == 3; }));
  int probes = 0;
  for (const auto& member : all.members) {
    if (!member->quarantine.TakeProbe(kRequest)) continue;
    ++probes;
    member->quarantine.OnAnswered(kRequest, all.fleet.loop.Now());
  }
  CHECK(probes == 1);
  REQUIRE(all.RunUntilAll(false));
  // A gateway that starts later.
  Member late(&all.fleet, all.store.Address(), "g3");
  all.fleet.RunFor(milliseconds(100));
  late.SeeCrashes();
  CHECK_FALSE(late.IsQuarantined());
}

TEST_CASE("a quarantine is announced once the store takes it") {
  Members all;
  all.fleet.RunFor(milliseconds(100));
  all.store.SetMode(StoreMode::kBusy);
  all.members[0]->SeeCrashes();
  all.fleet.RunFor(milliseconds(100));
  CHECK_FALSE(all.members[1]->IsQuarantined());
  all.store.SetMode(StoreMode::kUp);
  CHECK(all.RunUntilAll(true));
}

TEST_CASE("an answer is announced although another gateway announces anew") {
  Members all;
  all.members[0]->SeeCrashes();
  REQUIRE(all.RunUntilAll(true));
  // Both before either has seen the other's change.
  all.members[1]->entries.Announce(kRequest);
  all.members[2]->quarantine.OnAnswered(kRequest, all.fleet.loop.Now());
  REQUIRE(all.RunUntilAll(false));
}

TEST_CASE("the probe of a claim whose answer is lost is run") {
  // Guards against a claim that counts in the store and that no gateway knows
  // of: the request was held off for ten more minutes.
  Members all;
  all.members[0]->SeeCrashes();
  REQUIRE(all.RunUntilAll(true));
  // Before and after the claim is given up.
  all.store.SetWriteDelay(
      GENERATE(milliseconds(1), milliseconds(300), milliseconds(1600)));
  bool done = false;
  Member& member = *all.members[1];
  REQUIRE(member.entries.ClaimProbe(kRequest, [&] { done = true; }));
  REQUIRE(all.fleet.RunUntil([&] { return done; }));
  all.store.SetWriteDelay(milliseconds(0));
  bool is_taken = false;
  CHECK(all.fleet.RunUntil([&] {
    is_taken = is_taken || member.quarantine.TakeProbe(kRequest);
    return is_taken;
  }));
  for (const auto& other : all.members) {
    CHECK_FALSE(other->quarantine.TakeProbe(kRequest));
  }
}

TEST_CASE("a claim that is overtaken by another's is given up") {
  GatewayFixture fleet;
  soak::StoreEmulator store(&fleet.loop, 1);
  StoreClient client(&fleet.loop, store.Address());
  coordination::RequestQuarantine quarantine({});
  QuarantineEntries entries(&fleet.loop, &client, &quarantine, "g0");
  const auto read = [&] {
    std::vector<StoreItem> items;
    client.Range(kKey, "", std::chrono::seconds(1), [&](const auto& reply) {
      items = reply.value_or(StoreItems{}).items;
    });
    REQUIRE(fleet.RunUntil([&] { return !items.empty(); }));
    return items[0];
  };
  store.Put(kKey, EncodeQuarantine({.writer = "g1"}));
  entries.OnItem(read());
  store.Put(kKey, EncodeQuarantine({.writer = "g1", .probes = 1}));
  const StoreItem claimed_by_other = read();
  bool done = false;
  CHECK(entries.ClaimProbe(kRequest, [&] { done = true; }));
  // Before the claim is written.
  entries.OnItem(claimed_by_other);
  REQUIRE(fleet.RunUntil([&] { return done; }));
  CHECK_FALSE(quarantine.TakeProbe(kRequest));
}

TEST_CASE("an entry that says answered is not replaced") {
  Members all;
  all.members[0]->SeeCrashes();
  REQUIRE(all.RunUntilAll(true));
  all.members[1]->quarantine.OnAnswered(kRequest, all.fleet.loop.Now());
  REQUIRE(all.RunUntilAll(false));
  Member& member = *all.members[2];
  member.entries.Announce(kRequest);
  // Changes are made in order.
  bool done = false;
  CHECK(member.entries.ClaimProbe(kRequest, [&] { done = true; }));
  REQUIRE(all.fleet.RunUntil([&] { return done; }));
  std::vector<StoreItem> items;
  member.client.Range(
      kKey, "", std::chrono::seconds(1),
      [&](const auto& reply) { items = reply.value_or(StoreItems{}).items; });
  REQUIRE(all.fleet.RunUntil([&] { return !items.empty(); }));
  CHECK(DecodeQuarantine(items[0].value).is_answered);
}

TEST_CASE("a prompt part that is a cause again is announced over its answer") {
  Members all;
  const std::string part = coordination::FingerprintOfPromptPart(7);
  const auto see_crashes = [&](std::int64_t first) {
    auto& quarantine = all.members[0]->quarantine;
    const auto now = all.fleet.loop.Now();
    for (int i = 0; i < 5; ++i) {
      quarantine.OnCrash(part, first + i, now, milliseconds(4000 - i * 1000));
    }
    quarantine.JudgePromptParts(now);
  };
  const auto run_until = [&](bool quarantined) {
    return all.fleet.RunUntil([&] {
      return std::ranges::all_of(all.members, [&](const auto& member) {
        return member->quarantine.TimeLeft(part, all.fleet.loop.Now())
                   .has_value() == quarantined;
      });
    });
  };
  see_crashes(1);
  REQUIRE(run_until(true));
  // The entry tells when the first crash was, so that only an answer to a
  // request sent after it counts.
  all.members[1]->quarantine.OnPartAnswered(
      7, all.fleet.loop.Now() - milliseconds(5000));
  all.fleet.RunFor(milliseconds(50));
  REQUIRE(run_until(true));
  all.members[1]->quarantine.OnPartAnswered(7, all.fleet.loop.Now());
  REQUIRE(run_until(false));
  see_crashes(11);
  REQUIRE(run_until(true));
}

TEST_CASE("no probe is claimed while the store is away") {
  Members all;
  all.members[0]->SeeCrashes();
  REQUIRE(all.RunUntilAll(true));
  all.store.SetMode(StoreMode::kReset);
  bool done = false;
  Member& member = *all.members[1];
  CHECK(member.entries.ClaimProbe(kRequest, [&] { done = true; }));
  REQUIRE(all.fleet.RunUntil([&] { return done; }));
  CHECK_FALSE(member.quarantine.TakeProbe(kRequest));
  CHECK_FALSE(member.entries.ClaimProbe(kRequest, [] {}));
  all.store.SetMode(StoreMode::kUp);
  bool claims = false;
  bool has_probe = false;
  CHECK(all.fleet.RunUntil([&] {
    claims = claims || member.entries.ClaimProbe(kRequest, [] {});
    has_probe = has_probe || member.quarantine.TakeProbe(kRequest);
    return has_probe;
  }));
}

/// Restores the store's copy while the gateways run.
void Restore(Members* all) {
  all->store.SetMode(StoreMode::kReset);
  all->fleet.RunFor(milliseconds(300));
  all->store.Restore();
  all->store.SetMode(StoreMode::kUp);
}

TEST_CASE("a quarantine that a restored store lacks is announced again") {
  Members all;
  all.fleet.RunFor(milliseconds(100));
  all.store.TakeCopy();
  all.members[0]->SeeCrashes();
  REQUIRE(all.RunUntilAll(true));
  Restore(&all);
  REQUIRE(all.fleet.RunUntil([&] { return all.store.Has(kKey); }));
  const Member late(&all.fleet, all.store.Address(), "g3");
  CHECK(all.fleet.RunUntil([&] { return late.IsQuarantined(); }));
}

TEST_CASE("a restored store does not undo the answer to a request") {
  Members all;
  all.members[0]->SeeCrashes();
  REQUIRE(all.RunUntilAll(true));
  all.store.TakeCopy();
  all.members[1]->quarantine.OnAnswered(kRequest, all.fleet.loop.Now());
  REQUIRE(all.RunUntilAll(false));
  Restore(&all);
  const auto is_answered = [&] {
    const auto value = all.store.Value(kKey);
    return value && DecodeQuarantine(*value).is_answered;
  };
  REQUIRE_FALSE(is_answered());
  CHECK(all.fleet.RunUntil(is_answered));
  all.fleet.RunFor(std::chrono::seconds(1));
  for (const auto& member : all.members) CHECK_FALSE(member->IsQuarantined());
}

TEST_CASE("an entry that cannot be read holds the request off") {
  Members all;
  all.store.Put(kKey, "g9");
  CHECK(all.RunUntilAll(true));
}

}  // namespace
}  // namespace wasabiwall::platform
