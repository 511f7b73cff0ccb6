#include "wasabiwall/rollout/rollout_controller.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

#include "wasabiwall/rollout/service_rollout.h"

namespace wasabiwall::rollout {
namespace {

using coordination::TimePoint;
using state::RolloutOrder;
using state::RolloutRecord;
using state::RolloutStage;

/// Most services with orders, records and calls that are followed; a deployment
/// has some tens.
constexpr std::size_t kMaxServices = 256;
/// Versions of a service with calls; beyond, calls are not followed.
constexpr std::size_t kMaxVersions = 16;
/// After a restore of the store operators write their orders again within that
/// time. Until then an order with another target from a newer era may be an old
/// one, and a further revision of the same order is the same order.
constexpr std::chrono::milliseconds kRestoreTime{3000};

}  // namespace

/// What is known of the roll-outs of one service.
struct RolloutController::Rollout {
  state::ServiceId service;
  std::unique_ptr<ServiceRollout> current;
  /// Last record read, and whether it has been read at all.
  std::optional<RolloutRecord> record;
  bool has_read_record = false;
  /// Last message about an order that is not known yet.
  std::optional<protocol::RolloutMessage> early_message;
  std::string early_sender;
  /// An order of a newer era that may be one that was replaced.
  std::optional<RolloutOrder> deferred;
  TimePoint deferred_at;
  /// When the current order was renewed in a newer era.
  std::optional<TimePoint> renewed_at;
  /// Calls that cannot be repeated and run, by version.
  std::map<std::string, std::uint32_t> running;

