#include "wasabiwall/transport/local_reply.h"

#include <algorithm>
#include <array>
#include <chrono>

namespace wasabiwall::transport {
namespace {

std::string FormatSeconds(std::chrono::milliseconds time) {
  const std::string thousandths = std::to_string(time.count() % 1000);
  return std::to_string(time.count() / 1000) + "." +
         std::string(3 - thousandths.size(), '0') + thousandths;
}

}  // namespace

bool PromisesNotRun(int status) {
  constexpr std::array promises{408, 421, 429, 503};
  return std::ranges::find(promises, status) != promises.end();
}

LocalReply LocalReplyFor(const protocol::Error& error) {
  const protocol::ErrorRow& row = protocol::RowOf(error.kind);
  LocalReply reply;
  reply.head.status = row.http_status;
  reply.head.headers.Add("Content-Type", "application/json");
  if (row.not_run && error.RetryAfter().count() > 0) {
    reply.head.headers.Add("Retry-After", FormatSeconds(error.RetryAfter()));
  }
  reply.body = protocol::ErrorBody(error);
  return reply;
}

std::string EncodeHead(const MessageHead& head,
                       std::optional<std::size_t> length,
                       bool closes_connection) {
  HeaderList headers = head.headers;
  headers.RemoveHopByHop();
  std::string bytes = "HTTP/1.1 " + std::to_string(head.status) + " ";
  bytes.append(head.reason.empty() ? ReasonPhrase(head.status) : head.reason);
  bytes.append("\r\n");
  for (const Header& field : headers.Fields()) {
    AppendHeader(field.name, field.value, &bytes);
  }
  if (IsBodiless(head.status)) {
    // Neither a length nor chunks: the response ends with its head.
  } else if (length) {
    AppendHeader("Content-Length", std::to_string(*length), &bytes);
  } else {
    AppendHeader("Transfer-Encoding", "chunked", &bytes);
  }
  if (closes_connection) AppendHeader("Connection", "close", &bytes);
  return bytes.append("\r\n");
}

}  // namespace wasabiwall::transport
