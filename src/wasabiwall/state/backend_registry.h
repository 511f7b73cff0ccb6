#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
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

/// Entry of the platform's registry for one backend server.
struct BackendServer {
  BackendServerId id;
  ServiceId service;
  /// `ip:port`.
  std::string address;
  FailureDomainId failure_domain;
  int capacity = 0;
  bool draining = false;
  /// Start time in Unix milliseconds, which distinguishes incarnations with the
  /// same identifier. 0 if unknown.
  std::int64_t incarnation = 0;
  /// Time for which it stays cold, counted from the registry update.
  std::chrono::milliseconds cold_left{0};
};

/// One run of a backend server from its start to its end.
struct Incarnation {
  std::int64_t start = 0;
  std::string address;

  bool operator==(const Incarnation&) const = default;
};

/// @return The incarnation that an entry describes.
inline Incarnation IncarnationOf(const BackendServer& server) {
  return {server.incarnation, server.address};
}

/// Registry entry of a backend server with the state that this process keeps
/// about it.
struct KnownBackendServer {
  BackendServer server;
  /// Time at which this process first saw this incarnation.
  MonotonicTime first_seen;
  /// Time until which it is treated as cold.
  MonotonicTime cold_until;
  /// Time for which new backend servers of its service stay cold.
  std::chrono::milliseconds cold_time{0};
};

/// Local copy of the registry's backend servers and failure domains.
///
/// Entries that disappear around an outage of the registry are kept for a grace
/// time, since live backend servers register again after one. Not safe for
/// concurrent use.
class BackendRegistry {
 public:
  /// @param lapse_grace Time after an outage for which a missing entry is kept.
  explicit BackendRegistry(std::chrono::milliseconds lapse_grace)
      : m_lapse_grace(lapse_grace) {}

  /// Adds or updates an entry.
  /// @param cold_time Time for which new backend servers of its service stay
  /// cold.
  /// @param appeared Whether the entry was absent at the first full read, so
  /// that a new incarnation is assumed to be cold.
  /// @return Whether this is a new incarnation.
  bool Put(const BackendServer& server, MonotonicTime now,
           std::chrono::milliseconds cold_time, bool appeared);

  /// Removes an entry. Shortly after an outage of the registry, an entry that
  /// is not draining is kept for the grace time.
  /// @return Until when the entry is kept; nothing if it is gone.
  std::optional<MonotonicTime> Remove(const BackendServerId& id,
                                      MonotonicTime now);

  /// Removes the entries that a full read did not contain.
  /// @param present Identifiers that the read contained.
  void RetainOnly(const std::set<BackendServerId>& present, MonotonicTime now);

  /// Sets whether all entries are known. Calls that are placed earlier would
  /// all go to the few backend servers that were read first.
  void SetComplete(bool is_complete) { m_is_complete = is_complete; }

  bool IsComplete() const { return m_is_complete; }

  /// Records that the registry cannot be reached.
  void OnOutage(MonotonicTime now) {
    m_last_outage = now;
    m_had_outage = true;
  }

  /// Evacuates a failure domain or ends its evacuation. Its backend servers may
  /// have become cold in the meantime and are treated as cold after the
  /// evacuation.
  void SetEvacuated(const FailureDomainId& domain, bool evacuated,
                    MonotonicTime now);

  /// Removes entries whose grace time is over.
  /// @return Their identifiers.
  std::vector<BackendServerId> Expire(MonotonicTime now);

  /// @return Whether the entry is missing and kept for the grace time.
  bool IsMissing(const BackendServerId& id) const {
    return m_lapsing.contains(id);
  }

  /// @return Number of missing entries that are kept.
  std::size_t MissingCount() const { return m_lapsing.size(); }

  /// Records that a backend server has announced that it leaves. This holds for
  /// its incarnation, whatever the registry says of it, and for a time after
  /// its entry has disappeared.
  /// @return Whether this is news.
  bool MarkLeaving(const BackendServer& server, MonotonicTime now);

  /// @return Number of backend servers that have announced that they leave.
  std::size_t LeavingCount() const { return m_leaving.size(); }

  /// Extends the cold time of a backend server that reports that it is cold.
  void ExtendCold(const BackendServerId& id, MonotonicTime until);

  bool IsEvacuated(const FailureDomainId& domain) const {
    return m_evacuated.contains(domain);
  }

  /// @return Whether new calls may be sent to the backend server.
  bool IsEligible(const KnownBackendServer& known) const;

  /// @return The backend server, or null.
  const KnownBackendServer* Find(const BackendServerId& id) const;

  /// @return Backend servers of a service, including those that accept no new
  /// calls, by identifier.
  std::vector<const KnownBackendServer*> Of(const ServiceId& service) const;

  std::size_t Size() const { return m_servers.size(); }

  /// @return Revision number, incremented with each change.
  std::int64_t Revision() const { return m_revision; }

 private:
  /// An incarnation that has announced that it leaves.
  struct LeavingMark {
    Incarnation incarnation;
    /// When it was last known to exist.
    MonotonicTime last_known;
  };

  bool InLapseGrace(MonotonicTime now) const;
  bool IsLeaving(const BackendServer& server) const;

  std::chrono::milliseconds m_lapse_grace;
  std::unordered_map<BackendServerId, KnownBackendServer> m_servers;
  /// Entries that disappeared around an outage, with the end of their grace
  /// time.
  std::unordered_map<BackendServerId, MonotonicTime> m_lapsing;
  std::unordered_map<BackendServerId, LeavingMark> m_leaving;
  std::set<FailureDomainId> m_evacuated;
  MonotonicTime m_last_outage;
  bool m_had_outage = false;
  bool m_is_complete = true;
  std::int64_t m_revision = 0;
};

}  // namespace wasabiwall::state
