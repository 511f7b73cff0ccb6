#include "wasabiwall/transport/gateway_context.h"

#include <algorithm>
#include <utility>

#include "wasabiwall/coordination/rendezvous_homes.h"
#include "wasabiwall/state/digest.h"
#include "wasabiwall/transport/logging.h"

namespace wasabiwall::transport {
namespace {

using std::chrono::milliseconds;

/// Capacity of the prompt cache index; an entry takes about 200 bytes.
constexpr std::size_t kMaxPromptCacheEntries = 20000;
/// Shares of the memory for buffered responses and for bodies of requests. Both
/// may take twice as much as they hold, in copies and spare room. One service,
/// whose backend servers may all send without end, leaves half of the response
/// buffers to the others.
constexpr std::size_t kResponseDivisor = 8;
constexpr std::size_t kRequestDivisor = 20;
/// Share of the memory for what callers make the process hold: heads, bodies,
/// unread responses, connections. With copies and spare room it may take twice
/// as much.
constexpr std::size_t kClientDivisor = 5;
/// Part of that for the connections alone.
constexpr std::size_t kConnectionsDivisor = 2;
/// Share of the file descriptors for each status server, and the smallest and
/// largest number that follows: load balancers and scrapers keep a few.
constexpr int kStatusDivisor = 32;
constexpr int kMinStatusConnections = 4;
constexpr int kMaxStatusConnections = 64;
/// Size up to which a body needs no room.
constexpr std::size_t kFreeBodyBytes = 64U << 10U;
/// Bytes of one read from a backend server while half of the response buffers
/// are taken. With reads of 64 kB, each of some hundred responses would take as
/// much before it waits for room.
constexpr std::size_t kScarceReadBytes = 8U << 10U;
/// Calls that may be queued for a backend server.
constexpr std::size_t kMaxQueuedCalls = 2000;
/// Process count assumed before the first one is known, so that shares are
/// small at first.
constexpr int kAssumedProcessCount = 8;
/// How long a higher process count stays in effect after it has dropped: longer
/// than a process that is cut off from the store keeps running.
constexpr std::chrono::seconds kProcessCountRetention{20};
/// Shares of the file descriptors for connections of callers and to backend
/// servers. The rest is for logs, the store, metrics and connections that are
/// closing.
constexpr double kCallerShare = 0.5;
constexpr double kBackendShare = 0.3;
/// Fraction of the shared limits that is used, to leave a margin for processes
/// not yet counted.
constexpr double kSharedLimitMargin = 0.8;

/// Spread of the claims of a probe. Another gateway's claim is known after
/// about 1.5 s, so that at most 75 gateways make one in vain, or 150 of 1,000.
constexpr milliseconds kProbeJitterPerProcess{20};
constexpr milliseconds kMaxProbeJitter{10000};

/// Age of the store's last answer before the first one: longer than any limit
/// on it.
constexpr milliseconds kUnknownStoreAge = std::chrono::hours(24);

/// Gateways that collect the reports about a failure domain. With as many, some
/// are left when one domain is lost.
constexpr std::size_t kDomainCollectors = 5;

std::size_t MemoryBytes(const GatewayOptions& options) {
  return static_cast<std::size_t>(options.memory_mb) << 20U;
}

std::size_t BackendConnections(const GatewayOptions& options) {
  return static_cast<std::size_t>(options.max_descriptors * kBackendShare);
}

ByteLimits ResponseLimits(const GatewayOptions& options) {
  const std::size_t total = MemoryBytes(options) / kResponseDivisor;
  // Those of free size take at most as much again.
  const std::size_t free_size =
      std::clamp(total / std::max<std::size_t>(1, BackendConnections(options)),
                 kScarceReadBytes, kFreeBodyBytes);
  return {.total = total, .group = total / 2, .free_size = free_size};
}

ByteLimits RequestLimits(const GatewayOptions& options) {
  const std::size_t total = MemoryBytes(options) / kRequestDivisor;
  return {.total = total, .group = total, .free_size = kFreeBodyBytes};
}

std::size_t ClientBytes(const GatewayOptions& options) {
  if (options.client_memory_mb == 0) {
    return MemoryBytes(options) / kClientDivisor;
  }
  return static_cast<std::size_t>(options.client_memory_mb) << 20U;
}

}  // namespace

GatewayContext::GatewayContext(EventLoop* event_loop,
                               GatewayOptions gateway_options,
                               CallCodec call_codec)
    : loop(event_loop),
      options(std::move(gateway_options)),
      codec(std::move(call_codec)),
      registry(options.lapse_times,
               [this](const state::ServiceId& id) {
                 const state::Service* service =
                     m_config ? m_config->FindService(id) : nullptr;
                 return service == nullptr ? milliseconds{0}
                                           : service->cold_time;
               }),
      load_announcer(&loads, LoadAnnouncerHooks()),
      failure_domains(options.failure_domain, FailureDomainHooks()),
      cold_starts(SeededRandom()()),
      hold_offs(SeededRandom()),
      prompt_cache(kMaxPromptCacheEntries),
      peer_socket(event_loop,
                  [this](const std::string& from, std::string_view data) {
                    OnPeerMessage(from, data);
                  }),
      prompt_directory(options.name, &prompt_cache,
                       [this](const std::string& to,
                              const protocol::PromptDirectoryMessage& message) {
                         peer_socket.Send(
                             to,
                             protocol::EncodePromptDirectoryMessage(message));
                       }),
      quarantine(
          {.on_quarantined =
               [this](const std::string& fingerprint,
                      const coordination::QuarantineReason& reason) {
                 OnQuarantined(fingerprint, reason);
               },
           .on_attributed =
               [](const std::string& cause, std::int64_t crash) {
                 LogInfo("crash_attributed",
                         {{"crash", std::to_string(crash)}, {"cause", cause}});
               },
           .on_released =
               [this](const std::string& fingerprint) {
                 LogInfo("request_released", {{"fingerprint", fingerprint}});
                 crash_monitor.OnReleased();
               },
           .announce =
               [this](const std::string& fingerprint) {
                 crash_monitor.TellQuarantined(
                     fingerprint, quarantine.FirstCrashAt(fingerprint)
                                      .value_or(loop->Now()));
                 if (!quarantine_sharing.announce) return;
                 quarantine_sharing.announce(fingerprint);
               },
           .announce_answered =
               [this](const std::string& fingerprint) {
                 crash_monitor.TellReleased(
                     fingerprint, quarantine.AnsweredRequestSentAt(fingerprint)
                                      .value_or(loop->Now()));
                 if (!quarantine_sharing.announce_answered) return;
                 quarantine_sharing.announce_answered(fingerprint);
               },
           .on_part_cleared =
               [this](const std::string& fingerprint,
                      coordination::TimePoint sent_at) {
                 crash_monitor.TellAnswered(fingerprint, sent_at);
               },
           .on_part_established =
               [this](const std::string& fingerprint,
                      coordination::TimePoint sent_at) {
                 crash_monitor.TellEstablished(fingerprint, sent_at);
               },
           .is_judge =
               [this](const std::string& fingerprint) {
                 return crash_monitor.IsJudge(fingerprint);
               },
           .is_announcer =
               [this](const std::string& fingerprint) {
                 return crash_monitor.IsFirstHome(fingerprint);
               },
           .probe_jitter =
               [this, random = SeededRandom()] {
                 const auto longest = std::min(
                     kProbeJitterPerProcess * ProcessCount(), kMaxProbeJitter);
                 return milliseconds(random() % (longest.count() + 1));
               }}),
      crash_monitor(
          event_loop, &quarantine, options.name,
          [this](const std::string& to, const protocol::CrashMessage& message) {
            peer_socket.Send(to, protocol::EncodeCrashMessage(message));
          }),
      queue(kMaxQueuedCalls),
      retry_after_scheduler(SeededRandom()),
      hedging(
          options.hedge_limits, [this] { return ProcessCount(); },
          SeededRandom()),
      response_buffers(ResponseLimits(options)),
      request_bodies(RequestLimits(options)),
      clients(ingress::LimitsOf(ClientBytes(options))),
      connections(event_loop,
                  [this] {
                    const bool is_scarce =
                        response_buffers.Used() >
                        MemoryBytes(options) / kResponseDivisor / 2;
                    return is_scarce ? kScarceReadBytes : kFreeBodyBytes;
                  }),
      placement({.registry = &registry,
                 .loads = &loads,
                 .health = &health,
                 .failure_domains = &failure_domains,
                 .event_intervals = &event_intervals,
                 .cold_starts = &cold_starts,
                 .hold_offs = &hold_offs,
                 .prompt_cache = &prompt_cache,
                 .work_times = &work_times,
                 .has_connection =
                     [this](const state::BackendServer& server,
                            const state::Service& service) {
                       const bool has_descriptors =
                           connections.OpenCount() < BackendConnectionLimit();
                       return connections.HasRoom(
                           server,
                           has_descriptors ? ConnectionLimit(service) : 0);
                     },
                 .processes = [this] { return ProcessCount(); },
                 .random = SeededRandom(),
                 .is_in_trial =
                     [this](const state::BackendServer& server) {
                       return !rollouts || rollouts->IsInTrial(server);
                     }},
                options.failure_domain, options.load_factor),
      rollouts(MakeRollouts()),
      m_load_timer(event_loop),
      m_process_counts(kProcessCountRetention,
                       {.assumed = kAssumedProcessCount,
                        .settle_time = options.fleet_settle_time}) {}

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
    const coordination::ProcessAddresses& addresses) {
  ++m_gateway_list_revision;
  auto peers = std::make_shared<coordination::ProcessAddresses>(addresses);
  std::erase_if(*peers, [](const auto& peer) { return peer.second.empty(); });
  m_peers = std::move(peers);
  prompt_directory.SetMembers(m_peers);
  crash_monitor.SetMembers(m_peers);
  if (rollouts) rollouts->SetPeers(m_peers);
  const auto now = loop->Now();
  const int count = static_cast<int>(addresses.size());
  const int before = m_process_counts.Registered();
  if (count == before) return;
  m_process_counts.Set(count, now);
  LogInfo("processes_counted", {{"count", std::to_string(count)},
                                {"before", std::to_string(before)},
                                {"in_effect", std::to_string(ProcessCount())}});
}

