// Stand-ins for the platform's store, for workers and for clients, and control
// of gateway processes, for the cases of the third review. Each server runs a
// thread for each connection. All addresses are on 127.0.0.1.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace fleet {

using json = nlohmann::json;
using Clock = std::chrono::steady_clock;

inline Clock::time_point Start() {
  static const Clock::time_point start = Clock::now();
  return start;
}

/// Seconds since the start of the case.
inline double Seconds() {
  return std::chrono::duration<double>(Clock::now() - Start()).count();
}

inline void Sleep(double seconds) {
  if (seconds > 0) {
    std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
  }
}

inline std::int64_t UnixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

/// Writes record.txt.
class Record {
 public:
  explicit Record(const std::string& file) : m_file(std::fopen(file.c_str(), "w")) {}
  void Line(const std::string& text) {
    const std::lock_guard lock(m_mutex);
    if (m_file == nullptr) return;
    std::fprintf(m_file, "%8.3f s  %s\n", Seconds(), text.c_str());
    std::fflush(m_file);
  }

 private:
  std::mutex m_mutex;
  std::FILE* m_file;
};

inline Record*& TheRecord() {
  static Record* record = nullptr;
  return record;
}
inline void Note(const std::string& text) {
  if (TheRecord() != nullptr) TheRecord()->Line(text);
}

inline bool SameName(const std::string& a, const std::string& b) {
  return a.size() == b.size() && strcasecmp(a.c_str(), b.c_str()) == 0;
}

using Headers = std::vector<std::pair<std::string, std::string>>;

inline std::string HeaderOf(const Headers& headers, const std::string& name) {
  for (const auto& [n, v] : headers) {
    if (SameName(n, name)) return v;
  }
  return "";
}

/// A blocking socket with a read buffer.
class Socket {
 public:
  explicit Socket(int fd) : m_fd(fd) {}
  ~Socket() { Close(); }
  Socket(const Socket&) = delete;
  Socket& operator=(const Socket&) = delete;

  int Fd() const { return m_fd; }
  void Close() {
    const int fd = m_fd.exchange(-1);
    if (fd >= 0) close(fd);
  }
  /// Closes with a reset.
  void Reset() {
    const int fd = m_fd.exchange(-1);
    if (fd < 0) return;
    const linger now{1, 0};
    setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
    close(fd);
  }
  /// Ends both directions, so that a thread that reads returns.
  void Shutdown() {
    const int fd = m_fd;
    if (fd >= 0) shutdown(fd, SHUT_RDWR);
  }
  bool Write(const std::string& bytes) {
    std::size_t done = 0;
    while (done < bytes.size()) {
      const int fd = m_fd;
      if (fd < 0) return false;
      const ssize_t n =
          send(fd, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
      if (n <= 0) return false;
      done += static_cast<std::size_t>(n);
    }
    return true;
  }
  /// Waits for input, for `seconds` at most.
  /// @return 1 with more bytes in the buffer, 0 at the end of the stream, -1
  /// after an error, -2 after the time.
  int Fill(double seconds) {
    const int fd = m_fd;
    if (fd < 0) return -1;
    pollfd state{fd, POLLIN, 0};
    const int ready = poll(&state, 1, static_cast<int>(seconds * 1000));
    if (ready == 0) return -2;
    if (ready < 0) return -1;
    char bytes[65536];
    const ssize_t n = recv(fd, bytes, sizeof bytes, 0);
    if (n == 0) return 0;
    if (n < 0) return -1;
    m_buffer.append(bytes, static_cast<std::size_t>(n));
    return 1;
  }
  /// @return Whether the peer has closed or reset the connection.
  bool IsGone() {
    const int fd = m_fd;
    if (fd < 0) return true;
    char byte;
    const ssize_t n = recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
  }
  std::string& Buffer() { return m_buffer; }

 private:
  std::atomic<int> m_fd;
  std::string m_buffer;
};

/// A message of HTTP, as it was received.
struct Message {
  std::string first_line;
  Headers headers;
  std::string body;
  std::string Header(const std::string& name) const {
    return HeaderOf(headers, name);
  }
  std::string Method() const {
    return first_line.substr(0, first_line.find(' '));
  }
  std::string Target() const {
    const auto begin = first_line.find(' ') + 1;
    return first_line.substr(begin, first_line.find(' ', begin) - begin);
  }
  int Status() const { return std::atoi(first_line.substr(9).c_str()); }
};

/// Reads a head.
/// @return 1, or what Socket::Fill returns.
inline int ReadHead(Socket* socket, double seconds, Message* message) {
  const auto until = Clock::now() + std::chrono::duration<double>(seconds);
  std::string& buffer = socket->Buffer();
  std::size_t end;
  while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
    const double left =
        std::chrono::duration<double>(until - Clock::now()).count();
    if (left <= 0) return -2;
    const int result = socket->Fill(left);
    if (result != 1) return result;
  }
  const std::string head = buffer.substr(0, end + 2);
  buffer.erase(0, end + 4);
  std::size_t line = head.find("\r\n");
  message->first_line = head.substr(0, line);
  message->headers.clear();
  message->body.clear();
  for (std::size_t at = line + 2; at < head.size();) {
    const std::size_t line_end = head.find("\r\n", at);
    const std::string text = head.substr(at, line_end - at);
    const auto colon = text.find(':');
    if (colon != std::string::npos) {
      std::size_t value = colon + 1;
      while (value < text.size() && text[value] == ' ') ++value;
      message->headers.emplace_back(text.substr(0, colon), text.substr(value));
    }
    at = line_end + 2;
  }
  return 1;
}

