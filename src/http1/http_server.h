/// \file http_server.h
/// HTTP/1.1 server: passes complete requests to a handler and sends its responses, either whole or
/// in pieces: in chunks, or to a caller of HTTP/1.0 up to the end of the connection.
#pragma once

#include "byte_budget.h"
#include "message_reader.h"
#include "tcp_stream.h"

#include <nutmegspur/proxy_config.h>

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

namespace nutmegspur::http1 {

class server_connection;

/// One request and its response. The handler holds it until it has responded. If the caller's
/// connection closes first, the callback of `set_on_disconnect` is called and later writes are
/// dropped.
class exchange {
 public:
  exchange(server_connection& connection, http_request_head head, std::string body, moment arrived,
           time_point first_byte_at)
      : head_(std::move(head)), body_(std::move(body)), arrived_(arrived),
        first_byte_at_(first_byte_at), connection_(&connection) {}

  [[nodiscard]] const http_request_head& head() const { return head_; }

  [[nodiscard]] const std::string& body() const { return body_; }

  /// When the last byte of the request was read.
  [[nodiscard]] const moment& arrived() const { return arrived_; }

  /// When its first byte arrived.
  [[nodiscard]] time_point first_byte_at() const { return first_byte_at_; }

  [[nodiscard]] bool disconnected() const { return connection_ == nullptr; }

  [[nodiscard]] bool started() const { return started_; }

  /// Sets the callback for a connection that ends before the response is complete. It is called at
  /// most once.
  void set_on_disconnect(std::function<void()> run) { on_disconnect_ = std::move(run); }

  /// Looks whether the end of the caller's connection has arrived, which the loop may be late to
  /// read. If so, the exchange ends now as it would then: the callback of `set_on_disconnect` is
  /// called before this returns true. A caller that closed only its sending side is not told apart.
  bool end_if_closed();

  /// Sends a complete response.
  void reply(int status, std::string_view reason, const http_fields& fields, std::string_view body);
  /// Sends the head of a response whose length is not known; the body follows with `write` and ends
  /// with `finish`.
  void begin(int status, std::string_view reason, const http_fields& fields);
  void write(std::string_view piece);
  void finish();
  /// Ends the connection so that the caller sees an incomplete response: without the last chunk, or
  /// with a reset where the response has no chunks.
  void abort();
  /// Bytes of the response that the kernel has not accepted yet.
  [[nodiscard]] std::size_t unsent() const;

 private:
  friend class server_connection;

  http_request_head head_;
  std::string body_;
  moment arrived_;
  time_point first_byte_at_;
  server_connection* connection_; ///< Null once the connection or the exchange has ended.
  std::function<void()> on_disconnect_;
  bool started_ = false;
  bool chunked_ = false; ///< The response that has begun has the chunked coding.
};

using exchange_ptr = std::shared_ptr<exchange>;

/// Callbacks of a server to its owner.
struct server_hooks {
  std::function<void(exchange_ptr)> on_request;
  /// Returns the current limits of callers' connections.
  std::function<caller_limits()> limits;
  /// A request was rejected before it was complete, with this status and for this reason.
  std::function<void(int status, const std::string& why)> on_rejected;
  /// Of the bytes that are held for callers; null: they are not counted.
  byte_budget* budget = nullptr;
  /// Names those who connect, as one source of held bytes.
  std::string source;
};

/// Listens on one address.
class http_server {
 public:
  http_server(event_loop& loop, server_hooks hooks);
  http_server(const http_server&) = delete;
  http_server& operator=(const http_server&) = delete;
  ~http_server();

  result<void> listen(const endpoint& at);

  /// From now on each response tells its caller that the connection ends with it.
  void close_after_responses() { closing_ = true; }

  /// Closes idle connections now and each other connection after its current response.
  void drain();

  /// Accepts no further connections.
  void stop_listening() { listener_.close(); }

  /// From now on nothing is read: idle connections are closed, and requests of which only a part
  /// was read are refused with status 503 and `refusal_fields`.
  void stop_receiving(const http_fields& refusal_fields);

  /// Number of open connections.
  [[nodiscard]] std::size_t connections() const { return connections_.size(); }

  /// Number of requests whose response is not complete.
  [[nodiscard]] std::size_t busy() const;

  /// Number of requests of which some bytes, but not all, were read.
  [[nodiscard]] std::size_t receiving() const;

 private:
  friend class server_connection;

  void remove(server_connection* connection);

  event_loop& loop_;
  server_hooks hooks_;
  tcp_listener listener_;
  std::unordered_map<server_connection*, std::unique_ptr<server_connection>> connections_;
  bool closing_ = false; ///< No connection is kept after its current or next response.
};

} // namespace nutmegspur::http1
