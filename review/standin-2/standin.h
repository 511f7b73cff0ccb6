// The platform's store, backend servers and gateway processes for the scripts
// of the second review. They do what the users' pages say.
#pragma once

#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>

#include <condition_variable>
#include <cstdio>
#include <deque>
#include <fstream>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>

#include "http.h"

namespace standin {

using nlohmann::json;

inline std::string Base64(const std::string& text) {
  static const char* digits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (std::size_t i = 0; i < text.size(); i += 3) {
    unsigned bits = 0;
    for (std::size_t k = 0; k < 3; ++k) {
      bits = bits << 8U |
             (i + k < text.size() ? static_cast<unsigned char>(text[i + k]) : 0);
    }
    for (std::size_t k = 0; k < 4; ++k) {
      out += i + k <= text.size() ? digits[bits >> (18 - 6 * k) & 63U] : '=';
    }
  }
  return out;
}

/// Writes the record of a case: what was sent, answered and run.
class Record {
 public:
  explicit Record(const std::string& file) : m_file(std::fopen(file.c_str(), "w")) {
    if (m_file == nullptr) std::_Exit(2);
  }
  void Line(const std::string& text) {
    const std::lock_guard lock(m_mutex);
    std::fprintf(m_file, "%8.3f %s\n", Seconds(), text.c_str());
    std::fflush(m_file);
  }

 private:
  std::mutex m_mutex;
  std::FILE* m_file;
};

/// The platform's metadata store.
class Store {
 public:
  Store() : m_listener([this](Connection& c) { Serve(c); }) {
    std::thread([this] {
      while (true) {
        SleepFor(milliseconds(100));
        ExpireLeases();
      }
    }).detach();
  }

  std::string Address() const {
    return "127.0.0.1:" + std::to_string(m_listener.Port());
  }

  void Put(const std::string& key, const std::string& value) {
    const std::lock_guard lock(m_mutex);
    Write(key, Base64(value), 0);
  }
  void Remove(const std::string& key) {
    const std::lock_guard lock(m_mutex);
    Erase(key);
  }

 private:
  static std::string Decode(const std::string& text) {
    std::string out;
    for (std::size_t i = 0; i < text.size(); ++i) {
      if (text[i] == '%' && i + 2 < text.size()) {
        out += static_cast<char>(
            std::strtol(text.substr(i + 1, 2).c_str(), nullptr, 16));
        i += 2;
      } else {
        out += text[i];
      }
    }
    return out;
  }

  void Write(const std::string& key, const std::string& value, int lease) {
    ++m_revision;
    const bool exists = m_items.contains(key);
    m_items[key] = {{"key", key},
                    {"value", value},
                    {"revision", m_revision},
                    {"created", exists ? m_items[key]["created"] : json(m_revision)},
                    {"lease", lease}};
    m_events.push_back(m_items[key]);
    m_changed.notify_all();
  }
  void Erase(const std::string& key) {
    if (m_items.erase(key) == 0) return;
    ++m_revision;
    m_events.push_back(
        {{"key", key}, {"revision", m_revision}, {"deleted", true}});
    m_changed.notify_all();
  }
  void EndLease(int lease) {
    m_leases.erase(lease);
    std::vector<std::string> keys;
    for (const auto& [key, item] : m_items) {
      if (item["lease"] == lease) keys.push_back(key);
    }
    for (const auto& key : keys) Erase(key);
  }
  void ExpireLeases() {
    const std::lock_guard lock(m_mutex);
    std::vector<int> ended;
    for (const auto& [id, lease] : m_leases) {
      if (Clock::now() > lease.second) ended.push_back(id);
    }
    for (const int id : ended) EndLease(id);
  }

  void Serve(Connection& connection) {
    Head head;
    std::string body;
    while (true) {
      const Time idle = Clock::now() + std::chrono::seconds(60);
      if (!connection.ReadHead(&head, idle)) return;
      if (!connection.ReadBody(head, &body, idle)) return;
      int status = 200;
      const std::string reply = Handle(head, body, &status).dump();
      if (!connection.Write("HTTP/1.1 " + std::to_string(status) +
                            " S\r\nContent-Type: application/json\r\n"
                            "Content-Length: " +
                            std::to_string(reply.size()) + "\r\n\r\n" + reply)) {
        return;
      }
    }
  }