/// Reads a body that has a length.
inline int ReadSized(Socket* socket, std::size_t size, double seconds,
                     std::string* body) {
  const auto until = Clock::now() + std::chrono::duration<double>(seconds);
  std::string& buffer = socket->Buffer();
  while (buffer.size() < size) {
    const double left =
        std::chrono::duration<double>(until - Clock::now()).count();
    if (left <= 0) return -2;
    const int result = socket->Fill(left);
    if (result != 1) return result;
  }
  body->append(buffer, 0, size);
  buffer.erase(0, size);
  return 1;
}

/// Reads a body in chunks to its end.
inline int ReadChunked(Socket* socket, double seconds, std::string* body,
                       const std::function<void(const std::string&)>& on_chunk =
                           nullptr) {
  const auto until = Clock::now() + std::chrono::duration<double>(seconds);
  std::string& buffer = socket->Buffer();
  while (true) {
    std::size_t line;
    while ((line = buffer.find("\r\n")) == std::string::npos) {
      const double left =
          std::chrono::duration<double>(until - Clock::now()).count();
      if (left <= 0) return -2;
      const int result = socket->Fill(left);
      if (result != 1) return result;
    }
    const std::size_t size = std::strtoul(buffer.c_str(), nullptr, 16);
    buffer.erase(0, line + 2);
    std::string chunk;
    const double left =
        std::chrono::duration<double>(until - Clock::now()).count();
    const int result = ReadSized(socket, size + 2, std::max(left, 0.001), &chunk);
    if (result != 1) {
      return result;
    }
    chunk.resize(size);
    if (size == 0) return 1;
    body->append(chunk);
    if (on_chunk) on_chunk(chunk);
  }
}

inline int ReadRequest(Socket* socket, double seconds, Message* message) {
  const int result = ReadHead(socket, seconds, message);
  if (result != 1) return result;
  if (SameName(message->Header("Transfer-Encoding"), "chunked")) {
    return ReadChunked(socket, 30, &message->body);
  }
  const std::string length = message->Header("Content-Length");
  if (length.empty()) return 1;
  return ReadSized(socket, std::strtoul(length.c_str(), nullptr, 10), 30,
                   &message->body);
}

inline int BoundSocket(int port, int* bound) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  if (bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) {
    close(fd);
    return -1;
  }
  socklen_t size = sizeof address;
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  if (bound != nullptr) *bound = ntohs(address.sin_port);
  return fd;
}

/// A port that is free, below those that the system gives to connections, so
/// that none takes it before its process listens.
inline int FreePort() {
  static std::atomic<int> next{0};
  const int base = 10000 + (getpid() * 97) % 20000;
  for (int tries = 0; tries < 20000; ++tries) {
    const int port = 10000 + (base - 10000 + next++) % 20000;
    const int fd = BoundSocket(port, nullptr);
    if (fd < 0) continue;
    close(fd);
    return port;
  }
  std::fprintf(stderr, "no free port\n");
  std::_Exit(2);
}

inline std::shared_ptr<Socket> Connect(int port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  if (connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) {
    close(fd);
    return nullptr;
  }
  return std::make_shared<Socket>(fd);
}

/// Accepts connections and serves each in a thread of its own.
class Server {
 public:
  using Serve = std::function<void(const std::shared_ptr<Socket>&)>;

