#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "wasabiwall/state/service_config.h"
#include "wasabiwall/state/strong_id.h"

namespace wasabiwall::state {

/// Monotonic time of one process.
using MonotonicTime = std::chrono::time_point<std::chrono::steady_clock,
                                              std::chrono::microseconds>;

/// What the platform's registry says of one backend server.
struct BackendServer {
  BackendServerId id;
  ServiceId service;
  /// `ip:port`.
  std::string address;
  FailureDomainId failure_domain;
  int capacity = 0;
  bool draining = false;
  /// Unix milliseconds of its start; tells two lives under one identifier
  /// apart. 0 when it is not known.
  std::int64_t incarnation = 0;
  /// How much longer it stays cold, as of the registry's news.
  std::chrono::milliseconds cold_left{0};
};

/// Backend server as one process sees it.
struct KnownBackendServer {
  BackendServer server;
  /// When this process first heard of this life of it.
  MonotonicTime first_seen;
  /// Until when it is treated as cold.
  MonotonicTime cold_until;
  /// How long its service's backend servers stay cold.
  std::chrono::milliseconds cold_time{0};
};

/// Backend servers and failure domains as last heard from the registry.
///
/// Entries that vanish around an outage of the registry are kept for a grace
/// time, since living backend servers register again after one. Not safe for
/// concurrent use.
class BackendRegistry {
 public:
  /// @param lapse_grace How long after an outage a vanished entry is kept.
  explicit BackendRegistry(std::chrono::milliseconds lapse_grace)
      : m_lapse_grace(lapse_grace) {}

  /// Records an entry.
  /// @param cold_time How long backend servers of its service stay cold.
  /// @param appeared Whether it was not there at the first full read, so that
  /// a new life of it is assumed to be cold.
  /// @return Whether this is the first news of this life of it.
  bool Put(const BackendServer& server, MonotonicTime now,
           std::chrono::milliseconds cold_time, bool appeared);

  /// Records that an entry is gone.
  void Remove(const BackendServerId& id, MonotonicTime now);

  /// Replaces all entries with those of a full read.
  /// @param present Identifiers that the read held.
  void RetainOnly(const std::set<BackendServerId>& present, MonotonicTime now);

  /// The registry cannot be reached.
  void OnOutage(MonotonicTime now) {
    m_last_outage = now;
    m_had_outage = true;
  }

  /// Takes a failure domain out or back. Its backend servers may have turned
  /// cold meanwhile and are treated as cold after their return.
  void SetEvacuated(const FailureDomainId& domain, bool evacuated,
                    MonotonicTime now);

  /// Drops entries whose grace time is over.
  void Expire(MonotonicTime now);

  /// Raises the cold time of a backend server that says itself it is cold.
  void ExtendCold(const BackendServerId& id, MonotonicTime until);

  bool IsEvacuated(const FailureDomainId& domain) const {
    return m_evacuated.contains(domain);
  }

  /// @return Whether new work may be sent to the backend server.
  bool IsEligible(const KnownBackendServer& known) const;

  /// @return The backend server, or null.
  const KnownBackendServer* Find(const BackendServerId& id) const;

  /// @return Backend servers of a service, also those that take no new work.
  std::vector<const KnownBackendServer*> Of(const ServiceId& service) const;

  std::size_t Size() const { return m_servers.size(); }

  /// @return Grows with each change.
  std::int64_t Revision() const { return m_revision; }

 private:
  bool InLapseGrace(MonotonicTime now) const;

  std::chrono::milliseconds m_lapse_grace;
  std::unordered_map<BackendServerId, KnownBackendServer> m_servers;
  /// Entries that vanished around an outage, with the end of their grace.
  std::unordered_map<BackendServerId, MonotonicTime> m_lapsing;
  std::set<FailureDomainId> m_evacuated;
  MonotonicTime m_last_outage;
  bool m_had_outage = false;
  std::int64_t m_revision = 0;
};

}  // namespace wasabiwall::state
