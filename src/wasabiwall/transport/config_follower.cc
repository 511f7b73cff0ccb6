#include "wasabiwall/transport/config_follower.h"

#include <algorithm>
#include <random>
#include <utility>

#include "wasabiwall/coordination/config_fetch.h"
#include "wasabiwall/coordination/config_reader.h"

namespace wasabiwall::transport {
namespace {

using std::chrono::milliseconds;

/// Least time between two fetches from processes heard to be newer.
constexpr milliseconds kMinFetchInterval{50};
constexpr milliseconds kUrgentPoll{500};
constexpr milliseconds kWatchRetryInterval{1000};
constexpr std::chrono::seconds kHeardRetention{60};
constexpr std::size_t kMaxHeard = 2048;
constexpr int kMaxRepliesPerFetch = 200;

std::uint64_t RandomBits() {
  thread_local std::mt19937_64 engine{std::random_device{}()};
  return engine();
}

}  // namespace

ConfigFollower::ConfigFollower(
    coordination::ConfigSyncOptions options, state::KeyValueStore store,
    state::ConfigStore* config, PeerClient* peers,
    std::function<protocol::gen::Envelope()> make_envelope,
    ConfigFollowerHooks hooks)
    : m_may_read_service(options.may_read_service),
      m_start_peers(options.peers),
      m_hooks(std::move(hooks)),
      m_store(std::move(store)),
      m_config(config),
      m_peers(peers),
      m_make_envelope(std::move(make_envelope)),
      m_spread(std::move(options), coordination::SteadyClock(), &RandomBits) {}

ConfigFollower::~ConfigFollower() { Stop(); }

void ConfigFollower::Start() {
  m_thread = std::thread([this] { Work(); });
  m_watch_thread = std::thread([this] { Watch(); });
}

void ConfigFollower::Stop() {
  {
    const std::lock_guard lock(m_mutex);
    m_stopped = true;
  }
  m_changed.notify_all();
  if (m_thread.joinable()) m_thread.join();
  if (m_watch_thread.joinable()) m_watch_thread.join();
}

void ConfigFollower::OnRevisionHeard(std::int64_t revision,
                                     const std::string& address) {
  if (address.empty()) return;
  const bool newer = revision > m_config->Revision();
  const std::lock_guard lock(m_mutex);
  NoteHeard(address);
  m_last_heard = address;
  if (!newer) return;
  m_newer_at = address;
  m_changed.notify_all();
}

protocol::gen::ItemsReply ConfigFollower::ItemsSince(
    const protocol::gen::ItemsRequest& request) const {
  return coordination::BuildItemsReply(*m_config, request);
}

std::vector<std::string> ConfigFollower::HeardFrom() const {
  const SteadyTime oldest = std::chrono::steady_clock::now() - kHeardRetention;
  const std::lock_guard lock(m_mutex);
  std::vector<std::string> addresses;
  for (const auto& [address, time] : m_heard) {
    if (time >= oldest) addresses.push_back(address);
  }
  return addresses;
}

void ConfigFollower::Work() {
  using Kind = coordination::ConfigSyncStep::Kind;
  std::unique_lock lock(m_mutex);
  while (!m_stopped) {
    const std::string newer_at = std::exchange(m_newer_at, "");
    const bool read_wanted = std::exchange(m_read_wanted, false);
    lock.unlock();
    bool answered = false;
    if (read_wanted) answered = ReadKeyValue();
    if (!newer_at.empty()) answered = FetchFrom(newer_at) || answered;
    const bool urgent = m_hooks.read_wanted && m_hooks.read_wanted();
    if (urgent) answered = Confirm() || answered;
    const coordination::ConfigSyncStep step = m_spread.Next(m_config->View());
    if (step.kind == Kind::kReadService) answered = ReadKeyValue() || answered;
    if (step.kind == Kind::kFetchFromPeer) {
      answered = FetchFrom(step.address) || answered;
    }
    if (answered) m_spread.OnAnswer();
    m_watches = m_spread.IsReader();
    lock.lock();
    if (step.kind != Kind::kWait) continue;
    // A read that becomes urgent is noticed within the poll interval.
    const milliseconds longest = m_hooks.read_wanted ? kUrgentPoll : step.wait;
    m_changed.wait_for(lock, std::min(step.wait, longest), [this] {
      return m_stopped || m_read_wanted || !m_newer_at.empty();
    });
    m_changed.wait_for(lock, kMinFetchInterval, [this] { return m_stopped; });
  }
}

void ConfigFollower::Watch() {
  const auto wanted = [this] { return m_watches && !Stopped(); };
  while (!Stopped()) {
    if (wanted() && m_store.watch && ReadKeyValue()) {
      m_store.watch(coordination::kConfigPrefix, m_service_revision + 1,
                    [&](const auto& events) {
                      if (!events.empty()) WantRead();
                      return wanted();
                    });
    }
    std::unique_lock lock(m_mutex);
    m_changed.wait_for(lock, kWatchRetryInterval, [this] { return m_stopped; });
  }
}

void ConfigFollower::WantRead() {
  // The watch's own thread is inside its call to the service.
  const std::lock_guard lock(m_mutex);
  m_read_wanted = true;
  m_changed.notify_all();
}

bool ConfigFollower::Confirm() {
  if (m_may_read_service && ReadKeyValue()) return true;
  std::string last_heard;
  {
    const std::lock_guard lock(m_mutex);
    last_heard = m_last_heard;
  }
  if (!last_heard.empty() && FetchFrom(last_heard)) return true;
  return std::any_of(
      m_start_peers.begin(), m_start_peers.end(),
      [this](const std::string& peer) { return FetchFrom(peer); });
}

bool ConfigFollower::ReadKeyValue() {
  const coordination::TimePoint began_at = coordination::SteadyClock()();
  const auto changes =
      coordination::ReadConfigChanges(m_store, m_config->Revision());
  if (!changes) return false;
  m_config->Apply(changes->items, changes->complete_revision);
  m_service_revision = changes->service_revision;
  if (m_hooks.on_read) m_hooks.on_read(began_at);
  return true;
}

bool ConfigFollower::FetchFrom(const std::string& address) {
  const coordination::TimePoint began_at = coordination::SteadyClock()();
  coordination::ConfigFetch fetch(m_config);
  for (int i = 0; i < kMaxRepliesPerFetch; ++i) {
    protocol::gen::ItemsRequest request = fetch.NextRequest();
    request.envelope = m_make_envelope();
    const auto reply = m_peers->ItemsSince(address, request);
    if (!reply) return false;
    {
      const std::lock_guard lock(m_mutex);
      NoteHeard(address);
    }
    if (fetch.OnReply(*reply)) continue;
    if (m_hooks.on_read) m_hooks.on_read(began_at);
    return true;
  }
  return false;
}

bool ConfigFollower::Stopped() const {
  const std::lock_guard lock(m_mutex);
  return m_stopped;
}

void ConfigFollower::NoteHeard(const std::string& address) {
  const SteadyTime now = std::chrono::steady_clock::now();
  if (m_heard.size() >= kMaxHeard && m_heard.count(address) == 0) {
    const auto oldest = std::min_element(
        m_heard.begin(), m_heard.end(),
        [](const auto& a, const auto& b) { return a.second < b.second; });
    m_heard.erase(oldest);
  }
  m_heard[address] = now;
}

}  // namespace wasabiwall::transport
