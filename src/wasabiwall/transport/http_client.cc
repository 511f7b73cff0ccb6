#include "wasabiwall/transport/http_client.h"

#include <curl/curl.h>

#include <algorithm>
#include <memory>
#include <mutex>

namespace wasabiwall::transport {
namespace {

struct Transfer {
  const HttpRequest* request = nullptr;
  CURL* handle = nullptr;
  HttpResponse response;
  std::int64_t received = 0;
  bool head_given = false;
  bool too_large = false;
  bool is_invalid = false;
};

/// Statuses that a final response may have.
constexpr int kFirstFinalStatus = 200;
constexpr int kLastStatus = 599;

struct EasyDeleter {
  void operator()(CURL* handle) const { curl_easy_cleanup(handle); }
};

struct ListDeleter {
  void operator()(curl_slist* list) const { curl_slist_free_all(list); }
};

/// Handle of this thread, so that its connections are used again.
CURL* ThreadHandle() {
  static std::once_flag once;
  std::call_once(once, [] { curl_global_init(CURL_GLOBAL_DEFAULT); });
  thread_local std::unique_ptr<CURL, EasyDeleter> handle(curl_easy_init());
  curl_easy_reset(handle.get());
  return handle.get();
}

void ReadHead(Transfer* transfer) {
  if (transfer->head_given) return;
  transfer->head_given = true;
  long status = 0;  // NOLINT(google-runtime-int): type of libcurl
  const char* type = nullptr;
  curl_easy_getinfo(transfer->handle, CURLINFO_RESPONSE_CODE, &status);
  curl_easy_getinfo(transfer->handle, CURLINFO_CONTENT_TYPE, &type);
  transfer->response.status = static_cast<int>(status);
  transfer->response.content_type = type != nullptr ? type : "";
  transfer->is_invalid = status < kFirstFinalStatus || status > kLastStatus;
  if (transfer->is_invalid || !transfer->request->on_head) return;
  transfer->request->on_head(transfer->response.status,
                             transfer->response.content_type);
}

std::size_t OnData(const char* data, std::size_t size, std::size_t count,
                   void* context) {
  auto* transfer = static_cast<Transfer*>(context);
  const std::size_t bytes = size * count;
  transfer->received += static_cast<std::int64_t>(bytes);
  if (transfer->received > transfer->request->max_response_bytes) {
    transfer->too_large = true;
    return 0;
  }
  ReadHead(transfer);
  if (transfer->is_invalid) return 0;
  if (transfer->request->on_data) {
    transfer->request->on_data({data, bytes});
  } else {
    transfer->response.body.append(data, bytes);
  }
  return bytes;
}

int OnProgress(void* context, curl_off_t, curl_off_t, curl_off_t, curl_off_t) {
  const auto* transfer = static_cast<Transfer*>(context);
  const auto& cancelled = transfer->request->cancelled;
  return cancelled && cancelled() ? 1 : 0;
}

/// Whether a transfer had a connection. One kept from an earlier transfer has
/// no connect time of its own.
bool WasConnected(CURL* handle) {
  double connect_time = 0;
  long new_connections = 0;  // NOLINT(google-runtime-int): type of libcurl
  curl_easy_getinfo(handle, CURLINFO_CONNECT_TIME, &connect_time);
  curl_easy_getinfo(handle, CURLINFO_NUM_CONNECTS, &new_connections);
  return new_connections == 0 || connect_time > 0;
}

bool WasSent(CURL* handle) {
  long bytes = 0;  // NOLINT(google-runtime-int): type of libcurl
  curl_easy_getinfo(handle, CURLINFO_REQUEST_SIZE, &bytes);
  return bytes > 0;
}

/// Whether the end of the connection alone marked the end of the response while
/// part of the request was not written: nothing tells whether it is complete.
bool EndedAmidUpload(const Transfer& transfer) {
  curl_off_t uploaded = 0;
  curl_off_t length = 0;
  curl_easy_getinfo(transfer.handle, CURLINFO_SIZE_UPLOAD_T, &uploaded);
  curl_easy_getinfo(transfer.handle, CURLINFO_CONTENT_LENGTH_DOWNLOAD_T,
                    &length);
  if (uploaded >= static_cast<curl_off_t>(transfer.request->body.size()) ||
      length >= 0) {
    return false;
  }
  curl_header* encoding = nullptr;
  return curl_easy_header(transfer.handle, "Transfer-Encoding", 0, CURLH_HEADER,
                          -1, &encoding) != CURLHE_OK;
}

HttpFailure FailureOf(CURLcode code, const Transfer& transfer) {
  if (transfer.too_large) return HttpFailure::kTooLarge;
  switch (code) {
    case CURLE_ABORTED_BY_CALLBACK:
      return HttpFailure::kCancelled;
    case CURLE_COULDNT_CONNECT:
    case CURLE_COULDNT_RESOLVE_HOST:
    case CURLE_URL_MALFORMAT:
      return HttpFailure::kNotConnected;
    case CURLE_UNSUPPORTED_PROTOCOL:
      // Also given for a status line that is none.
      return WasSent(transfer.handle) ? HttpFailure::kBroken
                                      : HttpFailure::kNotConnected;
    case CURLE_OPERATION_TIMEDOUT:
      return WasConnected(transfer.handle) ? HttpFailure::kTimeout
                                           : HttpFailure::kNotConnected;
    default:
      return HttpFailure::kBroken;
  }
}

void SetOptions(CURL* handle, const HttpRequest& request, curl_slist* headers,
                Transfer* transfer) {
  curl_easy_setopt(handle, CURLOPT_URL, request.url.c_str());
  curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, request.method.c_str());
  curl_easy_setopt(handle, CURLOPT_HTTPHEADER, headers);
  curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(handle, CURLOPT_PROTOCOLS_STR, "http,https");
  curl_easy_setopt(
      handle, CURLOPT_CONNECTTIMEOUT_MS,
      static_cast<long>(request.connect_timeout.count()));  // NOLINT
  curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS,
                   static_cast<long>(request.total_timeout.count()));  // NOLINT
  if (request.idle_timeout.count() > 0) {
    curl_easy_setopt(handle, CURLOPT_LOW_SPEED_LIMIT, 1L);
    curl_easy_setopt(
        handle, CURLOPT_LOW_SPEED_TIME,
        static_cast<long>(request.idle_timeout.count()));  // NOLINT
  }
  if (!request.body.empty() || request.method == "POST") {
    curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(request.body.size()));
    curl_easy_setopt(handle, CURLOPT_POSTFIELDS, request.body.data());
  }
  const long once = request.send_once ? 1L : 0L;  // NOLINT
  curl_easy_setopt(handle, CURLOPT_FRESH_CONNECT, once);
  curl_easy_setopt(handle, CURLOPT_FORBID_REUSE, once);
  curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, &OnData);
  curl_easy_setopt(handle, CURLOPT_WRITEDATA, transfer);
  curl_easy_setopt(handle, CURLOPT_NOPROGRESS, 0L);
  curl_easy_setopt(handle, CURLOPT_XFERINFOFUNCTION, &OnProgress);
  curl_easy_setopt(handle, CURLOPT_XFERINFODATA, transfer);
}

}  // namespace

tl::expected<HttpResponse, HttpFailure> HttpClient::Send(
    const HttpRequest& request) {
  CURL* handle = ThreadHandle();
  curl_slist* list = curl_slist_append(nullptr, "Expect:");
  for (const HttpHeader& header : request.headers) {
    list = curl_slist_append(list, (header.name + ": " + header.value).c_str());
  }
  const std::unique_ptr<curl_slist, ListDeleter> headers(list);
  Transfer transfer;
  transfer.request = &request;
  transfer.handle = handle;
  SetOptions(handle, request, headers.get(), &transfer);
  const CURLcode code = curl_easy_perform(handle);
  if (code != CURLE_OK) return tl::make_unexpected(FailureOf(code, transfer));
  ReadHead(&transfer);
  if (transfer.is_invalid || EndedAmidUpload(transfer)) {
    return tl::make_unexpected(HttpFailure::kBroken);
  }
  return std::move(transfer.response);
}

}  // namespace wasabiwall::transport
