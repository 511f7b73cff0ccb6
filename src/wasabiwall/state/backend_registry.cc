#include "wasabiwall/state/backend_registry.h"

#include <algorithm>

namespace wasabiwall::state {
namespace {

/// How long an incarnation that leaves or was removed is remembered without an
/// entry: longer than any outage of the registry after which its entry may
/// appear again.
constexpr std::chrono::minutes kRetention{30};
/// Longest delay of a write that was not answered. An incarnation that started
/// earlier than the one known may appear later than this only if the clock of
/// its VM was set back.
constexpr std::chrono::seconds kLongestWriteDelay{30};

/// @return Whether one backend server may have written both entries, and its
/// start time is known.
bool AreComparable(const BackendServer& a, const BackendServer& b) {
  return a.incarnation != 0 && b.incarnation != 0 && a.service == b.service &&
         a.failure_domain == b.failure_domain;
}

}  // namespace

bool BackendRegistry::IsOutdated(const BackendServer& server,
                                 MonotonicTime now) const {
  const auto* known = Find(server.id);
  const auto removed = m_removed.find(server.id);
  if (known == nullptr && removed == m_removed.end()) return false;
  const BackendServer& last =
      known != nullptr ? known->server : removed->second.server;
  const auto known_since =
      known != nullptr ? known->first_seen : removed->second.removed_at;
  if (!AreComparable(server, last)) return false;
  if (server.incarnation != last.incarnation) {
    return server.incarnation < last.incarnation &&
           now - known_since < kLongestWriteDelay;
  }
  if (server.address != last.address) return false;
  // The same write again: news only of an entry that may have expired.
  const bool has_left = known == nullptr && !removed->second.may_live;
  return has_left ? server.sequence <= last.sequence
                  : server.sequence < last.sequence;
}

void BackendRegistry::Erase(const BackendServerId& id, MonotonicTime now,
                            bool may_live) {
  const auto found = m_servers.find(id);
  if (found == m_servers.end()) return;
  ++m_revision;
  m_removed[id] = {found->second.server, now, may_live};
  m_servers.erase(found);
}

bool BackendRegistry::Put(const BackendServer& server, MonotonicTime now,
                          bool appeared) {
  if (IsOutdated(server, now)) return false;
  ++m_revision;
  m_removed.erase(server.id);
  // A write of the server that is carried out late must not bring it back.
  // Without a start time, a later run could not be told from this one.
  if (server.draining && server.incarnation != 0) MarkLeaving(server, now);
  const auto found = m_servers.find(server.id);
  const bool same_incarnation =
      found != m_servers.end() &&
      IncarnationOf(found->second.server) == IncarnationOf(server);
  if (same_incarnation) {
    found->second.server = server;
    found->second.kept_until.reset();
    found->second.reported_cold_until =
        std::max(found->second.reported_cold_until, now + server.cold_left);
    return false;
  }
  if (!IsLeaving(server)) m_leaving.erase(server.id);
  m_servers[server.id] = {
      .server = server,
      .first_seen = now,
      .reported_cold_until = now + server.cold_left,
      .assumed_cold_since = appeared ? std::optional(now) : std::nullopt};
  return true;
}

std::optional<MonotonicTime> BackendRegistry::Remove(const BackendServerId& id,
                                                     MonotonicTime now) {
  const auto found = m_servers.find(id);
  if (found == m_servers.end()) return {};
  const bool may_return = m_grace_end && now < *m_grace_end;
  const BackendServer& server = found->second.server;
  if (may_return && !server.draining && !IsLeaving(server)) {
    ++m_revision;
    found->second.kept_until = m_grace_end;
    return m_grace_end;
  }
  Erase(id, now);
  return {};
}

void BackendRegistry::Drop(const BackendServerId& id, MonotonicTime now) {
  Erase(id, now);
}

void BackendRegistry::OnContact(MonotonicTime now) {
  const bool was_out = !m_in_contact && m_last_contact &&
                       now - *m_last_contact >= m_lapse_times.shortest_outage;
  m_last_contact = now;
  m_in_contact = true;
  if (was_out) BeginGrace(now);
}

void BackendRegistry::OnRestored(MonotonicTime now) { BeginGrace(now); }

void BackendRegistry::BeginGrace(MonotonicTime now) {
  m_grace_end = now + m_lapse_times.grace;
  for (auto& [id, known] : m_servers) {
    if (known.kept_until) known.kept_until = m_grace_end;
  }
}

bool BackendRegistry::HasExpired(const KnownBackendServer& known,
                                 MonotonicTime now) const {
  return m_in_contact && known.kept_until && now >= *known.kept_until;
}

bool BackendRegistry::IsMissing(const BackendServerId& id) const {
  const auto* known = Find(id);
  return known != nullptr && known->kept_until.has_value();
}

std::size_t BackendRegistry::MissingCount() const {
  return static_cast<std::size_t>(std::ranges::count_if(
      m_servers,
      [](const auto& entry) { return entry.second.kept_until.has_value(); }));
}

void BackendRegistry::RetainOnly(const std::set<BackendServerId>& present,
                                 MonotonicTime now) {
  std::vector<BackendServerId> missing;
  for (const auto& [id, known] : m_servers) {
    if (!present.contains(id)) missing.push_back(id);
  }
  for (const BackendServerId& id : missing) Remove(id, now);
}

void BackendRegistry::SetEvacuated(const FailureDomainId& domain,
                                   bool evacuated, MonotonicTime now) {
  ++m_revision;
  if (evacuated) {
    m_evacuated.insert(domain);
    return;
  }
  if (m_evacuated.erase(domain) == 0) return;
  for (auto& [id, known] : m_servers) {
    if (known.server.failure_domain != domain) continue;
    known.assumed_cold_since = now;
  }
}

std::vector<BackendServerId> BackendRegistry::Expire(MonotonicTime now) {
  std::vector<BackendServerId> expired;
  for (const auto& [id, known] : m_servers) {
    if (HasExpired(known, now)) expired.push_back(id);
  }
  for (const BackendServerId& id : expired) Erase(id, now, true);
  for (auto& [id, mark] : m_leaving) {
    if (m_servers.contains(id)) mark.last_known = now;
  }
  std::erase_if(m_leaving, [now](const auto& entry) {
    return now - entry.second.last_known > kRetention;
  });
  std::erase_if(m_removed, [now](const auto& entry) {
    return now - entry.second.removed_at > kRetention;
  });
  return expired;
}

bool BackendRegistry::MarkLeaving(const BackendServer& server,
                                  MonotonicTime now) {
  const bool is_news = !IsLeaving(server);
  m_leaving[server.id] = {IncarnationOf(server), now};
  if (is_news) ++m_revision;
  return is_news;
}

bool BackendRegistry::IsLeaving(const BackendServer& server) const {
  const auto found = m_leaving.find(server.id);
  return found != m_leaving.end() &&
         found->second.incarnation == IncarnationOf(server);
}

void BackendRegistry::ExtendCold(const BackendServerId& id,
                                 MonotonicTime until) {
  const auto found = m_servers.find(id);
  if (found == m_servers.end()) return;
  found->second.reported_cold_until =
      std::max(found->second.reported_cold_until, until);
}

MonotonicTime BackendRegistry::ColdUntil(
    const KnownBackendServer& known) const {
  if (!known.assumed_cold_since || !m_cold_time) {
    return known.reported_cold_until;
  }
  return std::max(
      known.reported_cold_until,
      *known.assumed_cold_since + m_cold_time(known.server.service));
}

bool BackendRegistry::IsEligible(const KnownBackendServer& known,
                                 MonotonicTime now) const {
  return !known.server.draining && !IsLeaving(known.server) &&
         !IsEvacuated(known.server.failure_domain) && !HasExpired(known, now);
}

const KnownBackendServer* BackendRegistry::Find(
    const BackendServerId& id) const {
  const auto found = m_servers.find(id);
  return found == m_servers.end() ? nullptr : &found->second;
}

std::vector<const KnownBackendServer*> BackendRegistry::Of(
    const ServiceId& service) const {
  std::vector<const KnownBackendServer*> found;
  for (const auto& [id, known] : m_servers) {
    if (known.server.service == service) found.push_back(&known);
  }
  std::sort(found.begin(), found.end(), [](const auto* a, const auto* b) {
    return a->server.id < b->server.id;
  });
  return found;
}

}  // namespace wasabiwall::state
