#include "wasabiwall/transport/event_loop.h"

#include <cstdlib>
#include <memory>
#include <random>
#include <utility>

namespace wasabiwall::transport {
namespace {

/// Delay with which a timer runs after the loop has looked for input; without
/// one it would run before.
constexpr std::chrono::milliseconds kNextTurn{1};

/// Aborts on an error: libuv rejects no handle of these kinds, so a failure
/// means a broken process.
void AbortOnError(int status) {
  if (status != 0) std::abort();
}

}  // namespace

coordination::RandomHook SeededRandom() {
  auto engine = std::make_shared<std::mt19937_64>(std::random_device{}());
  return [engine] { return (*engine)(); };
}

struct EventLoop::BackgroundTask {
  uv_work_t request;
  EventLoop* loop;
  std::function<void()> work;
  std::function<void()> done;
};

EventLoop::EventLoop() {
  AbortOnError(uv_loop_init(&m_loop));
  AbortOnError(uv_idle_init(&m_loop, &m_idle));
  m_idle.data = this;
}

EventLoop::~EventLoop() {
  m_closing = true;
  while (m_background_tasks > 0) uv_run(&m_loop, UV_RUN_ONCE);
  // What tasks hold closes its handles, and may post again.
  while (!m_posted.empty()) std::exchange(m_posted, {}).clear();
  uv_close(reinterpret_cast<uv_handle_t*>(&m_idle), nullptr);
  // Runs the close callbacks of handles that were closed before.
  uv_run(&m_loop, UV_RUN_NOWAIT);
  uv_loop_close(&m_loop);
}

void EventLoop::Run() { uv_run(&m_loop, UV_RUN_DEFAULT); }

void EventLoop::Stop() { uv_stop(&m_loop); }

void EventLoop::Post(std::function<void()> task) {
  if (m_posted.empty()) {
    uv_idle_start(&m_idle, [](uv_idle_t* idle) {
      static_cast<EventLoop*>(idle->data)->RunPosted();
    });
  }
  m_posted.push_back(std::move(task));
}

void EventLoop::RunPosted() {
  const auto tasks = std::exchange(m_posted, {});
  uv_idle_stop(&m_idle);
  for (const auto& task : tasks) task();
}

void EventLoop::RunInBackground(std::function<void()> work,
                                std::function<void()> done) {
  auto* task = new BackgroundTask{{}, this, std::move(work), std::move(done)};
  task->request.data = task;
  ++m_background_tasks;
  AbortOnError(uv_queue_work(
      &m_loop, &task->request,
      [](uv_work_t* request) {
        static_cast<BackgroundTask*>(request->data)->work();
      },
      [](uv_work_t* request, int /*status*/) {
        const std::unique_ptr<BackgroundTask> finished(
            static_cast<BackgroundTask*>(request->data));
        EventLoop* loop = finished->loop;
        --loop->m_background_tasks;
        if (!loop->m_closing) finished->done();
      }));
}

coordination::TimePoint EventLoop::Now() const {
  return std::chrono::time_point_cast<std::chrono::microseconds>(
      std::chrono::steady_clock::now());
}

struct Timer::State {
  uv_timer_t handle;
  std::function<void()> callback;
};

Timer::Timer(EventLoop* loop) : m_state(new State) {
  AbortOnError(uv_timer_init(loop->Handle(), &m_state->handle));
  m_state->handle.data = m_state;
}

Timer::~Timer() {
  uv_close(
      reinterpret_cast<uv_handle_t*>(&m_state->handle),
      [](uv_handle_t* handle) { delete static_cast<State*>(handle->data); });
}

void Timer::Start(std::chrono::milliseconds delay,
                  std::function<void()> callback) {
  StartTimer(delay, std::chrono::milliseconds{0}, std::move(callback));
}

void Timer::StartAfterInput(std::chrono::milliseconds delay,
                            std::function<void()> callback) {
  Start(delay,
        [this, callback = std::move(callback)] { Start(kNextTurn, callback); });
}

void Timer::StartRepeating(std::chrono::milliseconds period,
                           std::function<void()> callback) {
  StartTimer(period, period, std::move(callback));
}

void Timer::StartTimer(std::chrono::milliseconds delay,
                       std::chrono::milliseconds period,
                       std::function<void()> callback) {
  m_state->callback = std::move(callback);
  uv_update_time(m_state->handle.loop);
  uv_timer_start(
      &m_state->handle,
      [](uv_timer_t* handle) {
        // Copied, since the callback may destroy or restart the timer.
        const auto call = static_cast<State*>(handle->data)->callback;
        call();
      },
      static_cast<std::uint64_t>(std::max<std::int64_t>(0, delay.count())),
      static_cast<std::uint64_t>(period.count()));
}

void Timer::Stop() {
  uv_timer_stop(&m_state->handle);
  // Released last, since what the callback holds may own this timer.
  const auto released = std::exchange(m_state->callback, nullptr);
}

struct SignalWatcher::State {
  uv_signal_t handle;
  std::function<void()> callback;
};

SignalWatcher::SignalWatcher(EventLoop* loop, int signal,
                             std::function<void()> callback)
    : m_state(new State) {
  AbortOnError(uv_signal_init(loop->Handle(), &m_state->handle));
  m_state->handle.data = m_state;
  m_state->callback = std::move(callback);
  AbortOnError(uv_signal_start(
      &m_state->handle,
      [](uv_signal_t* handle, int) {
        static_cast<State*>(handle->data)->callback();
      },
      signal));
}

SignalWatcher::~SignalWatcher() {
  uv_close(
      reinterpret_cast<uv_handle_t*>(&m_state->handle),
      [](uv_handle_t* handle) { delete static_cast<State*>(handle->data); });
}

}  // namespace wasabiwall::transport
