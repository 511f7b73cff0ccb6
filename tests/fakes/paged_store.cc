#include "fakes/paged_store.h"

#include <algorithm>
#include <utility>

#include "wasabiwall/transport/base64.h"
#include "wasabiwall/transport/http1_message.h"

namespace wasabiwall::fakes {
namespace {

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kRevision = 5;
constexpr std::string_view kAfter = "&after=";

std::string Padded(int number) {
  const std::string digits = std::to_string(number);
  return std::string(6 - digits.size(), '0') + digits;
}

}  // namespace

PagedStore::PagedStore(transport::EventLoop* loop,
                       const std::vector<StoredItem>& items,
                       std::size_t page_size, StatusHook status)
    : m_page_size(page_size),
      m_status(std::move(status)),
      m_server(loop, [this](const ScriptedBackend::Received& call) {
        OnCall(call);
      }) {
  for (const StoredItem& item : items) {
    m_keys.push_back(transport::PercentEncode(item.key));
    m_encoded.push_back(R"({"key":")" + item.key + R"(","value":")" +
                        transport::EncodeBase64(item.value) +
                        R"(","revision":)" + std::to_string(kRevision) + "}");
  }
}

void PagedStore::OnCall(const ScriptedBackend::Received& call) {
  if (call.head.target.find("kv-key") != std::string::npos) {
    call.session->Write(PlainAnswer("", kNotFound, "{}"));
  }
  if (call.head.target.find("kv-range") == std::string::npos) return;
  ++m_reads;
  if (call.head.target.find(kAfter) == std::string::npos) ++m_first_page_reads;
  const int status = m_status ? m_status(m_reads) : kOk;
  if (status == 0) {
    m_held.push_back(call);
    return;
  }
  call.session->Write(
      PlainAnswer("", status, status == kOk ? Page(call.head.target) : "{}"));
}

void PagedStore::AnswerHeldReads() {
  for (const auto& call : std::exchange(m_held, {})) {
    if (call.session->Ended()) continue;
    call.session->Write(PlainAnswer("", kOk, Page(call.head.target)));
  }
}

std::string PagedStore::Page(const std::string& target) const {
  std::size_t begin = 0;
  const auto at = target.find(kAfter);
  if (at != std::string::npos) {
    const std::string after = target.substr(at + kAfter.size());
    begin = static_cast<std::size_t>(std::ranges::find(m_keys, after) -
                                     m_keys.begin()) +
            1;
  }
  const std::size_t end = std::min(begin + m_page_size, m_encoded.size());
  std::string items;
  for (std::size_t i = begin; i < end; ++i) {
    if (!items.empty()) items += ",";
    items += m_encoded[i];
  }
  return R"({"items":[)" + items + R"(],"has_more":)" +
         (end < m_encoded.size() ? "true" : "false") + R"(,"at":)" +
         std::to_string(kRevision) + "}";
}

std::vector<StoredItem> FleetItems(int backends, int gateways,
                                   const std::string& address) {
  std::vector<StoredItem> items;
  items.reserve(static_cast<std::size_t>(backends) +
                static_cast<std::size_t>(gateways));
  for (int i = 0; i < backends; ++i) {
    items.push_back({"servers/i-" + Padded(i),
                     R"({"service":"s","address":")" + address +
                         R"(","zone":"z","version":"1","capacity":16,)"
                         R"("phase":"ready","cold_left_ms":0,"sequence":1,)"
                         R"("born":1782527400000})"});
  }
  for (int i = 0; i < gateways; ++i) {
    items.push_back({"wasabiwall/gateways/edge-" + Padded(i),
                     "10.0.0.1:" + std::to_string(i)});
  }
  return items;
}

}  // namespace wasabiwall::fakes
