#include "fakes/rollout_fleet.h"

#include <algorithm>
#include <cmath>

#include "wasabiwall/coordination/rendezvous_homes.h"
#include "wasabiwall/state/digest.h"

namespace wasabiwall::fakes {

using coordination::TimePoint;
using protocol::RolloutMessage;
using rollout::AttemptObservation;
using rollout::RolloutController;
using state::RolloutRecord;
using state::RolloutStage;
using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds kStep{5};
constexpr milliseconds kTick{100};
constexpr milliseconds kPoll{250};
/// Entries of killed backend servers and gateways expire after that time.
constexpr milliseconds kLease{2700};
const char* const kOld = "v1";
const char* const kTarget = "v2";
const char* const kThird = "v3";

}  // namespace

struct RolloutFleet::Gateway {
  std::string name;
  std::unique_ptr<RolloutController> controller;
  std::int64_t known_revision = -1;
  TimePoint last_reply;
  TimePoint next_tick;
  TimePoint next_poll;
  bool is_alive = true;
  bool is_listed = true;
  TimePoint frozen_until;
  std::vector<std::function<void()>> waiting;
  std::optional<state::RolloutOrderId> known_order;
};

struct RolloutFleet::Server {
  state::BackendServer entry;
  bool is_alive = true;
  int running = 0;
  int running_unrepeatable = 0;
  std::deque<TimePoint> recent;
};

struct RolloutFleet::Call {
  std::string route;
  bool is_idempotent = true;
  std::uint64_t session = 0;
  std::string tried;
  int attempts = 0;
  bool has_ended = false;
};

RolloutFleet::RolloutFleet(FleetOptions options)
    : m_options(options), m_random(options.seed) {
  const int old_servers = m_options.old_servers;
  const int versions = m_options.replaced_at.count() > 0 ? 3 : 2;
  for (int i = 0; i < versions * old_servers; ++i) {
    auto server = std::make_unique<Server>();
    server->entry.id = state::BackendServerId("s" + std::to_string(i));
    server->entry.service = m_service;
    server->entry.version = i < old_servers       ? kOld
                            : i < 2 * old_servers ? kTarget
                                                  : kThird;
    server->entry.incarnation = 1;
    m_servers.push_back(std::move(server));
  }
  StartServers(kOld);
  double total = 0;
  for (int i = 0; i < m_options.gateways; ++i) {
    auto gateway = std::make_unique<Gateway>();
    gateway->name = "g" + std::to_string(i);
    gateway->last_reply = m_now;
    gateway->next_tick = m_now + milliseconds(m_random() % 100);
    gateway->next_poll = m_now + milliseconds(m_random() % 250);
    m_gateways.push_back(std::move(gateway));
    total += 0.5 + static_cast<double>(m_random() % 100) / 100;
    m_shares.push_back(total);
  }
  for (int i = 0; i < m_options.gateways; ++i) {
    m_gateways[i]->controller = std::make_unique<RolloutController>(
        m_gateways[i]->name,
        rollout::RolloutLimits{0.1, 50, milliseconds(5000)}, &m_registry,
        HooksOf(i));
  }
}

RolloutFleet::~RolloutFleet() = default;

RolloutController::Hooks RolloutFleet::HooksOf(int gateway) {
  RolloutController::Hooks hooks;
  hooks.send = [this, gateway](const std::string& to,
                               const RolloutMessage& message) {
    Send(gateway, std::stoi(to.substr(1)), message);
  };
  hooks.announce = [this, gateway](const RolloutMessage& message) {
    for (int i = 0; i < m_options.gateways; ++i) {
      if (i != gateway && m_gateways[i]->is_listed) Send(gateway, i, message);
    }
  };
  hooks.collectors = [this](const state::ServiceId&) { return Collectors(); };
  hooks.gateways = [this] { return Names(); };
  hooks.write = [this, gateway](const RolloutRecord& record) {
    Write(gateway, record);
  };
  hooks.store_age = [this, gateway] {
    return duration_cast<milliseconds>(m_now - m_gateways[gateway]->last_reply);
  };
  hooks.on_change = [](const RolloutRecord&) {};
  hooks.random = [this] { return m_random(); };
  return hooks;
}