  explicit Server(Serve serve, int port = 0) : m_serve(std::move(serve)) {
    m_listener = BoundSocket(port, &m_port);
    if (m_listener < 0 || listen(m_listener, 256) != 0) {
      std::fprintf(stderr, "cannot listen\n");
      std::_Exit(2);
    }
    std::thread([this] { Accept(); }).detach();
  }
  int Port() const { return m_port; }
  std::string Address() const { return "127.0.0.1:" + std::to_string(m_port); }

  /// Ends as a process that crashes does: no listener, all connections reset.
  void Crash() {
    const std::lock_guard lock(m_mutex);
    m_down = true;
    shutdown(m_listener, SHUT_RDWR);
    close(m_listener);
    m_listener = -1;
    for (const auto& weak : m_open) {
      if (const auto socket = weak.lock()) {
        const linger now{1, 0};
        setsockopt(socket->Fd(), SOL_SOCKET, SO_LINGER, &now, sizeof now);
        socket->Shutdown();
        socket->Reset();
      }
    }
    m_open.clear();
  }
  /// Listens again on the same port after Crash.
  void Return() {
    const std::lock_guard lock(m_mutex);
    m_listener = BoundSocket(m_port, nullptr);
    if (m_listener < 0 || listen(m_listener, 256) != 0) return;
    m_down = false;
    std::thread([this] { Accept(); }).detach();
  }

 private:
  void Accept() {
    int listener;
    {
      const std::lock_guard lock(m_mutex);
      listener = m_listener;
    }
    while (true) {
      const int fd = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) return;
      const int on = 1;
      setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      const auto socket = std::make_shared<Socket>(fd);
      {
        const std::lock_guard lock(m_mutex);
        if (m_down) return;
        m_open.remove_if([](const auto& weak) { return weak.expired(); });
        m_open.push_back(socket);
      }
      std::thread([this, socket] { m_serve(socket); }).detach();
    }
  }

  Serve m_serve;
  std::mutex m_mutex;
  std::list<std::weak_ptr<Socket>> m_open;
  int m_listener = -1;
  int m_port = 0;
  bool m_down = false;
};

inline std::string Response(int status, const Headers& headers,
                            const std::string& body, bool with_length = true) {
  static const std::map<int, const char*> names = {
      {200, "OK"},          {404, "Not Found"}, {410, "Gone"},
      {412, "Precondition Failed"}, {421, "Misdirected Request"},
      {500, "Internal Server Error"}, {503, "Service Unavailable"}};
  const auto name = names.find(status);
  std::string text = "HTTP/1.1 " + std::to_string(status) + " " +
                     (name == names.end() ? "Status" : name->second) + "\r\n";
  for (const auto& [n, v] : headers) text += n + ": " + v + "\r\n";
  if (with_length) {
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  }
  return text + "\r\n" + body;
}

inline std::string Chunk(const std::string& data) {
  char size[24];
  std::snprintf(size, sizeof size, "%zx\r\n", data.size());
  return size + data + "\r\n";
}

inline std::string Base64(const std::string& bytes) {
  static const char* digits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    std::uint32_t word = 0;
    for (std::size_t k = 0; k < 3; ++k) {
      word = word << 8U;
      if (i + k < bytes.size()) {
        word |= static_cast<unsigned char>(bytes[i + k]);
      }
    }
    for (std::size_t k = 0; k < 4; ++k) {
      const bool is_padding = i + k > bytes.size();
      text += is_padding ? '=' : digits[(word >> (18 - 6 * k)) & 63U];
    }
  }
  return text;
}

inline std::string Unescape(const std::string& text) {
  std::string plain;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      plain += static_cast<char>(
          std::strtol(text.substr(i + 1, 2).c_str(), nullptr, 16));
      i += 2;
    } else {
      plain += text[i];
    }
  }
  return plain;
}

/// The platform's store: items, watches, leases and transactions.
class Store {
 public:
  Store() : m_server([this](const auto& socket) { Serve(socket); }) {
    std::thread([this] { ExpireLeases(); }).detach();
  }
  std::string Address() const { return m_server.Address(); }

  /// Writes an item as the operator or a worker does.
  void Put(const std::string& key, const std::string& value) {
    const std::lock_guard lock(m_mutex);
    Write(key, Base64(value), 0);
  }
  void Remove(const std::string& key) {
    const std::lock_guard lock(m_mutex);
    Erase(key);
  }
  /// Asked for each transaction: seconds after which it is carried out without
  /// an answer, or nothing to serve it as usual.
  std::function<std::optional<double>(const json& call)> late;

