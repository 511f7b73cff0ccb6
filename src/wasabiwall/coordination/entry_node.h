#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "wasabiwall/coordination/call_plan.h"
#include "wasabiwall/coordination/candidate_cache.h"
#include "wasabiwall/coordination/clock.h"
#include "wasabiwall/coordination/crash_records.h"
#include "wasabiwall/coordination/membership.h"
#include "wasabiwall/coordination/pool_load_estimate.h"
#include "wasabiwall/coordination/retry_budget.h"
#include "wasabiwall/coordination/router.h"
#include "wasabiwall/coordination/transit_time_estimator.h"
#include "wasabiwall/coordination/unreported_load.h"
#include "wasabiwall/protocol/gen/wasabiwall_types.h"
#include "wasabiwall/state/config_store.h"

namespace wasabiwall::coordination {

/// A caller's HTTP request after parsing.
struct CallerRequest {
  std::string method;
  std::string body;
  /// Bearer token; empty when none was sent.
  std::string token;
  /// Value of the X-Chat-Id header; empty when none was sent.
  std::string chat_id;
  std::string idempotency_key;
  /// Query string with its `?`, for plain services.
  std::string query;
};

/// An authenticated and routed call: its candidates and the submit message for
/// side processes.
struct PlannedCall {
  CallSpec spec;
  std::vector<state::BackendServerId> order;
  /// Submit message; attempt identifier and envelope are set for each attempt.
  protocol::gen::SubmitRequest request;
  bool streaming = false;
};

/// Callbacks of an EntryNode into the process that hosts it.
struct EntryNodeHooks {
  ClockHook clock;
  RandomHook random;
};

/// Decision logic of an entry process: authenticates callers' requests, orders
/// the backend servers for each and keeps the load estimates and crash records
/// that routing uses. Does no I/O; safe for concurrent use.
class EntryNode {
 public:
  /// @param deadline Total time allowed for a call.
  EntryNode(state::ConfigStore* config, std::chrono::milliseconds deadline,
            EntryNodeHooks hooks);

  /// Authenticates, parses and routes a chat completion.
  protocol::Result<PlannedCall> PlanChat(const CallerRequest& call);

  /// Authenticates and routes a call of a plain service.
  protocol::Result<PlannedCall> PlanService(const std::string& service,
                                            const std::string& call_name,
                                            const CallerRequest& call);

  /// Creates the state machine of a call, which the transport drives, and
  /// counts the first attempt in the pool's retry budget.
  CallPlan MakePlan(const PlannedCall& call);

  /// Records the load reports of a reply.
  /// @param transit Upper bound of the reply's transit time.
  void ObserveLoads(const std::vector<protocol::gen::LoadReport>& reports,
                    std::chrono::microseconds transit);

  /// Records crashes, clock readings and load reports of a reply. Load reports
  /// are ignored when the transit time cannot be bounded.
  /// @param address Address of the side process that answered.
  void ObserveEnvelope(const std::string& address,
                       const protocol::gen::Envelope& envelope);

  /// Writes this process's clock reading and the echo into a message to a side
  /// process.
  void Stamp(const std::string& address,
             protocol::gen::Envelope* envelope) const {
    m_transit_time.Stamp(address, envelope);
  }

  /// Selects at random backend servers to probe for their load: those of pools
  /// in use that have no fresh load report and are not suspect.
  /// @param count Largest number to return.
  std::vector<state::BackendServerId> ProbeTargets(std::size_t count);

  /// @return Load reports that a message may carry, newest first.
  std::vector<protocol::gen::LoadReport> LoadReports() const;

  /// Records that a call got a complete answer.
  void OnAnswered(const PlannedCall& call);

  /// Returns the error with a Retry-After delay that spaces the retries of the
  /// pool's callers.
  /// @param pool Pool of the call; empty when the call reached no pool.
  protocol::Error WithRetryAfter(const std::string& pool,
                                 protocol::Error error);

  /// @return Crash records, which messages carry and replies update.
  CrashRecords& Crashes() { return m_crashes; }

  Membership& Members() { return m_membership; }

 private:
  protocol::Result<state::WorkspaceId> Authenticate(
      const state::ConfigView& view, const std::string& token) const;
  std::vector<state::BackendServerId> OrderCandidates(
      const std::shared_ptr<const state::ConfigView>& view,
      const state::PoolId& pool, RoutingQuery query);

  state::ConfigStore* m_config;
  std::chrono::milliseconds m_deadline;
  EntryNodeHooks m_hooks;
  Membership m_membership;
  PoolLoadEstimate m_loads;
  UnreportedLoad m_unreported;
  CandidateCache m_candidates;
  TransitTimeEstimator m_transit_time;
  RetriesByPool m_retries;
  CrashRecords m_crashes;
};

}  // namespace wasabiwall::coordination
