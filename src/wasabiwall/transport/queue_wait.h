#pragma once

#include "wasabiwall/coordination/admission_queue.h"

namespace wasabiwall::transport {

/// The place of one call in the admission queue, which it leaves when this is
/// destroyed.
class QueueWait {
 public:
  /// @param queue Must outlive this.
  explicit QueueWait(coordination::AdmissionQueue* queue) : m_queue(queue) {}
  ~QueueWait() { Leave(); }
  QueueWait(const QueueWait&) = delete;
  QueueWait& operator=(const QueueWait&) = delete;

  /// Enters the queue, and leaves the place that was held before. The callbacks
  /// of `waiter` have to call Leave once the call is placed or has expired.
  /// @return False if the queue is full.
  bool Enter(coordination::AdmissionQueue::Waiter waiter);

  /// Leaves the queue; does nothing outside of it.
  void Leave();

  bool IsWaiting() const { return m_id != 0; }

 private:
  coordination::AdmissionQueue* m_queue;
  /// 0 outside the queue.
  coordination::AdmissionQueue::WaiterId m_id = 0;
};

}  // namespace wasabiwall::transport
