#include "wasabiwall/coordination/config_sync_planner.h"

#include <algorithm>
#include <map>
#include <utility>

#include "wasabiwall/state/digest.h"

namespace wasabiwall::coordination {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

/// One fetch in this many goes to another failure domain.
constexpr std::uint64_t kFetchesPerOtherDomainFetch = 4;

struct RankedServer {
  std::uint64_t rank = 0;
  const state::BackendServer* server = nullptr;
};

}  // namespace

ConfigSyncPlanner::ConfigSyncPlanner(ConfigSyncOptions options, ClockHook clock,
                                     RandomHook random)
    : m_options(std::move(options)),
      m_clock(std::move(clock)),
      m_random(std::move(random)),
      m_last_answer(m_clock()) {}

ConfigSyncStep ConfigSyncPlanner::Next(
    const std::shared_ptr<const state::ConfigView>& view) {
  FindReaders(view);
  if (view->revision == 0) return BootstrapStep();
  if (m_is_reader && m_options.may_read_service) {
    return StepWhenDue(ConfigSyncStep::Kind::kReadService,
                       m_options.reader_read_interval, &m_next_read);
  }
  const bool no_readers = m_local_readers.empty() && m_remote_readers.empty();
  const bool isolated =
      no_readers || m_clock() - m_last_answer > m_options.isolation_timeout;
  if (isolated && m_options.may_read_service) {
    ConfigSyncStep read =
        StepWhenDue(ConfigSyncStep::Kind::kReadService,
                    m_options.isolated_read_interval, &m_next_read);
    if (no_readers || read.kind != ConfigSyncStep::Kind::kWait) return read;
  }
  ConfigSyncStep step =
      StepWhenDue(ConfigSyncStep::Kind::kFetchFromPeer,
                  m_options.peer_fetch_interval, &m_next_fetch);
  if (step.kind == ConfigSyncStep::Kind::kFetchFromPeer)
    step.address = ChoosePeer();
  if (step.address.empty()) step.kind = ConfigSyncStep::Kind::kWait;
  return step;
}

void ConfigSyncPlanner::OnAnswer() { m_last_answer = m_clock(); }

bool ConfigSyncPlanner::IsReader() const { return m_is_reader; }

void ConfigSyncPlanner::FindReaders(
    const std::shared_ptr<const state::ConfigView>& view) {
  if (view == m_view) return;
  m_view = view;
  m_local_readers.clear();
  m_remote_readers.clear();
  m_is_reader = false;
  std::map<std::string, std::vector<RankedServer>> domains;
  for (const auto& [name, server] : view->backend_servers) {
    const std::string& domain = server.failure_domain.value;
    domains[domain].push_back(
        {state::FastHash(name, state::FastHash(domain)), &server});
  }
  for (auto& [domain, ranked] : domains) {
    const std::size_t count =
        std::min(ranked.size(), m_options.readers_per_failure_domain);
    std::partial_sort(
        ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(count),
        ranked.end(), [](const RankedServer& a, const RankedServer& b) {
          return a.rank < b.rank;
        });
    auto& readers =
        domain == m_options.failure_domain ? m_local_readers : m_remote_readers;
    for (std::size_t i = 0; i < count; ++i) {
      const state::BackendServer& server = *ranked[i].server;
      if (server.id.value == m_options.backend_server) m_is_reader = true;
      if (server.side != m_options.address) readers.push_back(server.side);
    }
  }
}

ConfigSyncStep ConfigSyncPlanner::BootstrapStep() {
  ConfigSyncStep step = StepWhenDue(ConfigSyncStep::Kind::kReadService,
                                    m_options.bootstrap_interval, &m_next_read);
  if (step.kind == ConfigSyncStep::Kind::kWait) return step;
  // Peers first: they also answer during an outage of the key-value service.
  const std::size_t choices = m_options.peers.size() + 1;
  const std::size_t choice = m_bootstrap_attempts++ % choices;
  if (choice < m_options.peers.size()) {
    m_next_read = m_clock();
    return {ConfigSyncStep::Kind::kFetchFromPeer, m_options.peers[choice], {}};
  }
  if (!m_options.may_read_service) step.kind = ConfigSyncStep::Kind::kWait;
  return step;
}

ConfigSyncStep ConfigSyncPlanner::StepWhenDue(ConfigSyncStep::Kind kind,
                                              Milliseconds interval,
                                              TimePoint* next_time) {
  const TimePoint now = m_clock();
  // A shorter interval applies at once, as when this process becomes a reader.
  *next_time = std::min(*next_time, now + interval + interval / 4);
  if (now < *next_time) {
    const auto left = duration_cast<milliseconds>(*next_time - now);
    return {ConfigSyncStep::Kind::kWait, "", left + milliseconds(1)};
  }
  const Milliseconds wait = Jittered(interval);
  *next_time = now + wait;
  return {kind, "", wait};
}

std::string ConfigSyncPlanner::ChoosePeer() {
  const bool other =
      m_local_readers.empty() || m_random() % kFetchesPerOtherDomainFetch == 0;
  const auto& readers =
      other && !m_remote_readers.empty() ? m_remote_readers : m_local_readers;
  if (readers.empty()) return "";
  return readers[m_random() % readers.size()];
}

ConfigSyncPlanner::Milliseconds ConfigSyncPlanner::Jittered(
    Milliseconds interval) {
  // Three quarters to five quarters of the interval.
  const auto jitter_range =
      static_cast<std::uint64_t>(interval.count() / 2 + 1);
  const auto jitter = static_cast<std::int64_t>(m_random() % jitter_range);
  return interval * 3 / 4 + Milliseconds(jitter);
}

}  // namespace wasabiwall::coordination
