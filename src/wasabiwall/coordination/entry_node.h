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
#include "wasabiwall/coordination/message_age.h"
#include "wasabiwall/coordination/pool_load_estimate.h"
#include "wasabiwall/coordination/retry_budget.h"
#include "wasabiwall/coordination/router.h"
#include "wasabiwall/coordination/unreported_load.h"
#include "wasabiwall/protocol/gen/wasabiwall_types.h"
#include "wasabiwall/state/config_store.h"

namespace wasabiwall::coordination {

/// A caller's request after HTTP parsing.
struct CallerRequest {
  std::string method;
  std::string body;
  /// Bearer token; empty when none was sent.
  std::string token;
  /// Chat identifier from the header, empty when none was sent.
  std::string chat_id;
  std::string idempotency_key;
  /// Query string with its `?`, for plain services.
  std::string query;
};

/// A call that may be sent: its plan and the message for side processes.
struct PlannedCall {
  CallSpec spec;
  std::vector<state::BackendServerId> order;
  /// Submit message without attempt identifier and envelope.
  protocol::gen::SubmitRequest request;
  bool streaming = false;
};

/// Hooks of an entry node.
struct EntryNodeHooks {
  ClockHook clock;
  RandomHook random;
};

/// Decides at an entry where a caller's request may go. Does no I/O; safe for
/// concurrent use.
class EntryNode {
 public:
  /// @param deadline Time a call may take in all.
  EntryNode(state::ConfigStore* config, std::chrono::milliseconds deadline,
            EntryNodeHooks hooks);

  /// Plans a chat completion.
  protocol::Result<PlannedCall> PlanChat(const CallerRequest& call);

  /// Plans a call of a plain service.
  protocol::Result<PlannedCall> PlanService(const std::string& service,
                                            const std::string& call_name,
                                            const CallerRequest& call);

  /// @return The plan of a call, to be driven by the transport.
  CallPlan MakePlan(const PlannedCall& call);

  /// Takes in the loads that a reply carried.
  /// @param transit Most time that the reply can have been on its way.
  void ObserveLoads(const std::vector<protocol::gen::LoadReport>& reports,
                    std::chrono::microseconds transit);

  /// Takes in the clock readings and loads of a reply; loads of unknown age
  /// are left out.
  /// @param address Side process that answered.
  void ObserveEnvelope(const std::string& address,
                       const protocol::gen::Envelope& envelope);

  /// Writes the clock readings into a message to a side process.
  void Stamp(const std::string& address,
             protocol::gen::Envelope* envelope) const {
    m_message_age.Stamp(address, envelope);
  }

  /// @return Backend servers of pools in use whose load is not known, drawn
  /// at random, to be asked for it.
  /// @param count Largest number wanted.
  std::vector<state::BackendServerId> ProbeTargets(std::size_t count);

  /// @return Loads that may be sent along with a message.
  std::vector<protocol::gen::LoadReport> LoadReports() const;

  /// Records that a call was answered whole.
  void OnAnswered(const PlannedCall& call);

  /// Gives the error to a caller its time to come back.
  /// @param pool Pool that the call went to; empty when it went to none.
  protocol::Error WithRetryAfter(const std::string& pool,
                                 protocol::Error error);

  /// Crashes known of requests, to be sent along and learnt from replies.
  CrashRecords& Crashes() { return m_crashes; }

  Membership& Members() { return m_membership; }

 private:
  protocol::Result<state::WorkspaceId> Authenticate(
      const state::ConfigView& view, const std::string& token) const;
  std::vector<state::BackendServerId> Order(
      const std::shared_ptr<const state::ConfigView>& view,
      const state::PoolId& pool, RoutingQuery query);

  state::ConfigStore* m_config;
  std::chrono::milliseconds m_deadline;
  EntryNodeHooks m_hooks;
  Membership m_membership;
  PoolLoadEstimate m_loads;
  UnreportedLoad m_unreported;
  CandidateCache m_candidates;
  MessageAge m_message_age;
  RetriesByPool m_retries;
  CrashRecords m_crashes;
};

}  // namespace wasabiwall::coordination
