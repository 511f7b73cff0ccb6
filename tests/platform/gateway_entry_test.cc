// The entry of a gateway process in the store: by it the others count the
// processes that share the limits of backend servers.
#include <catch2/catch.hpp>
#include <csignal>
#include <cstdlib>
#include <filesystem>

#include "fakes/followed_store.h"
#include "fakes/gateway_fixture.h"
#include "fakes/test_port.h"
#include "platform_names.h"
#include "process_registration.h"
#include "soak/gateway_child.h"
#include "soak/store_emulator.h"
#include "store_client.h"

namespace wasabiwall::platform {
namespace {

using soak::GatewayChild;
using soak::StoreEmulator;
using std::chrono::milliseconds;

/// Less than the time for which a gateway that was told to stop goes on
/// serving.
constexpr milliseconds kStillServing{1500};
/// Time limit of a step; less than the 15 s after which an entry ends by
/// itself.
constexpr std::chrono::seconds kStepLimit{10};

const std::string kEntry = std::string(names::kProcessPrefix) + "edge-0";

/// Runs a loop until a condition holds or the time limit of a step has passed.
bool RunUntil(transport::EventLoop* loop, const std::function<bool()>& done) {
  const auto end = loop->Now() + kStepLimit;
  transport::Timer wake(loop);
  wake.StartRepeating(milliseconds(1), [] {});
  while (!done() && loop->Now() < end) uv_run(loop->Handle(), UV_RUN_ONCE);
  return done();
}

class TemporaryFolder {
 public:
  TemporaryFolder() {
    std::string path =
        (std::filesystem::temp_directory_path() / "wasabiwall-XXXXXX").string();
    REQUIRE(mkdtemp(path.data()) != nullptr);
    m_path = path;
  }
  ~TemporaryFolder() {
    std::error_code ignored;
    std::filesystem::remove_all(m_path, ignored);
  }
  TemporaryFolder(const TemporaryFolder&) = delete;
  TemporaryFolder& operator=(const TemporaryFolder&) = delete;

  const std::string& Path() const { return m_path; }

 private:
  std::string m_path;
};

/// A gateway process whose entry is in the store.
class RegisteredGateway {
 public:
  RegisteredGateway() {
    store.Put("op/config",
              R"({"version":1,"routes":[],"services":[],"limits":{}})");
    child.on_exit = [this](std::int64_t code, int) {
      has_ended = true;
      exit_code = code;
      child.StopForGood();
    };
    child.Start();
    REQUIRE(RunUntil(&loop, [this] { return store.Has(kEntry); }));
  }

  /// Ends the process; its handle is closed by the loop.
  ~RegisteredGateway() {
    if (has_ended) return;
    child.StopForGood();
    RunUntil(&loop, [this] { return has_ended; });
    constexpr milliseconds close_time{10};
    const auto end = loop.Now() + close_time;
    RunUntil(&loop, [&] { return loop.Now() >= end; });
  }
  RegisteredGateway(const RegisteredGateway&) = delete;
  RegisteredGateway& operator=(const RegisteredGateway&) = delete;

  void RunFor(milliseconds time) {
    const auto end = loop.Now() + time;
    REQUIRE(RunUntil(&loop, [&] { return loop.Now() >= end; }));
  }