std::vector<std::string> RolloutFleet::Names() const {
  std::vector<std::string> names;
  for (const auto& gateway : m_gateways) {
    if (gateway->is_listed) names.push_back(gateway->name);
  }
  return names;
}

std::vector<std::string> RolloutFleet::Collectors() const {
  coordination::ProcessAddresses members;
  for (const std::string& name : Names()) members[name] = name;
  return coordination::RendezvousHomes(members, state::FastHash("service"), 3);
}

milliseconds RolloutFleet::Elapsed() const {
  return duration_cast<milliseconds>(m_now - m_order_time);
}

void RolloutFleet::At(milliseconds delay, std::function<void()> event) {
  m_events.emplace(m_now + delay, std::move(event));
}

bool RolloutFleet::IsCutOff(int gateway) const {
  return m_is_cut_off && gateway % 2 == 0;
}

void RolloutFleet::Send(int from, int to, const RolloutMessage& message) {
  const std::string bytes = EncodeRolloutMessage(message);
  ++m_result.datagrams;
  m_result.datagram_bytes += bytes.size();
  m_result.largest_datagram = std::max(m_result.largest_datagram, bytes.size());
  if (m_loses_datagrams && m_random() % 100 < 30) return;
  const std::string name = m_gateways[from]->name;
  At(milliseconds(1 + m_random() % 10),
     [this, to, name, bytes] { Deliver(to, name, bytes); });
}

void RolloutFleet::Deliver(int to, const std::string& from,
                           const std::string& bytes) {
  Gateway& gateway = *m_gateways[to];
  if (!gateway.is_alive) return;
  if (m_now < gateway.frozen_until) {
    gateway.waiting.push_back(
        [this, to, from, bytes] { Deliver(to, from, bytes); });
    return;
  }
  const auto message = protocol::DecodeRolloutMessage(bytes);
  if (message) gateway.controller->OnMessage(from, *message, m_now);
}

void RolloutFleet::Write(int gateway, const RolloutRecord& record) {
  if (IsCutOff(gateway)) return;
  const std::int64_t condition = m_gateways[gateway]->known_revision;
  const bool is_lost = m_loses_replies && m_random() % 2 == 0;
  // A write without an answer may be applied seconds later.
  const milliseconds delay(is_lost && m_random() % 2 == 0 ? 2000 : 2);
  At(delay, [this, record, condition] { Apply(record, condition); });
  if (!is_lost) At(milliseconds(4), [this, gateway] { Poll(gateway); });
}

void RolloutFleet::Apply(const RolloutRecord& record, std::int64_t condition) {
  if (condition != m_record_revision) return;
  const std::optional<RolloutRecord> before = m_record;
  ++m_result.writes;
  m_record = record;
  m_record_revision = m_next_revision++;
  m_result.last_target = record.target_version;
  m_result.reason = record.reason;
  const auto at = Elapsed();
  if (record.stage == RolloutStage::kCompleted) {
    if (m_result.rolled_back_at && record.target_version == kTarget) {
      m_result.has_contradiction = true;
    }
    if (!m_result.completed_at) {
      m_result.completed_at = at;
      for (const auto& server : m_servers) {
        if (server->entry.version == record.target_version) continue;
        m_result.cut_calls += server->running_unrepeatable;
      }
    }
  }
  if (record.stage == RolloutStage::kRolledBack) {
    if (m_result.completed_at && record.target_version == kTarget) {
      m_result.has_contradiction = true;
    }
    if (!m_result.rolled_back_at) m_result.rolled_back_at = at;
  }
}

