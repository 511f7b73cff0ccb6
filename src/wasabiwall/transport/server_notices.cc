#include "wasabiwall/transport/server_notices.h"

#include "wasabiwall/transport/logging.h"

namespace wasabiwall::transport {

void ApplyServerNotices(const coordination::Placement& placement,
                        const ReplyMetadata& reply, const std::string& call_id,
                        GatewayContext* context) {
  const auto now = context->loop->Now();
  const state::BackendServer& server = placement.server;
  // The response of another instance says nothing about the expected one.
  if (reply.wrong_backend) return;
  if (reply.load) {
    context->OnLoadReport(server.id, *reply.load, placement.load_bound);
  }
  if (reply.work_time_percent) {
    context->work_times.OnReport(server.service, server.id,
                                 *reply.work_time_percent, now);
  }
  if (reply.cold_left) {
    context->registry.ExtendCold(server.id, now + *reply.cold_left);
  }
  if (reply.leaving && context->registry.MarkLeaving(server, now)) {
    LogInfo("backend_leaving",
            {{"backend", server.id.value},
             {"id", call_id},
             {"revision", std::to_string(context->registry.Revision())}});
  }
  if (!reply.unreadable_hold_off.empty()) {
    LogWarn("retry_after_ignored", {{"backend", server.id.value},
                                    {"id", call_id},
                                    {"value", reply.unreadable_hold_off}});
  }
  if (!reply.hold_off) {
    context->hold_offs.OnAnswer(server, now);
    return;
  }
  const auto left = context->hold_offs.OnRequest(server, *reply.hold_off, now);
  LogInfo("backend_held_off",
          {{"backend", server.id.value},
           {"id", call_id},
           {"asked_ms", std::to_string(reply.hold_off->count())},
           {"left_ms", std::to_string(left.count())}});
}

}  // namespace wasabiwall::transport
