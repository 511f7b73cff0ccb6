#include "wasabiwall/coordination/failure_domain_health.h"

#include <algorithm>
#include <set>
#include <utility>

#include "wasabiwall/state/digest.h"

namespace wasabiwall::coordination {
namespace {

using protocol::FailureDomainMessage;
using std::chrono::milliseconds;

/// Backend servers that must fail to reply. Single packets are lost on any
/// link, and single machines fail.
constexpr std::size_t kMinServers = 3;
/// Gateways that must have seen it; the network of one may be at fault.
constexpr std::size_t kMinReporters = 2;
/// Timeouts that are further apart are no common cause.
constexpr milliseconds kWindow{1500};
/// Time after which a lost domain is tried again. The registry notices within
/// a few seconds.
constexpr milliseconds kLostTime{1500};
/// Time after that within which the next attempt decides. Later, the domain
/// must be found lost anew.
constexpr milliseconds kProbeTime{3000};
/// Shortest time between two reports, and between two announcements, of a
/// domain.
constexpr milliseconds kReportInterval{50};
constexpr milliseconds kAnnouncementInterval{500};

/// Domains that are kept; a fleet has a few, and messages may name any.
constexpr std::size_t kMaxDomains = 64;

/// Name of this gateway among the reporters.
constexpr const char* kSelf = "";

}  // namespace

FailureDomainHealth::FailureDomainHealth(state::FailureDomainId own_domain,
                                         Hooks hooks)
    : m_own_domain(std::move(own_domain)), m_hooks(std::move(hooks)) {}

void FailureDomainHealth::OnConnectTimeout(const state::BackendServer& server,
                                           TimePoint now) {
  const state::FailureDomainId& id = server.failure_domain;
  if (id == m_own_domain) return;
  const std::uint64_t hash = state::FastHash(server.id.value);
  AddTimeout(id, {hash, kSelf, now}, now);
  Domain& domain = m_domains[id];
  if (IsOwnNetworkSuspect(now)) return;
  if (now - domain.last_report < kReportInterval) return;
  domain.last_report = now;
  m_hooks.report({.kind = FailureDomainMessage::Kind::kReport,
                  .domain = id,
                  .server = hash});
}

void FailureDomainHealth::OnAnswer(const state::FailureDomainId& id,
                                   TimePoint now) {
  if (!RecordAnswer(id, now)) return;
  if (m_hooks.on_change) m_hooks.on_change(id, false, "answered");
  m_hooks.report({.kind = FailureDomainMessage::Kind::kAnswered, .domain = id});
}

bool FailureDomainHealth::RecordAnswer(const state::FailureDomainId& id,
                                       TimePoint at) {
  Domain& domain = m_domains[id];
  domain.last_answer = std::max(domain.last_answer, at);
  std::erase_if(domain.timeouts,
                [at](const Timeout& timeout) { return timeout.at <= at; });
  if (!domain.needs_probe) return false;
  domain.needs_probe = false;
  domain.lost_until = at;
  return true;
}

void FailureDomainHealth::OnMessage(const std::string& from,
                                    const FailureDomainMessage& message,
                                    TimePoint now) {
  if (message.domain == m_own_domain) return;
  if (m_domains.size() >= kMaxDomains && !m_domains.contains(message.domain)) {
    return;
  }
  const TimePoint at = now - message.age;
  switch (message.kind) {
    case FailureDomainMessage::Kind::kReport:
      AddTimeout(message.domain, {message.server, from, at}, now);
      return;
    case FailureDomainMessage::Kind::kAnswered:
      if (RecordAnswer(message.domain, at) && m_hooks.on_change) {
        m_hooks.on_change(message.domain, false, "answered_elsewhere");
      }
      return;
    case FailureDomainMessage::Kind::kAnnouncement:
      if (m_domains[message.domain].last_answer > at) return;
      SetLost(message.domain, "announced", now);
      return;
  }
}

bool FailureDomainHealth::IsLost(const state::FailureDomainId& id,
                                 TimePoint now) const {
  const auto found = m_domains.find(id);
  return found != m_domains.end() && now < found->second.lost_until;
}

void FailureDomainHealth::AddTimeout(const state::FailureDomainId& id,
                                     Timeout timeout, TimePoint now) {
  Domain& domain = m_domains[id];
  std::erase_if(domain.timeouts, [&](const Timeout& other) {
    return now - other.at > kWindow || other.server == timeout.server;
  });
  if (timeout.at <= domain.last_answer) return;
  domain.timeouts.push_back(std::move(timeout));
  if (!HasEvidence(domain, now) || IsOwnNetworkSuspect(now)) return;
  const auto first =
      std::ranges::min_element(domain.timeouts, {}, &Timeout::at)->at;
  SetLost(id, "no_replies", now);
  if (now - domain.last_announcement < kAnnouncementInterval ||
      !m_hooks.is_collector(id)) {
    return;
  }
  domain.last_announcement = now;
  m_hooks.announce(
      {.kind = FailureDomainMessage::Kind::kAnnouncement,
       .domain = id,
       .age = std::chrono::duration_cast<milliseconds>(now - first)});
}

bool FailureDomainHealth::HasEvidence(const Domain& domain,
                                      TimePoint now) const {
  // Half-open: the first attempt after the time decides.
  if (domain.needs_probe && now >= domain.lost_until &&
      now < domain.lost_until + kProbeTime) {
    return true;
  }
  if (domain.timeouts.size() < kMinServers) return false;
  std::set<std::string> reporters;
  for (const Timeout& timeout : domain.timeouts) {
    reporters.insert(timeout.reporter);
  }
  return reporters.size() >= kMinReporters;
}

void FailureDomainHealth::SetLost(const state::FailureDomainId& id,
                                  const char* reason, TimePoint now) {
  Domain& domain = m_domains[id];
  const bool is_news = now >= domain.lost_until;
  domain.lost_until = now + kLostTime;
  domain.needs_probe = true;
  if (is_news && m_hooks.on_change) m_hooks.on_change(id, true, reason);
}

bool FailureDomainHealth::IsOwnNetworkSuspect(TimePoint now) const {
  return std::ranges::count_if(m_domains, [now](const auto& entry) {
           return std::ranges::any_of(
               entry.second.timeouts, [now](const Timeout& timeout) {
                 return timeout.reporter == kSelf && now - timeout.at < kWindow;
               });
         }) > 1;
}

}  // namespace wasabiwall::coordination