coordination::FailureDomainHealth::Hooks GatewayContext::FailureDomainHooks() {
  return {
      .report =
          [this](const protocol::FailureDomainMessage& message) {
            const auto bytes = protocol::EncodeFailureDomainMessage(message);
            for (const auto& name : CollectorsOf(message.domain)) {
              if (name != options.name) {
                peer_socket.Send(m_peers->at(name), bytes);
              }
            }
          },
      .announce =
          [this](const protocol::FailureDomainMessage& message) {
            SendToPeers(protocol::EncodeFailureDomainMessage(message));
          },
      .is_collector =
          [this](const state::FailureDomainId& domain) {
            const auto collectors = CollectorsOf(domain);
            return std::ranges::find(collectors, options.name) !=
                   collectors.end();
          },
      .on_change =
          [](const state::FailureDomainId& domain, bool is_lost,
             const char* reason) {
            LogWarn(is_lost ? "failure_domain_lost" : "failure_domain_regained",
                    {{"failure_domain", domain.value}, {"reason", reason}});
          }};
}

coordination::LoadAnnouncer::Hooks GatewayContext::LoadAnnouncerHooks() {
  return {.announce =
              [this](const protocol::LoadMessage& message) {
                SendToPeers(protocol::EncodeLoadMessage(message));
                metrics.CountLoadsSent(message.loads.size());
              },
          .is_known =
              [this](const state::BackendServerId& id) {
                return registry.Find(id) != nullptr;
              },
          .random = SeededRandom()};
}

