#pragma once

#include <functional>
#include <memory>
#include <string>

#include "wasabiwall/transport/exchange.h"
#include "wasabiwall/transport/gateway_context.h"
#include "wasabiwall/transport/http1_parser.h"
#include "wasabiwall/transport/tcp_connection.h"

namespace wasabiwall::transport {

/// A caller's HTTP/1.1 connection: reads requests one after another and
/// forwards each with an Exchange.
class ClientConnection : public std::enable_shared_from_this<ClientConnection> {
 public:
  using ClosedHandler =
      std::function<void(const std::shared_ptr<ClientConnection>&)>;

  /// @param on_closed Called once when the connection has ended.
  ClientConnection(GatewayContext* context, ClosedHandler on_closed);

  /// Accepts the pending connection of a listener.
  void Accept(uv_stream_t* listener);

  /// Closes the connection if it is not busy.
  void CloseIfIdle();

  /// Closes the connection if the caller takes a response too slowly. Called
  /// regularly.
  void CheckReadPace();

  /// Ends the call in progress because the process is about to exit.
  void OnProcessExit();

  /// @return Whether a request is being read or answered, or bytes of a
  /// response wait for the caller.
  bool IsBusy() const;

  /// @return Since when there has been no request; only valid while not busy.
  coordination::TimePoint IdleSince() const { return m_idle_since; }

 private:
  void OnData(std::string_view data);
  void Parse(std::string_view data);
  bool OnHead(MessageHead head);
  void OnBody(std::string_view data);
  void OnRequestComplete();
  void OnExchangeEnd(Exchange::End end);
  void ReadNextRequest();
  void OnEnd();
  void OnTimeout();
  /// Answers an invalid request with an error and closes the connection after a
  /// linger time.
  void Reject(protocol::ErrorKind kind);
  /// Counts the body of the request.
  /// @return False if there is no room for it; the request is then rejected.
  bool TakeRoom(std::size_t body_bytes);
  /// @return What writes the response of an exchange.
  CallerResponse::Output ResponseOutput();
  void OnDrained();
  /// Makes room for what has just been read.
  void MakeRoom();
  /// Counts what the connection holds.
  void UpdateHeld();
  /// Frees the request and what has been read after it.
  void DropInput();
  /// Ends a connection that must make room.
  void Evict(ingress::EvictionReason reason);
  /// Logs why the connection ends early, within an allowance for all clients.
  void LogEnd(const char* event, const char* reason);
  /// @return Limits of the configuration in force.
  state::IngressLimits Limits() const;
  void StartReadTimer();
  void StartTimer(std::chrono::milliseconds timeout);
  /// @return Whether bytes of a response wait for the caller.
  bool IsDelivering() const { return m_tcp->QueuedBytes() > 0; }
  /// Reads no further request, and closes once the response is delivered.
  void CloseWhenDelivered();
  /// Closes now; discards what has not been delivered.
  void Close();
  void NotifyClosed();

  GatewayContext* m_context;
  ClosedHandler m_on_closed;
  std::unique_ptr<TcpConnection> m_tcp;
  Http1Parser m_parser;
  GatewayRequest m_request;
  /// Counts the body of the request until it is answered.
  ByteBudget::Share m_body_share;
  std::shared_ptr<Exchange> m_exchange;
  /// Pipelined bytes: received while a request is being answered.
  std::string m_pipelined;
  Timer m_timer;
  /// Timeout that the timer was started with, and the bytes that the caller had
  /// not acknowledged then.
  std::chrono::milliseconds m_timeout{0};
  std::size_t m_unacknowledged_bytes = 0;
  coordination::TimePoint m_idle_since;
  ingress::ClientAccount::Entry m_entry;
  ingress::ReadPace m_read_pace;
  /// Memory that the request takes, until it is answered.
  std::size_t m_request_bytes = 0;
  /// Bytes written, and those of them that the caller had taken when the pace
  /// was last checked.
  std::size_t m_written_bytes = 0;
  std::size_t m_taken_bytes = 0;
  bool m_exchange_started = false;
  /// Whether the next request is read once the response is on its way.
  bool m_waits_for_drain = false;
  bool m_keep_alive = true;
  bool m_rejected = false;
  bool m_closes_when_delivered = false;
  bool m_closed = false;
};

}  // namespace wasabiwall::transport
