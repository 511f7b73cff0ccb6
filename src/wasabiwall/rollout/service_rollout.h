#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "wasabiwall/rollout/exposure_limiter.h"
#include "wasabiwall/rollout/failure_filter.h"
#include "wasabiwall/rollout/peer_stages.h"
#include "wasabiwall/rollout/rollout_controller.h"
#include "wasabiwall/rollout/rollout_stages.h"
#include "wasabiwall/rollout/trial_servers.h"
#include "wasabiwall/rollout/version_verdict.h"

namespace wasabiwall::rollout {

/// One order of one service at one gateway: chooses versions, counts and
/// reports answers and, if the gateway is a collector, decides.
class ServiceRollout {
 public:
  using Hooks = RolloutController::Hooks;
  /// Number of calls of a version that cannot be repeated and still run here.
  using RunningHook =
      std::function<std::uint32_t(const std::string& except_version)>;

  struct Environment {
    std::string name;
    RolloutLimits limits;
    const state::BackendRegistry* registry = nullptr;
    const Hooks* hooks = nullptr;
    RunningHook running_on_others;
  };

  /// @param abandoned Versions of earlier orders that were not completed.
  /// @param is_return Whether the target is the version from which an order
  /// that was not completed moved away. It needs no trial.
  ServiceRollout(Environment environment, const state::RolloutOrder& order,
                 std::set<std::string> abandoned, bool is_return,
                 coordination::TimePoint now);
  ServiceRollout(const ServiceRollout&) = delete;
  ServiceRollout& operator=(const ServiceRollout&) = delete;

  const state::RolloutOrder& Order() const { return m_order; }
  /// Takes a rewritten order, which is the same one.
  void Renew(const state::RolloutOrderId& id);
  /// @return Whether an order, record or message is about this order.
  bool IsSame(const std::string& target, const state::RolloutOrderId& id) const;

  /// Records that the order was deleted or is there again.
  void SetWithdrawn(bool is_withdrawn, coordination::TimePoint now);

  /// Takes the service's record, of whatever order.
  void OnRecord(const std::optional<state::RolloutRecord>& record,
                coordination::TimePoint now);
  /// Handles a message about this order.
  void OnMessage(const std::string& from,
                 const protocol::RolloutMessage& message,
                 coordination::TimePoint now);
  void Tick(coordination::TimePoint now);
  bool IsActive() const;

  state::VersionRule Choose(const VersionQuery& query,
                            coordination::TimePoint now);
  bool IsInTrial(const state::BackendServer& server) const;
  void OnSent(const std::string& version);
  void OnEnded(const AttemptObservation& observation,
               coordination::TimePoint now);

  state::RolloutRecord Record() const;
  state::RolloutStage Stage() const { return m_stages.Stage(); }
  /// @return Versions other than the target when the order was first seen.
  const std::set<std::string>& BaseVersions() const { return m_base; }
  /// @return Versions not to be used by a later order.
  std::set<std::string> Abandoned() const;

 private:
  std::chrono::milliseconds Age(coordination::TimePoint now) const;
  void LearnAge(std::chrono::milliseconds age, coordination::TimePoint now);
  bool NeedsWrite() const;
  void UpdateTrial(coordination::TimePoint now);
  bool MayTry(coordination::TimePoint now) const;
  bool IsCandidate(std::uint64_t session) const;
  /// @return Rule of calls that are not on trial.
  state::VersionRule BaseRule() const;
  /// @return Whether nothing but the target can serve calls.
  bool HasOnlyTarget() const;
  protocol::RolloutMessage Message(coordination::TimePoint now) const;
  void Report(coordination::TimePoint now);
  /// @return Position among the collectors; nothing if it is none.
  std::optional<int> CollectorRank() const;
  void Decide(int rank, coordination::TimePoint now);
  void DecideCanary(int rank, coordination::TimePoint now);
  void DecideShifting(int rank, coordination::TimePoint now);
  bool HaveAllShifted(coordination::TimePoint now) const;
  std::chrono::milliseconds ShiftTime() const;
  /// Asks other gateways to write what the store doesn't take from this one.
  void DelegateIfDue(coordination::TimePoint now);
  void WriteIfDue(int rank, coordination::TimePoint now);
  void OnStageChange(bool is_own_decision, coordination::TimePoint now);
  void TakeProposal(const std::string& from,
                    const protocol::RolloutMessage& message,
                    coordination::TimePoint now);
  void AnnounceIfDue(coordination::TimePoint now);

  Environment m_environment;
  state::RolloutOrder m_order;
  std::vector<state::RolloutOrderId> m_ids;
  std::set<std::string> m_abandoned;
  std::set<std::string> m_base;
  bool m_is_return;
  /// When the order was given, as far as is known.
  coordination::TimePoint m_origin;
  coordination::TimePoint m_now;
  std::optional<coordination::TimePoint> m_withdrawn_at;
  std::optional<coordination::TimePoint> m_others_gone_at;
  std::optional<coordination::TimePoint> m_shifting_since;
  /// Whether the record has been read, so that its stage is known.
  bool m_has_read_record = false;
  /// Whether the record is of a later order and must not be written.
  bool m_is_superseded = false;
  /// Whether the record has another identifier of the order in its era.
  bool m_has_old_id = false;

  ExposureLimiter m_limiter;
  double m_candidate_share;
  TrialServers m_trial;
  coordination::TimePoint m_trial_updated_at;
  FailureFilter m_filter;
  RolloutStages m_stages;
  std::map<std::string, RouteEvidence> m_own;
  /// Longest attempt here, on another version, of a call that cannot be
  /// repeated.
  std::chrono::milliseconds m_longest_attempt{0};
  bool m_has_changed = true;
  VersionEvidence m_evidence;
  VersionVerdict m_verdict;
  PeerStages m_peers;
  std::set<std::string> m_answered_peers;
  coordination::TimePoint m_answers_since;

  coordination::TimePoint m_next_report;
  coordination::TimePoint m_next_heartbeat;
  coordination::TimePoint m_next_widening;
  coordination::TimePoint m_next_write;
  coordination::TimePoint m_next_delegation;
  /// Until when this gateway writes for a collector.
  std::optional<coordination::TimePoint> m_writes_until;
  std::optional<state::RolloutStage> m_last_wanted;
  /// Whether this gateway has decided on the present stage.
  bool m_decided_here = false;
  int m_announcements_left = 0;
  coordination::TimePoint m_next_announcement;
};

}  // namespace wasabiwall::rollout
