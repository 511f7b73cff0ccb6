#pragma once

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace wasabiwall::transport {

/// Runs tasks on a bounded number of threads, started as they are needed.
class WorkerPool {
 public:
  /// @param max_threads Most threads.
  /// @param max_queue Most tasks that wait for a thread.
  WorkerPool(int max_threads, std::size_t max_queue);
  ~WorkerPool();
  WorkerPool(const WorkerPool&) = delete;
  WorkerPool& operator=(const WorkerPool&) = delete;

  /// Queues a task.
  /// @return False when the queue is full or the pool has stopped.
  bool Run(std::function<void()> task);

  /// @return Tasks that run or wait.
  int InProgress() const;

  /// Runs what is queued, then ends all threads.
  void Stop();

 private:
  void Work();

  int m_max_threads;
  std::size_t m_max_queue;
  mutable std::mutex m_mutex;
  std::condition_variable m_changed;
  std::deque<std::function<void()>> m_queue;
  std::vector<std::thread> m_threads;
  int m_idle = 0;
  int m_running = 0;
  bool m_stopped = false;
};

}  // namespace wasabiwall::transport
