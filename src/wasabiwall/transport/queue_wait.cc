#include "wasabiwall/transport/queue_wait.h"

#include <utility>

namespace wasabiwall::transport {

bool QueueWait::Enter(coordination::AdmissionQueue::Waiter waiter) {
  Leave();
  return m_queue->Add(std::move(waiter), &m_id);
}

void QueueWait::Leave() {
  if (m_id != 0) m_queue->Remove(std::exchange(m_id, 0));
}

}  // namespace wasabiwall::transport