  json Handle(const Head& head, const std::string& text, int* status) {
    const std::string target = head.Target();
    const std::string path = target.substr(0, target.find('?'));
    std::map<std::string, std::string> query;
    if (path.size() < target.size()) {
      std::string rest = target.substr(path.size() + 1);
      while (!rest.empty()) {
        const auto end = rest.find('&');
        const std::string pair = rest.substr(0, end);
        const auto equals = pair.find('=');
        query[pair.substr(0, equals)] = Decode(pair.substr(equals + 1));
        rest = end == std::string::npos ? "" : rest.substr(end + 1);
      }
    }
    const json body = text.empty() ? json() : json::parse(text, nullptr, false);
    std::unique_lock lock(m_mutex);
    const auto number = [&path] {
      return std::atoi(path.substr(path.rfind('/') + 1).c_str());
    };
    if (path == "/api/kv-key") {
      const auto found = m_items.find(query["key"]);
      if (found == m_items.end()) {
        *status = 404;
        return json::object();
      }
      json item = found->second;
      item["at"] = m_revision;
      return item;
    }
    if (path == "/api/kv-range") {
      constexpr std::size_t page = 500;
      json items = json::array();
      bool more = false;
      for (auto it = m_items.upper_bound(query["after"]); it != m_items.end();
           ++it) {
        if (!it->first.starts_with(query["path_prefix"])) continue;
        more = items.size() == page;
        if (more) break;
        items.push_back(it->second);
      }
      return {{"items", items}, {"has_more", more}, {"at", m_revision}};
    }
    if (path == "/api/kv-watch") {
      const auto after = std::atoll(query["after"].c_str());
      const Time end =
          Clock::now() + milliseconds(std::atoi(query["wait_ms"].c_str()));
      while (m_revision <= after &&
             m_changed.wait_until(lock, end) != std::cv_status::timeout) {
      }
      json events = json::array();
      for (const json& event : m_events) {
        if (event["revision"] > after) events.push_back(event);
      }
      return {{"events", events}, {"at", m_revision}};
    }
    if (path == "/api/kv-lease") {
      const milliseconds ttl(body["ttl_ms"].get<int>());
      m_leases[++m_last_lease] = {ttl, Clock::now() + ttl};
      return {{"lease", m_last_lease}, {"ttl_ms", ttl.count()}};
    }
    if (path.starts_with("/api/kv-keep/")) {
      const auto found = m_leases.find(number());
      if (found == m_leases.end()) {
        *status = 404;
        return json::object();
      }
      found->second.second = Clock::now() + found->second.first;
      return {{"ttl_ms", found->second.first.count()}};
    }
    if (path.starts_with("/api/kv-lease-end/")) {
      EndLease(number());
      return json::object();
    }
    if (path == "/api/kv-txn") return Transaction(body, status);
    *status = 404;
    return json::object();
  }

  json Transaction(const json& body, int* status) {
    bool holds = true;
    json current = json::array();
    for (const json& row : body.value("expected_revision", json::array())) {
      const auto found = m_items.find(row["key"].get<std::string>());
      const json revision =
          found == m_items.end() ? json(0) : found->second["revision"];
      holds = holds && revision == row["revision"];
      if (found != m_items.end()) current.push_back(found->second);
    }
    if (!holds) {
      *status = 412;
      return {{"items", current}};
    }
    const json writes = body.value("write", json::array());
    for (const json& write : writes) {
      const int lease = write.value("lease", 0);
      if (lease != 0 && !m_leases.contains(lease)) {
        *status = 404;
        return json::object();
      }
    }
    for (const json& write : writes) {
      Write(write["key"], write["value"], write.value("lease", 0));
    }
    for (const json& key : body.value("remove", json::array())) Erase(key);
    return {{"revision", m_revision}};
  }

  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::map<std::string, json> m_items;
  std::deque<json> m_events;
  std::map<int, std::pair<milliseconds, Time>> m_leases;
  int m_last_lease = 0;
  std::int64_t m_revision = 100;
  Listener m_listener;
};

/// A backend server. Its handler writes the response to a request that has
/// come to the right instance and returns whether the connection stays open.
class Worker {
 public:
  using Handler = std::function<bool(Worker&, Connection&, const Head&,
                                     const std::string& body)>;

  Worker(Store* store, std::string id, std::string service, std::string zone,
         int capacity, Handler handler)
      : m_store(store),
        m_id(std::move(id)),
        m_service(std::move(service)),
        m_zone(std::move(zone)),
        m_capacity(capacity),
        m_handler(std::move(handler)),
        m_born(std::chrono::duration_cast<milliseconds>(
                   std::chrono::system_clock::now().time_since_epoch())
                   .count()),
        m_listener([this](Connection& c) { Serve(c); }) {
    std::thread([this] {
      while (true) {
        Beat();
        SleepFor(milliseconds(1200));
      }
    }).detach();
  }

