#include "wasabiwall/coordination/config_fetch.h"

#include <vector>

namespace wasabiwall::coordination {
namespace {

namespace gen = protocol::gen;
using state::ConfigItem;

gen::ItemRecord ToRecord(const ConfigItem& item) {
  gen::ItemRecord record;
  record.kind = state::ItemKindName(item.kind);
  record.name = item.name;
  record.ticket = item.ticket;
  record.revision = item.revision;
  record.deleted = item.deleted;
  record.state = item.state.dump();
  return record;
}

bool FromRecord(const gen::ItemRecord& record, ConfigItem* item) {
  if (!state::ParseItemKind(record.kind, &item->kind)) return false;
  item->name = record.name;
  item->ticket = record.ticket;
  item->revision = record.revision;
  item->deleted = record.deleted;
  item->state = nlohmann::json::parse(record.state, nullptr, false);
  return !item->state.is_discarded();
}

}  // namespace

gen::ItemsReply BuildItemsReply(const state::ConfigStore& config,
                                const gen::ItemsRequest& request,
                                std::size_t max_bytes) {
  state::ConfigCursor cursor;
  cursor.revision = request.since_revision;
  cursor.name = request.after_name;
  if (!state::ParseItemKind(request.after_kind, &cursor.kind)) {
    cursor = {.revision = request.since_revision + 1};
  }
  const state::ConfigPage page = config.ItemsAfter(cursor, max_bytes);
  gen::ItemsReply reply;
  for (const ConfigItem& item : page.items) {
    reply.items.push_back(ToRecord(item));
  }
  reply.more = !page.last;
  reply.complete_revision = page.complete_revision;
  return reply;
}

ConfigFetch::ConfigFetch(state::ConfigStore* config) : m_config(config) {
  m_next_request.since_revision = config->Revision();
}

gen::ItemsRequest ConfigFetch::NextRequest() const { return m_next_request; }

bool ConfigFetch::OnReply(const gen::ItemsReply& reply) {
  // An item that changes on the peer between two replies moves to a later place
  // in the order, so that the replies miss no item up to the complete revision
  // of the first reply.
  if (m_is_first_reply) m_complete_revision = reply.complete_revision;
  m_is_first_reply = false;
  std::vector<ConfigItem> items;
  bool all_decoded = true;
  for (const gen::ItemRecord& record : reply.items) {
    ConfigItem item;
    if (FromRecord(record, &item)) {
      items.push_back(std::move(item));
    } else {
      all_decoded = false;
    }
  }
  if (!all_decoded) m_complete_revision = 0;
  const bool more = reply.more && !reply.items.empty();
  m_config->Apply(items, more ? 0 : m_complete_revision);
  if (!more) return false;
  const gen::ItemRecord& last = reply.items.back();
  m_next_request.since_revision = last.revision;
  m_next_request.after_kind = last.kind;
  m_next_request.after_name = last.name;
  return true;
}

}  // namespace wasabiwall::coordination