  transport::EventLoop loop;
  const TemporaryFolder folder;
  StoreEmulator store{&loop, 1};
  GatewayChild child{&loop,
                     {.program = WASABIWALL_GATEWAY_PROGRAM,
                      .folder = folder.Path(),
                      .name = "edge-0",
                      .failure_domain = "z",
                      .store_address = store.Address(),
                      .first_port = fakes::TestPort(0)}};
  bool has_ended = false;
  std::int64_t exit_code = -1;
};

TEST_CASE("a gateway process keeps its entry until it serves no more") {
  // Guards against an entry that is removed at SIGTERM: the other gateways then
  // divide shared limits by one process too few while this one still serves.
  RegisteredGateway gateway;
  gateway.child.Signal(SIGTERM);
  gateway.RunFor(kStillServing);
  CHECK_FALSE(gateway.has_ended);
  CHECK(gateway.store.Has(kEntry));
  REQUIRE(RunUntil(&gateway.loop, [&] { return gateway.has_ended; }));
  CHECK(gateway.exit_code == 0);
  CHECK(RunUntil(&gateway.loop, [&] { return !gateway.store.Has(kEntry); }));
}

TEST_CASE(
    "a gateway process writes its entry again when another write hits it") {
  // Guards against a late write of an earlier process of that name, which ties
  // the entry to a lease that nobody renews: the others then count one process
  // too few for good.
  RegisteredGateway gateway;
  StoreClient former(&gateway.loop, gateway.store.Address());
  bool is_hit = false;
  SECTION("by a write under another lease") {
    constexpr milliseconds lease_time{1000};
    former.GrantLease(lease_time, [&](const auto& lease) {
      REQUIRE(lease);
      former.Put({.key = kEntry, .value = "former", .lease = *lease},
                 [&](const auto& written) { is_hit = written.has_value(); });
    });
    REQUIRE(RunUntil(&gateway.loop, [&] { return is_hit; }));
    CHECK(RunUntil(&gateway.loop, [&] {
      const auto value = gateway.store.Value(kEntry);
      return !value || *value != "former";
    }));
    gateway.RunFor(2 * lease_time);
  }
  SECTION("by its removal") { gateway.store.Remove(kEntry); }
  CHECK(RunUntil(&gateway.loop, [&] { return gateway.store.Has(kEntry); }));
}

/// A process that keeps an entry, and looks at it every so often.
class EntryKeeper {
 public:
  EntryKeeper(transport::EventLoop* loop, StoreEmulator* store,
              const std::string& address)
      : m_client(loop, store->Address()),
        m_registration(loop, &m_client, "edge-0", address, [] { return 1; }),
        m_look(loop) {
    constexpr milliseconds look_period{50};
    m_look.StartRepeating(look_period, [this] { Look(); });
    m_registration.Start();
  }

  void Stop() {
    m_look.Stop();
    m_registration.Stop();
  }

 private:
  void Look() {
    constexpr milliseconds timeout{1000};
    m_client.Range(kEntry, "", timeout, [this](const auto& items) {
      if (!items) return;
      if (items->items.empty()) {
        m_registration.OnItem(
            {.key = kEntry, .version = items->version, .deleted = true});
      } else {
        m_registration.OnItem(items->items.front());
      }
    });
  }

