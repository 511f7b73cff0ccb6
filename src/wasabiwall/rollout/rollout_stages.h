#pragma once

#include <optional>
#include <string>

#include "wasabiwall/state/rollout_order.h"

namespace wasabiwall::rollout {

/// @return Whether a roll-out ends with the stage.
inline bool IsFinal(state::RolloutStage stage) {
  return stage == state::RolloutStage::kCompleted ||
         stage == state::RolloutStage::kRolledBack;
}

/// Stage of one order at one gateway. `bad` holds at once; all other stages
/// hold from the moment at which the record shows them or a gateway that has
/// read it there reports them. `rolled_back` never becomes `completed`, nor the
/// reverse, once the record had it.
class RolloutStages {
 public:
  /// @param stage Stage in which the gateway begins.
  explicit RolloutStages(state::RolloutStage stage) : m_stage(stage) {}

  state::RolloutStage Stage() const { return m_stage; }
  const std::string& Reason() const { return m_reason; }

  /// @return Stage that the record should have.
  state::RolloutStage Wanted() const { return m_proposed.value_or(m_stage); }
  /// @return Why the record should have it.
  const std::string& WantedReason() const {
    return m_proposed ? m_proposed_reason : m_reason;
  }

  /// @return Whether the record has to be written. One with a final stage never
  /// is.
  bool NeedsWrite() const {
    return !m_recorded || (*m_recorded != Wanted() && !IsFinal(*m_recorded));
  }

  /// @return Whether a stage was proposed that the record doesn't show yet.
  bool HasProposal() const { return m_proposed.has_value(); }

  /// Takes the stage in the order's record; nothing if there is none.
  /// @return Whether the stage has changed.
  bool OnRecord(std::optional<state::RolloutStage> recorded,
                const std::string& reason);

  /// Takes the stage that another gateway reports.
  /// @param from Name of the gateway.
  /// @return Whether the stage has changed.
  bool OnReport(state::RolloutStage reported, const std::string& from);

  /// Proposes the next stage, which takes effect once the record shows it.
  void Propose(state::RolloutStage stage, const std::string& reason);

  /// Takes back what was proposed and not read in the record yet.
  void CancelProposal() { m_proposed.reset(); }

  /// Rolls back at once.
  /// @return Whether the stage has changed; not if it is final.
  bool RollBack(const std::string& reason);

 private:
  bool Enter(state::RolloutStage stage, const std::string& reason);

  state::RolloutStage m_stage;
  std::string m_reason;
  std::optional<state::RolloutStage> m_recorded;
  /// Whether the record has had the final stage.
  bool m_is_settled = false;
  std::optional<state::RolloutStage> m_proposed;
  std::string m_proposed_reason;
};

}  // namespace wasabiwall::rollout
