// Stand-ins for the platform's store, backend servers and callers, and a
// launcher for gateway processes. They speak what PROTOCOL.md and LETTER-4.md
// say, over loopback addresses and on the real clock. One thread a connection.
#pragma once

#include <sys/types.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

/// Milliseconds since the start of the program.
std::int64_t NowMs();
void SleepMs(std::int64_t ms);
/// Sleeps until a time of NowMs().
void SleepUntilMs(std::int64_t at_ms);

/// Appends lines to record.txt, each with the time.
class Record {
 public:
  explicit Record(const std::string& path);
  void Line(const std::string& text);

 private:
  std::mutex m_mutex;
  std::ofstream m_file;
};

/// A parsed HTTP/1.1 message.
struct Message {
  std::string first_line;
  std::string method;
  std::string target;
  int status = 0;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;

  /// @return The value, or an empty text.
  std::string Header(const std::string& name) const;
};

/// A connected socket with a buffer.
class Stream {
 public:
  explicit Stream(int descriptor) : m_descriptor(descriptor) {}
  ~Stream();
  Stream(const Stream&) = delete;
  Stream& operator=(const Stream&) = delete;

  bool WriteAll(const std::string& data);
  /// Reads a message with its body: by length, in chunks, or none.
  /// @param until_ms Time of NowMs() at which it gives up.
  /// @return Nothing if the connection ended or the time is over.
  std::optional<Message> Read(std::int64_t until_ms, bool is_response);
  /// Reads up to `size` bytes. @return 0 at the end or at the time.
  std::size_t ReadSome(char* data, std::size_t size, std::int64_t until_ms);
  /// Ends the connection with a reset.
  void Reset();
  void Shutdown();
  int Descriptor() const { return m_descriptor; }
  bool TimedOut() const { return m_timed_out; }

 private:
  bool Fill(std::int64_t until_ms);

  int m_descriptor;
  std::string m_buffer;
  bool m_timed_out = false;
};

/// @return A free port of a loopback address.
int FreePort();
/// @return Null if the connection is refused or takes over a second.
std::unique_ptr<Stream> Connect(int port, int receive_buffer = 0);

/// Accepts connections and serves each on a thread of its own.
class Server {
 public:
  using Serve = std::function<void(Stream*)>;
  explicit Server(Serve serve);
  ~Server();
  int Port() const { return m_port; }
  std::string Address() const { return "127.0.0.1:" + std::to_string(m_port); }
  /// Resets all open connections.
  void ResetAll();
  /// Accepts no more connections.
  void StopListening();

 private:
  void Accept();

  Serve m_serve;
  int m_listener = -1;
  int m_port = 0;
  std::atomic<bool> m_stopped{false};
  std::mutex m_mutex;
  std::vector<Stream*> m_open;
  std::atomic<int> m_active{0};
  std::thread m_thread;
};

std::string Reply(int status, const std::string& headers,
                  const std::string& body);

/// The platform's metadata store.
class Store {
 public:
  Store();
  ~Store();
  std::string Address() const { return m_server->Address(); }

  /// Writes as the operator or a backend server does.
  /// @return The revision; the return is the acknowledgement.
  std::int64_t Put(const std::string& key, const std::string& value);
  std::int64_t Remove(const std::string& key);
  std::int64_t Revision();
  std::string Value(const std::string& key);

  /// Takes the copy from which the store comes back later.
  void TakeCopy();
  /// Breaks all connections and takes no calls.
  void GoAway();
  /// Comes back; with `from_copy`, from the copy and with the next era.
  void ComeBack(bool from_copy);

 private:
  struct Item {
    std::string value;
    std::int64_t revision = 0;
    std::int64_t created = 0;
    std::int64_t lease = 0;
  };
  struct Lease {
    std::int64_t ttl_ms = 0;
    std::int64_t ends_ms = 0;
  };
  struct Event {
    std::int64_t revision = 0;
    nlohmann::json json;
    std::string key;
  };
  /// All that a copy holds.
  struct Data {
    std::int64_t revision = 1;
    std::int64_t next_lease = 1000;
    std::map<std::string, Item> items;
    std::map<std::int64_t, Lease> leases;
    std::deque<Event> history;
  };

