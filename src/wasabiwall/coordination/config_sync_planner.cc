#include "wasabiwall/coordination/config_sync_planner.h"

#include <algorithm>
#include <map>
#include <utility>

#include "wasabiwall/state/digest.h"

namespace wasabiwall::coordination {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

/// One question in this many goes to another failure domain.
constexpr std::uint64_t kOtherDomainShare = 4;

struct Ranked {
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
  if (view->revision == 0) return StartStep();
  if (m_is_reader && m_options.may_read_service) {
    return Due(ConfigSyncStep::Kind::kReadService, m_options.reader_interval,
               &m_next_read);
  }
  const bool nobody = m_own_readers.empty() && m_other_readers.empty();
  const bool isolated =
      nobody || m_clock() - m_last_answer > m_options.isolation_time;
  if (isolated && m_options.may_read_service) {
    ConfigSyncStep read = Due(ConfigSyncStep::Kind::kReadService,
                              m_options.isolated_interval, &m_next_read);
    if (nobody || read.kind != ConfigSyncStep::Kind::kWait) return read;
  }
  ConfigSyncStep step = Due(ConfigSyncStep::Kind::kFetchFromPeer,
                            m_options.ask_interval, &m_next_ask);
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
  m_own_readers.clear();
  m_other_readers.clear();
  m_is_reader = false;
  std::map<std::string, std::vector<Ranked>> domains;
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
        ranked.end(),
        [](const Ranked& a, const Ranked& b) { return a.rank < b.rank; });
    auto& readers =
        domain == m_options.failure_domain ? m_own_readers : m_other_readers;
    for (std::size_t i = 0; i < count; ++i) {
      const state::BackendServer& server = *ranked[i].server;
      if (server.id.value == m_options.backend_server) m_is_reader = true;
      if (server.side != m_options.address) readers.push_back(server.side);
    }
  }
}

ConfigSyncStep ConfigSyncPlanner::StartStep() {
  ConfigSyncStep step = Due(ConfigSyncStep::Kind::kReadService,
                            m_options.start_interval, &m_next_read);
  if (step.kind == ConfigSyncStep::Kind::kWait) return step;
  // Peers first: they also answer while the service is out.
  const std::size_t choices = m_options.peers.size() + 1;
  const std::size_t choice = m_starts++ % choices;
  if (choice < m_options.peers.size()) {
    m_next_read = m_clock();
    return {ConfigSyncStep::Kind::kFetchFromPeer, m_options.peers[choice], {}};
  }
  if (!m_options.may_read_service) step.kind = ConfigSyncStep::Kind::kWait;
  return step;
}

ConfigSyncStep ConfigSyncPlanner::Due(ConfigSyncStep::Kind kind,
                                      Milliseconds interval,
                                      TimePoint* next_time) {
  const TimePoint now = m_clock();
  // A shorter interval counts at once, as when this process becomes a reader.
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
      m_own_readers.empty() || m_random() % kOtherDomainShare == 0;
  const auto& readers =
      other && !m_other_readers.empty() ? m_other_readers : m_own_readers;
  if (readers.empty()) return "";
  return readers[m_random() % readers.size()];
}

ConfigSyncPlanner::Milliseconds ConfigSyncPlanner::Jittered(
    Milliseconds interval) {
  // Three quarters to five quarters of the interval.
  const auto spread = static_cast<std::uint64_t>(interval.count() / 2 + 1);
  const auto shift = static_cast<std::int64_t>(m_random() % spread);
  return interval * 3 / 4 + Milliseconds(shift);
}

}  // namespace wasabiwall::coordination
