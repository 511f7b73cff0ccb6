#include "wasabiwall/rollout/failure_filter.h"

#include <utility>

namespace wasabiwall::rollout {
namespace {

using std::chrono::milliseconds;

/// Calls in flight at a backend server that ends fail within that time of each
/// other; an answer that comes later shows that it runs.
constexpr milliseconds kBurst{250};
/// Entries of backend servers that have ended are gone by then: they expire
/// after 2.7 s.
constexpr milliseconds kEntryLife{3500};
/// Failures kept for each backend server, and backend servers with failures;
/// beyond, failures count at once.
constexpr std::size_t kMaxFailures = 64;
constexpr std::size_t kMaxServers = 256;

}  // namespace

void FailureFilter::OnFailure(const state::BackendServerId& server,
                              const std::string& route, bool is_target,
                              bool has_response, coordination::TimePoint now) {
  if (has_response) Confirm(server, now);
  const auto found = m_servers.find(server);
  if (found == m_servers.end()) {
    if (m_servers.size() >= kMaxServers) {
      m_hooks.count(route, is_target, 1);
      return;
    }
    m_servers[server] = {m_hooks.incarnation(server),
                         {{now, route, is_target}}};
    return;
  }
  if (found->second.failures.size() >= kMaxFailures) {
    m_hooks.count(route, is_target, 1);
    return;
  }
  found->second.failures.push_back({now, route, is_target});
}

void FailureFilter::OnAnswer(const state::BackendServerId& server,
                             coordination::TimePoint now) {
  Confirm(server, now);
}

void FailureFilter::Confirm(const state::BackendServerId& id,
                            coordination::TimePoint now) {
  const auto found = m_servers.find(id);
  if (found == m_servers.end()) return;
  Server& server = found->second;
  if (m_hooks.incarnation(id) != server.incarnation) {
    OnGone(server);
    m_servers.erase(found);
    return;
  }
  std::erase_if(server.failures, [&](const Failure& failure) {
    if (now - failure.at < kBurst) return false;
    m_hooks.count(failure.route, failure.is_target, 1);
    return true;
  });
  if (server.failures.empty()) m_servers.erase(found);
}

void FailureFilter::Tick(coordination::TimePoint now) {
  for (auto it = m_servers.begin(); it != m_servers.end();) {
    const Server& server = it->second;
    const auto incarnation = m_hooks.incarnation(it->first);
    const bool is_gone = !incarnation || incarnation != server.incarnation;
    if (!is_gone && now - server.failures.front().at < kEntryLife) {
      ++it;
      continue;
    }
    if (is_gone) {
      OnGone(server);
    } else {
      for (const Failure& failure : server.failures) {
        m_hooks.count(failure.route, failure.is_target, 1);
      }
    }
    it = m_servers.erase(it);
  }
}

void FailureFilter::OnGone(const Server& server) {
  const Failure& failure = server.failures.front();
  const bool was_gone =
      std::exchange(m_has_gone[failure.is_target ? 1 : 0], true);
  if (!was_gone) return;
  m_hooks.count(failure.route, failure.is_target, 1);
}

}  // namespace wasabiwall::rollout
