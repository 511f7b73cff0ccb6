#include "wasabiwall/transport/forwarded_request.h"

namespace wasabiwall::transport {

std::string EncodeForwardedRequest(const MessageHead& request,
                                   const std::string& body,
                                   const ForwardedCall& call,
                                   const CallCodec& codec) {
  HeaderList headers = request.headers;
  headers.RemoveHopByHop();
  codec.encode_call(call, &headers);
  std::string bytes = request.method + " " + request.target + " HTTP/1.1\r\n";
  for (const Header& field : headers.Fields()) {
    AppendHeader(field.name, field.value, &bytes);
  }
  const bool has_body =
      !body.empty() || (request.method != "GET" && request.method != "HEAD");
  if (has_body) {
    AppendHeader("Content-Length", std::to_string(body.size()), &bytes);
  }
  return bytes.append("\r\n").append(body);
}

}  // namespace wasabiwall::transport
