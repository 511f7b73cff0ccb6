#include "side_daemon.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <random>
#include <unordered_map>
#include <utility>

#include "wasabiwall/transport/http_client.h"
#include "wasabiwall/transport/logging.h"
#include "wasabiwall/transport/vm_list_client.h"

namespace wasabiwall::programs {
namespace {

namespace gen = protocol::gen;
using std::chrono::milliseconds;

constexpr milliseconds kPlatformInterval{500};
constexpr milliseconds kTickInterval{100};
constexpr milliseconds kPlatformTimeout{1000};
constexpr milliseconds kCommitRetryWait{100};
constexpr milliseconds kIdlePoll{20};
constexpr milliseconds kPeerReplyTimeout{3000};
constexpr int kStatusThreads = 8;
constexpr int kRunnerThreads = 512;

}  // namespace

SideDaemon::SideDaemon(protocol::Settings settings)
    : m_settings(std::move(settings)),
      m_self(m_settings.backend_server),
      m_key_value({m_settings.key_value_url}),
      m_store(m_key_value.Store()),
      m_peers(m_settings.connect_timeout, kPeerReplyTimeout),
      m_runner([this] { return BackendUrl(); }, kRunnerThreads,
               [this](const auto& request) { return CheckBeforeRun(request); }),
      m_node(m_self, &m_config,
             {.clock = coordination::SteadyClock(),
              .random =
                  [] {
                    return std::uint64_t{std::random_device{}()} << 32U |
                           std::random_device{}();
                  },
              .run =
                  [this](const auto& request, const auto& answer) {
                    const state::AttemptId attempt(request.attempt_id);
                    m_runner.Run(request, answer, [this, attempt] {
                      m_node.OnRunEnded(attempt);
                    });
                  },
              .wake_committer =
                  [this] {
                    const std::lock_guard lock(m_mutex);
                    m_commit_wanted = true;
                    m_changed.notify_all();
                  }}),
      m_control_budget(m_settings.control_bytes_per_second,
                       coordination::SteadyClock()),
      m_envelopes(m_settings, m_settings.backend_server, &m_control_budget,
                  {.config = &m_config,
                   .crashes = &m_node.Crashes(),
                   .loads = [this] { return m_node.LoadReports(); }}),
      m_follower(
          {.backend_server = m_settings.backend_server,
           .failure_domain = m_settings.failure_domain,
           .address = m_settings.peer_address,
           .peers = m_settings.peers,
           .may_read_service = m_settings.reads_configuration},
          m_store, &m_config, &m_peers, [this] { return m_envelopes.Make(); },
          {.on_read =
               [this](auto began_at) { m_node.OnConfigurationRead(began_at); },
           .read_wanted = [this] { return m_node.NeedsConfigurationRead(); }}),
      m_peer_server(m_settings.peer_address, m_settings.secret,
                    MakePeerHandlers()),
      m_http_server({.address = m_settings.http_address,
                     .http_threads = 1,
                     .worker_threads = kStatusThreads},
                    [this](const auto& request, const auto& response) {
                      HandleHttp(request, response.get());
                    }) {}

bool SideDaemon::Start() {
  m_follower.Start();
  m_commit_thread = std::thread([this] { CommitLoop(); });
  m_platform_thread = std::thread([this] { PlatformLoop(); });
  m_tick_thread = std::thread([this] { TickLoop(); });
  m_vm_list_thread = std::thread([this] { VmListLoop(); });
  return m_peer_server.Start() && m_http_server.Start();
}

void SideDaemon::Stop() {
  m_node.SetDraining(true);
  WaitUntilIdle();
  {
    const std::lock_guard lock(m_mutex);
    m_stopped = true;
  }
  m_changed.notify_all();
  m_commit_thread.join();
  m_platform_thread.join();
  m_tick_thread.join();
  m_vm_list_thread.join();
  // Gives the shards free for the next owner at once.
  m_shard_owner.reset();
  m_peer_server.Stop();
  m_http_server.Stop(milliseconds(0));
  m_follower.Stop();
  m_runner.Stop();
}

void SideDaemon::CommitLoop() {
  std::unique_lock lock(m_mutex);
  while (!m_stopped) {
    m_changed.wait(lock, [this] { return m_stopped || m_commit_wanted; });
    m_commit_wanted = false;
    lock.unlock();
    while (m_node.CommitOnce(m_store.txn)) {
    }
    lock.lock();
    if (!m_node.Ledger().HasWork()) continue;
    m_commit_wanted = true;
    m_changed.wait_for(lock, kCommitRetryWait, [this] { return m_stopped; });
  }
}

void SideDaemon::PlatformLoop() {
  std::unique_lock lock(m_mutex);
  while (!m_stopped) {
    lock.unlock();
    TendShards();
    WatchEngine();
    m_node.Sweep();
    lock.lock();
    m_changed.wait_for(lock, kPlatformInterval, [this] { return m_stopped; });
  }
}

void SideDaemon::TickLoop() {
  std::unique_lock lock(m_mutex);
  while (!m_stopped) {
    lock.unlock();
    m_node.Tick();
    lock.lock();
    m_changed.wait_for(lock, kTickInterval, [this] { return m_stopped; });
  }
}

void SideDaemon::VmListLoop() {
  std::unique_lock lock(m_mutex);
  while (!m_stopped) {
    lock.unlock();
    const auto began_at = coordination::SteadyClock()();
    const auto list =
        transport::FetchVmList(m_settings.vm_list_url, kPlatformTimeout);
    if (list) {
      const auto self = list->find(m_self);
      const bool leaving = self != list->end() &&
                           self->second == coordination::VmState::kLeaving;
      m_node.OnVmList(leaving, began_at);
    }
    lock.lock();
    m_changed.wait_for(lock, kPlatformInterval, [this] { return m_stopped; });
  }
}

void SideDaemon::TendShards() {
  const auto view = m_config.View();
  const auto self = view->backend_servers.find(m_self.value);
  if (self == view->backend_servers.end()) return;
  const auto pool = view->pools.find(self->second.pool.value);
  if (pool == view->pools.end() ||
      pool->second.kind != state::PoolKind::kService) {
    m_shard_owner.reset();
    return;
  }
  if (!m_shard_owner || m_shard_pool != pool->second.id) {
    m_shard_pool = pool->second.id;
    m_shard_owner = std::make_unique<transport::ShardOwnerLoop>(
        coordination::ShardOwnershipOptions{m_shard_pool, m_self,
                                            m_settings.lease_ttl},
        m_store, &m_node.Ledger(),
        [this](auto owners) { m_node.SetOwners(std::move(owners)); });
  }
  std::vector<state::BackendServerId> candidates;
  for (const state::BackendServer& member : view->Members(m_shard_pool)) {
    const bool stopping = member.id == m_self && m_node.IsDraining();
    if (!stopping && view->TakesNewWork(member.id)) {
      candidates.push_back(member.id);
    }
  }
  m_shard_owner->Tick(pool->second.key_shards, candidates);
}

void SideDaemon::WatchEngine() {
  const std::string url = BackendUrl();
  if (url.empty()) return;
  transport::HttpRequest request;
  request.url = url + "/load";
  request.total_timeout = kPlatformTimeout;
  const auto response = transport::HttpClient::Send(request);
  m_engine_reports = response && response->status == 200;
  if (!m_engine_reports) return;
  const auto json = nlohmann::json::parse(response->body, nullptr, false);
  if (!json.is_object()) return;
  const std::string incarnation = json.value("incarnation", "");
  const std::lock_guard lock(m_engine_mutex);
  if (incarnation == m_engine_incarnation) return;
  if (!m_engine_incarnation.empty()) {
    transport::LogWarn("engine_cold", {{"incarnation", incarnation}});
  }
  m_engine_incarnation = incarnation;
  m_node.OnEngineCold();
}

std::optional<protocol::ErrorKind> SideDaemon::CheckBeforeRun(
    const gen::SubmitRequest& request) {
  // A keyed call has its intent on record and has to run now.
  const bool keyed = !request.idempotent && !request.idempotency_key.empty();
  if (keyed) return {};
  const auto refusal = m_node.CheckStart();
  if (refusal || !m_engine_reports) return refusal;
  if (m_node.Admission().FitsColdLimit()) return {};
  WatchEngine();
  if (m_node.Admission().IsWithinWarmupLimit()) return {};
  return protocol::ErrorKind::kWarmingUp;
}

void SideDaemon::HandleHttp(const transport::ServerRequest& request,
                            transport::ServerResponse* response) {
  if (request.path == "/healthz") {
    response->Send(200, "text/plain", "ok\n", {});
    return;
  }
  if (request.path == "/readyz") {
    const bool ready = !m_node.IsDraining() && m_config.Revision() > 0;
    response->Send(ready ? 200 : 503, "text/plain",
                   ready ? "ready\n" : "not ready\n", {});
    return;
  }
  if (request.path == "/metrics") {
    const auto& admission = m_node.Admission();
    m_metrics.SetGauge("wasabiwall_load_units",
                       static_cast<double>(admission.LoadUnits()));
    m_metrics.SetGauge("wasabiwall_prompt_tokens",
                       static_cast<double>(m_node.PromptTokens()));
    m_metrics.SetGauge("wasabiwall_cached_tokens",
                       static_cast<double>(m_node.CachedTokens()));
    m_metrics.SetGauge("wasabiwall_running",
                       static_cast<double>(admission.Running()));
    m_metrics.SetGauge("wasabiwall_warmup_limit_units",
                       static_cast<double>(admission.WarmupUnits()));
    m_metrics.SetGauge("wasabiwall_config_revision",
                       static_cast<double>(m_config.Revision()));
    m_metrics.SetGauge("wasabiwall_control_bytes",
                       static_cast<double>(m_control_budget.SentBytes()));
    m_metrics.SetGauge("wasabiwall_key_value_calls",
                       static_cast<double>(m_key_value.Calls()));
    response->Send(200, "text/plain; version=0.0.4", m_metrics.Text(), {});
    return;
  }
  const protocol::Error error{protocol::ErrorKind::kNotFound, "", {}};
  response->Send(404, "application/json", protocol::ErrorBody(error), {});
}

void SideDaemon::WaitUntilIdle() {
  const auto end = std::chrono::steady_clock::now() + m_settings.drain_timeout;
  while (std::chrono::steady_clock::now() < end) {
    if (m_node.Admission().Running() == 0 && !m_node.Ledger().HasWork()) return;
    std::this_thread::sleep_for(kIdlePoll);
  }
}

std::string SideDaemon::BackendUrl() const {
  const auto view = m_config.View();
  const auto self = view->backend_servers.find(m_self.value);
  return self == view->backend_servers.end() ? "" : self->second.url;
}

transport::PeerHandlers SideDaemon::MakePeerHandlers() {
  transport::PeerHandlers handlers;
  handlers.submit = [this](const auto& request) {
    return m_node.Submit(request);
  };
  handlers.pull = [this](const auto& request) { return m_node.Pull(request); };
  handlers.tombstone = [this](const auto& request) {
    return m_node.Tombstone(request);
  };
  handlers.items_since = [this](const auto& request) {
    return m_follower.ItemsSince(request);
  };
  handlers.status = [this](const auto&) {
    gen::StatusReply reply;
    reply.process = m_settings.name;
    reply.failure_domain = m_settings.failure_domain;
    reply.draining = m_node.IsDraining();
    reply.load_units = m_node.Admission().LoadUnits();
    reply.running = m_node.Admission().Running();
    reply.key_value_calls = m_key_value.Calls();
    reply.heard_from = m_follower.HeardFrom();
    return reply;
  };
  handlers.on_envelope = [this](const auto& envelope) {
    m_follower.OnRevisionHeard(envelope.config_revision, envelope.sender);
  };
  handlers.make_envelope = [this](const auto& receiver, bool refused) {
    return m_envelopes.MakeFor(receiver, refused);
  };
  handlers.stamp = [this](const auto& receiver, auto* envelope) {
    m_node.Stamp(receiver, envelope);
  };
  return handlers;
}

}  // namespace wasabiwall::programs
