#include "wasabiwall/protocol/ticket.h"

#include "wasabiwall/protocol/ticket_check.h"
#include "wasabiwall/state/digest.h"

namespace wasabiwall::protocol {
namespace {

using state::ConfigItem;
using state::ItemKind;

const FieldSpec kName{.name = "name", .required = true};
const FieldSpec kPlacement{.name = "state", .choices = {"in", "out"}};

std::vector<FieldSpec> PoolFields() {
  return {
      kName,
      {.name = "kind", .required = true, .choices = {"model", "service"}},
      {.name = "models", .type = FieldType::kStrings},
      {.name = "max_load_ratio",
       .type = FieldType::kNumber,
       .min = 1,
       .max = 100},
      {.name = "load_floor_units",
       .type = FieldType::kInteger,
       .min = 1,
       .max = 1e12},
      {.name = "load_ceiling_units",
       .type = FieldType::kInteger,
       .min = 1,
       .max = 1e12},
      {.name = "warmup_units",
       .type = FieldType::kInteger,
       .min = 1,
       .max = 1e12},
      {.name = "warmup_calls",
       .type = FieldType::kInteger,
       .min = 1,
       .max = 1e6},
      {.name = "key_shards",
       .type = FieldType::kInteger,
       .min = 1,
       .max = 4096},
      {.name = "policy",
       .choices = {"rendezvous_bounded", "rendezvous", "consistent_hash",
                   "least_of_two", "random"}},
  };
}

std::vector<FieldSpec> BackendServerFields() {
  return {
      kName,
      {.name = "pool", .required = true},
      {.name = "failure_domain", .required = true},
      {.name = "side", .required = true},
      {.name = "url", .required = true},
      kPlacement,
      {.name = "checks_fencing", .type = FieldType::kBoolean},
      {.name = "weight", .type = FieldType::kNumber, .min = 0.01, .max = 100},
  };
}

std::vector<FieldSpec> ServiceFields() {
  const FieldSpec idempotent{.name = "idempotent", .type = FieldType::kBoolean};
  return {
      kName,
      {.name = "pool", .required = true},
      {.name = "calls",
       .type = FieldType::kTables,
       .required = true,
       .fields = {kName, idempotent}},
  };
}

std::vector<FieldSpec> TicketSchema() {
  const std::vector<FieldSpec> workspace = {
      kName,
      {.name = "token_digest", .required = true},
      {.name = "weight", .type = FieldType::kNumber, .min = 0.01, .max = 1000},
  };
  const std::vector<FieldSpec> removal = {
      kName,
      {.name = "kind",
       .required = true,
       .choices = {"workspace", "failure_domain", "pool", "backend_server",
                   "service"}},
  };
  return {
      {.name = "ticket",
       .type = FieldType::kInteger,
       .required = true,
       .min = 1},
      {.name = "author", .required = true},
      {.name = "workspace", .type = FieldType::kTables, .fields = workspace},
      {.name = "failure_domain",
       .type = FieldType::kTables,
       .fields = {kName, kPlacement}},
      {.name = "pool", .type = FieldType::kTables, .fields = PoolFields()},
      {.name = "backend_server",
       .type = FieldType::kTables,
       .fields = BackendServerFields()},
      {.name = "service",
       .type = FieldType::kTables,
       .fields = ServiceFields()},
      {.name = "remove", .type = FieldType::kTables, .fields = removal},
  };
}

ConfigItem MakeItem(ItemKind kind, const nlohmann::json& table,
                    std::int64_t ticket) {
  ConfigItem item;
  item.kind = kind;
  item.name = table.at("name");
  item.ticket = ticket;
  item.state = table;
  item.state.erase("name");
  return item;
}

std::vector<ConfigItem> CollectItems(const nlohmann::json& root,
                                     std::int64_t ticket) {
  std::vector<ConfigItem> items;
  for (const auto& [key, tables] : root.items()) {
    ItemKind kind{};
    if (!state::ParseItemKind(key, &kind)) continue;
    for (const nlohmann::json& table : tables) {
      items.push_back(MakeItem(kind, table, ticket));
    }
  }
  for (const nlohmann::json& table :
       root.value("remove", nlohmann::json::array())) {
    ConfigItem item;
    state::ParseItemKind(table.at("kind"), &item.kind);
    item.name = table.at("name");
    item.ticket = ticket;
    item.deleted = true;
    items.push_back(std::move(item));
  }
  return items;
}

}  // namespace

tl::expected<Ticket, std::vector<TomlProblem>> ParseTicket(
    std::string_view text, const std::string& file) {
  TomlLines lines;
  const auto root = ParseToml(text, file, TicketSchema(), &lines);
  if (!root) return tl::make_unexpected(root.error());
  const std::vector<TomlProblem> problems =
      CheckTicketValues(*root, file, lines);
  if (!problems.empty()) return tl::make_unexpected(problems);
  Ticket ticket;
  ticket.number = root->at("ticket");
  ticket.author = root->at("author");
  ticket.items = CollectItems(*root, ticket.number);
  ticket.digest = state::Sha256Hex(root->dump());
  return ticket;
}

std::string EncodeItem(const ConfigItem& item) {
  return nlohmann::json{{"kind", state::ItemKindName(item.kind)},
                        {"name", item.name},
                        {"ticket", item.ticket},
                        {"deleted", item.deleted},
                        {"state", item.state}}
      .dump();
}

bool DecodeItem(const std::string& text, std::int64_t revision,
                ConfigItem* item) {
  const nlohmann::json json = nlohmann::json::parse(text, nullptr, false);
  if (!json.is_object()) return false;
  try {
    if (!state::ParseItemKind(json.at("kind"), &item->kind)) return false;
    item->name = json.at("name");
    item->ticket = json.at("ticket");
    item->deleted = json.at("deleted");
    item->state = json.at("state");
  } catch (const nlohmann::json::exception&) {
    return false;
  }
  item->revision = revision;
  return true;
}

}  // namespace wasabiwall::protocol
