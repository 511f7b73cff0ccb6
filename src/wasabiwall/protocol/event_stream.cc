#include "wasabiwall/protocol/event_stream.h"

#include <strings.h>

#include <algorithm>
#include <charconv>
#include <utility>

namespace wasabiwall::protocol {
namespace {

constexpr std::string_view kLineEnds = "\r\n";
/// First character of a comment line.
constexpr char kCommentMark = ':';

/// Bytes at the end of the data that have to be looked at again with the next
/// ones, since the end of an event may begin there.
constexpr std::size_t kEventEndOverlap = 2;

/// @param from Offset before which no event ends.
/// @return Offset after the empty line that ends the first event, or npos.
std::size_t FindEventEnd(std::string_view data, std::size_t from = 0) {
  for (std::size_t i = from; i + 1 < data.size(); ++i) {
    if (data[i] != '\n' && data[i] != '\r') continue;
    if (data[i + 1] == data[i]) return i + 2;
    if (data[i] == '\r') continue;
    if (data[i + 1] == '\r' && i + 2 < data.size() && data[i + 2] == '\n') {
      return i + 3;
    }
  }
  return std::string_view::npos;
}

std::optional<std::int64_t> ParseEventId(std::string_view event) {
  constexpr std::string_view field = "id:";
  std::size_t line = 0;
  while (line < event.size()) {
    std::string_view rest = event.substr(line);
    if (rest.starts_with(field)) {
      rest.remove_prefix(field.size());
      while (rest.starts_with(' ')) rest.remove_prefix(1);
      std::int64_t id = 0;
      const auto result =
          std::from_chars(rest.data(), rest.data() + rest.size(), id);
      if (result.ec != std::errc()) return std::nullopt;
      return id;
    }
    const auto end = event.find_first_of(kLineEnds, line);
    if (end == std::string_view::npos) break;
    line = end + 1;
  }
  return std::nullopt;
}

}  // namespace

bool MayBeEventStream(std::string_view media_type) {
  constexpr std::string_view event_stream = "text/event-stream";
  if (media_type.empty()) return true;
  return media_type.size() >= event_stream.size() &&
         strncasecmp(media_type.data(), event_stream.data(),
                     event_stream.size()) == 0;
}

std::size_t CompleteEventsSize(std::string_view data) {
  std::size_t size = 0;
  while (true) {
    const std::size_t end = FindEventEnd(data.substr(size));
    if (end == std::string_view::npos) return size;
    size += end;
  }
}

bool HasContent(std::string_view events) {
  while (!events.empty()) {
    const auto line_end = events.find_first_of(kLineEnds);
    if (line_end == std::string_view::npos) return true;
    if (line_end > 0 && events.front() != kCommentMark) return true;
    events.remove_prefix(line_end + 1);
  }
  return false;
}

bool EndsWithDoneMark(std::string_view tail) {
  constexpr std::string_view mark = "data: [DONE]";
  const auto last = tail.find_last_not_of(kLineEnds);
  if (last == std::string_view::npos || last + 1 == tail.size()) return false;
  tail.remove_suffix(tail.size() - last - 1);
  if (!tail.ends_with(mark)) return false;
  tail.remove_suffix(mark.size());
  return tail.empty() || kLineEnds.find(tail.back()) != kLineEnds.npos;
}

bool EventStreamSplitter::IsInsideEvent() const {
  return HasContent(m_partial);
}

std::string EventStreamSplitter::Feed(std::string_view data) {
  // Only the new bytes are searched, so that the time does not grow with the
  // square of an event's size.
  std::size_t from =
      m_partial.size() - std::min(m_partial.size(), kEventEndOverlap);
  m_partial.append(data);
  std::string complete;
  std::string_view rest = m_partial;
  while (true) {
    const std::size_t end = FindEventEnd(rest, std::exchange(from, 0));
    if (end == std::string_view::npos) break;
    const std::string_view event = rest.substr(0, end);
    rest.remove_prefix(end);
    const auto id = ParseEventId(event);
    if (id && m_last_id && *id <= *m_last_id) continue;
    if (id) m_last_id = id;
    complete.append(event);
  }
  m_partial.erase(0, m_partial.size() - rest.size());
  return complete;
}

}  // namespace wasabiwall::protocol