  void Serve(Stream* stream);
  std::string Handle(const Message& call);
  std::string Watch(const std::map<std::string, std::string>& query);
  std::string Transact(const std::string& body);
  std::string ServeLease(const Message& call, const std::string& path);
  void WriteItem(const std::string& key, const std::string& value,
                 std::int64_t lease);
  void DeleteItem(const std::string& key);
  void EndLeases();
  std::string Answer(int status, const nlohmann::json& body);
  static nlohmann::json ToJson(const std::string& key, const Item& item);

  std::mutex m_mutex;
  std::condition_variable m_changed;
  Data m_data;
  Data m_copy;
  std::int64_t m_era = 1;
  std::int64_t m_generation = 0;
  std::atomic<bool> m_away{false};
  std::atomic<bool> m_stopped{false};
  std::unique_ptr<Server> m_server;
  std::thread m_lease_thread;
};

/// One start of a run at a backend server.
struct Run {
  std::string attempt;
  std::int64_t at_ms = 0;
  std::string key;
  std::string tenant;
};

/// A backend server of a plain service.
class Backend {
 public:
  struct Options {
    std::string id;
    std::string service;
    std::string zone;
    milliseconds work{20};
    std::size_t body_bytes = 800;
    /// While it is faulty, share of answers that are followed by `extra`, late:
    /// at the point where the next response is expected.
    double extra_share = 0;
    std::string extra = {};
    unsigned seed = 1;
  };
  Backend(Store* store, Record* record, Options options);
  std::string Entry(const std::string& phase, int cold_left_ms) const;
  /// Writes its entry in the store.
  void Publish(const std::string& phase);
  std::vector<Run> Runs();
  /// Ends: what is under way is cut, and nothing is answered any more.
  void Exit();
  /// Sets whether it is faulty: sends extra bytes.
  void SetFaulty(bool is_faulty) { m_faulty = is_faulty; }
  const std::string& Id() const { return m_options.id; }

 private:
  void Serve(Stream* stream);

  Store* m_store;
  Record* m_record;
  Options m_options;
  std::int64_t m_born;
  std::mutex m_mutex;
  std::mt19937 m_random;
  std::vector<Run> m_runs;
  std::atomic<bool> m_exited{false};
  std::atomic<bool> m_faulty{false};
  std::unique_ptr<Server> m_server;
};

/// A process started with the command of the deploy file.
class Gateway {
 public:
  /// @param folder Temporary folder for the settings and the log.
  Gateway(const std::string& program, const std::string& folder,
          const std::string& name, const std::string& zone,
          const std::string& store_address);
  ~Gateway();
  void Start();
  void Signal(int signal);
  bool IsReady() const;
  /// @return Whether the process has ended.
  bool HasEnded();
  int Port() const { return m_port; }
  const std::string& Name() const { return m_name; }

 private:
  std::string m_program;
  std::string m_settings;
  std::string m_log;
  std::string m_name;
  int m_port;
  int m_readiness_port;
  pid_t m_pid = -1;
};

/// @return Whether it became ready in time.
bool WaitReady(const std::vector<std::unique_ptr<Gateway>>& gateways,
               std::int64_t timeout_ms);

/// Entries of a configuration.
nlohmann::json RouteOf(const std::string& name, const std::string& prefix,
                       const std::string& type, const std::string& service,
                       int timeout_ms, int goal_ms, int max_attempts);
nlohmann::json ServiceOf(const std::string& name, double cold_start_s,
                         double cold_per_s);
nlohmann::json LimitsOf();

/// @return Path of the program of the deploy file, or empty.
std::string GatewayProgram();
/// A new temporary folder; removed at the end, unless KEEP is set.
class TemporaryFolder {
 public:
  TemporaryFolder();
  ~TemporaryFolder();
  const std::string& Path() const { return m_path; }

 private:
  std::string m_path;
};
/// @return Whether TROUBLE is not 0.
bool WithTrouble();

inline constexpr int kHeld = 0;
inline constexpr int kBroken = 1;
inline constexpr int kCouldNotRun = 2;

}  // namespace review