std::unique_ptr<GatewayRollouts> GatewayContext::MakeRollouts() {
  if (!options.rollout) return nullptr;
  return std::make_unique<GatewayRollouts>(
      loop, options.name, *options.rollout, &registry, &metrics,
      GatewayRollouts::Hooks{
          .send =
              [this](const std::string& to, const std::string& bytes) {
                peer_socket.Send(to, bytes);
              },
          .announce = [this](const std::string& bytes) { SendToPeers(bytes); },
          .store_age =
              [this] {
                if (!store_confirmed_at) return kUnknownStoreAge;
                return std::chrono::duration_cast<milliseconds>(
                    loop->Now() - *store_confirmed_at);
              }});
}

void GatewayContext::SendToPeers(const std::string& bytes) {
  for (const auto& [name, address] : *m_peers) {
    if (name != options.name) peer_socket.Send(address, bytes);
  }
}

void GatewayContext::OnLoadReport(const state::BackendServerId& id,
                                  coordination::ReportedLoad load,
                                  double bound) {
  const auto now = loop->Now();
  const auto due_before = load_announcer.NextDue();
  loads.OnReport(id, load, now);
  load_announcer.OnReport(id, load, bound, now);
  if (load_announcer.NextDue() != due_before) SendDueLoads();
}

void GatewayContext::SendDueLoads() {
  const auto now = loop->Now();
  load_announcer.SendDue(now);
  const auto due = load_announcer.NextDue();
  if (!due) {
    m_load_timer.Stop();
    return;
  }
  const auto wait = std::chrono::ceil<milliseconds>(*due - now);
  m_load_timer.Start(std::max(wait, milliseconds(1)),
                     [this] { SendDueLoads(); });
}