void RolloutFleet::Poll(int index) {
  Gateway& gateway = *m_gateways[index];
  if (!gateway.is_alive || IsCutOff(index)) return;
  if (m_now < gateway.frozen_until) {
    gateway.waiting.push_back([this, index] { Poll(index); });
    return;
  }
  gateway.last_reply = m_now;
  if (gateway.known_revision != m_record_revision) {
    gateway.known_revision = m_record_revision;
    gateway.controller->OnRecord(m_service, m_record, m_now);
  }
  if (m_order && gateway.known_order != m_order->id) {
    gateway.known_order = m_order->id;
    gateway.controller->OnOrder(*m_order, m_now);
  } else if (!m_order && gateway.known_order) {
    gateway.known_order.reset();
    gateway.controller->OnOrderWithdrawn(m_service, m_now);
  }
}

void RolloutFleet::PutOrder(const std::string& target) {
  m_order = state::RolloutOrder{
      {m_era, m_next_revision++}, m_service, target, m_options.duration};
}

void RolloutFleet::StartServers(const std::string& version) {
  for (const auto& server : m_servers) {
    if (server->entry.version != version) continue;
    m_registry.Put(server->entry, m_now, false);
  }
}

bool RolloutFleet::IsBad(int index, const std::string& route) {
  Server& server = *m_servers[index];
  if (server.entry.version != kTarget) return false;
  const auto roll = m_random() % 100;
  switch (m_options.kind) {
    case VersionKind::kGood:
    case VersionKind::kSlow:
      return false;
    case VersionKind::kFails5:
      return roll < 5;
    case VersionKind::kFails20:
    case VersionKind::kBreaksOff20:
      return roll < 20;
    case VersionKind::kFails100:
      return true;
    case VersionKind::kBadFromHalf:
      return Elapsed() > m_options.duration / 2 && roll < 50;
    case VersionKind::kBadUnderLoad:
      while (!server.recent.empty() &&
             m_now - server.recent.front() > std::chrono::seconds(1)) {
        server.recent.pop_front();
      }
      return static_cast<double>(server.recent.size()) >
                 m_options.rate / m_options.old_servers / 2 &&
             roll < 50;
    case VersionKind::kBadOnOneRoute:
      return route == "b" && roll < 50;
  }
  return false;
}

int RolloutFleet::Place(int gateway, const state::VersionRule& rule) {
  const RolloutController& controller = *m_gateways[gateway]->controller;
  std::vector<int> candidates;
  for (int i = 0; i < static_cast<int>(m_servers.size()); ++i) {
    const state::BackendServer& entry = m_servers[i]->entry;
    if (!m_registry.Find(entry.id)) continue;
    if (rule.Allows(entry.version) && controller.IsInTrial(entry)) {
      candidates.push_back(i);
    }
  }
  if (candidates.empty()) return -1;
  const int a = candidates[m_random() % candidates.size()];
  const int b = candidates[m_random() % candidates.size()];
  return m_servers[a]->running <= m_servers[b]->running ? a : b;
}

void RolloutFleet::Arrive() {
  const double mean =
      m_options.rate * std::chrono::duration<double>(kStep).count();
  const int count = std::poisson_distribution<int>(mean)(m_random);
  for (int i = 0; i < count; ++i) {
    const double share =
        std::uniform_real_distribution<double>(0, m_shares.back())(m_random);
    const int gateway = static_cast<int>(
        std::lower_bound(m_shares.begin(), m_shares.end(), share) -
        m_shares.begin());
    if (!m_gateways[gateway]->is_alive ||
        m_now < m_gateways[gateway]->frozen_until) {
      continue;
    }
    auto call = std::make_shared<Call>();
    call->route = m_random() % 10 < 7 ? "a" : "b";
    call->is_idempotent = m_random() % 10 < 7;
    call->session = m_random();
    if (Elapsed() < m_options.duration) ++m_result.calls;
    Start(gateway, call);
  }
}

