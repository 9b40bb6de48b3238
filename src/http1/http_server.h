/// \file http_server.h
/// A server of HTTP/1.1 connections that hands over whole requests and takes answers piece by
/// piece.
#pragma once

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

/// One request and its answer. The handler keeps it for as long as it works on it; when the
/// caller's connection goes first, `on_gone` is called and all writes are dropped.
class exchange {
 public:
  exchange(server_connection& on, http_request_head head, std::string body, moment arrived)
      : head_(std::move(head)), body_(std::move(body)), arrived_(arrived), connection_(&on) {}

  [[nodiscard]] const http_request_head& head() const { return head_; }

  [[nodiscard]] const std::string& body() const { return body_; }

  /// When its last byte was read.
  [[nodiscard]] const moment& arrived() const { return arrived_; }

  [[nodiscard]] bool disconnected() const { return connection_ == nullptr; }

  [[nodiscard]] bool started() const { return started_; }

  /// Called at most once, if the caller's connection ends before the answer is whole.
  void set_on_disconnect(std::function<void()> run) { on_disconnect_ = std::move(run); }

  /// A whole answer.
  void reply(int status, std::string_view reason, const http_fields& fields, std::string_view body);
  /// The head of an answer whose body follows in pieces and ends with `finish`.
  void begin(int status, std::string_view reason, const http_fields& fields);
  void write(std::string_view piece);
  void finish();
  /// Closes the connection without the last chunk, so that what was sent does not look whole.
  void abort();
  /// Bytes of the answer that the caller has not taken yet.
  [[nodiscard]] std::size_t unsent() const;

 private:
  friend class server_connection;

  http_request_head head_;
  std::string body_;
  moment arrived_;
  server_connection* connection_; ///< Null once the connection or the exchange has ended.
  std::function<void()> on_disconnect_;
  bool started_ = false;
  bool chunked_ = false;
};

using exchange_ptr = std::shared_ptr<exchange>;

/// What a server asks of its owner.
struct server_hooks {
  std::function<void(exchange_ptr)> on_request;
  /// The limits in force now.
  std::function<caller_limits()> limits;
  /// A request was refused before it was whole: why, with which status.
  std::function<void(int status, const std::string& why)> on_rejected;
};

/// Listens at one address.
class http_server {
 public:
  http_server(event_loop& loop, server_hooks hooks);
  http_server(const http_server&) = delete;
  http_server& operator=(const http_server&) = delete;
  ~http_server();

  result<void> listen(const endpoint& at);
  /// From now on each connection closes after the answer it is working on, and idle ones at once.
  void drain();

  /// Connections now.
  [[nodiscard]] std::size_t connections() const { return connections_.size(); }

  /// Requests without a whole answer.
  [[nodiscard]] std::size_t busy() const;

 private:
  friend class server_connection;

  void remove(server_connection* which);

  event_loop& loop_;
  server_hooks hooks_;
  tcp_listener listener_;
  std::unordered_map<server_connection*, std::unique_ptr<server_connection>> connections_;
  bool draining_ = false;
};

} // namespace nutmegspur::http1
