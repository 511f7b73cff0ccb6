#include "wasabiwall/transport/load_prober.h"

#include <utility>

#include "wasabiwall/protocol/encoded_size.h"

namespace wasabiwall::transport {
namespace {

constexpr std::chrono::milliseconds kProbeInterval{200};
constexpr std::size_t kProbesPerRound = 8;

}  // namespace

LoadProber::LoadProber(coordination::EntryNode* entry,
                       const state::ConfigStore* config, PeerClient* peers,
                       coordination::ControlBudget* budget,
                       LoadProberHooks hooks)
    : m_entry(entry),
      m_config(config),
      m_peers(peers),
      m_budget(budget),
      m_hooks(std::move(hooks)) {}

void LoadProber::Start() {
  m_thread = std::thread([this] { Loop(); });
}

void LoadProber::Stop() {
  {
    const std::lock_guard lock(m_mutex);
    m_stopped = true;
  }
  m_changed.notify_all();
  if (m_thread.joinable()) m_thread.join();
}

void LoadProber::Loop() {
  while (!Stopped()) {
    for (const auto& server : m_entry->ProbeTargets(kProbesPerRound)) {
      if (Stopped()) return;
      Probe(server);
    }
    std::unique_lock lock(m_mutex);
    m_changed.wait_for(lock, kProbeInterval, [this] { return m_stopped; });
  }
}

void LoadProber::Probe(const state::BackendServerId& server) {
  const auto view = m_config->View();
  const auto found = view->backend_servers.find(server.value);
  if (found == view->backend_servers.end()) return;
  const std::string& address = found->second.side;
  protocol::gen::StatusRequest request;
  request.envelope = m_hooks.make_envelope();
  m_entry->Stamp(address, &request.envelope);
  if (!m_budget->TakeSpare(protocol::EncodedSize(request))) return;
  const auto reply = m_peers->Status(address, request);
  if (!reply) return;
  m_entry->ObserveEnvelope(address, reply->envelope);
  m_hooks.on_envelope(reply->envelope);
}

bool LoadProber::Stopped() {
  const std::lock_guard lock(m_mutex);
  return m_stopped;
}

}  // namespace wasabiwall::transport
