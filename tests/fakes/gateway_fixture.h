#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "fakes/scripted_backend.h"
#include "wasabiwall/transport/gateway.h"

namespace wasabiwall::fakes {

/// Header codec with short names: Attempt, Deadline, Key, Part (the shared
/// parts of the prompt, separated by spaces), Tokens in calls; Fetch in
/// forwarded calls; Attempt, Not-Run, Wrong-Backend, Leaving, Hold-Off
/// (milliseconds), Running in responses.
transport::CallCodec TestCodec();

/// A caller's connection that sends and receives raw bytes.
class TestClient {
 public:
  TestClient(transport::EventLoop* loop, int port);

  void Send(const std::string& bytes) { m_tcp->Write(bytes); }
  void Reset() { m_tcp->Reset(); }
  /// Takes no bytes from the socket until ResumeReading.
  void PauseReading() { m_tcp->PauseReading(); }
  void ResumeReading() { m_tcp->ResumeReading(); }
  /// Takes the next bytes from the socket, 64 kB at most, and then pauses.
  void ReadOnce() {
    m_pauses_after_read = true;
    m_tcp->ResumeReading();
  }
  /// Closes the connection in order once all bytes are sent.
  void Close() { m_tcp->CloseAfterWrites(); }

  const std::string& Received() const { return m_received; }
  bool Ended() const { return m_ended; }

  /// @return Whether the connection broke rather than closed in order.
  bool Broken() const { return m_broken; }

  /// @return Status of the first response; 0 when there is none yet.
  int Status() const;

  /// @return Whether `text` was received.
  bool Has(const std::string& text) const {
    return m_received.find(text) != std::string::npos;
  }

 private:
  std::unique_ptr<transport::TcpConnection> m_tcp;
  std::string m_received;
  bool m_pauses_after_read = false;
  bool m_ended = false;
  bool m_broken = false;
};

/// A gateway on loopback with routes /safe/, /once/ (not idempotent), /chat/
/// (resumable stream) and /talk/ (stream that is not resumable), all to service
/// "s".
class GatewayFixture {
 public:
  explicit GatewayFixture(transport::GatewayOptions options = DefaultOptions());

  /// A gateway that is reading the store for the first time.
  struct Starting {};
  explicit GatewayFixture(Starting);
  ~GatewayFixture();

  static transport::GatewayOptions DefaultOptions();

  /// Starts a scripted backend server and registers it.
  ScriptedBackend& AddBackend(const std::string& id,
                              ScriptedBackend::Script script);

  /// Registers an address under an identifier.
  void Register(const std::string& id, const std::string& address);

  /// Opens a caller's connection.
  TestClient& Connect();

  /// Opens a caller's connection and sends a request on it.
  TestClient& Call(const std::string& path, const std::string& attempt_id,
                   const std::string& extra_headers = "");

  /// Runs the loop until `done` or for five seconds.
  /// @return The last result of `done`.
  bool RunUntil(const std::function<bool()>& done);

  /// Runs the loop for a time.
  void RunFor(std::chrono::milliseconds time);

  /// @return The configuration of the fixture, to modify and apply again.
  static std::shared_ptr<state::ServiceConfig> MakeConfig(std::int64_t version);

  transport::EventLoop loop;
  transport::GatewayContext context;
  transport::Gateway gateway;
  bool stopped = false;

 private:
  std::vector<std::unique_ptr<ScriptedBackend>> m_backends;
  std::vector<std::unique_ptr<TestClient>> m_clients;
};

/// @return Bytes of a request.
std::string RequestText(const std::string& path, const std::string& attempt_id,
                        const std::string& extra_headers = "");

}  // namespace wasabiwall::fakes