std::vector<std::string> GatewayContext::CollectorsOf(
    const state::FailureDomainId& domain) const {
  return coordination::RendezvousHomes(*m_peers, state::FastHash(domain.value),
                                       kDomainCollectors);
}

void GatewayContext::OnPeerMessage(const std::string& from,
                                   std::string_view data) {
  if (const auto message = protocol::DecodeFailureDomainMessage(data)) {
    failure_domains.OnMessage(from, *message, loop->Now());
    return;
  }
  if (const auto message = protocol::DecodeLoadMessage(data)) {
    load_announcer.OnMessage(*message, loop->Now());
    metrics.CountLoadsReceived(message->loads.size());
    return;
  }
  if (const auto message = protocol::DecodePromptDirectoryMessage(data)) {
    prompt_directory.OnMessage(from, *message, loop->Now());
    return;
  }
  if (const auto crash = protocol::DecodeCrashMessage(data)) {
    crash_monitor.OnMessage(from, *crash);
    return;
  }
  if (rollouts && rollouts->OnPeerMessage(from, data)) return;
  LogWarn("peer_message_ignored",
          {{"from", from}, {"bytes", std::to_string(data.size())}});
}

void GatewayContext::OnQuarantined(
    const std::string& fingerprint,
    const coordination::QuarantineReason& reason) {
  std::string crash_ids;
  for (const std::int64_t crash : reason.crash_ids) {
    if (!crash_ids.empty()) crash_ids += ',';
    crash_ids += std::to_string(crash);
  }
  LogWarn(
      "request_quarantined",
      {{"fingerprint", fingerprint},
       {"source", reason.source},
       {"crashes", std::to_string(reason.crashes)},
       {"crash_ids", crash_ids.empty() ? "-" : crash_ids},
       {"first_crash_age_ms", std::to_string(reason.first_crash_age.count())}});
}

int GatewayContext::ProcessCount() const {
  return m_process_counts.InEffect(loop->Now());
}

coordination::RetryBudget& GatewayContext::RetryBudgetFor(
    const state::ServiceId& service) {
  // The count also changes when a higher one goes out of effect.
  const int count = ProcessCount();
  if (std::exchange(m_budgeted_process_count, count) != count) {
    UpdateRetryBudgets();
  }
  auto& budget = m_retry_budgets[service];
  if (!budget) {
    budget = std::make_unique<coordination::RetryBudget>(RetryLimits(),
                                                         SeededRandom());
  }
  return *budget;
}

coordination::RetryLimits GatewayContext::RetryLimits() const {
  return coordination::RetryLimitsOfProcess(options.retry_share,
                                            options.retry_burst,
                                            kSharedLimitMargin, ProcessCount());
}