void RolloutFleet::Start(int gateway, std::shared_ptr<Call> call) {
  RolloutController& controller = *m_gateways[gateway]->controller;
  if (++call->attempts > 3) return;
  const auto rule = controller.Choose(
      {m_service, call->session, call->is_idempotent, call->tried}, m_now);
  int index = Place(gateway, rule);
  if (index < 0 && rule.may_fall_back) index = Place(gateway, {});
  if (index < 0) return;
  Server& server = *m_servers[index];
  const std::string version = server.entry.version;
  controller.OnSent(m_service, version, call->is_idempotent, m_now);
  if (!server.is_alive) {
    AttemptObservation observation{m_service, version, call->route,
                                   server.entry.id, call->is_idempotent};
    controller.OnEnded(observation, m_now);
    Start(gateway, std::move(call));
    return;
  }
  if (version == kTarget) {
    if (Elapsed() < m_options.duration) ++m_result.exposed;
    if (m_fiftieth_bad && m_now - *m_fiftieth_bad > milliseconds(5000)) {
      ++m_result.late_sends;
    }
  }
  ++server.running;
  if (!call->is_idempotent) ++server.running_unrepeatable;
  server.recent.push_back(m_now);
  if (server.recent.size() > 1000) server.recent.pop_front();
  const bool is_failed = IsBad(index, call->route);
  double time_ms =
      20 + std::exponential_distribution<double>(1.0 / 40)(m_random);
  if (m_options.kind == VersionKind::kSlow && version == kTarget) time_ms *= 3;
  if (is_failed) time_ms = 15;
  call->has_ended = false;
  const int attempt = call->attempts;
  At(milliseconds(static_cast<int>(time_ms) + 1),
     [this, gateway, call, index, is_failed, attempt] {
       if (call->attempts != attempt || call->has_ended) return;
       // The end of a killed backend server is seen 30 ms later at most.
       const bool is_alive = m_servers[index]->is_alive;
       --m_servers[index]->running;
       if (!call->is_idempotent) --m_servers[index]->running_unrepeatable;
       End(gateway, call, index, is_failed || !is_alive, is_alive);
     });
}

void RolloutFleet::End(int index, const std::shared_ptr<Call>& call,
                       int server_index, bool is_failed, bool has_response) {
  Gateway& gateway = *m_gateways[index];
  if (gateway.is_alive && m_now < gateway.frozen_until) {
    // The backend server has ended the call; the gateway sees it later.
    gateway.waiting.push_back(
        [this, index, call, server_index, is_failed, has_response] {
          End(index, call, server_index, is_failed, has_response);
        });
    return;
  }
  call->has_ended = true;
  Server& server = *m_servers[server_index];
  if (!gateway.is_alive) return;
  AttemptObservation observation{m_service, server.entry.version, call->route,
                                 server.entry.id, call->is_idempotent};
  observation.outcome = is_failed ? AttemptObservation::Outcome::kFailed
                                  : AttemptObservation::Outcome::kAnswered;
  observation.broke_off =
      is_failed &&
      (!has_response || m_options.kind == VersionKind::kBreaksOff20);
  if (observation.broke_off) has_response = m_random() % 2 == 0;
  if (has_response) {
    double time_ms = 15;
    if (!is_failed) {
      time_ms = 20 + std::exponential_distribution<double>(1.0 / 40)(m_random);
      if (m_options.kind == VersionKind::kSlow &&
          server.entry.version == kTarget) {
        time_ms *= 3;
      }
    }
    observation.first_byte =
        microseconds(static_cast<std::int64_t>(time_ms * 1000));
  }
  if (server.entry.version == kTarget) {
    const bool is_bad = is_failed || m_options.kind == VersionKind::kSlow;
    ++(is_bad ? m_result.bad_answers : m_result.good_answers);
    if (m_result.bad_answers >= 50 && !m_fiftieth_bad) m_fiftieth_bad = m_now;
  }
  gateway.controller->OnEnded(observation, m_now);
  if (is_failed && call->is_idempotent) {
    call->tried = server.entry.version;
    Start(index, call);
  }
}

