#include "wasabiwall/rollout/service_rollout.h"

#include <algorithm>
#include <utility>

#include "wasabiwall/state/digest.h"

namespace wasabiwall::rollout {
namespace {

using coordination::TimePoint;
using state::RolloutStage;
using state::VersionRule;
using std::chrono::duration_cast;
using std::chrono::milliseconds;

/// Time without an answer of the store after which a gateway sends no calls to
/// the version on trial, from the design page.
constexpr milliseconds kMaxStoreAge{2000};
/// Four reports per second while the counts change, from the design page.
constexpr milliseconds kReportInterval{250};
/// A report at least that often, so that three may be lost in the 2 s in which
/// a gateway must be heard from.
constexpr milliseconds kHeartbeatInterval{500};
/// Most gateways that are answered in kAnswerInterval: the design target.
constexpr std::size_t kMaxAnswers = 1024;
/// Time from the shift to the deadline at least: kMinShifting, and 2 s in which
/// a gateway that stops is waited for.
constexpr milliseconds kMinShiftTime{3000};
/// Time that remains after the longest attempt has ended.
constexpr milliseconds kShiftMargin{1000};
/// Part of the duration that the shift takes at most, so that a trial remains.
constexpr int kMaxShiftPart = 2;
/// Time for which all calls go to the version at least before it is completed:
/// reports of four intervals.
constexpr milliseconds kMinShifting{1000};
/// Time before the deadline at which an undecided trial is rolled back: there
/// is no room for kMinShifting and two writes of the record any more.
constexpr milliseconds kGiveUpTime{1300};
/// Time before the deadline from which a gateway that is silent, but still has
/// an entry in the store, is no longer waited for.
constexpr milliseconds kSilentMargin{700};
/// Delay of the second and third collector, so that usually one decides: some
/// three ticks.
constexpr milliseconds kRankDelay{300};
/// Time after which an unanswered write is repeated; the store takes 4 ms.
constexpr milliseconds kWriteInterval{500};
/// Time without an answer of the store after which a collector asks others to
/// write: half of the time after which it doesn't write itself.
constexpr milliseconds kDelegationAge{1000};
/// Gateways that are asked; with half of all cut off, 7 in 8 times one of them
/// can write.
constexpr int kDeputies = 3;
/// After a restore of the store, operators write orders again within that time;
/// until then a deleted order is only paused.
constexpr milliseconds kWithdrawalGrace{3000};
/// Time for which the other versions must be gone: entries of live backend
/// servers are back 2.2 s after an outage.
constexpr milliseconds kOthersGoneTime{3000};
/// Copies of an announcement; with half of the datagrams lost, 15 in 16
/// gateways get one, and the others learn it from the answer to their report.
constexpr int kAnnouncements = 4;
constexpr milliseconds kAnnouncementInterval{200};
/// A gateway that is behind gets one answer in that time: one per report.
constexpr milliseconds kAnswerInterval{200};
/// Interval in which backend servers are counted after the end of a roll-out,
/// when Tick is not called.
constexpr milliseconds kCountInterval{1000};
/// Most identifiers that one order has had in its rewritten forms.
constexpr std::size_t kMaxIds = 8;
/// Most versions that are remembered as abandoned.
constexpr std::size_t kMaxAbandoned = 8;
/// Sessions that may go to the version, over the share of calls: sessions
/// differ in their number of calls.
constexpr double kCandidateFactor = 1.25;
/// Widening of the share of sessions while too few calls go to the version.
constexpr double kCandidateGrowth = 1.5;
/// A gateway that was not run for longer may have missed news: three ticks.
constexpr milliseconds kPause{350};

FailureFilter::Hooks FilterHooks(const state::BackendRegistry* registry,
                                 std::map<std::string, RouteEvidence>* own,
                                 bool* has_changed) {
  FailureFilter::Hooks hooks;
  hooks.incarnation =
      [registry](
          const state::BackendServerId& id) -> std::optional<std::int64_t> {
    const state::KnownBackendServer* known = registry->Find(id);
    if (known == nullptr || known->server.draining || registry->IsMissing(id)) {
      return std::nullopt;
    }
    return known->server.incarnation;
  };
  hooks.count = [own, has_changed](const std::string& route, bool is_target,
                                   std::uint32_t count) {
    const auto found = own->find(route);
    if (found == own->end()) return;
    RouteEvidence& counts = found->second;
    (is_target ? counts.target : counts.others).failures += count;
    *has_changed = true;
  };
  return hooks;
}

}  // namespace

ServiceRollout::ServiceRollout(Environment environment,
                               const state::RolloutOrder& order,
                               std::set<std::string> abandoned, bool is_return,
                               TimePoint now)
    : m_environment(std::move(environment)),
      m_order(order),
      m_ids{order.id},
      m_abandoned(std::move(abandoned)),
      m_is_return(is_return),
      m_origin(now),
      m_now(now),
      m_limiter(m_environment.limits.exposure_ratio),
      m_candidate_share(m_limiter.Share() * kCandidateFactor),
      m_trial(order.service, order.target_version, m_limiter.Share()),
      m_filter(FilterHooks(m_environment.registry, &m_own, &m_has_changed)),
      m_stages(is_return ? RolloutStage::kShifting : RolloutStage::kCanary),
      m_next_report(now),
      m_next_heartbeat(now),
      m_next_widening(now),
      m_next_write(now),
      m_next_announcement(now) {
  m_abandoned.erase(order.target_version);
  m_trial.Update(*m_environment.registry);
  m_base = m_trial.OtherVersions();
  for (const std::string& version : m_abandoned) m_base.erase(version);
  if (is_return) m_shifting_since = now;
}

void ServiceRollout::Renew(const state::RolloutOrderId& id) {
  m_order.id = id;
  std::erase(m_ids, id);
  m_ids.push_back(id);
  if (m_ids.size() > kMaxIds) m_ids.erase(m_ids.begin());
}

bool ServiceRollout::IsSame(const std::string& target,
                            const state::RolloutOrderId& id) const {
  if (target != m_order.target_version) return false;
  // The same order in another era is the same order.
  return id.era != m_order.id.era ||
         std::find(m_ids.begin(), m_ids.end(), id) != m_ids.end();
}

void ServiceRollout::SetWithdrawn(bool is_withdrawn, TimePoint now) {
  if (!is_withdrawn) {
    // What was proposed because of the withdrawal does not hold any more; other
    // proposals are made again.
    if (m_withdrawn_at) m_stages.CancelProposal();
    m_withdrawn_at.reset();
  } else if (!m_withdrawn_at) {
    m_withdrawn_at = now;
  }
}

milliseconds ServiceRollout::Age(TimePoint now) const {
  return duration_cast<milliseconds>(now - m_origin);
}

void ServiceRollout::LearnAge(milliseconds age, TimePoint now) {
  // All ages are lower bounds: messages and records take time to arrive.
  m_origin = std::min<TimePoint>(m_origin, now - age);
}

void ServiceRollout::OnRecord(const std::optional<state::RolloutRecord>& record,
                              TimePoint now) {
  m_has_read_record = true;
  m_is_superseded = false;
  m_has_old_id = false;
  if (!record || !IsSame(record->target_version, record->order)) {
    m_is_superseded = record && record->order > m_order.id;
    m_stages.OnRecord(std::nullopt, "");
    return;
  }
  // A gateway that knows only the rewritten order of an era could not tell that
  // the record is about it.
  m_has_old_id = record->order.era == m_order.id.era &&
                 record->order != m_order.id && record->stage == Stage();
  LearnAge(record->order_age, now);
  const bool was_proposed =
      m_stages.HasProposal() && m_stages.Wanted() == record->stage;
  if (m_stages.OnRecord(record->stage, record->reason)) {
    OnStageChange(was_proposed, now);
  } else if (IsFinal(record->stage) && record->stage != Stage()) {
    state::RolloutRecord conflict = Record();
    conflict.reason = "the record has the other final stage; it is ignored";
    m_environment.hooks->on_change(conflict);
  }
}

void ServiceRollout::OnMessage(const std::string& from,
                               const protocol::RolloutMessage& message,
                               TimePoint now) {
  LearnAge(message.order_age, now);
  m_peers.OnMessage(from, message, now);
  for (const auto& counts : message.routes) {
    m_evidence.Add(from, counts, message.order_age);
  }
  if (m_stages.OnReport(message.stage, from)) OnStageChange(false, now);
  TakeProposal(from, message, now);
  const bool is_behind =
      message.stage < Stage() && !(IsFinal(message.stage) && IsFinal(Stage()));
  if (now - m_answers_since >= kAnswerInterval) {
    m_answered_peers.clear();
    m_answers_since = now;
  }
  if (is_behind && m_answered_peers.size() < kMaxAnswers &&
      m_answered_peers.insert(from).second) {
    m_environment.hooks->send(from, Message(now));
  }
}

void ServiceRollout::TakeProposal(const std::string& from,
                                  const protocol::RolloutMessage& message,
                                  TimePoint now) {
  // A collector decides on the step from its own stage only.
  if (!message.proposal || message.stage != Stage()) return;
  m_writes_until = now + kWriteInterval;
  if (*message.proposal > Stage()) {
    m_stages.Propose(*message.proposal, "decided by " + from);
  }
}

bool ServiceRollout::NeedsWrite() const {
  return m_stages.NeedsWrite() || m_has_old_id;
}

bool ServiceRollout::IsActive() const {
  return !IsFinal(Stage()) || m_announcements_left > 0 ||
         (NeedsWrite() && !m_is_superseded);
}

state::RolloutRecord ServiceRollout::Record() const {
  state::RolloutRecord record;
  record.order = m_order.id;
  record.service = m_order.service;
  record.target_version = m_order.target_version;
  record.stage = Stage();
  record.order_age = Age(m_now);
  record.writer = m_environment.name;
  record.reason = m_stages.Reason();
  return record;
}

std::set<std::string> ServiceRollout::Abandoned() const {
  std::set<std::string> abandoned = m_abandoned;
  if (Stage() != RolloutStage::kCompleted && abandoned.size() < kMaxAbandoned) {
    abandoned.insert(m_order.target_version);
  }
  return abandoned;
}

bool ServiceRollout::MayTry(TimePoint now) const {
  return m_has_read_record && !m_withdrawn_at && m_trial.Size() > 0 &&
         Age(now) < m_order.duration &&
         m_environment.hooks->store_age() <= kMaxStoreAge;
}

bool ServiceRollout::IsCandidate(std::uint64_t session) const {
  const std::uint64_t hash = state::FastHash(
      m_order.service.value + '/' + m_order.target_version, session);
  return state::ToUnitInterval(hash) < m_candidate_share;
}

bool ServiceRollout::HasOnlyTarget() const {
  return m_trial.OtherVersions().empty() && m_trial.TargetCount() > 0 &&
         m_environment.registry->IsComplete();
}

VersionRule ServiceRollout::BaseRule() const {
  // Of several other versions only one that was not abandoned serves.
  if (!m_abandoned.empty()) {
    const std::string* base = nullptr;
    int count = 0;
    for (const std::string& version : m_trial.OtherVersions()) {
      if (m_abandoned.contains(version)) continue;
      base = &version;
      ++count;
    }
    if (count == 1) return {VersionRule::Kind::kOnly, *base, false};
  }
  return {VersionRule::Kind::kExcept, m_order.target_version, false};
}

void ServiceRollout::UpdateTrial(TimePoint now) {
  m_trial.Update(*m_environment.registry);
  m_trial_updated_at = now;
}

VersionRule ServiceRollout::Choose(const VersionQuery& query, TimePoint now) {
  if (now - m_trial_updated_at >= kCountInterval) UpdateTrial(now);
  const std::string& target = m_order.target_version;
  VersionRule only_target{VersionRule::Kind::kOnly, target,
                          query.is_idempotent};
  switch (Stage()) {
    case RolloutStage::kRolledBack:
      return BaseRule();
    case RolloutStage::kCompleted:
      return m_trial.TargetCount() > 0 ? only_target : VersionRule{};
    case RolloutStage::kShifting:
      // A call that cannot be repeated must not run where backend servers stop.
      if (query.is_idempotent && query.tried_version == target) {
        return {VersionRule::Kind::kExcept, target, true};
      }
      return only_target;
    case RolloutStage::kCanary:
      break;
  }
  if (HasOnlyTarget()) return {};
  if (query.tried_version == target || !MayTry(now) || !m_limiter.MayExpose()) {
    return BaseRule();
  }
  if (query.tried_version.empty() && !IsCandidate(query.session)) {
    return BaseRule();
  }
  return {VersionRule::Kind::kOnly, target, true};
}

bool ServiceRollout::IsInTrial(const state::BackendServer& server) const {
  if (server.version != m_order.target_version) return true;
  if (Stage() != RolloutStage::kCanary) return true;
  return HasOnlyTarget() || m_trial.Contains(server.id);
}

void ServiceRollout::OnSent(const std::string& version) {
  m_limiter.OnSent(version == m_order.target_version);
}

void ServiceRollout::OnEnded(const AttemptObservation& observation,
                             TimePoint now) {
  using Outcome = AttemptObservation::Outcome;
  if (!observation.is_idempotent &&
      observation.version != m_order.target_version) {
    m_longest_attempt = std::max(m_longest_attempt, observation.duration);
  }
  if (observation.outcome == Outcome::kIgnored) return;
  if (!m_own.contains(observation.route) &&
      m_own.size() >= VersionEvidence::kMaxRoutes) {
    return;
  }
  RouteEvidence& route = m_own[observation.route];
  const bool is_target = observation.version == m_order.target_version;
  protocol::VersionCounts& counts = is_target ? route.target : route.others;
  if (observation.outcome == Outcome::kFailed && observation.first_byte &&
      !observation.broke_off) {
    // A whole response was sent by a backend server that runs. To hold these
    // failures back, but not the answers, would make a version look good.
    m_filter.OnAnswer(observation.server, now);
    ++counts.failures;
    m_has_changed = true;
    return;
  }
  if (observation.outcome == Outcome::kFailed) {
    m_filter.OnFailure(observation.server, observation.route, is_target,
                       observation.first_byte.has_value(), now);
    return;
  }
  m_filter.OnAnswer(observation.server, now);
  ++counts.answers;
  if (observation.first_byte) {
    ++counts.first_byte[protocol::TimeBucket(*observation.first_byte)];
  }
  if (observation.event_gap) {
    ++counts.event_gap[protocol::TimeBucket(*observation.event_gap)];
  }
  m_has_changed = true;
}

protocol::RolloutMessage ServiceRollout::Message(TimePoint now) const {
  protocol::RolloutMessage message;
  message.order = m_order.id;
  message.service = m_order.service;
  message.target_version = m_order.target_version;
  message.stage = Stage();
  message.order_age = std::max(Age(now), milliseconds(0));
  message.running_on_old =
      m_environment.running_on_others(m_order.target_version);
  return message;
}

void ServiceRollout::Tick(TimePoint now) {
  const bool was_paused = now - m_now > kPause;
  m_now = now;
  UpdateTrial(now);
  if (m_base.empty() && Stage() == RolloutStage::kCanary) {
    m_base = m_trial.OtherVersions();
  }
  m_filter.Tick(now);
  if (now >= m_next_widening) {
    m_next_widening = now + kHeartbeatInterval;
    if (m_limiter.IsUnderused()) {
      m_candidate_share = std::min(1.0, m_candidate_share * kCandidateGrowth);
    }
  }
  if (!IsFinal(Stage())) Report(now);
  const std::optional<int> rank = CollectorRank();
  if (rank && !IsFinal(Stage())) {
    m_verdict.Update(m_evidence, now);
    // After a pause, answers and news that waited are read first.
    if (!was_paused || m_verdict.BadReason()) Decide(*rank, now);
  }
  AnnounceIfDue(now);
  if (was_paused) return;
  if (rank || (m_writes_until && now < *m_writes_until)) {
    WriteIfDue(rank.value_or(0), now);
  }
  if (rank) DelegateIfDue(now);
}

void ServiceRollout::DelegateIfDue(TimePoint now) {
  if (!m_has_read_record || m_is_superseded || !NeedsWrite() ||
      now < m_next_delegation ||
      m_environment.hooks->store_age() < kDelegationAge) {
    return;
  }
  m_next_delegation = now + kWriteInterval;
  protocol::RolloutMessage message = Message(now);
  message.proposal = m_stages.Wanted();
  const auto gateways = m_environment.hooks->gateways();
  for (int i = 0; i < kDeputies && !gateways.empty(); ++i) {
    const std::string& to =
        gateways[m_environment.hooks->random() % gateways.size()];
    if (to != m_environment.name) m_environment.hooks->send(to, message);
  }
}

void ServiceRollout::Report(TimePoint now) {
  const bool is_due = m_has_changed && now >= m_next_report;
  if (!is_due && now < m_next_heartbeat) return;
  m_has_changed = false;
  m_next_report = now + kReportInterval;
  m_next_heartbeat = now + kHeartbeatInterval;
  protocol::RolloutMessage message = Message(now);
  for (const auto& [name, counts] : m_own) {
    message.routes.push_back({name, counts.target, counts.others});
  }
  const auto collectors = m_environment.hooks->collectors(m_order.service);
  std::vector<protocol::RolloutMessage> parts;
  for (const std::string& collector : collectors) {
    if (collector == m_environment.name) continue;
    if (parts.empty()) parts = protocol::SplitByRoutes(message);
    for (const auto& part : parts) m_environment.hooks->send(collector, part);
  }
  if (!CollectorRank()) return;
  for (const auto& counts : message.routes) {
    m_evidence.Add(m_environment.name, counts, message.order_age);
  }
}

std::optional<int> ServiceRollout::CollectorRank() const {
  const auto collectors = m_environment.hooks->collectors(m_order.service);
  // Without any other gateway this one decides.
  if (collectors.empty()) return 0;
  const auto found =
      std::find(collectors.begin(), collectors.end(), m_environment.name);
  if (found == collectors.end()) return std::nullopt;
  return static_cast<int>(found - collectors.begin());
}

void ServiceRollout::Decide(int rank, TimePoint now) {
  if (m_verdict.BadReason() && !m_is_return) {
    if (m_stages.RollBack(*m_verdict.BadReason())) OnStageChange(true, now);
    return;
  }
  if (m_withdrawn_at) {
    if (now - *m_withdrawn_at > kWithdrawalGrace + rank * kRankDelay) {
      m_stages.Propose(RolloutStage::kRolledBack, "the order was withdrawn");
    }
    return;
  }
  if (Stage() == RolloutStage::kCanary) {
    DecideCanary(rank, now);
  } else {
    DecideShifting(rank, now);
  }
}

milliseconds ServiceRollout::ShiftTime() const {
  std::size_t longest = 0;
  for (const auto& [name, route] : m_evidence.Routes()) {
    for (std::size_t i = 0; i < protocol::kTimeBuckets; ++i) {
      if (route.others.first_byte[i] > 0) longest = std::max(longest, i);
    }
  }
  const auto attempt =
      std::max(m_longest_attempt,
               duration_cast<milliseconds>(protocol::TimeBucketEnd(longest)));
  return std::min(std::max(kMinShiftTime, attempt + kShiftMargin),
                  m_order.duration / kMaxShiftPart);
}

void ServiceRollout::DecideCanary(int rank, TimePoint now) {
  const milliseconds age = Age(now);
  if (HasOnlyTarget()) {
    if (!m_others_gone_at) m_others_gone_at = now;
    if (now - *m_others_gone_at > kOthersGoneTime + rank * kRankDelay) {
      m_stages.Propose(RolloutStage::kCompleted,
                       "no other version has backend servers");
    }
    return;
  }
  m_others_gone_at.reset();
  if (m_verdict.IsGood(m_evidence, now) &&
      age >= m_order.duration - ShiftTime() + rank * kRankDelay &&
      age < m_order.duration - kGiveUpTime) {
    m_stages.Propose(RolloutStage::kShifting,
                     "good: " + m_verdict.Summary(m_evidence));
    return;
  }
  const auto give_up = std::max(m_order.duration - kGiveUpTime,
                                m_order.duration / kMaxShiftPart);
  if (age < give_up + rank * kRankDelay) return;
  // A proposed shift may still be written while there is time for it.
  if (m_stages.HasProposal() && age < m_order.duration) return;
  m_stages.Propose(RolloutStage::kRolledBack,
                   m_trial.TargetCount() == 0
                       ? "the version has no backend servers"
                       : "not enough evidence before the deadline: " +
                             m_verdict.Summary(m_evidence));
}

void ServiceRollout::DecideShifting(int rank, TimePoint now) {
  const auto least = std::min(kMinShifting, m_order.duration / 4);
  if (!m_shifting_since ||
      now - *m_shifting_since < least + rank * kRankDelay) {
    return;
  }
  if (m_environment.running_on_others(m_order.target_version) > 0 ||
      !HaveAllShifted(now)) {
    return;
  }
  m_stages.Propose(RolloutStage::kCompleted, "all calls go to the version: " +
                                                 m_verdict.Summary(m_evidence));
}

bool ServiceRollout::HaveAllShifted(TimePoint now) const {
  if (!m_peers.HaveShifted(now)) return false;
  return Age(now) >= m_order.duration - kSilentMargin ||
         m_peers.HaveHeardFrom(m_environment.hooks->gateways(),
                               m_environment.name, now);
}

void ServiceRollout::WriteIfDue(int rank, TimePoint now) {
  if (!m_has_read_record || m_is_superseded || !NeedsWrite()) return;
  if (m_withdrawn_at && Stage() == RolloutStage::kCanary &&
      !m_stages.HasProposal()) {
    return;
  }
  if (m_last_wanted != m_stages.Wanted()) {
    m_last_wanted = m_stages.Wanted();
    // Who has decided knows the reason and writes a roll-back first.
    const bool is_asked = m_writes_until && now < *m_writes_until;
    if (IsFinal(Stage())) rank = m_decided_here || is_asked ? 0 : rank + 1;
    m_next_write = now + rank * kRankDelay;
  }
  if (now < m_next_write || m_environment.hooks->store_age() > kMaxStoreAge) {
    return;
  }
  m_next_write = now + kWriteInterval;
  state::RolloutRecord record = Record();
  record.stage = m_stages.Wanted();
  record.reason = m_stages.WantedReason();
  m_environment.hooks->write(record);
}

void ServiceRollout::OnStageChange(bool is_own_decision, TimePoint now) {
  m_now = std::max(m_now, now);
  if (Stage() == RolloutStage::kShifting) m_shifting_since = now;
  m_has_changed = true;
  m_next_report = now;
  m_decided_here = is_own_decision;
  if (is_own_decision) {
    m_announcements_left = kAnnouncements;
    m_next_announcement = now;
  }
  m_environment.hooks->on_change(Record());
  AnnounceIfDue(now);
}

void ServiceRollout::AnnounceIfDue(TimePoint now) {
  if (m_announcements_left == 0 || now < m_next_announcement) return;
  --m_announcements_left;
  m_next_announcement = now + kAnnouncementInterval;
  m_environment.hooks->announce(Message(now));
}

}  // namespace wasabiwall::rollout