void GatewayContext::UpdateRetryBudgets() {
  for (auto& [service, budget] : m_retry_budgets) {
    budget->SetLimits(RetryLimits());
  }
}

int GatewayContext::ConnectionLimit(const state::Service& service) const {
  const double share =
      service.max_connections * kSharedLimitMargin / ProcessCount();
  return std::max(1, static_cast<int>(share));
}

std::size_t GatewayContext::CallerConnectionLimit() const {
  return std::min(
      static_cast<std::size_t>(options.max_descriptors * kCallerShare),
      ClientBytes(options) / kConnectionsDivisor / ingress::kConnectionBytes);
}

std::size_t GatewayContext::StatusConnectionLimit() const {
  if (options.status_connections > 0) {
    return static_cast<std::size_t>(options.status_connections);
  }
  return static_cast<std::size_t>(
      std::clamp(options.max_descriptors / kStatusDivisor,
                 kMinStatusConnections, kMaxStatusConnections));
}

void GatewayContext::MakeRoomSoon() {
  if (!clients.IsOver() || std::exchange(m_makes_room_soon, true)) return;
  loop->Post([this] {
    m_makes_room_soon = false;
    clients.MakeRoom(nullptr, loop->Now());
  });
}

std::size_t GatewayContext::BackendConnectionLimit() const {
  return BackendConnections(options);
}

void GatewayContext::ForgetBackendServer(const state::BackendServerId& id) {
  loads.Forget(id);
  load_announcer.Forget(id);
  health.Forget(id);
  event_intervals.Forget(id);
  m_slow_engines.erase(id);
  cold_starts.Forget(id);
  work_times.Forget(id);
  crash_monitor.OnGone(id);
}

std::vector<LogField> GatewayContext::RegistryLogFields(
    const state::BackendServerId& id) const {
  const auto age = std::chrono::duration_cast<milliseconds>(
      loop->Now() - store_confirmed_at.value_or(loop->Now()));
  return {
      {"registry", std::to_string(registry.Revision())},
      {"entry", registry.IsMissing(id) ? "missing" : "present"},
      {"store_age_ms", store_confirmed_at ? std::to_string(age.count()) : "-"}};
}

void GatewayContext::LogSlowEngineChanges() {
  if (!m_config) return;
  const auto now = loop->Now();
  const auto text = [](std::chrono::microseconds time) {
    return std::to_string(
        std::chrono::duration_cast<std::chrono::milliseconds>(time).count());
  };
  for (const auto& [service, properties] : m_config->services) {
    std::vector<state::BackendServerId> engines;
    for (const auto* known : registry.Of(service)) {
      if (registry.IsEligible(*known, now)) engines.push_back(known->server.id);
    }
    const auto slow_threshold = event_intervals.SlowThreshold(engines, now);
    if (!slow_threshold) continue;
    for (const auto& id : engines) {
      const auto interval = event_intervals.MeanInterval(id, now);
      const bool is_slow = interval && *interval >= *slow_threshold;
      const bool changed = is_slow ? m_slow_engines.insert(id).second
                                   : m_slow_engines.erase(id) > 0;
      if (!changed) continue;
      LogWarn(is_slow ? "backend_slow" : "backend_pace_regained",
              {{"backend", id.value},
               {"pace_ms", interval ? text(*interval) : "-"},
               {"slow_from_ms", text(*slow_threshold)}});
    }
  }
}

void GatewayContext::ApplyOptions(const GatewayOptions& changed) {
  options.stop_timeout = changed.stop_timeout;
  options.load_factor = changed.load_factor;
  options.retry_share = changed.retry_share;
  options.retry_burst = changed.retry_burst;
  options.client_memory_mb = changed.client_memory_mb;
  options.read_pace = changed.read_pace;
  clients.SetLimits(ingress::LimitsOf(ClientBytes(options)));
  options.hedge_limits = changed.hedge_limits;
  hedging.SetLimits(changed.hedge_limits);
  placement.SetLoadFactor(changed.load_factor);
  UpdateRetryBudgets();
}

}  // namespace wasabiwall::transport
