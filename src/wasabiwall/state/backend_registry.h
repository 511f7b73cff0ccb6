#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
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
  /// Version of its software; empty if unknown.
  std::string version;
  int capacity = 0;
  bool draining = false;
  /// Start time in Unix milliseconds, which distinguishes incarnations with the
  /// same identifier. 0 if unknown.
  std::int64_t incarnation = 0;
  /// Number of the entry's write, counted by the backend server from its start.
  std::int64_t sequence = 0;
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
  /// Time until which it is cold by its own word.
  MonotonicTime reported_cold_until;
  /// When it may last have become cold without saying so: when it appeared or
  /// its evacuation ended. It then stays cold for the time of its service.
  std::optional<MonotonicTime> assumed_cold_since;
  /// Until when it may be used although its entry is missing; nothing while the
  /// entry is there.
  std::optional<MonotonicTime> kept_until;
};

/// How entries of backend servers expire and return about an outage.
struct LapseTimes {
  /// Shortest time without contact in which an entry may have expired.
  std::chrono::milliseconds shortest_outage{2700};
  /// Time after an outage in which live backend servers register again.
  std::chrono::milliseconds grace{2200};
};

/// Local copy of the registry's backend servers and failure domains.
///
/// Entries may expire in an outage of the registry, and live backend servers
/// register again after it. Whether the registry was out or this process was
/// cut off from it cannot be told apart, so entries that went missing while
/// there was no contact are kept for a grace time from the moment of the first
/// contact. Not safe for concurrent use.
class BackendRegistry {
 public:
  /// @return Time for which a backend server of a service stays cold, as the
  /// configuration in force says; zero if it says nothing.
  using ColdTimeHook =
      std::function<std::chrono::milliseconds(const ServiceId&)>;

  /// @param cold_time Asked whenever it is needed, since the configuration may
  /// come later than the backend servers, and change. Null for zero.
  explicit BackendRegistry(LapseTimes lapse_times,
                           ColdTimeHook cold_time = nullptr)
      : m_lapse_times(lapse_times), m_cold_time(std::move(cold_time)) {}

  /// @return Whether an entry is older than what is known of its backend
  /// server: an earlier write that was carried out late, or one of a copy from
  /// which the registry was restored.
  bool IsOutdated(const BackendServer& server, MonotonicTime now) const;

  /// Adds or updates an entry; ignores one that is outdated.
  /// @param appeared Whether the entry was absent at the first full read, so
  /// that a new incarnation is assumed to be cold.
  /// @return Whether this is a new incarnation.
  bool Put(const BackendServer& server, MonotonicTime now, bool appeared);

  /// Removes an entry. Within the grace time after an outage of the registry,
  /// an entry that is not leaving is kept for the rest of that time.
  /// @return Until when the entry is kept; nothing if it is gone.
  std::optional<MonotonicTime> Remove(const BackendServerId& id,
                                      MonotonicTime now);

  /// Removes an entry that cannot be read, which has not expired.
  void Drop(const BackendServerId& id, MonotonicTime now);

  /// Removes the entries that a full read did not contain.
  /// @param present Identifiers that the read contained.
  void RetainOnly(const std::set<BackendServerId>& present, MonotonicTime now);

  /// Sets whether all entries are known. Calls that are placed earlier would
  /// all go to the few backend servers that were read first.
  void SetComplete(bool is_complete) { m_is_complete = is_complete; }

  bool IsComplete() const { return m_is_complete; }

  /// Records that the registry has answered, before the answer is applied. If
  /// contact was lost for long, the grace time begins.
  void OnContact(MonotonicTime now);

  /// Records that the registry was restored from a copy, which may lack
  /// entries of live backend servers. The grace time begins.
  void OnRestored(MonotonicTime now);

  /// Records that an answer of the registry failed or is overdue. Missing
  /// entries are kept until there is one.
  void OnContactLost() { m_in_contact = false; }

  /// Evacuates a failure domain or ends its evacuation. Its backend servers may
  /// have become cold in the meantime and are treated as cold after the
  /// evacuation.
  void SetEvacuated(const FailureDomainId& domain, bool evacuated,
                    MonotonicTime now);

  /// Removes entries whose grace time is over.
  /// @return Their identifiers.
  std::vector<BackendServerId> Expire(MonotonicTime now);

  /// @return Whether the entry is missing and kept for the grace time.
  bool IsMissing(const BackendServerId& id) const;

  /// @return Number of missing entries that are kept.
  std::size_t MissingCount() const;

  /// Records that a backend server has announced that it leaves, in its entry
  /// or in a response. This holds for its incarnation, whatever the registry
  /// says of it, and for a time after its entry has disappeared.
  /// @return Whether this is news.
  bool MarkLeaving(const BackendServer& server, MonotonicTime now);

  /// @return Number of backend servers that have announced that they leave.
  std::size_t LeavingCount() const { return m_leaving.size(); }

  /// Extends the cold time of a backend server that reports that it is cold.
  void ExtendCold(const BackendServerId& id, MonotonicTime until);

  /// @return Time until which a backend server is treated as cold.
  MonotonicTime ColdUntil(const KnownBackendServer& known) const;

  bool IsEvacuated(const FailureDomainId& domain) const {
    return m_evacuated.contains(domain);
  }

  /// @return Whether new calls may be sent to the backend server.
  bool IsEligible(const KnownBackendServer& known, MonotonicTime now) const;

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

  /// The last entry of a backend server that was removed.
  struct RemovedEntry {
    BackendServer server;
    MonotonicTime removed_at;
    /// Whether it may have expired in an outage, so that the backend server may
    /// live.
    bool may_live = false;
  };

  void BeginGrace(MonotonicTime now);
  /// @return Whether the entry is missing and its grace time is over.
  bool HasExpired(const KnownBackendServer& known, MonotonicTime now) const;
  bool IsLeaving(const BackendServer& server) const;
  /// Removes an entry and remembers how new it was.
  void Erase(const BackendServerId& id, MonotonicTime now,
             bool may_live = false);

  LapseTimes m_lapse_times;
  ColdTimeHook m_cold_time;
  std::unordered_map<BackendServerId, KnownBackendServer> m_servers;
  std::unordered_map<BackendServerId, LeavingMark> m_leaving;
  std::unordered_map<BackendServerId, RemovedEntry> m_removed;
  std::set<FailureDomainId> m_evacuated;
  bool m_in_contact = true;
  std::optional<MonotonicTime> m_last_contact;
  /// End of the grace time after the last outage.
  std::optional<MonotonicTime> m_grace_end;
  bool m_is_complete = true;
  std::int64_t m_revision = 0;
};

}  // namespace wasabiwall::state
