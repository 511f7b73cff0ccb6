#include "wasabiwall/transport/worker_pool.h"

#include <utility>

namespace wasabiwall::transport {

WorkerPool::WorkerPool(int max_threads, std::size_t max_queue)
    : m_max_threads(max_threads), m_max_queue(max_queue) {}

WorkerPool::~WorkerPool() { Stop(); }

bool WorkerPool::Run(std::function<void()> task) {
  const std::lock_guard lock(m_mutex);
  if (m_stopped || m_queue.size() >= m_max_queue) return false;
  m_queue.push_back(std::move(task));
  const bool need_thread =
      m_queue.size() > static_cast<std::size_t>(m_idle) &&
      m_threads.size() < static_cast<std::size_t>(m_max_threads);
  if (need_thread) m_threads.emplace_back([this] { Work(); });
  m_changed.notify_one();
  return true;
}

int WorkerPool::InProgress() const {
  const std::lock_guard lock(m_mutex);
  return m_running + static_cast<int>(m_queue.size());
}

void WorkerPool::Stop() {
  {
    const std::lock_guard lock(m_mutex);
    m_stopped = true;
  }
  m_changed.notify_all();
  for (std::thread& thread : m_threads) {
    if (thread.joinable()) thread.join();
  }
}

void WorkerPool::Work() {
  std::unique_lock lock(m_mutex);
  while (true) {
    ++m_idle;
    m_changed.wait(lock, [this] { return m_stopped || !m_queue.empty(); });
    --m_idle;
    if (m_queue.empty()) return;
    std::function<void()> task = std::move(m_queue.front());
    m_queue.pop_front();
    ++m_running;
    lock.unlock();
    task();
    lock.lock();
    --m_running;
  }
}

}  // namespace wasabiwall::transport