  /// @return Number of keys that begin so.
  int Count(const std::string& prefix) {
    const std::lock_guard lock(m_mutex);
    int count = 0;
    for (const auto& [key, item] : m_items) count += key.rfind(prefix, 0) == 0;
    return count;
  }
  std::string Dump(const std::string& prefix) {
    const std::lock_guard lock(m_mutex);
    std::string text;
    for (const auto& [key, item] : m_items) {
      if (key.rfind(prefix, 0) == 0) text += key + " " + item.dump() + "\n";
    }
    return text;
  }

 private:
  void Write(const std::string& key, const std::string& base64,
             std::int64_t lease) {
    ++m_revision;
    auto& item = m_items[key];
    const std::int64_t created =
        item.is_null() ? m_revision : item["created"].get<std::int64_t>();
    item = {{"key", key},         {"value", base64}, {"revision", m_revision},
            {"created", created}, {"lease", lease}};
    m_history.push_back(item);
    m_changed.notify_all();
  }
  void Erase(const std::string& key) {
    if (m_items.erase(key) == 0) return;
    ++m_revision;
    m_history.push_back(
        {{"key", key}, {"revision", m_revision}, {"deleted", true}});
    m_changed.notify_all();
  }
  void EndLease(std::int64_t lease) {
    m_leases.erase(lease);
    std::vector<std::string> keys;
    for (const auto& [key, item] : m_items) {
      if (item["lease"].get<std::int64_t>() == lease) keys.push_back(key);
    }
    for (const auto& key : keys) Erase(key);
  }
  void ExpireLeases() {
    while (true) {
      Sleep(0.1);
      const std::lock_guard lock(m_mutex);
      std::vector<std::int64_t> ended;
      for (const auto& [id, lease] : m_leases) {
        if (Clock::now() >= lease.second) ended.push_back(id);
      }
      for (const auto id : ended) EndLease(id);
    }
  }
  void Serve(const std::shared_ptr<Socket>& socket) {
    Message request;
    while (ReadRequest(socket.get(), 600, &request) == 1) {
      if (late && request.Target() == "/api/kv-txn") {
        const json call = json::parse(request.body);
        if (const auto delay = late(call)) {
          std::thread([this, call, delay = *delay] {
            Sleep(delay);
            const std::lock_guard lock(m_mutex);
            const auto [status, body] = Transact(call);
            Note("store: carries a late write out, status " +
                 std::to_string(status) + ", " + call.dump());
          }).detach();
          // Nothing further comes on this connection.
          while (socket->Fill(600) == 1) {
          }
          return;
        }
      }
      const auto [status, body] = Answer(request);
      if (!socket->Write(Response(status,
                                  {{"Content-Type", "application/json"},
                                   {"Store-Era", "1"}},
                                  body.dump()))) {
        return;
      }
    }
  }
  std::pair<int, json> Answer(const Message& request) {
    const std::string target = request.Target();
    const std::string path = target.substr(0, target.find('?'));
    std::map<std::string, std::string> query;
    if (const auto mark = target.find('?'); mark != std::string::npos) {
      std::string rest = target.substr(mark + 1);
      while (!rest.empty()) {
        const auto amp = rest.find('&');
        const std::string pair = rest.substr(0, amp);
        query[pair.substr(0, pair.find('='))] =
            Unescape(pair.substr(pair.find('=') + 1));
        rest = amp == std::string::npos ? "" : rest.substr(amp + 1);
      }
    }
    std::unique_lock lock(m_mutex);
    if (path == "/api/kv-key") {
      const auto found = m_items.find(query["key"]);
      if (found == m_items.end()) return {404, json::object()};
      return {200, found->second};
    }
    if (path == "/api/kv-range") {
      json items = json::array();
      for (const auto& [key, item] : m_items) {
        if (key.rfind(query["path_prefix"], 0) != 0) continue;
        if (query.count("after") != 0 && key <= query["after"]) continue;
        items.push_back(item);
      }
      return {200,
              {{"items", items}, {"has_more", false}, {"at", m_revision}}};
    }
    if (path == "/api/kv-watch") {
      const std::int64_t after = std::atoll(query["after"].c_str());
      const auto until =
          Clock::now() +
          std::chrono::milliseconds(std::atoll(query["wait_ms"].c_str()));
      while (true) {
        json events = json::array();
        for (const auto& event : m_history) {
          if (event["revision"].get<std::int64_t>() > after &&
              event["key"].get<std::string>().rfind(query["path_prefix"], 0) ==
                  0) {
            events.push_back(event);
          }
        }
        if (!events.empty() || Clock::now() >= until) {
          return {200, {{"events", events}, {"at", m_revision}}};
        }
        m_changed.wait_until(lock, until);
      }
    }
    if (path == "/api/kv-lease") {
      const auto ttl = std::chrono::milliseconds(
          json::parse(request.body)["ttl_ms"].get<std::int64_t>());
      const std::int64_t id = ++m_next_lease;
      m_leases[id] = {ttl, Clock::now() + ttl};
      return {200, {{"lease", id}, {"ttl_ms", ttl.count()}}};
    }
    const std::int64_t id = std::atoll(path.substr(path.rfind('/') + 1).c_str());
    if (path.rfind("/api/kv-keep/", 0) == 0) {
      const auto found = m_leases.find(id);
      if (found == m_leases.end()) return {404, json::object()};
      found->second.second = Clock::now() + found->second.first;
      return {200, {{"ttl_ms", found->second.first.count()}}};
    }
    if (path.rfind("/api/kv-lease-end/", 0) == 0) {
      if (m_leases.count(id) == 0) return {404, json::object()};
      EndLease(id);
      return {200, json::object()};
    }
    if (path == "/api/kv-txn") return Transact(json::parse(request.body));
    return {404, json::object()};
  }
  std::pair<int, json> Transact(const json& call) {
    json items = json::array();
    bool holds = true;
    for (const auto& row : call.value("expected_revision", json::array())) {
      const auto found = m_items.find(row["key"]);
      const std::int64_t revision =
          found == m_items.end() ? 0
                                 : found->second["revision"].get<std::int64_t>();
      holds = holds && revision == row["revision"].get<std::int64_t>();
      if (found != m_items.end()) items.push_back(found->second);
    }
    if (!holds) return {412, {{"items", items}}};
    for (const auto& write : call.value("write", json::array())) {
      const std::int64_t lease = write.value("lease", std::int64_t{0});
      if (lease != 0 && m_leases.count(lease) == 0) return {404, json::object()};
    }
    for (const auto& write : call.value("write", json::array())) {
      Write(write["key"], write["value"], write.value("lease", std::int64_t{0}));
    }
    for (const auto& key : call.value("remove", json::array())) Erase(key);
    return {200, {{"revision", m_revision}}};
  }

  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::map<std::string, json> m_items;
  std::vector<json> m_history;
  std::map<std::int64_t,
           std::pair<std::chrono::milliseconds, Clock::time_point>>
      m_leases;
  std::int64_t m_revision = 1;
  std::int64_t m_next_lease = 0;
  Server m_server;
};

