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
  /// Load last heard of, in load units; 0 when never heard.
  std::int64_t load_units = 0;
  /// Whether `load_units` was heard recently enough to be used.
  bool heard = false;
  /// Hash of `id`; 0 when not computed in advance.
  std::uint64_t id_hash = 0;
};

/// What a routing policy decides on.
struct RoutingQuery {
  state::WorkspaceId workspace;
  state::ChatId chat;
  std::int64_t cost_units = 0;
  /// Must outlive the query.
  std::span<const Candidate> candidates;
  /// Number of positions that the caller uses.
  std::size_t max_results = std::numeric_limits<std::size_t>::max();
  /// Bound on a backend server's load as a multiple of the heard mean.
  double max_load_ratio = 1.25;
  /// Load up to which the bound does not apply, in load units.
  std::int64_t load_floor_units = 0;
  /// Mean of the heard loads, in load units; negative to have it computed.
  double reported_mean_units = -1.0;
  /// Reads a candidate's newest load; unset to use `Candidate::load_units`.
  std::function<std::int64_t(const Candidate&)> load_of;
  /// Ring over `candidates`; null to have one built when a policy needs it.
  const HashRing* ring = nullptr;
};

/// Indexes into the candidates of a query, best first.
using CandidateOrder = std::vector<std::size_t>;

/// Orders candidates. No candidate appears twice; all appear unless the query
/// wants fewer, and then the order is cut off after `wanted`.
using RoutingPolicy = std::function<CandidateOrder(const RoutingQuery& query)>;

/// @return Newest load of a candidate as the query sees it, in load units.
std::int64_t LoadOf(const RoutingQuery& query, const Candidate& candidate);

/// @return Hash of the routing key, workspace and chat.
std::uint64_t ChatHash(const RoutingQuery& query);

/// @return Number of positions that an order of this query has.
std::size_t OrderLength(const RoutingQuery& query);

/// Orders candidates by weighted rendezvous hashing over workspace and chat.
/// Routers that disagree on a few candidates agree on the order of the rest.
/// @return All wanted candidates, best first.
std::vector<Candidate> OrderByRendezvous(const RoutingQuery& query);

}  // namespace wasabiwall::coordination
