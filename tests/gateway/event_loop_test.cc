#include "wasabiwall/transport/event_loop.h"

#include <catch2/catch.hpp>
#include <memory>

namespace wasabiwall::transport {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;

TEST_CASE("a stopped timer releases what its callback holds") {
  EventLoop loop;
  Timer timer(&loop);
  const auto held = std::make_shared<int>(1);
  timer.Start(hours(1), [held] {});
  CHECK(held.use_count() == 2);
  timer.Stop();
  CHECK(held.use_count() == 1);
}

TEST_CASE("a callback may stop its own timer and release the timer's owner") {
  struct Owner {
    explicit Owner(EventLoop* loop) : timer(loop) {}
    Timer timer;
  };
  EventLoop loop;
  auto owner = std::make_shared<Owner>(&loop);
  const std::weak_ptr<Owner> weak = owner;
  Owner* raw = owner.get();
  raw->timer.Start(milliseconds(1), [&loop, owner] {
    owner->timer.Stop();
    loop.Stop();
  });
  owner.reset();
  loop.Run();
  CHECK(weak.expired());
}

// Timers of callers' connections were closed on a loop that had ended.
TEST_CASE("a loop that ends closes the timers of tasks that have not run") {
  const auto held = std::make_shared<int>(1);
  {
    EventLoop loop;
    auto timer = std::make_shared<Timer>(&loop);
    timer->Start(hours(1), [held] {});
    loop.Post([timer] {});
  }
  CHECK(held.use_count() == 1);
}

}  // namespace
}  // namespace wasabiwall::transport