  StoreClient m_client;
  ProcessRegistration m_registration;
  transport::Timer m_look;
};

TEST_CASE("two processes of one name end with one owner of the entry") {
  // Guards against processes that correct each other for ever, as after one
  // was frozen and another was started for it.
  transport::EventLoop loop;
  StoreEmulator store(&loop, 1);
  int writes = 0;
  store.SetWriteListener(
      [&](const std::string&, const std::string&, std::int64_t) { ++writes; });
  const auto run_for = [&](milliseconds time) {
    const auto end = loop.Now() + time;
    REQUIRE(RunUntil(&loop, [&] { return loop.Now() >= end; }));
  };
  EntryKeeper one(&loop, &store, "address-1");
  EntryKeeper other(&loop, &store, "address-2");
  constexpr milliseconds contest{7000};
  run_for(contest);
  constexpr int most_writes = 16;
  CHECK(writes <= most_writes);
  const auto owner = store.Value(kEntry);
  REQUIRE(owner);
  const int writes_before = writes;
  run_for(milliseconds(2000));
  CHECK(writes == writes_before);
  // The one that has yielded takes over once the owner has ended.
  (*owner == "address-1" ? one : other).Stop();
  const std::string next = *owner == "address-1" ? "address-2" : "address-1";
  CHECK(RunUntil(&loop, [&] { return store.Value(kEntry) == next; }));
}

TEST_CASE("a process that was frozen causes no storm of writes") {
  // Guards against a process that thaws after another one of its name has been
  // started, with a lease that has ended meanwhile.
  transport::EventLoop loop;
  transport::EventLoop frozen_loop;
  StoreEmulator store(&loop, 1);
  int writes = 0;
  store.SetWriteListener(
      [&](const std::string&, const std::string&, std::int64_t) { ++writes; });
  bool is_frozen = false;
  const auto run_for = [&](milliseconds time) {
    const auto end = loop.Now() + time;
    REQUIRE(RunUntil(&loop, [&] {
      if (!is_frozen) uv_run(frozen_loop.Handle(), UV_RUN_NOWAIT);
      return loop.Now() >= end;
    }));
  };
  EntryKeeper frozen(&frozen_loop, &store, "frozen");
  run_for(milliseconds(500));
  REQUIRE(store.Value(kEntry) == "frozen");
  is_frozen = true;
  StoreClient operators(&loop, store.Address());
  operators.EndLease({.era = 1, .id = store.LeasesGranted()},
                     [](const auto&) {});
  EntryKeeper successor(&loop, &store, "successor");
  run_for(milliseconds(500));
  REQUIRE(store.Value(kEntry) == "successor");
  is_frozen = false;
  const int writes_before = writes;
  constexpr milliseconds contest{7000};
  run_for(contest);
  constexpr int most_writes = 16;
  CHECK(writes - writes_before <= most_writes);
  CHECK(store.Has(kEntry));
  const int writes_after = writes;
  run_for(milliseconds(1500));
  CHECK(writes == writes_after);
}

TEST_CASE(
    "others count a process all the while that late writes hit its entry") {
  // Guards against a moment at which shared limits are divided by one process
  // too few, also if the lease of the late write ends at once.
  fakes::GatewayFixture other;
  StoreEmulator store(&other.loop, 1);
  const fakes::FollowedStore followed(&other, store.Address());
  REQUIRE(followed.RunUntilLoaded());
  store.Put(std::string(names::kProcessPrefix) + "edge-1", "other");
  EntryKeeper keeper(&other.loop, &store, "address");
  StoreClient former(&other.loop, store.Address());
  constexpr int processes = 2;
  REQUIRE(other.RunUntil([&] {
    return store.Has(kEntry) && other.context.ProcessCount() == processes;
  }));
  const bool ends_lease = GENERATE(false, true);
  int fewest = processes;
  constexpr int late_writes = 4;
  for (int i = 0; i < late_writes; ++i) {
    former.GrantLease(milliseconds(1000), [&](const auto& lease) {
      former.Put({.key = kEntry, .value = "former", .lease = *lease},
                 [&, held = *lease](const auto&) {
                   if (ends_lease) former.EndLease(held, [](const auto&) {});
                 });
    });
    const auto end = other.loop.Now() + milliseconds(900);
    other.RunUntil([&] {
      fewest = std::min(fewest, other.context.ProcessCount());
      return other.loop.Now() >= end;
    });
  }
  CHECK(fewest == processes);
  CHECK(other.RunUntil([&] { return store.Value(kEntry) == "address"; }));
  keeper.Stop();
}

TEST_CASE("a process keeps its entry through a series of late writes") {
  // Guards against restarts in a row whose writes are carried out late.
  transport::EventLoop loop;
  StoreEmulator store(&loop, 1);
  EntryKeeper keeper(&loop, &store, "address");
  REQUIRE(RunUntil(&loop, [&] { return store.Has(kEntry); }));
  StoreClient former(&loop, store.Address());
  constexpr int restarts = 5;
  for (int i = 0; i < restarts; ++i) {
    bool is_hit = false;
    former.GrantLease(milliseconds(1000), [&](const auto& lease) {
      REQUIRE(lease);
      former.Put({.key = kEntry, .value = "former", .lease = *lease},
                 [&](const auto&) { is_hit = true; });
    });
    REQUIRE(RunUntil(&loop, [&] { return is_hit; }));
    const auto hit_at = loop.Now();
    REQUIRE(RunUntil(&loop, [&] { return store.Value(kEntry) == "address"; }));
    CHECK(loop.Now() - hit_at < std::chrono::seconds(1));
  }
  keeper.Stop();
}

}  // namespace
}  // namespace wasabiwall::platform
