#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <tl/expected.hpp>
#include <vector>

#include "wasabiwall/coordination/backend_health.h"
#include "wasabiwall/coordination/backend_load_table.h"
#include "wasabiwall/coordination/cold_start_limiter.h"
#include "wasabiwall/coordination/event_interval_table.h"
#include "wasabiwall/coordination/prompt_cache_index.h"
#include "wasabiwall/state/backend_registry.h"
#include "wasabiwall/state/service_config.h"

namespace wasabiwall::coordination {

/// A call that looks for a backend server.
struct PlacementQuery {
  const state::Service* service = nullptr;
  /// Hash of the last prompt part that other calls share; 0 when there is none.
  std::uint64_t shared_part = 0;
  /// Tokens of the shared parts.
  std::int64_t shared_tokens = 0;
  /// Backend servers that this call was sent to before.
  std::vector<state::BackendServerId> tried;
};

/// Why no backend server was chosen.
enum class PlacementRefusal {
  /// The service has no backend server that takes new work.
  kNone,
  /// Those that would take new work cannot be reached.
  kUnreachable,
  /// All are cold and have got what they bear.
  kCold,
  /// All are at their capacity or out of connections.
  kFull,
};

/// Backend server chosen for a call.
struct Placement {
  state::BackendServer server;
  /// Another backend server that holds the shared parts of the prompt.
  std::optional<state::BackendServer> fetch_from;
  /// Inputs of the decision, for the log.
  double load = 0;
  double mean_load = 0;
  int rank = 0;
};

/// Chooses backend servers: calls that share a prompt return to the same one
/// while its load stays near the mean of its service; all others go to the
/// least loaded. Does no I/O. Not safe for concurrent use.
class BackendPlacement {
 public:
  struct Inputs {
    const state::BackendRegistry* registry;
    const BackendLoadTable* loads;
    const BackendHealth* health;
    const EventIntervalTable* paces;
    const ColdStartLimiter* cold_starts;
    const PromptCacheIndex* prompt_cache;
    /// @return Whether a connection to the address may be used or opened.
    std::function<bool(const state::BackendServer&, const state::Service&)>
        has_connection;
    /// @return Processes that share the limits of backend servers.
    std::function<int()> processes;
    RandomHook random;
  };

  /// @param failure_domain Failure domain of this process.
  /// @param load_factor Multiple of the mean load that no backend server may
  /// exceed.
  BackendPlacement(Inputs inputs, state::FailureDomainId failure_domain,
                   double load_factor);

  /// Changes the multiple of the mean load.
  void SetLoadFactor(double load_factor) { m_load_factor = load_factor; }

  /// @return The backend server for the call, or why there is none.
  tl::expected<Placement, PlacementRefusal> Choose(const PlacementQuery& query,
                                                   TimePoint now) const;

  /// @return Whether the prompt is worth a copy from another backend server,
  /// but none is known to hold it.
  bool NeedsHolderLookup(const PlacementQuery& query, TimePoint now) const;

 private:
  struct Candidate {
    const state::KnownBackendServer* known;
    double load;
    /// Order of preference; the lowest is preferred.
    double cost;
    bool spared;
  };

  std::vector<Candidate> Candidates(const PlacementQuery& query, TimePoint now,
                                    PlacementRefusal* refusal) const;
  /// Marks the candidates that are slow beside the others.
  void SpareSlow(std::vector<Candidate>* candidates, TimePoint now) const;
  bool HasColdRoom(const state::KnownBackendServer& known,
                   const state::Service& service, TimePoint now) const;
  double AffinityCost(const state::KnownBackendServer& known,
                      std::uint64_t shared_part) const;
  double LoadCost(const Candidate& candidate) const;
  double MeanLoad(const state::Service& service, TimePoint now) const;
  /// @return Backend servers that can be reached and hold the shared parts, the
  /// latest reader first.
  std::vector<const state::KnownBackendServer*> Holders(
      const PlacementQuery& query, TimePoint now) const;
  std::optional<state::BackendServer> FetchSource(
      const PlacementQuery& query, const state::KnownBackendServer& target,
      TimePoint now) const;

  Inputs m_inputs;
  state::FailureDomainId m_failure_domain;
  double m_load_factor;
};

}  // namespace wasabiwall::coordination
