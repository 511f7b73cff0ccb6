// The entry of a gateway process in the store around a planned stop.
#include <catch2/catch.hpp>
#include <csignal>
#include <cstdlib>
#include <filesystem>

#include "fakes/test_port.h"
#include "platform_names.h"
#include "soak/gateway_child.h"
#include "soak/store_emulator.h"

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

TEST_CASE("a gateway process keeps its entry until it serves no more") {
  // Guards against an entry that is removed at SIGTERM: the other gateways then
  // divide shared limits by one process too few while this one still serves.
  transport::EventLoop loop;
  const TemporaryFolder folder;
  StoreEmulator store(&loop, 1);
  store.Put("op/config",
            R"({"version":1,"routes":[],"services":[],"limits":{}})");
  GatewayChild gateway(&loop, {.program = WASABIWALL_GATEWAY_PROGRAM,
                               .folder = folder.Path(),
                               .name = "edge-0",
                               .failure_domain = "z",
                               .store_address = store.Address(),
                               .first_port = fakes::TestPort(0)});
  bool has_ended = false;
  std::int64_t exit_code = -1;
  gateway.on_exit = [&](std::int64_t code, int) {
    has_ended = true;
    exit_code = code;
    gateway.StopForGood();
  };
  const std::string entry = std::string(names::kProcessPrefix) + "edge-0";
  gateway.Start();
  REQUIRE(RunUntil(&loop, [&] { return store.Has(entry); }));
  gateway.Signal(SIGTERM);
  const auto serving_until = loop.Now() + kStillServing;
  REQUIRE(RunUntil(&loop, [&] { return loop.Now() >= serving_until; }));
  CHECK_FALSE(has_ended);
  CHECK(store.Has(entry));
  REQUIRE(RunUntil(&loop, [&] { return has_ended; }));
  CHECK(exit_code == 0);
  CHECK(RunUntil(&loop, [&] { return !store.Has(entry); }));
}

}  // namespace
}  // namespace wasabiwall::platform