/// A gateway process, started with the command of the deploy file.
class Gateway {
 public:
  Gateway(std::string folder, std::string name, std::string zone,
          std::string store)
      : m_folder(std::move(folder)),
        m_name(std::move(name)),
        m_zone(std::move(zone)),
        m_store(std::move(store)) {
    callers = FreePort();
    readiness = FreePort();
    metrics = FreePort();
    peers = FreePort();
  }
  ~Gateway() { Kill(); }

  /// Lines that are added to the settings, such as other limits.
  std::string more_limits;
  int grace_s = 8;
  int max_fds = 4200;
  int memory_mb = 260;
  int callers = 0;
  int readiness = 0;
  int metrics = 0;
  int peers = 0;

  void WriteSettings() const {
    const auto address = [](int port) {
      return "\"127.0.0.1:" + std::to_string(port) + "\"\n";
    };
    std::ofstream file(m_folder + "/" + m_name + ".toml");
    file << "[process]\nname = \"" << m_name << "\"\nfailure_domain = \""
         << m_zone << "\"\n\n[listen]\ncallers = " << address(callers)
         << "readiness = " << address(readiness)
         << "metrics = " << address(metrics) << "peers = " << address(peers)
         << "\n[store]\naddress = \"" << m_store << "\"\n\n[limits]\n"
         << "stop_timeout_s = " << grace_s
         << "\nregistry_heartbeat_ms = 1200\nload_factor = 2\n"
            "retry_share = 0.2\nretry_burst = 52\nmax_descriptors = "
         << max_fds << "\nmemory_mb = " << memory_mb << "\n"
         << more_limits;
  }
  void Launch() {
    WriteSettings();
    const std::string settings = m_folder + "/" + m_name + ".toml";
    const std::string log = m_folder + "/" + m_name + ".log";
    m_pid = fork();
    if (m_pid == 0) {
      // Ends with the case, whatever ends that.
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int out = open(log.c_str(), O_CREAT | O_APPEND | O_WRONLY, 0644);
      dup2(out, 1);
      dup2(out, 2);
      execl("target/wasabiwall-gateway", "target/wasabiwall-gateway",
            "--config", settings.c_str(), static_cast<char*>(nullptr));
      _exit(127);
    }
  }
  void Signal(int number) const {
    if (m_pid > 0) kill(m_pid, number);
  }
  /// @return Whether it runs; an end is noted.
  bool Runs() {
    if (m_pid <= 0) return false;
    int status = 0;
    if (waitpid(m_pid, &status, WNOHANG) != m_pid) return true;
    m_pid = 0;
    end_status = status;
    Note(m_name + " has ended, " +
         (WIFSIGNALED(status)
              ? "by signal " + std::to_string(WTERMSIG(status))
              : "with status " + std::to_string(WEXITSTATUS(status))));
    return false;
  }
  void Kill() {
    if (m_pid <= 0) return;
    kill(m_pid, SIGCONT);
    kill(m_pid, SIGKILL);
    waitpid(m_pid, nullptr, 0);
    m_pid = 0;
  }
  bool IsReady(double seconds = 1) const {
    const auto socket = Connect(readiness);
    if (!socket) return false;
    socket->Write("GET /api/readyz HTTP/1.1\r\nHost: r\r\n\r\n");
    Message answer;
    return ReadHead(socket.get(), seconds, &answer) == 1 &&
           answer.Status() == 200;
  }
  bool WaitReady(double seconds) {
    const double until = Seconds() + seconds;
    while (Seconds() < until) {
      if (IsReady()) return true;
      Sleep(0.05);
    }
    return false;
  }
  long RssKb() const {
    std::ifstream file("/proc/" + std::to_string(m_pid) + "/status");
    std::string line;
    while (std::getline(file, line)) {
      if (line.rfind("VmRSS:", 0) == 0) return std::atol(line.c_str() + 6);
    }
    return 0;
  }
  const std::string& Name() const { return m_name; }
  pid_t Pid() const { return m_pid; }
  std::string Log() const { return m_folder + "/" + m_name + ".log"; }
  int end_status = 0;

