#include "wasabiwall/transport/gateway_rollouts.h"

#include <utility>
#include <vector>

#include "wasabiwall/state/digest.h"
#include "wasabiwall/transport/logging.h"

namespace wasabiwall::transport {
namespace {

using rollout::AttemptObservation;
using state::RolloutStage;
using std::chrono::milliseconds;

/// Period that the controller asks for.
constexpr milliseconds kTickPeriod{100};
/// Gateways that collect the evidence of a service. One is left when the two
/// first are lost together.
constexpr std::size_t kCollectors = 3;

const char* NameOf(RolloutStage stage) {
  switch (stage) {
    case RolloutStage::kCanary:
      return "canary";
    case RolloutStage::kShifting:
      return "shifting";
    case RolloutStage::kCompleted:
      return "completed";
    case RolloutStage::kRolledBack:
      return "rolled_back";
  }
  return "unknown";
}

const char* NameOf(AttemptObservation::Outcome outcome) {
  switch (outcome) {
    case AttemptObservation::Outcome::kAnswered:
      return "answered";
    case AttemptObservation::Outcome::kFailed:
      return "failed";
    case AttemptObservation::Outcome::kIgnored:
      return "ignored";
  }
  return "unknown";
}

}  // namespace

GatewayRollouts::GatewayRollouts(EventLoop* loop, std::string name,
                                 rollout::RolloutLimits limits,
                                 const state::BackendRegistry* registry,
                                 Metrics* metrics, Hooks hooks)
    : m_loop(loop),
      m_name(std::move(name)),
      m_registry(registry),
      m_metrics(metrics),
      m_hooks(std::move(hooks)),
      m_peers(std::make_shared<const coordination::ProcessAddresses>()),
      m_controller(m_name, limits, registry, ControllerHooks()),
      m_tick_timer(loop) {}

rollout::RolloutController::Hooks GatewayRollouts::ControllerHooks() {
  return {.send =
              [this](const std::string& to,
                     const protocol::RolloutMessage& message) {
                const auto peer = m_peers->find(to);
                if (peer == m_peers->end() || to == m_name) return;
                m_hooks.send(peer->second,
                             protocol::EncodeRolloutMessage(message));
              },
          .announce =
              [this](const protocol::RolloutMessage& message) {
                m_hooks.announce(protocol::EncodeRolloutMessage(message));
              },
          .collectors =
              [this](const state::ServiceId& service) {
                // A gateway that knows no other decides alone.
                if (m_peers->empty()) return std::vector<std::string>{m_name};
                return coordination::RendezvousHomes(
                    *m_peers, state::FastHash(service.value), kCollectors);
              },
          .gateways =
              [this] {
                std::vector<std::string> names;
                names.reserve(m_peers->size());
                for (const auto& [name, address] : *m_peers)
                  names.push_back(name);
                if (names.empty()) names.push_back(m_name);
                return names;
              },
          .write =
              [this](const state::RolloutRecord& record) {
                if (m_write) m_write(record);
              },
          .store_age = [this] { return m_hooks.store_age(); },
          .on_change =
              [this](const state::RolloutRecord& record) { OnChange(record); },
          .random = SeededRandom()};
}

void GatewayRollouts::SetPeers(
    std::shared_ptr<const coordination::ProcessAddresses> peers) {
  m_peers = std::move(peers);
  m_names_by_address.clear();
  for (const auto& [name, address] : *m_peers) {
    m_names_by_address.emplace(address, name);
  }
}

void GatewayRollouts::OnOrder(const state::RolloutOrder& order) {
  m_controller.OnOrder(order, m_loop->Now());
  UpdateTimer();
}

void GatewayRollouts::OnOrderWithdrawn(const state::ServiceId& service) {
  m_controller.OnOrderWithdrawn(service, m_loop->Now());
  UpdateTimer();
}

void GatewayRollouts::OnRecord(
    const state::ServiceId& service,
    const std::optional<state::RolloutRecord>& record) {
  m_controller.OnRecord(service, record, m_loop->Now());
  UpdateTimer();
}

bool GatewayRollouts::OnPeerMessage(const std::string& from,
                                    std::string_view data) {
  const auto message = protocol::DecodeRolloutMessage(data);
  if (!message) return false;
  // A gateway that has just started may not be in the list yet.
  const auto name = m_names_by_address.find(from);
  m_controller.OnMessage(name == m_names_by_address.end() ? from : name->second,
                         *message, m_loop->Now());
  UpdateTimer();
  return true;
}

void GatewayRollouts::UpdateTimer() {
  const bool is_active = m_controller.IsActive();
  if (is_active == m_ticks) return;
  m_ticks = is_active;
  if (!is_active) {
    m_tick_timer.Stop();
    return;
  }
  m_tick_timer.StartRepeating(kTickPeriod, [this] {
    m_controller.Tick(m_loop->Now());
    UpdateTimer();
  });
}

void GatewayRollouts::OnSent(const state::ServiceId& service,
                             const std::string& version, bool is_idempotent) {
  m_controller.OnSent(service, version, is_idempotent, m_loop->Now());
  const auto seen = m_seen.find(service);
  if (seen != m_seen.end()) ++seen->second.by_version[version].sent;
}

void GatewayRollouts::OnEnded(const AttemptObservation& observation) {
  m_controller.OnEnded(observation, m_loop->Now());
  const auto seen = m_seen.find(observation.service);
  if (seen == m_seen.end()) return;
  Counts& counts = seen->second.by_version[observation.version];
  switch (observation.outcome) {
    case AttemptObservation::Outcome::kAnswered:
      ++counts.answered;
      break;
    case AttemptObservation::Outcome::kFailed:
      ++counts.failed;
      break;
    case AttemptObservation::Outcome::kIgnored:
      ++counts.ignored;
      break;
  }
  m_metrics->CountRolloutAttempt(observation.service.value, observation.version,
                                 NameOf(observation.outcome));
}

std::string GatewayRollouts::VersionsOf(const state::ServiceId& service) const {
  std::map<std::string, int> counts;
  for (const auto* known : m_registry->Of(service)) {
    ++counts[known->server.version];
  }
  std::string text;
  for (const auto& [version, count] : counts) {
    if (!text.empty()) text += ',';
    text += version + ":" + std::to_string(count);
  }
  return text.empty() ? "-" : text;
}

void GatewayRollouts::OnChange(const state::RolloutRecord& record) {
  const auto current = m_controller.StateOf(record.service);
  if (!current || current->order != record.order) {
    LogWarn("rollout_order_ignored",
            {{"service", record.service.value},
             {"target", record.target_version},
             {"reason", record.reason},
             {"order_era", std::to_string(record.order.era)},
             {"order_revision", std::to_string(record.order.revision)}});
    return;
  }
  Seen& seen = m_seen[record.service];
  if (seen.order != record.order) seen = {.order = record.order};
  Counts target;
  Counts others;
  for (const auto& [version, counts] : seen.by_version) {
    Counts& sum = version == record.target_version ? target : others;
    sum.sent += counts.sent;
    sum.answered += counts.answered;
    sum.failed += counts.failed;
    sum.ignored += counts.ignored;
  }
  LogWarn("rollout_changed",
          {{"service", record.service.value},
           {"target", record.target_version},
           {"stage", NameOf(record.stage)},
           {"reason", record.reason.empty() ? "-" : record.reason},
           {"order_age_ms", std::to_string(record.order_age.count())},
           {"order_era", std::to_string(record.order.era)},
           {"order_revision", std::to_string(record.order.revision)},
           {"writer", record.writer.empty() ? "-" : record.writer},
           {"versions", VersionsOf(record.service)},
           {"store_age_ms", std::to_string(m_hooks.store_age().count())},
           {"own_target_sent", std::to_string(target.sent)},
           {"own_target_answered", std::to_string(target.answered)},
           {"own_target_failed", std::to_string(target.failed)},
           {"own_target_ignored", std::to_string(target.ignored)},
           {"own_others_sent", std::to_string(others.sent)},
           {"own_others_answered", std::to_string(others.answered)},
           {"own_others_failed", std::to_string(others.failed)},
           {"own_others_ignored", std::to_string(others.ignored)}});
  m_metrics->SetRolloutStage(record.service.value, record.target_version,
                             static_cast<int>(record.stage));
}

}  // namespace wasabiwall::transport
