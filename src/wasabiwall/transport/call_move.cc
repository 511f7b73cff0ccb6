#include "wasabiwall/transport/call_move.h"

#include "wasabiwall/transport/logging.h"

namespace wasabiwall::transport {

void CallMove::OnSilent(const ResolvedCall& call, const Attempt& attempt,
                        const std::vector<state::BackendServerId>& excluded,
                        bool may_move) {
  const state::BackendServerId& id = attempt.Server().id;
  // The duration of plain calls varies too much for one call that times out to
  // indicate a failing backend server.
  const bool is_ejected =
      call.IsStream() && m_context->health.OnResponseTimeout(
                             id, attempt.SentAt(), m_context->loop->Now());
  std::vector<LogField> fields = {
      {"id", call.metadata.attempt_id},
      {"backend", id.value},
      {"begun", attempt.Reply().HasStarted() ? "true" : "false"},
      {"spared", is_ejected ? "true" : "false"}};
  const bool has_started = may_move && m_try_move();
  const bool waits = may_move && !has_started &&
                     m_wait.Enter({.service = call.service->id,
                                   .excluded = excluded,
                                   .priority = call.Priority(),
                                   .expires = call.deadline,
                                   .try_place = m_try_move,
                                   .on_expired = [this] { m_wait.Leave(); }});
  fields.push_back({"repeats", has_started ? "true" : "false"});
  fields.push_back({"waits_for_room", waits ? "true" : "false"});
  LogInfo("attempt_idle_timeout", fields);
}

}  // namespace wasabiwall::transport
