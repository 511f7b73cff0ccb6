#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <tl/expected.hpp>
#include <unordered_map>
#include <vector>

#include "wasabiwall/balancing/work_time_table.h"
#include "wasabiwall/coordination/backend_health.h"
#include "wasabiwall/coordination/backend_load_table.h"
#include "wasabiwall/coordination/cold_start_limiter.h"
#include "wasabiwall/coordination/decaying_mean.h"
#include "wasabiwall/coordination/event_interval_table.h"
#include "wasabiwall/coordination/failure_domain_health.h"
#include "wasabiwall/coordination/hold_off_table.h"
#include "wasabiwall/coordination/prompt_cache_index.h"
#include "wasabiwall/state/backend_registry.h"
#include "wasabiwall/state/service_config.h"
#include "wasabiwall/state/version_rule.h"

namespace wasabiwall::coordination {

/// Call for which a backend server is to be chosen.
struct PlacementQuery {
  const state::Service* service = nullptr;
  /// Hash of the last prompt part that other calls share; 0 if there is none.
  std::uint64_t shared_part = 0;
  /// Number of tokens in the shared parts.
  std::int64_t shared_tokens = 0;
  /// Backend servers that this call was already sent to.
  std::vector<state::BackendServerId> tried;
  /// Failure domains in which connection attempts of this call got no reply.
  std::vector<state::FailureDomainId> silent_domains;
  /// Versions of backend servers that may serve the call.
  state::VersionRule versions;
};

/// Why no backend server was chosen.
enum class PlacementRefusal {
  /// The registry is still being read for the first time.
  kRegistryIncomplete,
  /// The service has no backend server that accepts new calls.
  kNoneEligible,
  /// The backend servers that accept new calls cannot be reached.
  kUnreachable,
  /// All that accept new calls have asked for none for a time.
  kHeldOff,
  /// All are cold and have received all the calls that a cold one sustains.
  kCold,
  /// All are at capacity or at their connection limit.
  kFull,
};

/// Backend server chosen for a call.
struct Placement {
  state::BackendServer server;
  /// Another backend server from which the shared parts of the prompt can be
  /// copied.
  std::optional<state::BackendServer> fetch_from;
  /// Inputs of the decision, for the log.
  double load = 0;
  double mean_load = 0;
  /// Load up to which a backend server of the service gets further calls.
  double load_bound = 0;
  int rank = 0;
};

/// Chooses the backend server for a call. Calls that share a prompt go to the
/// same one, chosen by rendezvous hashing, while its load stays near the mean
/// of the service. All other calls go to the least loaded one. Does no I/O. Not
/// safe for concurrent use.
class BackendPlacement {
 public:
  struct Inputs {
    const state::BackendRegistry* registry;
    const BackendLoadTable* loads;
    const BackendHealth* health;
    const FailureDomainHealth* failure_domains;
    const EventIntervalTable* event_intervals;
    const ColdStartLimiter* cold_starts;
    const HoldOffTable* hold_offs;
    const PromptCacheIndex* prompt_cache;
    /// Speed of backend servers as they report it; null for none.
    const balancing::WorkTimeTable* work_times = nullptr;
    /// @return Whether an existing connection may be used or a new one may be
    /// opened.
    std::function<bool(const state::BackendServer&, const state::Service&)>
        has_connection;
    /// @return Number of processes that share the limits of the backend
    /// servers.
    std::function<int()> processes;
    RandomHook random;
    /// @return Whether a backend server of a service whose versions are
    /// restricted may get calls. If it is not set, all may.
    std::function<bool(const state::BackendServer&)> is_in_trial;
  };

  /// @param failure_domain Failure domain of this process.
  /// @param load_factor Multiple of the mean load that no backend server may
  /// exceed.
  BackendPlacement(Inputs inputs, state::FailureDomainId failure_domain,
                   double load_factor);

  /// Sets the multiple of the mean load that no backend server may exceed.
  void SetLoadFactor(double load_factor) { m_load_factor = load_factor; }

  /// @return The backend server for the call, or why there is none.
  tl::expected<Placement, PlacementRefusal> Choose(const PlacementQuery& query,
                                                   TimePoint now);

  /// @return Time until the first backend server of a service that is held off
  /// may get calls again; zero if none is held off.
  std::chrono::milliseconds HoldOffLeft(const state::Service& service,
                                        TimePoint now) const;

  /// @return Whether the prompt is long enough to be copied from another
  /// backend server, but no holder of it is known.
  bool NeedsHolderLookup(const PlacementQuery& query, TimePoint now) const;

 private:
  using KnownServers = std::vector<const state::KnownBackendServer*>;

  struct Candidate {
    const state::KnownBackendServer* known;
    /// As far as it is known.
    double known_load;
    /// As expected, for the load bound.
    double load;
    /// Candidates with a lower cost are preferred.
    double cost;
    bool ejected;
    /// Whether its failure domain may be lost.
    bool is_domain_silent;
    /// Time that a call takes per place, as a multiple of the mean of the
    /// candidates.
    double work_time = 1;

    /// @return Expected load with one more call, in calls of the usual time.
    double LoadWithCall() const {
      return (load + 1) * std::max(1.0, work_time);
    }
  };

  /// Chooses among the backend servers that the query's rule allows.
  tl::expected<Placement, PlacementRefusal> ChooseAllowed(
      const PlacementQuery& query, TimePoint now);
  /// @return Backend servers that the query's rule allows.
  KnownServers Allowed(const PlacementQuery& query) const;
  std::vector<Candidate> Candidates(const PlacementQuery& query,
                                    const KnownServers& servers, TimePoint now,
                                    PlacementRefusal* refusal) const;
  /// Marks candidates that are slow compared with the others as ejected.
  void EjectSlow(std::vector<Candidate>* candidates, TimePoint now) const;
  /// @return Whether the failure domain may be lost.
  bool IsSilent(const state::FailureDomainId& domain,
                const PlacementQuery& query, TimePoint now) const;
  bool AllowsColdCall(const state::KnownBackendServer& known,
                      const state::Service& service, TimePoint now) const;
  /// Sets the work times and costs of the candidates of a service whose backend
  /// servers report their speed.
  void ApplyWorkTimes(std::vector<Candidate>* candidates, bool by_load,
                      TimePoint now) const;
  double AffinityCost(const state::KnownBackendServer& known,
                      std::uint64_t shared_part) const;
  double LoadCost(const Candidate& candidate) const;
  double MeanLoad(const state::Service& service, const KnownServers& servers,
                  TimePoint now) const;
  /// Updates the averages that UsualOthers uses.
  void UpdateOwnLoad(const state::Service& service, const KnownServers& servers,
                     TimePoint now);
  /// @return Usual load of other processes at a backend server: each is assumed
  /// to send as many calls as this one.
  double UsualOthers(const state::Service& service) const;
  /// @return Reachable backend servers that hold the shared parts, the most
  /// recent first.
  std::vector<const state::KnownBackendServer*> Holders(
      const PlacementQuery& query, TimePoint now) const;
  std::optional<state::BackendServer> FetchSource(
      const PlacementQuery& query, const state::KnownBackendServer& target,
      TimePoint now) const;

  Inputs m_inputs;
  state::FailureDomainId m_failure_domain;
  double m_load_factor;
  /// Calls of this process in flight for each backend server of a service.
  std::unordered_map<state::ServiceId, DecayingMean> m_own_load;
};

}  // namespace wasabiwall::coordination
