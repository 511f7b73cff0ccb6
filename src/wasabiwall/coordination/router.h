#pragma once

#include <cstdint>
#include <functional>
#include <limits>
#include <span>
#include <string>
#include <vector>

#include "wasabiwall/state/config_records.h"

namespace wasabiwall::coordination {

class HashRing;

/// One backend server that may take a call.
struct Candidate {
  state::BackendServerId id;
  double weight = 1.0;
  /// Last reported load, in load units; 0 when unknown.
  std::int64_t load_units = 0;
  /// Whether `load_units` was reported recently enough to be used.
  bool reported = false;
  /// Hash of `id`; 0 when not computed in advance.
  std::uint64_t id_hash = 0;
};

/// Input of a routing policy.
struct RoutingQuery {
  state::WorkspaceId workspace;
  state::ChatId chat;
  std::int64_t cost_units = 0;
  /// Must outlive the query.
  std::span<const Candidate> candidates;
  /// Largest number of candidates to return.
  std::size_t max_results = std::numeric_limits<std::size_t>::max();
  /// Bound on a backend server's load as a multiple of the mean reported load.
  double max_load_ratio = 1.25;
  /// Load up to which the bound does not apply, in load units.
  std::int64_t load_floor_units = 0;
  /// Mean of the reported loads, in load units; computed when negative.
  double reported_mean_units = -1.0;
  /// Returns a candidate's newest load; unset to use `Candidate::load_units`.
  std::function<std::int64_t(const Candidate&)> load_of;
  /// Ring over `candidates`; built on demand when null.
  const HashRing* ring = nullptr;
};

/// Indexes into the candidates of a query, best first.
using CandidateOrder = std::vector<std::size_t>;

/// Orders the candidates of a query. No candidate appears twice; the order is
/// truncated to `max_results`.
using RoutingPolicy = std::function<CandidateOrder(const RoutingQuery& query)>;

/// @return Newest load of a candidate by the query, in load units.
std::int64_t LoadOf(const RoutingQuery& query, const Candidate& candidate);

/// @return Hash of the routing key: workspace and chat.
std::uint64_t ChatHash(const RoutingQuery& query);

/// @return Number of candidates that an order of this query has.
std::size_t OrderLength(const RoutingQuery& query);

/// Orders candidates by weighted rendezvous hashing over workspace and chat.
/// Routers whose candidates differ agree on the order of the common ones.
/// @return Up to `max_results` candidates, best first.
std::vector<Candidate> OrderByRendezvous(const RoutingQuery& query);

}  // namespace wasabiwall::coordination
