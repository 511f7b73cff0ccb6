#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "wasabiwall/protocol/error_kind.h"
#include "wasabiwall/protocol/gen/wasabiwall_types.h"
#include "wasabiwall/state/attempt.h"
#include "wasabiwall/transport/worker_pool.h"

namespace wasabiwall::transport {

/// Runs attempts at the backend server beside the process, over HTTP.
class BackendRunner {
 public:
  /// @param base_url Returns the backend server's base URL now in force.
  /// @param max_threads Most attempts at a time.
  /// @param check Asked right before each hand-over to the backend server; an
  /// error kind, which has to mean that the call was not run, ends the attempt.
  BackendRunner(std::function<std::string()> base_url, int max_threads,
                std::function<std::optional<protocol::ErrorKind>(
                    const protocol::gen::SubmitRequest&)>
                    check);

  /// Starts an attempt; returns at once.
  /// @param on_ended Called once, after the answer has ended.
  void Run(const protocol::gen::SubmitRequest& request,
           const std::shared_ptr<state::Attempt>& answer,
           const std::function<void()>& on_ended);

  /// Waits for all attempts.
  void Stop();

 private:
  void RunNow(const protocol::gen::SubmitRequest& request,
              state::Attempt* answer);

  std::function<std::string()> m_base_url;
  std::function<std::optional<protocol::ErrorKind>(
      const protocol::gen::SubmitRequest&)>
      m_check;
  WorkerPool m_workers;
};

}  // namespace wasabiwall::transport
