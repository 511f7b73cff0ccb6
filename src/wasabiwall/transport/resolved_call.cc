#include "wasabiwall/transport/resolved_call.h"

#include <algorithm>

#include "wasabiwall/coordination/attempt_policy.h"
#include "wasabiwall/coordination/request_fingerprint.h"
#include "wasabiwall/state/digest.h"

namespace wasabiwall::transport {
namespace {

using protocol::Error;
using protocol::ErrorKind;

const state::Service* ChooseService(const ResolvedCall& call) {
  const state::Route& route = *call.route;
  double total = 0;
  for (const auto& share : route.services) total += share.weight;
  // Calls that share a prompt part go to the same service.
  const std::uint64_t hash =
      route.prefers_cached_prompt && call.metadata.shared_part != 0
          ? call.metadata.shared_part
          : state::FastHash(call.metadata.attempt_id);
  constexpr std::uint64_t steps = 1U << 20U;
  double point = total * static_cast<double>(hash % steps) / steps;
  const state::Service* first = nullptr;
  for (const auto& share : route.services) {
    const state::Service* service = call.config->FindService(share.service);
    if (service == nullptr || share.weight <= 0) continue;
    if (first == nullptr) first = service;
    point -= share.weight;
    if (point < 0) return service;
  }
  return first;
}

}  // namespace

int ResolvedCall::Priority() const {
  if (workspace != nullptr && workspace->priority) return *workspace->priority;
  return route->priority;
}

std::string ResolvedCall::WorkspaceName() const {
  return workspace != nullptr ? workspace->id.value : "";
}

std::vector<LogField> ResolvedCall::LogFields() const {
  const std::string workspace_name = WorkspaceName();
  return {{"id", metadata.attempt_id},
          {"parts", coordination::NamesOfPromptParts(metadata.prompt_parts)},
          {"route", route != nullptr ? route->name : "-"},
          {"workspace", workspace_name.empty() ? "-" : workspace_name},
          {"config", std::to_string(config ? config->version : 0)}};
}

std::optional<Error> ResolveCall(const GatewayContext& context,
                                 const MessageHead& request,
                                 coordination::TimePoint received,
                                 ResolvedCall* call) {
  const HeaderList& headers = request.headers;
  call->metadata = context.codec.decode_call(headers);
  const CallMetadata& metadata = call->metadata;
  if (metadata.attempt_id.empty()) {
    return Error{ErrorKind::kBadRequest, "no attempt identifier", {}};
  }
  call->config = context.Config();
  if (!call->config)
    return Error{ErrorKind::kStaleConfiguration, "none yet", {}};
  const std::string* host = headers.Find("Host");
  call->route =
      call->config->FindRoute(host == nullptr ? "" : *host, request.target);
  if (call->route == nullptr) return Error{ErrorKind::kNotFound, "", {}};
  if (call->config->requires_key && !call->route->is_public) {
    if (metadata.key) {
      call->workspace = call->config->FindWorkspace(*metadata.key);
    }
    if (call->workspace == nullptr) {
      return Error{ErrorKind::kUnauthorized, "", {}};
    }
  }
  const auto timeout = call->route->timeout;
  call->deadline =
      received + std::min(metadata.deadline.value_or(timeout), timeout);
  if (context.stop_deadline && call->deadline > *context.stop_deadline) {
    return Error{ErrorKind::kDraining, "stopping",
                 coordination::MinRetryAfter(ErrorKind::kDraining)};
  }
  if (call->deadline - context.loop->Now() < std::chrono::milliseconds{1}) {
    return Error{ErrorKind::kDeadlineTooShort, "", {}};
  }
  call->service = ChooseService(*call);
  if (call->service == nullptr) {
    return Error{ErrorKind::kNoBackendServer, "no such service", {}};
  }
  return std::nullopt;
}

}  // namespace wasabiwall::transport
