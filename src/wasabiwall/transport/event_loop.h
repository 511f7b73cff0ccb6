#pragma once

#include <uv.h>

#include <chrono>
#include <functional>
#include <memory>
#include <vector>

#include "wasabiwall/coordination/clock.h"

namespace wasabiwall::transport {

/// @return A random hook with a seed of its own.
coordination::RandomHook SeededRandom();

/// Single-threaded loop that runs timers, sockets and signals.
class EventLoop {
 public:
  EventLoop();
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  /// Runs until Stop is called.
  void Run();

  /// Makes Run return after the callback that is running.
  void Stop();

  /// Runs `task` after the callback that is running.
  void Post(std::function<void()> task);

  /// Runs `work` on another thread and then `done` on the loop's, so that long
  /// computations do not block the loop. Skips `done` if the loop is destroyed
  /// meanwhile.
  /// @param work Must not access state that the loop's thread may access.
  void RunInBackground(std::function<void()> work, std::function<void()> done);

  /// @return Time on the monotonic clock.
  coordination::TimePoint Now() const;

  uv_loop_t* Handle() { return &m_loop; }

 private:
  struct BackgroundTask;

  void RunPosted();

  uv_loop_t m_loop;
  uv_idle_t m_idle;
  std::vector<std::function<void()>> m_posted;
  int m_background_tasks = 0;
  bool m_closing = false;
};

/// Calls back once or repeatedly. Must be destroyed on the loop's thread.
class Timer {
 public:
  explicit Timer(EventLoop* loop);
  ~Timer();
  Timer(const Timer&) = delete;
  Timer& operator=(const Timer&) = delete;

  /// Calls back once after `delay`; replaces an earlier start.
  void Start(std::chrono::milliseconds delay, std::function<void()> callback);

  /// Calls back once after `delay`, but not before input that has arrived until
  /// then has been handled: after a pause of the process, timers run first.
  /// Replaces an earlier start; the input's handler may stop or restart it.
  void StartAfterInput(std::chrono::milliseconds delay,
                       std::function<void()> callback);

  /// Calls back every `period`; replaces an earlier start.
  void StartRepeating(std::chrono::milliseconds period,
                      std::function<void()> callback);

  /// Stops the timer and releases its callback.
  void Stop();

 private:
  struct State;

  void StartTimer(std::chrono::milliseconds delay,
                  std::chrono::milliseconds period,
                  std::function<void()> callback);

  State* m_state;
};

/// Calls back when the process receives a signal.
class SignalWatcher {
 public:
  SignalWatcher(EventLoop* loop, int signal, std::function<void()> callback);
  ~SignalWatcher();
  SignalWatcher(const SignalWatcher&) = delete;
  SignalWatcher& operator=(const SignalWatcher&) = delete;

 private:
  struct State;

  State* m_state;
};

}  // namespace wasabiwall::transport