  std::uint32_t RunningExcept(const std::string& version) const {
    std::uint32_t count = 0;
    for (const auto& [name, calls] : running) {
      if (name != version) count += calls;
    }
    return count;
  }
};

RolloutController::RolloutController(std::string name, RolloutLimits limits,
                                     const state::BackendRegistry* registry,
                                     Hooks hooks)
    : m_name(std::move(name)),
      m_limits(limits),
      m_registry(registry),
      m_hooks(std::move(hooks)) {}

RolloutController::~RolloutController() = default;

RolloutController::Rollout* RolloutController::Find(
    const state::ServiceId& service) const {
  if (m_last_found != nullptr && m_last_found->service == service) {
    return m_last_found;
  }
  for (const auto& rollout : m_rollouts) {
    if (rollout->service != service) continue;
    m_last_found = rollout.get();
    return m_last_found;
  }
  return nullptr;
}

RolloutController::Rollout* RolloutController::FindOrAdd(
    const state::ServiceId& service) {
  if (Rollout* found = Find(service)) return found;
  if (m_rollouts.size() >= kMaxServices) return nullptr;
  m_rollouts.push_back(std::make_unique<Rollout>());
  m_rollouts.back()->service = service;
  return m_rollouts.back().get();
}

void RolloutController::Ignore(const RolloutOrder& order,
                               const std::string& reason) {
  RolloutRecord record;
  record.order = order.id;
  record.service = order.service;
  record.target_version = order.target_version;
  record.writer = m_name;
  record.reason = "order ignored: " + reason;
  m_hooks.on_change(record);
}

void RolloutController::OnOrder(const RolloutOrder& order, TimePoint now) {
  if (m_limits.exposure_ratio <= 0) {
    Ignore(order, "roll-outs are disabled");
    return;
  }
  if (order.target_version.empty() || order.duration.count() <= 0) {
    Ignore(order, "it has no target or no duration");
    return;
  }
  Rollout* rollout = FindOrAdd(order.service);
  if (rollout == nullptr) {
    Ignore(order, "too many services");
    return;
  }
  if (!rollout->current) {
    Begin(rollout, order, now);
    return;
  }
  ServiceRollout& current = *rollout->current;
  const RolloutOrder& known = current.Order();
  if (order.id < known.id) {
    if (!current.IsSame(order.target_version, order.id)) {
      Ignore(order, "it is older than the current one");
    }
    return;
  }
  const bool is_rewritten =
      order.target_version == known.target_version &&
      (order.id.era > known.id.era ||
       (rollout->renewed_at && now - *rollout->renewed_at < kRestoreTime));
  if (order.id == known.id || is_rewritten) {
    if (order.id.era > known.id.era) rollout->renewed_at = now;
    rollout->deferred.reset();
    current.Renew(order.id);
    current.SetWithdrawn(false, now);
    if (rollout->has_read_record) current.OnRecord(rollout->record, now);
    return;
  }
  if (order.id.era > known.id.era) {
    // Operators may be about to write the current order again.
    if (!rollout->deferred) rollout->deferred_at = now;
    rollout->deferred = order;
    return;
  }
  Begin(rollout, order, now);
}

void RolloutController::Begin(Rollout* rollout, const RolloutOrder& order,
                              TimePoint now) {
  std::set<std::string> abandoned;
  bool is_return = false;
  if (rollout->current) {
    const ServiceRollout& old = *rollout->current;
    abandoned = old.Abandoned();
    is_return = old.Stage() != RolloutStage::kCompleted &&
                old.BaseVersions().contains(order.target_version);
  }
  rollout->deferred.reset();
  rollout->renewed_at.reset();
  rollout->current = std::make_unique<ServiceRollout>(
      ServiceRollout::Environment{m_name, m_limits, m_registry, &m_hooks,
                                  [rollout](const std::string& version) {
                                    return rollout->RunningExcept(version);
                                  }},
      order, std::move(abandoned), is_return, now);
  ServiceRollout& current = *rollout->current;
  m_hooks.on_change(current.Record());
  if (rollout->has_read_record) current.OnRecord(rollout->record, now);
  if (!rollout->early_message) return;
  const protocol::RolloutMessage early = std::move(*rollout->early_message);
  rollout->early_message.reset();
  if (current.IsSame(early.target_version, early.order)) {
    current.OnMessage(rollout->early_sender, early, now);
  }
}

void RolloutController::OnOrderWithdrawn(const state::ServiceId& service,
                                         TimePoint now) {
  Rollout* rollout = Find(service);
  if (rollout == nullptr || !rollout->current) return;
  rollout->deferred.reset();
  rollout->current->SetWithdrawn(true, now);
}

void RolloutController::OnRecord(const state::ServiceId& service,
                                 const std::optional<RolloutRecord>& record,
                                 TimePoint now) {
  Rollout* rollout = FindOrAdd(service);
  if (rollout == nullptr) return;
  rollout->record = record;
  rollout->has_read_record = true;
  if (rollout->current) rollout->current->OnRecord(record, now);
}

void RolloutController::OnMessage(const std::string& from,
                                  const protocol::RolloutMessage& message,
                                  TimePoint now) {
  if (m_limits.exposure_ratio <= 0) return;
  Rollout* rollout = FindOrAdd(message.service);
  if (rollout == nullptr) return;
  if (rollout->current &&
      rollout->current->IsSame(message.target_version, message.order)) {
    rollout->current->OnMessage(from, message, now);
    return;
  }
  if (rollout->current && message.order < rollout->current->Order().id) return;
  // A final stage of the awaited order is not replaced by a report of another
  // gateway that has not heard of it.
  if (rollout->early_message &&
      rollout->early_message->order == message.order &&
      rollout->early_message->stage > message.stage) {
    return;
  }
  rollout->early_message = message;
  rollout->early_sender = from;
}

void RolloutController::Tick(TimePoint now) {
  for (const auto& rollout : m_rollouts) {
    if (rollout->deferred && now - rollout->deferred_at > kRestoreTime) {
      const RolloutOrder order = *rollout->deferred;
      Begin(rollout.get(), order, now);
    }
    if (rollout->current && rollout->current->IsActive()) {
      rollout->current->Tick(now);
    }
  }
}

bool RolloutController::IsActive() const {
  return std::any_of(
      m_rollouts.begin(), m_rollouts.end(), [](const auto& rollout) {
        return rollout->deferred ||
               (rollout->current && rollout->current->IsActive());
      });
}

state::VersionRule RolloutController::Choose(const VersionQuery& query,
                                             TimePoint now) {
  const Rollout* rollout = Find(query.service);
  if (rollout == nullptr || !rollout->current) return {};
  return rollout->current->Choose(query, now);
}

bool RolloutController::IsInTrial(const state::BackendServer& server) const {
  const Rollout* rollout = Find(server.service);
  return rollout == nullptr || !rollout->current ||
         rollout->current->IsInTrial(server);
}

void RolloutController::OnSent(const state::ServiceId& service,
                               const std::string& version, bool is_idempotent,
                               TimePoint /*now*/) {
  if (m_limits.exposure_ratio <= 0) return;
  Rollout* rollout = FindOrAdd(service);
  if (rollout == nullptr) return;
  if (!is_idempotent && (rollout->running.contains(version) ||
                         rollout->running.size() < kMaxVersions)) {
    ++rollout->running[version];
  }
  if (rollout->current) rollout->current->OnSent(version);
}

void RolloutController::OnEnded(const AttemptObservation& observation,
                                TimePoint now) {
  Rollout* rollout = Find(observation.service);
  if (rollout == nullptr) return;
  const auto running = rollout->running.find(observation.version);
  if (!observation.is_idempotent && running != rollout->running.end() &&
      --running->second == 0) {
    rollout->running.erase(running);
  }
  if (rollout->current) rollout->current->OnEnded(observation, now);
}

std::optional<RolloutRecord> RolloutController::StateOf(
    const state::ServiceId& service) const {
  const Rollout* rollout = Find(service);
  if (rollout == nullptr || !rollout->current) return std::nullopt;
  return rollout->current->Record();
}

}  // namespace wasabiwall::rollout
