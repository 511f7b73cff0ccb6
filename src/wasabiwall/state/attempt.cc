#include "wasabiwall/state/attempt.h"

#include <algorithm>
#include <utility>

#include "wasabiwall/state/digest.h"

namespace wasabiwall::state {

void Attempt::Append(std::string_view data) {
  std::function<void()> on_first_data;
  {
    const std::lock_guard lock(m_mutex);
    if (m_ended) return;
    m_body.append(data);
    m_changed.notify_all();
    on_first_data = std::exchange(m_on_first_data, nullptr);
  }
  if (on_first_data) on_first_data();
}

void Attempt::SetOnFirstData(std::function<void()> on_first_data) {
  const std::lock_guard lock(m_mutex);
  m_on_first_data = std::move(on_first_data);
}

void Attempt::SetHead(int http_status, std::string content_type) {
  const std::lock_guard lock(m_mutex);
  m_end.http_status = http_status;
  m_end.content_type = std::move(content_type);
}

void Attempt::Finish(std::string error_kind, std::string detail) {
  const std::lock_guard lock(m_mutex);
  if (m_ended) return;
  m_end.error_kind = std::move(error_kind);
  m_end.detail = std::move(detail);
  m_end.total_bytes = static_cast<std::int64_t>(m_body.size());
  m_end.digest = Sha256Hex(m_body);
  m_ended = true;
  m_changed.notify_all();
}

void Attempt::Replay(const std::string& body, const AttemptEnd& end) {
  const std::lock_guard lock(m_mutex);
  if (m_ended) return;
  m_body = body;
  m_end = end;
  m_ended = true;
  m_changed.notify_all();
}

AttemptChunk Attempt::Read(std::int64_t offset, std::int64_t max_bytes,
                           std::chrono::milliseconds timeout) const {
  std::unique_lock lock(m_mutex);
  const auto ready = [&] {
    return m_ended || static_cast<std::int64_t>(m_body.size()) > offset;
  };
  m_changed.wait_for(lock, timeout, ready);
  AttemptChunk chunk;
  const std::int64_t size = static_cast<std::int64_t>(m_body.size());
  if (offset >= 0 && offset < size) {
    chunk.data = m_body.substr(offset, std::min(max_bytes, size - offset));
  }
  chunk.ended =
      m_ended && offset + static_cast<std::int64_t>(chunk.data.size()) >= size;
  chunk.end = m_end;
  return chunk;
}

void Attempt::Cancel() {
  const std::lock_guard lock(m_mutex);
  m_cancelled = true;
}

bool Attempt::IsCancelled() const {
  const std::lock_guard lock(m_mutex);
  return m_cancelled;
}

bool Attempt::HasEnded() const {
  const std::lock_guard lock(m_mutex);
  return m_ended;
}

}  // namespace wasabiwall::state
