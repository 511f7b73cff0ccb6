#include "wasabiwall/transport/http1_parser.h"

#include <algorithm>
#include <cctype>
#include <climits>
#include <cstdint>
#include <utility>

namespace wasabiwall::transport {
namespace {

/// Return values that tell http_parser how to continue after a head.
constexpr int kContinue = 0;
constexpr int kSkipBody = 1;
constexpr int kFail = -1;

/// Ends a name or a value in the text of a head.
constexpr char kFieldEnd = '\n';
/// Bytes of a field besides its name and value: colon and line end.
constexpr std::size_t kFieldOverheadBytes = 3;

bool IsToken(std::string_view name) {
  constexpr std::string_view token_marks = "!#$%&'*+-.^_`|~";
  return !name.empty() &&
         std::all_of(name.begin(), name.end(), [&](unsigned char c) {
           return std::isalnum(c) != 0 ||
                  token_marks.find(c) != token_marks.npos;
         });
}

bool IsFieldValue(std::string_view value) {
  return std::all_of(value.begin(), value.end(), [](unsigned char c) {
    return c == '\t' || (c >= ' ' && c != 0x7f);
  });
}

/// @return What marks the end of the response whose head has been parsed.
BodyFraming FramingOf(const http_parser& parser) {
  constexpr std::uint64_t no_length = ULLONG_MAX;
  if (IsBodiless(parser.status_code)) return BodyFraming::kLength;
  if ((parser.flags & F_CHUNKED) != 0) return BodyFraming::kChunked;
  return parser.content_length != no_length ? BodyFraming::kLength
                                            : BodyFraming::kConnectionClose;
}

}  // namespace

Http1Parser::Http1Parser(Kind kind, Handlers handlers)
    : m_kind(kind), m_handlers(std::move(handlers)) {
  http_parser_init(&m_parser,
                   kind == Kind::kRequests ? HTTP_REQUEST : HTTP_RESPONSE);
  m_parser.data = this;
}

Http1Parser::Status Http1Parser::Feed(std::string_view data,
                                      std::size_t* consumed) {
  *consumed = 0;
  if (m_paused) return Status::kPaused;
  *consumed =
      http_parser_execute(&m_parser, &Callbacks(), data.data(), data.size());
  const auto error = HTTP_PARSER_ERRNO(&m_parser);
  if (error == HPE_PAUSED) return Status::kPaused;
  if (error == HPE_OK) return Status::kOk;
  const bool too_large = m_head_too_large || error == HPE_HEADER_OVERFLOW;
  return too_large ? Status::kHeadTooLarge : Status::kMalformed;
}

bool Http1Parser::FeedEof() {
  if (m_paused || !m_in_message) return !m_in_message;
  http_parser_execute(&m_parser, &Callbacks(), nullptr, 0);
  return HTTP_PARSER_ERRNO(&m_parser) == HPE_OK && !m_in_message;
}

void Http1Parser::Pause() {
  m_paused = true;
  http_parser_pause(&m_parser, 1);
}

void Http1Parser::Resume() {
  if (!m_paused) return;
  m_paused = false;
  http_parser_pause(&m_parser, 0);
}

bool Http1Parser::CountHeadBytes(std::size_t bytes) {
  m_head_bytes += bytes;
  m_head_too_large = m_head_bytes > m_max_head_bytes;
  return !m_head_too_large;
}

void Http1Parser::BuildFields() {
  if (m_value_started) m_head_text += kFieldEnd;
  m_value_started = false;
  const std::string text = std::exchange(m_head_text, {});
  const auto ends = std::ranges::count(text, kFieldEnd);
  m_head.headers.Reserve(static_cast<std::size_t>(ends) / 2);
  std::size_t begin = 0;
  while (begin < text.size()) {
    const auto name_end = text.find(kFieldEnd, begin);
    if (name_end == std::string::npos) return;
    const auto value_end = text.find(kFieldEnd, name_end + 1);
    if (value_end == std::string::npos) return;
    const std::string_view value(text.data() + name_end + 1,
                                 value_end - name_end - 1);
    m_head.headers.Add(text.substr(begin, name_end - begin),
                       std::string(TrimSpace(value)));
    begin = value_end + 1;
  }
}

void Http1Parser::ToOriginForm() {
  constexpr std::string_view scheme = "http://";
  if (!m_head.target.starts_with(scheme)) return;
  const auto path = m_head.target.find('/', scheme.size());
  m_head.headers.Remove("Host");
  m_head.headers.Add("Host",
                     m_head.target.substr(scheme.size(), path - scheme.size()));
  m_head.target = path == std::string::npos ? "/" : m_head.target.substr(path);
}

bool Http1Parser::FinishHead() {
  BuildFields();
  m_head_complete = true;
  for (const Header& field : m_head.headers.Fields()) {
    if (!IsToken(field.name) || !IsFieldValue(field.value)) return false;
  }
  m_head.keep_alive = http_should_keep_alive(&m_parser) != 0;
  if (m_kind == Kind::kResponses) {
    m_head.status = m_parser.status_code;
    m_head.framing = FramingOf(m_parser);
    return true;
  }
  const bool version_1_1 = m_parser.http_major == 1 && m_parser.http_minor == 1;
  if (m_parser.method == HTTP_CONNECT || !version_1_1) return false;
  ToOriginForm();
  m_head.method = http_method_str(static_cast<http_method>(m_parser.method));
  return true;
}

int Http1Parser::OnHeadersComplete(http_parser* parser) {
  Http1Parser* self = Of(parser);
  if (!self->FinishHead()) return kFail;
  // Upgrades are not supported; the connection continues as HTTP/1.1.
  parser->upgrade = 0;
  const bool is_bodiless =
      self->m_kind == Kind::kResponses && IsBodiless(self->m_head.status);
  const bool may_have_body = self->m_handlers.on_head(std::move(self->m_head));
  return may_have_body && !is_bodiless ? kContinue : kSkipBody;
}

const http_parser_settings& Http1Parser::Callbacks() {
  static const http_parser_settings settings = [] {
    http_parser_settings s;
    http_parser_settings_init(&s);
    s.on_message_begin = [](http_parser* parser) {
      Http1Parser* self = Of(parser);
      self->m_head = {};
      self->m_head_text.clear();
      self->m_value_started = false;
      self->m_in_message = true;
      self->m_head_complete = false;
      self->m_head_bytes = 0;
      return 0;
    };
    s.on_url = [](http_parser* parser, const char* data, std::size_t size) {
      Of(parser)->m_head.target.append(data, size);
      return Of(parser)->CountHeadBytes(size) ? 0 : kFail;
    };
    s.on_status = [](http_parser* parser, const char* data, std::size_t size) {
      Of(parser)->m_head.reason.append(data, size);
      return 0;
    };
    s.on_header_field = [](http_parser* parser, const char* data,
                           std::size_t size) {
      Http1Parser* self = Of(parser);
      // Trailers are not forwarded.
      if (self->m_head_complete) return 0;
      std::size_t counted = size;
      if (std::exchange(self->m_value_started, false)) {
        self->m_head_text += kFieldEnd;
        counted += kFieldOverheadBytes;
      }
      self->m_head_text.append(data, size);
      return self->CountHeadBytes(counted) ? 0 : kFail;
    };
    s.on_header_value = [](http_parser* parser, const char* data,
                           std::size_t size) {
      Http1Parser* self = Of(parser);
      if (self->m_head_complete) return 0;
      if (!std::exchange(self->m_value_started, true)) {
        self->m_head_text += kFieldEnd;
      }
      self->m_head_text.append(data, size);
      return self->CountHeadBytes(size) ? 0 : kFail;
    };
    s.on_headers_complete = &Http1Parser::OnHeadersComplete;
    s.on_body = [](http_parser* parser, const char* data, std::size_t size) {
      Of(parser)->m_handlers.on_body({data, size});
      return 0;
    };
    s.on_message_complete = [](http_parser* parser) {
      Of(parser)->m_in_message = false;
      Of(parser)->m_handlers.on_complete();
      return 0;
    };
    return s;
  }();
  return settings;
}

}  // namespace wasabiwall::transport
