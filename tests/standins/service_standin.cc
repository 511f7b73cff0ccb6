// Stand-in for a plain service. It counts how often each idempotency key ran,
// which is the verdict of the tests on bookings.
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <thread>

#include "standins/support/standin_server.h"

namespace {

using namespace wasabiwall;  // NOLINT(google-build-using-namespace)
using nlohmann::json;

std::mutex g_mutex;
std::map<std::string, int> g_runs;
int g_calls = 0;
std::chrono::milliseconds g_service_time{5};

json Counts() {
  const std::lock_guard lock(g_mutex);
  int most = 0;
  for (const auto& [key, runs] : g_runs) most = std::max(most, runs);
  return {{"calls", g_calls},
          {"keys", g_runs.size()},
          {"max_runs", most},
          {"runs", g_runs}};
}

void Handle(const transport::ServerRequest& request,
            const std::shared_ptr<transport::ServerResponse>& response) {
  if (request.path == "/admin/time") {
    g_service_time = std::chrono::milliseconds(
        std::stoi(standins::QueryField(request.query, "ms")));
  }
  if (request.path.rfind("/admin/", 0) == 0) {
    standins::SendJson(response.get(), Counts().dump());
    return;
  }
  int run = 0;
  {
    const std::lock_guard lock(g_mutex);
    ++g_calls;
    if (!request.idempotency_key.empty())
      run = ++g_runs[request.idempotency_key];
  }
  std::this_thread::sleep_for(g_service_time);
  const json answer = {{"call", request.path},
                       {"key", request.idempotency_key},
                       {"run", run},
                       {"echo", request.body}};
  standins::SendJson(response.get(), answer.dump());
}

}  // namespace

int main(int argc, const char** argv) {
  return standins::Serve(argc, argv, &Handle);
}
