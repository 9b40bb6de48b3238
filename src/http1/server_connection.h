/// \file server_connection.h
/// A caller's connection on the server side. Requests are processed one after the other: a
/// pipelined request is parsed only after the response to the one before.
#pragma once

#include "http_server.h"

namespace nutmegspur::http1 {

/// Status line and fields of a response, without the empty line behind them. An empty `reason` is
/// replaced by that of the status; fields that concern only one connection are left out.
std::string format_head(int status, std::string_view reason, const http_fields& fields);

class server_connection {
 public:
  server_connection(http_server& server, std::unique_ptr<tcp_stream> stream);
  server_connection(const server_connection&) = delete;
  server_connection& operator=(const server_connection&) = delete;
  ~server_connection();

  /// Closes at once if idle, otherwise after the current response.
  void drain();

  /// Reads nothing from now on; refuses a request that is half read, and closes unless a response
  /// is in progress.
  void stop_receiving(const http_fields& refusal_fields);

  [[nodiscard]] bool busy() const { return current_exchange_ != nullptr; }

  /// Whether part of a request was read.
  [[nodiscard]] bool receiving() const { return phase_ == phase::head || phase_ == phase::body; }

  // Called by the exchange.
  void send(std::string_view bytes) {
    stream_->write(bytes);
    watch_unsent();
  }

  /// The response that begins ends with the connection, which is reset unless the response is
  /// complete: a clean end would tell the caller that it is.
  void begin_response_without_framing();
  /// The last byte of a response was written.
  void finish_response(bool keep_alive);
  void abort_response();

  /// Ends the connection if its end has arrived but was not read yet. Returns whether it did.
  bool end_if_closed();

  [[nodiscard]] bool closing() const { return close_after_response_ || server_.closing_; }

  [[nodiscard]] std::size_t unsent() const { return stream_->unsent(); }

 private:
  enum class phase { idle, head, body, responding, closed };

  void on_data(std::string_view bytes);
  void on_end();
  void process_input();
  void read_head();
  void read_body();
  void dispatch();
  void reject(int status, const std::string& why, const http_fields& fields = {});
  void start_timer(milliseconds timeout);
  void on_timeout();
  /// Counts the bytes of the request, and reads on or waits as the budget says.
  void update_input();
  void update_reading();
  /// There is no room for the request.
  void give_up_input();
  /// Counts the bytes that the caller has not taken, until it has.
  void watch_unsent();
  /// There is no room for the bytes that the caller does not take.
  void give_up_output();
  /// Closes the connection, and destroys this object once the caller has taken the response.
  void close();
  void remove_later();

  http_server& server_;
  std::unique_ptr<tcp_stream> stream_;
  message_reader reader_;
  std::string unread_; ///< Bytes received but not yet parsed.
  std::string body_;
  time_point first_byte_at_{}; ///< When the first byte of the current request arrived.
  phase phase_ = phase::idle;
  bool complete_ = false; ///< The parser has reached the end of the request.
  bool close_after_response_ = false;
  bool reset_at_end_ = false;    ///< A response without framing has begun and is not complete.
  bool receiving_ = true;        ///< There is room for later requests.
  bool held_back_ = false;       ///< The budget says to wait.
  time_point first_held_back_{}; ///< When that was said first of the current request.
  byte_hold input_;  ///< `unread_`, and the body of the request until its response is complete.
  byte_hold output_; ///< What the caller has not taken.
  std::size_t dispatched_bytes_ = 0; ///< Body of the request in progress.
  bool removing_ = false;
  std::size_t last_unsent_ = 0;
  time_point last_taken_{}; ///< When the caller took bytes last, as far as it was looked.
  timer_id unsent_timer_;
  timer_id timer_;
  exchange_ptr current_exchange_;
};

} // namespace nutmegspur::http1