 private:
  std::string m_folder;
  std::string m_name;
  std::string m_zone;
  std::string m_store;
  pid_t m_pid = 0;
};

/// Entry of a worker in the store.
struct WorkerEntry {
  std::string id;
  std::string service;
  std::string address;
  std::string zone;
  std::string version = "1";
  int capacity = 6;
  std::string phase = "ready";
  int cold_left_ms = 0;
  std::int64_t sequence = 1;
  std::int64_t born = 0;

  std::string Text() const {
    return json{{"service", service},   {"address", address},
                {"zone", zone},         {"version", version},
                {"capacity", capacity}, {"phase", phase},
                {"cold_left_ms", cold_left_ms},
                {"sequence", sequence}, {"born", born}}
        .dump();
  }
};

/// Configuration with one route for each kind of request.
inline json Route(const std::string& name, const std::string& prefix,
                  const std::string& type, const std::string& service,
                  int timeout_ms, int goal_ms, int max_attempts) {
  json route = {{"name", name},
                {"host", "case.example"},
                {"path_prefix", prefix},
                {"type", type},
                {"service", service},
                {"timeout_ms", timeout_ms},
                {"goal_ms", goal_ms},
                {"max_attempts", max_attempts},
                {"priority", 1}};
  if (type == "streaming") {
    route["gap_target_ms"] = 200;
    route["sticky"] = true;
  }
  return route;
}

inline json Config(std::int64_t version, const json& routes,
                   const json& services) {
  return {{"version", version},
          {"routes", routes},
          {"services", services},
          {"limits",
           {{"max_header_bytes", 16384},
            {"max_body_bytes", 4194304},
            {"header_timeout_ms", 10000},
            {"idle_timeout_ms", 30000}}}};
}

/// Ends a case that could not run; threads of the stand-ins still run.
[[noreturn]] inline void CannotRun(const std::string& reason) {
  Note("the case could not run: " + reason);
  std::_Exit(2);
}

inline std::string NewId() {
  static std::atomic<std::uint64_t> next{0x9c41d07be2a30000};
  char text[24];
  std::snprintf(text, sizeof text, "%016llx",
                static_cast<unsigned long long>(next++));
  return text;
}

}  // namespace fleet