void RolloutFleet::BeginFailure() {
  const auto collectors = Collectors();
  const int decider = std::stoi(collectors.front().substr(1));
  switch (m_options.failure) {
    case FleetFailure::kNone:
    case FleetFailure::kDatagramsLost:
    case FleetFailure::kWriteRepliesLost:
      return;
    case FleetFailure::kDeciderKilled:
      if (m_options.gateways == 1) return;
      m_gateways[decider]->is_alive = false;
      At(kLease, [this, decider] { m_gateways[decider]->is_listed = false; });
      return;
    case FleetFailure::kDeciderFrozen:
      m_gateways[decider]->frozen_until = m_now + milliseconds(4000);
      At(kLease, [this, decider] { m_gateways[decider]->is_listed = false; });
      At(milliseconds(4500),
         [this, decider] { m_gateways[decider]->is_listed = true; });
      return;
    case FleetFailure::kHalfCutOffFromStore:
      m_is_cut_off = true;
      At(milliseconds(4000), [this] { m_is_cut_off = false; });
      return;
    case FleetFailure::kStoreRestored:
      Restore();
      return;
    case FleetFailure::kServerKilled:
      KillServer();
      return;
  }
}

void RolloutFleet::Restore() {
  ++m_era;
  m_record = m_saved_record;
  m_record_revision = m_next_revision++;
  const std::string target = m_order->target_version;
  m_order.reset();
  At(milliseconds(1000), [this, target] { PutOrder(target); });
}

void RolloutFleet::KillServer() {
  // The busiest backend server of the version has the most calls to lose.
  Server* victim = nullptr;
  for (const auto& server : m_servers) {
    if (server->entry.version != kTarget) continue;
    if (victim == nullptr || server->running > victim->running) {
      victim = server.get();
    }
  }
  victim->is_alive = false;
  At(kLease, [this, victim] { m_registry.Drop(victim->entry.id, m_now); });
}

void RolloutFleet::Step() {
  m_now += kStep;
  while (!m_events.empty() && m_events.begin()->first <= m_now) {
    const auto event = std::move(m_events.begin()->second);
    m_events.erase(m_events.begin());
    event();
  }
  Arrive();
  for (int i = 0; i < m_options.gateways; ++i) {
    Gateway& gateway = *m_gateways[i];
    if (!gateway.is_alive || m_now < gateway.frozen_until) continue;
    const auto waiting = std::move(gateway.waiting);
    gateway.waiting.clear();
    // After a freeze, timers may run before what has arrived is read.
    const bool is_tick_first = m_random() % 2 == 0;
    if (!is_tick_first) {
      for (const auto& event : waiting) event();
    }
    if (m_now >= gateway.next_tick) {
      gateway.next_tick = m_now + kTick;
      if (gateway.controller->IsActive()) gateway.controller->Tick(m_now);
    }
    if (is_tick_first) {
      for (const auto& event : waiting) event();
    }
    if (m_now >= gateway.next_poll) {
      gateway.next_poll = m_now + kPoll;
      Poll(i);
    }
  }
}

FleetResult RolloutFleet::Run() {
  m_loses_datagrams = m_options.failure == FleetFailure::kDatagramsLost;
  m_loses_replies = m_options.failure == FleetFailure::kWriteRepliesLost;
  m_order_time = m_now + milliseconds(3000);
  const TimePoint end =
      m_order_time + m_options.duration + milliseconds(4000) +
      (m_options.replaced_at.count() > 0 ? m_options.replaced_at
                                         : milliseconds(0));
  // The calls before the order are not counted.
  while (m_now < m_order_time) Step();
  m_result = {};
  PutOrder(kTarget);
  StartServers(kTarget);
  // The backup is from the time of the order or some seconds before the end.
  const milliseconds failure_at(500 + m_random() %
                                          (m_options.duration.count() - 1000));
  At(std::max(milliseconds(0), failure_at - milliseconds(3000)),
     [this] { m_saved_record = m_record; });
  At(failure_at, [this] { BeginFailure(); });
  if (m_options.replaced_at.count() > 0) {
    At(m_options.replaced_at, [this] {
      PutOrder(kThird);
      StartServers(kThird);
    });
  }
  while (m_now < end) Step();
  return m_result;
}

}  // namespace wasabiwall::fakes
