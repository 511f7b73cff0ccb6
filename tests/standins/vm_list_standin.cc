// Stand-in for the platform's VM list; changes made at /admin/set show after
// a lag.
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>

#include "standins/support/standin_server.h"

namespace {

using namespace wasabiwall;  // NOLINT(google-build-using-namespace)
using Clock = std::chrono::steady_clock;

struct Vm {
  std::string state;
  std::string next_state;
  Clock::time_point next_at;
};

std::mutex g_mutex;
std::map<std::string, Vm> g_vms;
std::chrono::milliseconds g_lag{1000};

std::string StateOf(const Vm& vm) {
  return Clock::now() >= vm.next_at ? vm.next_state : vm.state;
}

void Handle(const transport::ServerRequest& request,
            const std::shared_ptr<transport::ServerResponse>& response) {
  const std::lock_guard lock(g_mutex);
  const auto field = [&](const char* name) {
    return standins::QueryField(request.query, name);
  };
  if (request.path == "/admin/lag") {
    g_lag = std::chrono::milliseconds(std::stoi(field("ms")));
  }
  if (request.path == "/admin/set") {
    Vm& vm = g_vms[field("name")];
    vm.state = StateOf(vm);
    vm.next_state = field("state");
    vm.next_at = Clock::now() + g_lag;
  }
  nlohmann::json vms = nlohmann::json::array();
  for (const auto& [name, vm] : g_vms) {
    const std::string state = StateOf(vm);
    if (state == "live" || state == "leaving") {
      vms.push_back({{"name", name}, {"state", state}});
    }
  }
  standins::SendJson(response.get(), nlohmann::json{{"vms", vms}}.dump());
}

}  // namespace

int main(int argc, const char** argv) {
  for (int i = 2; i < argc; ++i) g_vms[argv[i]] = {"live", "live", {}};
  return standins::Serve(argc, argv, &Handle);
}
