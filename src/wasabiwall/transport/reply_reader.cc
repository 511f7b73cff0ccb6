#include "wasabiwall/transport/reply_reader.h"

#include <utility>

namespace wasabiwall::transport {
namespace {

/// Size limit of a response that is buffered in full before it is forwarded.
constexpr std::size_t kMaxBufferedBytes = 16U << 20U;
/// Size limit of one event of a stream, which holds a few tokens.
constexpr std::size_t kMaxEventBytes = 1U << 20U;

}  // namespace

void ReplyReader::StartCall(bool expects_stream, bool resumes) {
  m_expects_stream = expects_stream;
  m_resumes = resumes;
}

void ReplyReader::ContinueAfter(const ReplyReader& earlier) {
  m_resumes = earlier.m_resumes;
  m_events = earlier.m_events;
  m_events.DropPartialEvent();
}

void ReplyReader::StartAttempt(const std::string& group, bool may_have_body) {
  m_may_have_body = may_have_body;
  m_head.reset();
  m_metadata = {};
  m_body.clear();
  m_events.DropPartialEvent();
  m_buffered.Reset(group);
  m_has_room = true;
  m_ended = false;
}

void ReplyReader::OnHead(MessageHead head, ReplyMetadata metadata) {
  m_head = std::move(head);
  m_metadata = std::move(metadata);
}

bool ReplyReader::OnBody(std::string_view data, std::string* events) {
  if (!IsEventStream()) {
    if (m_body.size() + data.size() > kMaxBufferedBytes) return false;
    m_body.append(data);
    m_has_room = m_buffered.Resize(m_body.size());
    return true;
  }
  *events = m_events.Feed(data);
  m_resumes = m_resumes || protocol::HasContent(*events);
  const std::size_t partial = m_events.Partial().size();
  m_has_room = m_buffered.Resize(partial);
  return partial <= kMaxEventBytes;
}

bool ReplyReader::IsBodiless() const {
  return m_head && (!m_may_have_body || transport::IsBodiless(m_head->status));
}

bool ReplyReader::HasNothingLeft() const {
  constexpr int no_content = 204;
  return m_head && m_head->status == no_content;
}

std::size_t ReplyReader::Length() const {
  return IsBodiless() ? DeclaredLength(*m_head).value_or(0) : m_body.size();
}

bool ReplyReader::IsEventStream() const {
  if (!m_expects_stream || !m_head || !IsSuccess(m_head->status)) return false;
  if (IsBodiless()) return false;
  const std::string* type = m_head->headers.Find("Content-Type");
  return protocol::MayBeEventStream(type != nullptr ? *type : "");
}

const char* ReplyReader::TruncationReason() const {
  if (!IsEventStream()) return nullptr;
  if (m_events.IsInsideEvent()) return "ended_inside_event";
  // An empty stream is complete only if its framing says so or there may be
  // nothing left to resume.
  return m_head->framing == BodyFraming::kConnectionClose && !m_resumes
             ? "ended_without_event"
             : nullptr;
}

const char* ReplyReader::FramingName() const {
  return m_head ? NameOf(m_head->framing) : "none";
}

std::vector<LogField> ReplyReader::LogFields() const {
  return {{"framing", FramingName()},
          {"partial_bytes", std::to_string(m_events.Partial().size())}};
}

}  // namespace wasabiwall::transport
