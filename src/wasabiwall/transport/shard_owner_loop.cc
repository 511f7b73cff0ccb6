#include "wasabiwall/transport/shard_owner_loop.h"

#include <random>
#include <utility>

#include "wasabiwall/transport/logging.h"

namespace wasabiwall::transport {
namespace {

using coordination::LeaseAction;
using coordination::ShardTransition;
using std::chrono::milliseconds;

constexpr milliseconds kWatchRetryWait{1000};

coordination::TimePoint Now() { return coordination::SteadyClock()(); }

std::uint64_t Random() {
  thread_local std::mt19937_64 generator{std::random_device{}()};
  return generator();
}

const char* StepName(ShardTransition::Kind kind) {
  switch (kind) {
    case ShardTransition::Kind::kClaim:
      return "shard_claimed";
    case ShardTransition::Kind::kRelease:
      return "shard_released";
    case ShardTransition::Kind::kRequest:
      return "shard_requested";
    case ShardTransition::Kind::kCancelRequest:
      return "shard_request_cancelled";
  }
  return "";
}

}  // namespace

ShardOwnerLoop::ShardOwnerLoop(
    const coordination::ShardOwnershipOptions& options,
    state::KeyValueStore store, coordination::IdempotencyLedger* ledger,
    std::function<
        void(std::unordered_map<std::int64_t, state::BackendServerId>)>
        on_owners)
    : m_store(std::move(store)),
      m_ownership(options, ledger, &Random),
      m_on_owners(std::move(on_owners)),
      m_watch_thread([this] { WatchLoop(); }) {}

ShardOwnerLoop::~ShardOwnerLoop() { Stop(); }

void ShardOwnerLoop::Tick(
    std::int64_t shards,
    const std::vector<state::BackendServerId>& candidates) {
  m_ownership.Configure(shards, candidates);
  DoLeaseStep();
  for (const ShardTransition& step : m_ownership.PlanTransitions(Now())) {
    const auto result = m_store.txn(step.txn);
    if (!result) continue;
    m_ownership.OnTransitionResult(step, *result, Now());
    if (!result->succeeded) continue;
    LogInfo(StepName(step.kind),
            {{"shard", std::to_string(step.shard)},
             {"revision", std::to_string(result->revision)}});
  }
  m_on_owners(m_ownership.Owners());
}

void ShardOwnerLoop::Stop() {
  if (!m_watch_thread.joinable()) return;
  m_stopped = true;
  m_changed.notify_all();
  m_watch_thread.join();
  const std::int64_t lease = m_ownership.Lease();
  if (lease != 0) m_store.revoke_lease(lease);
}

void ShardOwnerLoop::WatchLoop() {
  while (!m_stopped) {
    WatchOnce();
    std::unique_lock lock(m_mutex);
    const milliseconds early(Random() % (kWatchRetryWait.count() / 2));
    m_changed.wait_for(lock, kWatchRetryWait - early,
                       [this] { return m_stopped.load(); });
  }
}

void ShardOwnerLoop::WatchOnce() {
  const std::string prefix = m_ownership.OwnerPrefix();
  const auto records = m_store.range({.key = prefix, .prefix = true});
  if (!records) return;
  m_ownership.OnSnapshot(*records, Now());
  m_store.watch(prefix, records->revision + 1, [this](const auto& events) {
    if (!events.empty()) {
      m_ownership.OnEvents(events, Now());
      m_on_owners(m_ownership.Owners());
    }
    return !m_stopped;
  });
}

void ShardOwnerLoop::DoLeaseStep() {
  const LeaseAction step = m_ownership.NextLeaseAction(Now());
  if (step == LeaseAction::kNone) return;
  if (step == LeaseAction::kGrant) {
    const auto lease = m_store.grant_lease(m_ownership.LeaseTtl());
    if (lease) {
      m_ownership.OnLeaseGranted(*lease, Now());
    } else {
      m_ownership.OnLeaseFailed(Now());
    }
    return;
  }
  const auto left = m_store.renew_lease(m_ownership.Lease());
  if (!left) {
    m_ownership.OnLeaseFailed(Now());
    return;
  }
  if (left->count() <= 0) LogWarn("lease_lapsed", {});
  m_ownership.OnLeaseRenewed(*left, Now());
}

}  // namespace wasabiwall::transport
