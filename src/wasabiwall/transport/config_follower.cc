#include "wasabiwall/transport/config_follower.h"

#include <utility>

#include "wasabiwall/coordination/ticket_acceptor.h"

namespace wasabiwall::transport {
namespace {

namespace gen = protocol::gen;

gen::ItemRecord ToRecord(const state::ConfigItem& item) {
  gen::ItemRecord record;
  record.kind = state::ItemKindName(item.kind);
  record.name = item.name;
  record.ticket = item.ticket;
  record.revision = item.revision;
  record.deleted = item.deleted;
  record.state = item.state.dump();
  return record;
}

bool FromRecord(const gen::ItemRecord& record, state::ConfigItem* item) {
  if (!state::ParseItemKind(record.kind, &item->kind)) return false;
  item->name = record.name;
  item->ticket = record.ticket;
  item->revision = record.revision;
  item->deleted = record.deleted;
  item->state = nlohmann::json::parse(record.state, nullptr, false);
  return !item->state.is_discarded();
}

}  // namespace

ConfigFollower::ConfigFollower(ConfigFollowerOptions options,
                               state::KeyValueStore store,
                               state::ConfigStore* config, PeerClient* peers,
                               std::function<gen::Envelope()> make_envelope)
    : m_options(std::move(options)),
      m_store(std::move(store)),
      m_config(config),
      m_peers(peers),
      m_make_envelope(std::move(make_envelope)) {}

ConfigFollower::~ConfigFollower() { Stop(); }

void ConfigFollower::Start() {
  m_thread = std::thread([this] { Work(); });
}

void ConfigFollower::Stop() {
  {
    const std::lock_guard lock(m_mutex);
    m_stopped = true;
  }
  m_changed.notify_all();
  if (m_thread.joinable()) m_thread.join();
}

void ConfigFollower::OnRevisionHeard(std::int64_t revision,
                                     const std::string& address) {
  if (address.empty()) return;
  const std::lock_guard lock(m_mutex);
  m_last_heard = address;
  if (revision <= m_config->Revision()) return;
  m_newer_at = address;
  m_changed.notify_all();
}

gen::ItemsReply ConfigFollower::ItemsSince(
    const gen::ItemsRequest& request) const {
  gen::ItemsReply reply;
  for (const state::ConfigItem& item :
       m_config->ItemsSince(request.since_revision)) {
    reply.items.push_back(ToRecord(item));
  }
  return reply;
}

void ConfigFollower::Work() {
  if (m_config->Revision() == 0) {
    for (const std::string& peer : m_options.peers) FetchFrom(peer);
  }
  std::unique_lock lock(m_mutex);
  while (!m_stopped) {
    const std::string newer_at = std::exchange(m_newer_at, "");
    lock.unlock();
    if (!newer_at.empty()) FetchFrom(newer_at);
    const bool read = m_options.reads_key_value && ReadKeyValue();
    const bool wanted = m_options.read_wanted && m_options.read_wanted();
    if (!read && wanted) ConfirmFromPeers();
    lock.lock();
    m_changed.wait_for(lock, m_options.poll_interval,
                       [this] { return m_stopped || !m_newer_at.empty(); });
  }
}

bool ConfigFollower::ReadKeyValue() {
  const coordination::TimePoint began_at = coordination::SteadyClock()();
  coordination::TicketAcceptor acceptor(m_store);
  const auto items = acceptor.ReadItems(m_config->Revision());
  if (!items) return false;
  m_config->Apply(*items);
  if (m_options.on_read) m_options.on_read(began_at);
  return true;
}

void ConfigFollower::ConfirmFromPeers() {
  std::string last_heard;
  {
    const std::lock_guard lock(m_mutex);
    last_heard = m_last_heard;
  }
  const coordination::TimePoint began_at = coordination::SteadyClock()();
  bool read = !last_heard.empty() && FetchFrom(last_heard);
  for (const std::string& peer : m_options.peers) {
    if (!read) read = FetchFrom(peer);
  }
  if (read && m_options.on_read) m_options.on_read(began_at);
}

bool ConfigFollower::FetchFrom(const std::string& address) {
  gen::ItemsRequest request;
  request.envelope = m_make_envelope();
  request.since_revision = m_config->Revision();
  const auto reply = m_peers->ItemsSince(address, request);
  if (!reply) return false;
  std::vector<state::ConfigItem> items;
  for (const gen::ItemRecord& record : reply->items) {
    state::ConfigItem item;
    if (FromRecord(record, &item)) items.push_back(std::move(item));
  }
  m_config->Apply(items);
  return true;
}

}  // namespace wasabiwall::transport