  const std::string& Id() const { return m_id; }

  bool IsUp() const { return m_up; }

  /// Ends at once: resets all connections and refuses others. Comes back after
  /// a time under the same identifier, as a new incarnation.
  /// @return False if it was down already.
  bool Crash(milliseconds down) {
    if (!m_up.exchange(false)) return false;
    m_listener.Stop();
    {
      const std::lock_guard lock(m_mutex);
      for (Connection* connection : m_connections) connection->Break();
    }
    std::thread([this, down] {
      SleepFor(down);
      m_born = std::chrono::duration_cast<milliseconds>(
                   std::chrono::system_clock::now().time_since_epoch())
                   .count();
      m_sequence = 0;
      m_listener.Listen();
      m_up = true;
      Beat();
    }).detach();
    return true;
  }

 private:
  void Beat() {
    if (!m_up) return;
    m_store->Put(
        "servers/" + m_id,
        json{{"service", m_service},
             {"address", "127.0.0.1:" + std::to_string(m_listener.Port())},
             {"zone", m_zone},
             {"version", "v1"},
             {"capacity", m_capacity},
             {"phase", "ready"},
             {"cold_left_ms", 0},
             {"sequence", ++m_sequence},
             {"born", m_born.load()}}
            .dump());
  }

  void Serve(Connection& connection) {
    {
      const std::lock_guard lock(m_mutex);
      m_connections.insert(&connection);
    }
    if (m_up) ServeRequests(connection);
    const std::lock_guard lock(m_mutex);
    m_connections.erase(&connection);
  }

  void ServeRequests(Connection& connection) {
    Head head;
    std::string body;
    while (true) {
      const Time idle = Clock::now() + std::chrono::seconds(60);
      if (!connection.ReadHead(&head, idle)) return;
      if (!connection.ReadBody(head, &body, idle)) return;
      if (head.Find("X-Expect-Instance") != m_id) {
        if (!connection.Write("HTTP/1.1 421 Misdirected Request\r\n"
                              "X-Instance-Id: " +
                              m_id + "\r\nContent-Length: 0\r\n\r\n")) {
          return;
        }
        continue;
      }
      if (!m_handler(*this, connection, head, body)) return;
    }
  }

  Store* m_store;
  std::string m_id;
  std::string m_service;
  std::string m_zone;
  int m_capacity;
  Handler m_handler;
  std::atomic<std::int64_t> m_born;
  std::atomic<int> m_sequence{0};
  std::atomic<bool> m_up{true};
  std::mutex m_mutex;
  std::set<Connection*> m_connections;
  Listener m_listener;
};

/// The gateway, started with the command of the deploy file and the settings of
/// its template.
class Gateway {
 public:
  /// @param folder For the settings file and the log.
  Gateway(const std::string& name, const std::string& zone,
          const std::string& store, const std::string& folder)
      : m_file(folder + "/" + name + ".toml"), m_log(folder + "/" + name + ".log") {
    for (int* port : {&m_callers, &m_readiness, &m_metrics, &m_peers}) {
      *port = FreePort();
    }
    const auto address = [](int port) {
      return "\"127.0.0.1:" + std::to_string(port) + "\"\n";
    };
    std::ofstream(m_file) << "[process]\nname = \"" << name
                          << "\"\nfailure_domain = \"" << zone
                          << "\"\n\n[listen]\ncallers = " << address(m_callers)
                          << "readiness = " << address(m_readiness)
                          << "metrics = " << address(m_metrics)
                          << "peers = " << address(m_peers)
                          << "\n[store]\naddress = \"" << store
                          << "\"\n\n[limits]\nstop_timeout_s = 8\n"
                             "registry_heartbeat_ms = 1200\nload_factor = 2\n"
                             "retry_share = 0.2\nretry_burst = 52\n"
                             "max_descriptors = 4100\nmemory_mb = 260\n";
  }
  ~Gateway() {
    if (m_pid > 0) {
      kill(m_pid, SIGKILL);
      waitpid(m_pid, nullptr, 0);
    }
  }

