#include "wasabiwall/transport/vm_list_client.h"

#include <nlohmann/json.hpp>

namespace wasabiwall::transport {

tl::expected<VmList, HttpFailure> FetchVmList(
    const std::string& url, std::chrono::milliseconds timeout) {
  HttpRequest request;
  request.url = url;
  request.total_timeout = timeout;
  const auto response = HttpClient::Send(request);
  if (!response) return tl::make_unexpected(response.error());
  const nlohmann::json json =
      nlohmann::json::parse(response->body, nullptr, false);
  if (response->status != 200 || !json.is_object() || !json.contains("vms")) {
    return tl::make_unexpected(HttpFailure::kBroken);
  }
  VmList list;
  for (const nlohmann::json& vm : json["vms"]) {
    if (!vm.is_object() || !vm.contains("name") || !vm["name"].is_string()) {
      return tl::make_unexpected(HttpFailure::kBroken);
    }
    const bool leaving = vm.value("state", "live") == "leaving";
    list[state::BackendServerId(vm["name"])] =
        leaving ? coordination::VmState::kLeaving
                : coordination::VmState::kLive;
  }
  return list;
}

}  // namespace wasabiwall::transport
