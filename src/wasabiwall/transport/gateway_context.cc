#include "wasabiwall/transport/gateway_context.h"

#include <algorithm>
#include <random>
#include <utility>

#include "wasabiwall/transport/logging.h"

namespace wasabiwall::transport {
namespace {

/// Shared prompt parts remembered; an entry takes about 200 bytes.
constexpr std::size_t kPromptParts = 20000;
/// Calls that may wait for a backend server.
constexpr std::size_t kMostWaiting = 2000;
/// Processes assumed before the first count, so that shares are small at first.
constexpr int kAssumedProcesses = 8;
/// How long a higher count of processes is kept to; longer than a process that
/// is cut off from the store goes on.
constexpr std::chrono::seconds kCountRetention{20};
/// Shares of the descriptors for connections of callers and to backend servers.
/// The rest is for logs, the store, metrics and connections that are closing.
constexpr double kCallerShare = 0.5;
constexpr double kBackendShare = 0.3;
/// Part of shared limits that is used, for processes not yet counted.
constexpr double kSharedLimitMargin = 0.8;

coordination::RandomHook SeededRandom() {
  auto engine = std::make_shared<std::mt19937_64>(std::random_device{}());
  return [engine] { return (*engine)(); };
}

}  // namespace

GatewayContext::GatewayContext(EventLoop* event_loop,
                               GatewayOptions gateway_options,
                               CallCodec call_codec)
    : loop(event_loop),
      options(std::move(gateway_options)),
      codec(std::move(call_codec)),
      registry(options.lapse_grace),
      cold_starts(SeededRandom()()),
      prompt_cache(kPromptParts),
      peer_socket(event_loop,
                  [this](const std::string& from, std::string_view data) {
                    OnPeerMessage(from, data);
                  }),
      prompt_directory(options.name, &prompt_cache,
                       [this](const std::string& to,
                              const protocol::PromptDirectoryMessage& news) {
                         peer_socket.Send(
                             to, protocol::EncodePromptDirectoryMessage(news));
                       }),
      queue(kMostWaiting),
      return_times(SeededRandom()),
      connections(event_loop),
      placement({.registry = &registry,
                 .loads = &loads,
                 .health = &health,
                 .paces = &paces,
                 .cold_starts = &cold_starts,
                 .prompt_cache = &prompt_cache,
                 .has_connection =
                     [this](const state::BackendServer& server,
                            const state::Service& service) {
                       const bool spare = connections.Open() < BackendLimit();
                       return connections.HasRoom(
                           server, spare ? ConnectionLimit(service) : 0);
                     },
                 .processes = [this] { return Processes(); },
                 .random = SeededRandom()},
                options.failure_domain, options.load_factor) {}

void GatewayContext::ApplyConfig(
    std::shared_ptr<const state::ServiceConfig> config) {
  const std::int64_t before = m_config ? m_config->version : 0;
  if (m_config && config->version <= before) {
    LogInfo("config_ignored", {{"version", std::to_string(config->version)},
                               {"in_force", std::to_string(before)},
                               {"reason", "not_newer"}});
    return;
  }
  LogInfo("config_applied",
          {{"version", std::to_string(config->version)},
           {"before", std::to_string(before)},
           {"routes", std::to_string(config->Routes().size())}});
  m_config = std::move(config);
}

void GatewayContext::SetGateways(
    const std::map<std::string, std::string>& addresses) {
  prompt_directory.SetMembers(addresses);
  const auto now = loop->Now();
  const int count = static_cast<int>(addresses.size());
  if (count >= m_recent_processes || now >= m_recent_until) {
    m_recent_processes = count;
    m_recent_until = now + kCountRetention;
  }
  if (count == m_processes) return;
  LogInfo("processes_counted", {{"count", std::to_string(count)},
                                {"before", std::to_string(m_processes)}});
  m_processes = count;
  ShareRetryBurst();
}

void GatewayContext::OnPeerMessage(const std::string& from,
                                   std::string_view data) {
  const auto news = protocol::DecodePromptDirectoryMessage(data);
  if (!news) {
    LogWarn("peer_message_ignored",
            {{"from", from}, {"bytes", std::to_string(data.size())}});
    return;
  }
  prompt_directory.OnMessage(from, *news, loop->Now());
}

int GatewayContext::Processes() const {
  if (m_processes == 0) return kAssumedProcesses;
  return std::max(m_processes, m_recent_processes);
}

coordination::RetryBudget& GatewayContext::RetriesOf(
    const state::ServiceId& service) {
  auto& budget = m_retries[service];
  if (!budget) {
    budget = std::make_unique<coordination::RetryBudget>(
        options.retry_share * kSharedLimitMargin,
        options.retry_burst * kSharedLimitMargin / Processes());
  }
  return *budget;
}

void GatewayContext::ShareRetryBurst() {
  for (auto& [service, budget] : m_retries) {
    budget->SetBurst(options.retry_burst * kSharedLimitMargin / Processes());
  }
}

int GatewayContext::ConnectionLimit(const state::Service& service) const {
  const double share =
      service.max_connections * kSharedLimitMargin / Processes();
  return std::max(1, static_cast<int>(share));
}

std::size_t GatewayContext::CallerLimit() const {
  return static_cast<std::size_t>(options.max_descriptors * kCallerShare);
}

std::size_t GatewayContext::BackendLimit() const {
  return static_cast<std::size_t>(options.max_descriptors * kBackendShare);
}

void GatewayContext::ForgetBackendServer(const state::BackendServerId& id) {
  loads.Forget(id);
  health.Forget(id);
  paces.Forget(id);
  m_slow.erase(id);
  cold_starts.Forget(id);
}

void GatewayContext::LogPaces() {
  if (!m_config) return;
  const auto now = loop->Now();
  const auto text = [](std::chrono::microseconds time) {
    return std::to_string(
        std::chrono::duration_cast<std::chrono::milliseconds>(time).count());
  };
  for (const auto& [service, properties] : m_config->services) {
    std::vector<state::BackendServerId> engines;
    for (const auto* known : registry.Of(service)) {
      if (registry.IsEligible(*known)) engines.push_back(known->server.id);
    }
    const auto slow_from = paces.SlowThreshold(engines, now);
    if (!slow_from) continue;
    for (const auto& id : engines) {
      const auto pace = paces.MeanInterval(id, now);
      const bool is_slow = pace && *pace >= *slow_from;
      const bool changed =
          is_slow ? m_slow.insert(id).second : m_slow.erase(id) > 0;
      if (!changed) continue;
      LogWarn(is_slow ? "backend_slow" : "backend_pace_regained",
              {{"backend", id.value},
               {"pace_ms", pace ? text(*pace) : "-"},
               {"slow_from_ms", text(*slow_from)}});
    }
  }
}

void GatewayContext::ApplyOptions(const GatewayOptions& changed) {
  options.stop_timeout = changed.stop_timeout;
  options.load_factor = changed.load_factor;
  options.retry_burst = changed.retry_burst;
  placement.SetLoadFactor(changed.load_factor);
  ShareRetryBurst();
}

}  // namespace wasabiwall::transport
