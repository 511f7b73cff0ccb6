#pragma once

#include <string>

#include "wasabiwall/coordination/clock.h"
#include "wasabiwall/protocol/gen/wasabiwall_types.h"
#include "wasabiwall/state/config_store.h"

namespace wasabiwall::fakes {

/// Configuration of a pool "p" with members "0", "1", …, each in its own
/// failure domain.
struct PoolShape {
  int members = 2;
  double ratio = 1.25;
  std::int64_t floor = 100;
  std::int64_t ceiling = 1000000;
  std::int64_t warmup_units = 1000000;
  std::int64_t warmup_calls = 1000000;
};

inline state::ConfigItem Item(state::ItemKind kind, const std::string& name,
                              std::int64_t ticket,
                              const nlohmann::json& state) {
  state::ConfigItem item;
  item.kind = kind;
  item.name = name;
  item.ticket = item.revision = ticket;
  item.state = state;
  return item;
}

/// Returns the configuration item that sets a failure domain in or out.
inline state::ConfigItem Domain(int index, std::int64_t ticket, bool in) {
  return Item(state::ItemKind::kFailureDomain, std::to_string(index), ticket,
              {{"state", in ? "in" : "out"}});
}

/// Returns the configuration items of the whole pool, all of ticket 1.
inline std::vector<state::ConfigItem> PoolItems(const PoolShape& shape) {
  std::vector<state::ConfigItem> items = {
      Item(state::ItemKind::kPool, "p", 1,
           {{"max_load_ratio", shape.ratio},
            {"load_floor_units", shape.floor},
            {"load_ceiling_units", shape.ceiling},
            {"warmup_units", shape.warmup_units},
            {"warmup_calls", shape.warmup_calls}})};
  for (int i = 0; i < shape.members; ++i) {
    const std::string name = std::to_string(i);
    items.push_back(Domain(i, 1, true));
    items.push_back(Item(state::ItemKind::kBackendServer, name, 1,
                         {{"pool", "p"}, {"failure_domain", name}}));
  }
  return items;
}

inline protocol::gen::SubmitRequest Call(const std::string& attempt,
                                         std::int64_t cost_units) {
  protocol::gen::SubmitRequest request;
  request.attempt_id = attempt;
  request.pool = std::string("p");
  request.cost_units = cost_units;
  request.deadline_ms = 60000;
  request.idempotent = true;
  return request;
}

}  // namespace wasabiwall::fakes
