#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "clients/crowd.h"
#include "fakes/scripted_backend.h"
#include "gateway_child.h"
#include "store_emulator.h"
#include "wasabiwall/transport/event_loop.h"

namespace wasabiwall::clients {

/// Where a crowd sends its requests.
enum class Target { kRoute, kNoRoute, kReadiness, kMetrics };

/// A real gateway process with lowered limits, and a store and a backend server
/// in this process.
class ClientBed {
 public:
  /// Memory and descriptors that the gateway's settings allow; the bounds of
  /// the tests. 40 MB are four times what a gateway takes that serves single
  /// requests, and little enough for a few hundred clients to exceed.
  static constexpr int kMemoryMb = 40;
  static constexpr int kMaxDescriptors = 1000;

  /// Starts the process and waits until it is ready.
  ClientBed();
  ~ClientBed();
  ClientBed(const ClientBed&) = delete;
  ClientBed& operator=(const ClientBed&) = delete;

  /// @return Port that serves a target.
  std::uint16_t PortOf(Target target) const;

  /// Runs crowds until neither they nor the process do anything more, at most
  /// for `longest`, and records the peak of open descriptors.
  void RunCrowds(const std::vector<Crowd*>& crowds,
                 std::chrono::milliseconds longest);

  /// Checks that the process lives, that its memory and descriptors stayed
  /// under the bounds of its settings, and that it answers an ordinary request.
  void CheckAfterwards();

  /// @return Peak resident memory of the process in kilobytes.
  std::size_t PeakMemoryKb() const;

  /// @return Whether a request of its own connection is answered with 200
  /// within a minute of attempts.
  bool IsAnswered(Target target);

 private:
  using Call = fakes::ScriptedBackend::Received;

  void RunFor(std::chrono::milliseconds time);
  void OnCall(const Call& call);
  void Publish();
  void CountDescriptors();
  /// @return Processor time that the process has used, in clock ticks.
  std::int64_t UsedTicks() const;
  /// @return Status of the answer to one request; 0 without one.
  int AnswerTo(Target target);

  transport::EventLoop m_loop;
  platform::soak::StoreEmulator m_store;
  fakes::ScriptedBackend m_backend;
  std::unique_ptr<platform::soak::GatewayChild> m_gateway;
  std::string m_folder;
  int m_first_port = 0;
  int m_pid = 0;
  std::size_t m_peak_descriptors = 0;
  int m_attempts = 0;
};

/// @return Path of the requests for a target.
std::string PathOf(Target target);

}  // namespace wasabiwall::clients
