#include "wasabiwall/transport/base64.h"

#include <openssl/evp.h>

namespace wasabiwall::transport {

std::string EncodeBase64(std::string_view data) {
  std::string text(4 * ((data.size() + 2) / 3) + 1, '\0');
  const int length =
      EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                      reinterpret_cast<const unsigned char*>(data.data()),
                      static_cast<int>(data.size()));
  text.resize(static_cast<std::size_t>(length));
  return text;
}

std::optional<std::string> DecodeBase64(std::string_view text) {
  if (text.empty()) return "";
  if (text.size() % 4 != 0) return std::nullopt;
  std::string data(text.size() / 4 * 3, '\0');
  const int length =
      EVP_DecodeBlock(reinterpret_cast<unsigned char*>(data.data()),
                      reinterpret_cast<const unsigned char*>(text.data()),
                      static_cast<int>(text.size()));
  if (length < 0) return std::nullopt;
  std::size_t padding = 0;
  if (text.back() == '=') ++padding;
  if (text[text.size() - 2] == '=') ++padding;
  data.resize(static_cast<std::size_t>(length) - padding);
  return data;
}

}  // namespace wasabiwall::transport
