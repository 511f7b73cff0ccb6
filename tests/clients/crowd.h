#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace wasabiwall::clients {

/// What one client of a crowd sends and how it reads.
struct ClientPlan {
  /// @return The bytes from an offset of the client's input on; empty at the
  /// end of the input.
  std::function<std::string(std::size_t offset)> input;
  /// Most bytes sent in one step.
  std::size_t bytes_per_step = 64U << 10U;
  /// Most bytes read in one step; 0 if the client does not read.
  std::size_t reads_per_step = 64U << 10U;
  /// Step after which the client resets its connection; 0 for never.
  int reset_after = 0;
};

/// @return Input that consists of fixed bytes.
std::function<std::string(std::size_t)> FixedInput(std::string bytes);

/// Connections of misbehaving clients to one loopback port, driven in steps.
class Crowd {
 public:
  explicit Crowd(std::uint16_t port) : m_port(port) {}
  ~Crowd();
  Crowd(const Crowd&) = delete;
  Crowd& operator=(const Crowd&) = delete;

  /// Adds a client; it connects at once.
  void Add(ClientPlan plan);

  /// Lets each client send and read once.
  /// @return Bytes sent and read, and connections ended, in this step.
  std::size_t Step();

  /// @return Connections that neither side has ended.
  std::size_t OpenCount() const;

 private:
  struct Client {
    int socket = -1;
    ClientPlan plan;
    std::size_t sent = 0;
    std::string pending;
    int steps = 0;
    bool finished = false;
  };

  std::size_t Send(Client* client);
  std::size_t Read(Client* client);
  static void End(Client* client, bool resets);

  std::uint16_t m_port;
  std::vector<Client> m_clients;
};

}  // namespace wasabiwall::clients