  void Run() {
    m_pid = fork();
    if (m_pid != 0) return;
    // Ends with the script, also when that is killed.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (std::freopen(m_log.c_str(), "a", stdout) == nullptr ||
        std::freopen(m_log.c_str(), "a", stderr) == nullptr) {
      std::_Exit(2);
    }
    const std::string program = "target/wasabiwall-gateway";
    execl(program.c_str(), program.c_str(), "--config", m_file.c_str(),
          static_cast<char*>(nullptr));
    std::_Exit(2);
  }

  /// @return Status of the readiness address; 0 without an answer in time.
  int Readiness(milliseconds timeout) const {
    const auto connection = Connection::Open(m_readiness, timeout);
    Head head;
    if (!connection || !connection->Write("GET /api/readyz HTTP/1.1\r\n"
                                          "Host: x\r\n\r\n") ||
        !connection->ReadHead(&head, Clock::now() + timeout)) {
      return 0;
    }
    return head.Status();
  }

  bool WaitUntilReady() const {
    for (int i = 0; i < 200; ++i) {
      if (Readiness(milliseconds(500)) == 200) return true;
      SleepFor(milliseconds(50));
    }
    return false;
  }

  bool IsRunning() const { return waitpid(m_pid, nullptr, WNOHANG) == 0; }
  int Port() const { return m_callers; }
  pid_t Pid() const { return m_pid; }

 private:
  std::string m_file;
  std::string m_log;
  int m_callers = 0;
  int m_readiness = 0;
  int m_metrics = 0;
  int m_peers = 0;
  pid_t m_pid = 0;
};

inline const char* const kHost = "ficu95.example";
inline const char* const kKey = "n2ctnfzs989anu6wsjnb";

/// A configuration of a small deployment: one service of each kind.
inline std::string Config() {
  const auto route = [](const char* name, const char* prefix, const char* type,
                        int timeout, int goal, int attempts,
                        const char* service) {
    return json{{"name", name},         {"host", kHost},
                {"path_prefix", prefix}, {"type", type},
                {"timeout_ms", timeout}, {"goal_ms", goal},
                {"priority", 2},         {"service", service},
                {"max_attempts", attempts}, {"public", false}};
  };
  json brief = route("r-brief", "/brief/", "streaming", 15000, 800, 2, "llm");
  brief["sticky"] = true;
  brief["resumable"] = true;
  brief["gap_target_ms"] = 250;
  json chat = route("r-chat", "/chat/", "streaming", 12000, 300, 1, "llm");
  chat["sticky"] = true;
  chat["resumable"] = false;
  chat["gap_target_ms"] = 250;
  return json{
      {"version", 7},
      {"routes",
       {route("r-deposit", "/deposit/", "unsafe", 1000, 150, 1, "app"),
        route("r-lookup", "/lookup/", "safe", 1000, 150, 2, "app"), brief, chat}},
      {"services",
       {{{"name", "llm"},
         {"health_path", "/healthz"},
         {"max_conns", 360},
         {"protocol", "h1"},
         {"tls", false},
         {"cold_start_s", 3.0},
         {"cold_per_s", 13.0},
         {"engine", {{"capacity", 64}, {"kv_capacity", 544994}}}},
        {{"name", "app"},
         {"health_path", "/healthz"},
         {"max_conns", 96},
         {"protocol", "h1"},
         {"tls", false},
         {"cold_start_s", 0.0},
         {"cold_per_s", 0.0}}}},
      {"limits",
       {{"max_header_bytes", 16384},
        {"max_body_bytes", 4194304},
        {"header_timeout_ms", 3000},
        {"idle_timeout_ms", 15000}}},
      {"tenants",
       {{{"name", "hule930"}, {"api_keys", {kKey}}, {"priority", 1}}}}}
      .dump();
}

/// The first lines of a client's request.
inline std::string RequestHead(const std::string& method,
                               const std::string& target, const std::string& id,
                               int deadline_ms) {
  return method + " " + target + " HTTP/1.1\r\nHost: " + kHost +
         "\r\nX-Attempt-Id: " + id +
         "\r\nX-Deadline-Ms: " + std::to_string(deadline_ms) +
         "\r\nAuthorization: Bearer " + kKey + "\r\n";
}

inline std::string NewId() {
  static std::atomic<std::uint64_t> next{0x9c41d07b00000000ULL};
  char text[17];
  std::snprintf(text, sizeof(text), "%016llx",
                static_cast<unsigned long long>(next++));
  return text;
}

/// @return Whether the script plays its disruption (TROUBLE=0 does not).
inline bool HasTrouble() {
  const char* trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::string(trouble) != "0";
}

}  // namespace standin
