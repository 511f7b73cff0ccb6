#include "wasabiwall/transport/http1_message.h"

#include <http_parser.h>
#include <strings.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>

#include "wasabiwall/transport/header_name_set.h"

namespace wasabiwall::transport {
namespace {

/// A status is in the class of its first digit.
constexpr int kStatusClassSize = 100;
constexpr int kSuccessClass = 2;

constexpr std::array<std::string_view, 10> kHopByHop = {
    "Connection", "Keep-Alive",        "Proxy-Connection",    "TE",
    "Trailer",    "Transfer-Encoding", "Proxy-Authorization", "Upgrade",
    "Expect",     "Content-Length"};

/// @return Bytes that a string has outside of its own object.
std::size_t HeapBytesOf(const std::string& text) {
  static const std::size_t inline_capacity = std::string().capacity();
  return text.capacity() > inline_capacity ? text.capacity() : 0;
}

}  // namespace

std::string_view TrimSpace(std::string_view text) {
  const auto first = text.find_first_not_of(" \t");
  if (first == std::string_view::npos) return {};
  return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

bool EqualsIgnoringCase(std::string_view a, std::string_view b) {
  return a.size() == b.size() && strncasecmp(a.data(), b.data(), a.size()) == 0;
}

bool IsSuccess(int status) {
  return status / kStatusClassSize == kSuccessClass;
}

bool IsBodiless(int status) {
  constexpr int informational_class = 1;
  return status / kStatusClassSize == informational_class ||
         status == HTTP_STATUS_NO_CONTENT || status == HTTP_STATUS_NOT_MODIFIED;
}

const char* NameOf(BodyFraming framing) {
  switch (framing) {
    case BodyFraming::kLength:
      return "length";
    case BodyFraming::kChunked:
      return "chunked";
    case BodyFraming::kConnectionClose:
      return "close";
  }
  return "unknown";
}

std::size_t HeaderList::MemoryBytes() const {
  std::size_t bytes = m_fields.capacity() * sizeof(Header);
  for (const Header& field : m_fields) {
    bytes += HeapBytesOf(field.name) + HeapBytesOf(field.value);
  }
  return bytes;
}

std::optional<std::size_t> DeclaredLength(const MessageHead& head) {
  const std::string* text = head.headers.Find("Content-Length");
  if (text == nullptr) return std::nullopt;
  std::size_t length = 0;
  std::from_chars(text->data(), text->data() + text->size(), length);
  return length;
}

std::size_t MemoryBytesOf(const MessageHead& head) {
  return head.headers.MemoryBytes() + HeapBytesOf(head.target) +
         HeapBytesOf(head.reason);
}

const std::string* HeaderList::Find(std::string_view name) const {
  for (const Header& field : m_fields) {
    if (EqualsIgnoringCase(field.name, name)) return &field.value;
  }
  return nullptr;
}

void HeaderList::Remove(std::string_view name) {
  std::erase_if(m_fields, [name](const Header& field) {
    return EqualsIgnoringCase(field.name, name);
  });
}

void HeaderList::RemoveHopByHop() {
  // Copied, since the fields move while others are removed.
  std::vector<std::string> connection;
  for (const Header& field : m_fields) {
    if (EqualsIgnoringCase(field.name, kHopByHop.front())) {
      connection.push_back(field.value);
    }
  }
  HeaderNameSet names;
  for (const std::string_view name : kHopByHop) names.Insert(name);
  for (const std::string_view value : connection) {
    std::string_view rest = value;
    while (!rest.empty()) {
      const auto comma = rest.find(',');
      names.Insert(TrimSpace(rest.substr(0, comma)));
      if (comma == std::string_view::npos) break;
      rest.remove_prefix(comma + 1);
    }
  }
  std::erase_if(m_fields, [&](const Header& field) {
    return names.Contains(field.name);
  });
}

void AppendHeader(std::string_view name, std::string_view value,
                  std::string* out) {
  out->append(name).append(": ").append(value).append("\r\n");
}

std::string_view ReasonPhrase(int status) {
  return http_status_str(static_cast<http_status>(status));
}

std::string PercentEncode(std::string_view text) {
  constexpr std::string_view plain = "-._~/";
  constexpr std::string_view digits = "0123456789ABCDEF";
  std::string encoded;
  for (const unsigned char c : text) {
    if (std::isalnum(c) != 0 || plain.find(c) != plain.npos) {
      encoded += static_cast<char>(c);
      continue;
    }
    encoded += '%';
    encoded += digits[c >> 4U];
    encoded += digits[c & 15U];
  }
  return encoded;
}

std::string EncodeChunk(std::string_view data) {
  std::array<char, 16> size{};
  const auto [end, error] =
      std::to_chars(size.data(), size.data() + size.size(), data.size(), 16);
  std::string chunk(size.data(), end);
  chunk.reserve(chunk.size() + data.size() + 4);
  chunk.append("\r\n").append(data).append("\r\n");
  return chunk;
}

}  // namespace wasabiwall::transport
