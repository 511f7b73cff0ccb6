#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "wasabiwall/state/config_records.h"

namespace wasabiwall::coordination {

/// One backend server that may take a call.
struct Candidate {
  state::BackendServerId id;
  double weight = 1.0;
  /// Load last heard of, in load units; 0 when never heard.
  std::int64_t load_units = 0;
};

/// What a routing policy decides on.
struct RoutingQuery {
  state::WorkspaceId workspace;
  state::ChatId chat;
  std::int64_t cost_units = 0;
  std::vector<Candidate> candidates;
};

/// Orders candidates, best first; every candidate appears once.
using RoutingPolicy =
    std::function<std::vector<Candidate>(const RoutingQuery& query)>;

/// Orders candidates by weighted rendezvous hashing over workspace and chat.
/// Routers that disagree on a few candidates agree on the order of the rest.
std::vector<Candidate> OrderByRendezvous(const RoutingQuery& query);

}  // namespace wasabiwall::coordination
