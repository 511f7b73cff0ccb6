#include "wasabiwall/transport/crash_monitor.h"

#include <utility>

#include "wasabiwall/coordination/rendezvous_homes.h"
#include "wasabiwall/state/digest.h"
#include "wasabiwall/transport/logging.h"

namespace wasabiwall::transport {
namespace {

using std::chrono::milliseconds;

/// Time for a new connection: more than a lost first packet takes, which is
/// sent again after a second.
constexpr milliseconds kCheckTimeout{1500};
/// Gateways that are told of a crash. With as many, some can be reached from
/// each failure domain while domains are cut off from each other.
constexpr std::size_t kHomes = 32;

/// @return Identifier of the end of a backend server.
std::int64_t CrashIdOf(const state::BackendServer& server) {
  const auto incarnation = static_cast<std::uint64_t>(server.incarnation);
  return static_cast<std::int64_t>(state::FastHash(
      server.address, state::FastHash(server.id.value, incarnation)));
}

}  // namespace

/// A check of a backend server that is under way.
struct CrashMonitor::Check {
  explicit Check(EventLoop* loop) : timer(loop) {}

  state::BackendServer server;
  std::vector<std::string> fingerprints;
  coordination::TimePoint began_at;
  Timer timer;
  std::unique_ptr<TcpConnection> connection;
};

CrashMonitor::CrashMonitor(EventLoop* loop,
                           coordination::RequestQuarantine* quarantine,
                           std::string own_name, SendHook send)
    : m_loop(loop),
      m_quarantine(quarantine),
      m_own_name(std::move(own_name)),
      m_send(std::move(send)) {}

CrashMonitor::~CrashMonitor() = default;

void CrashMonitor::SetMembers(
    const std::map<std::string, std::string>& members) {
  m_members = members;
  std::erase_if(m_members,
                [](const auto& member) { return member.second.empty(); });
}

void CrashMonitor::OnConnectionBroken(const state::BackendServer& server,
                                      const std::string& fingerprint) {
  auto& check = m_checks[server.id];
  if (check) {
    check->fingerprints.push_back(fingerprint);
    return;
  }
  const auto address = ParseAddress(server.address);
  if (!address) {
    m_checks.erase(server.id);
    return;
  }
  check = std::make_unique<Check>(m_loop);
  check->server = server;
  check->fingerprints.push_back(fingerprint);
  check->began_at = m_loop->Now();
  const state::BackendServerId id = server.id;
  check->timer.Start(kCheckTimeout, [this, id] { OnChecked(id, true); });
  check->connection = std::make_unique<TcpConnection>(
      m_loop, *address, TcpOptions{},
      TcpConnection::Handlers{
          .on_connected = [this, id] { OnChecked(id, false); },
          .on_data = [](std::string_view) {},
          .on_end = [this, id](ConnectionEnd) { OnChecked(id, true); },
          .on_drained = nullptr});
}

void CrashMonitor::OnChecked(const state::BackendServerId& id, bool has_ended) {
  const auto found = m_checks.find(id);
  if (found == m_checks.end()) return;
  const std::unique_ptr<Check> check = std::move(found->second);
  m_checks.erase(found);
  if (has_ended) RecordCrash(*check);
}

void CrashMonitor::RecordCrash(const Check& check) {
  const auto now = m_loop->Now();
  protocol::CrashMessage crash{
      .crash = CrashIdOf(check.server),
      .age = std::chrono::duration_cast<milliseconds>(now - check.began_at)};
  for (const std::string& fingerprint : check.fingerprints) {
    if (m_quarantine->OnCrash(fingerprint, crash.crash, now)) {
      crash.fingerprints.push_back(fingerprint);
    }
  }
  LogWarn("backend_crashed",
          {{"backend", check.server.id.value},
           {"requests", std::to_string(check.fingerprints.size())},
           {"suspects", std::to_string(crash.fingerprints.size())},
           {"check_ms", std::to_string(crash.age.count())}});
  Tell(crash);
}

void CrashMonitor::Tell(const protocol::CrashMessage& crash) {
  std::map<std::string, std::vector<std::string>> by_home;
  for (const std::string& fingerprint : crash.fingerprints) {
    const std::uint64_t key = state::FastHash(fingerprint);
    for (const std::string& home :
         coordination::RendezvousHomes(m_members, key, kHomes)) {
      if (home != m_own_name) by_home[home].push_back(fingerprint);
    }
  }
  for (const auto& [home, fingerprints] : by_home) {
    protocol::CrashMessage message{.crash = crash.crash, .age = crash.age};
    for (const std::string& fingerprint : fingerprints) {
      message.fingerprints.push_back(fingerprint);
      if (message.fingerprints.size() < protocol::kMaxCrashMessageRequests) {
        continue;
      }
      m_send(m_members.at(home), message);
      message.fingerprints.clear();
    }
    if (!message.fingerprints.empty()) m_send(m_members.at(home), message);
  }
}

void CrashMonitor::OnMessage(const protocol::CrashMessage& message) {
  std::vector<coordination::CrashRecord> records;
  records.reserve(message.fingerprints.size());
  for (const std::string& fingerprint : message.fingerprints) {
    records.push_back({fingerprint, message.crash, message.age});
  }
  m_quarantine->OnPeerRecords(records, m_loop->Now());
}

}  // namespace wasabiwall::transport
