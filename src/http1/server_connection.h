/// \file server_connection.h
/// One caller's connection: requests one after the other, each answered before the next is read.
#pragma once

#include "http_server.h"

namespace nutmegspur::http1 {

class server_connection {
 public:
  server_connection(http_server& server, std::unique_ptr<tcp_stream> stream);
  server_connection(const server_connection&) = delete;
  server_connection& operator=(const server_connection&) = delete;
  ~server_connection();

  /// Closes at once if idle, otherwise after the answer in work.
  void drain();

  [[nodiscard]] bool busy() const { return current_exchange_ != nullptr; }

  // For the exchange.
  void send(std::string_view bytes) { stream_->write(bytes); }

  /// The last byte of an answer was written.
  void finish_response(bool keep_alive);
  void abort_response();

  [[nodiscard]] bool closing() const { return close_after_ || server_.draining_; }

  [[nodiscard]] std::size_t unsent() const { return stream_->unsent(); }

 private:
  enum class phase { idle, head, body, responding, closed };

  void on_data(std::string_view bytes);
  void on_end();
  void process_input();
  void read_head();
  void read_body();
  void dispatch();
  void reject(int status, const std::string& why);
  void start_timer(milliseconds limit);
  void on_timeout();
  /// Ends this object, on a later turn of the loop.
  void close();

  http_server& server_;
  std::unique_ptr<tcp_stream> stream_;
  message_reader reader_;
  std::string unread_; ///< Bytes that no message has taken yet.
  std::string body_;
  moment arrived_{};
  phase phase_ = phase::idle;
  bool complete_ = false; ///< The reader has seen the message's end.
  bool close_after_ = false;
  bool receiving_ = true;
  timer_id timer_;
  exchange_ptr current_exchange_;
};

} // namespace nutmegspur::http1
