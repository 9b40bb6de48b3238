/// \file tcp_stream.h
/// One TCP connection of the event loop, that tells a clean end from a reset.
#pragma once

#include "event_loop.h"

#include <nutmegspur/wire_binding.h>

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace nutmegspur::http1 {

/// How the other end left.
enum class stream_end {
  closed, ///< It sent all that it had and closed.
  reset,  ///< Reset, timed out, or never reached.
};

/// What a connection tells its owner. Any call may destroy the stream.
struct stream_events {
  std::function<void()> on_connected;
  std::function<void(std::string_view)> on_data;
  std::function<void(stream_end)> on_end;
};

class tcp_stream {
 public:
  /// Time without an acknowledgement of sent bytes after which a connection is given up
  /// (TCP_USER_TIMEOUT, RFC 5482): a peer that went dark shows in seconds, not minutes.
  static constexpr milliseconds user_timeout{3'000};

  explicit tcp_stream(event_loop& loop);
  tcp_stream(const tcp_stream&) = delete;
  tcp_stream& operator=(const tcp_stream&) = delete;
  /// Closes; what was written before is still sent.
  ~tcp_stream();

  void set_events(stream_events events) { events_ = std::move(events); }

  /// Begins to connect; `on_connected` or `on_end` follows.
  void connect(const endpoint& to);
  /// Takes a connection from a listening handle.
  bool accept(uv_stream_t* listener);
  void start_reading();
  void stop_reading();
  void write(std::string_view bytes);
  /// Closes with a reset, so that the other end does not take what it got for whole.
  void abort();

  /// Bytes that were written but not yet taken by the system.
  [[nodiscard]] std::size_t unsent() const;

 private:
  struct handle;

  static void close_handle(handle* it);
  static void on_read(uv_stream_t* stream, ssize_t n, const uv_buf_t* buf);
  void end(stream_end how);
  void set_options();

  event_loop& loop_;
  handle* handle_; ///< Null after a reset.
  stream_events events_;
  bool ended_ = false;
};

/// A listening socket. Ends with the object.
class tcp_listener {
 public:
  using accept_callback = std::function<void(std::unique_ptr<tcp_stream>)>;

  tcp_listener(event_loop& loop, accept_callback on_accept);
  tcp_listener(const tcp_listener&) = delete;
  tcp_listener& operator=(const tcp_listener&) = delete;
  ~tcp_listener();

  result<void> listen(const endpoint& at);

 private:
  /// Connections that may wait to be accepted.
  static constexpr int backlog = 512;

  event_loop& loop_;
  uv_tcp_t* handle_;
  accept_callback on_accept_;
};

/// A UDP socket bound to `at`.
class udp_socket {
 public:
  using receive_callback = std::function<void(std::string_view, const endpoint&)>;

  udp_socket(event_loop& loop, receive_callback on_receive);
  udp_socket(const udp_socket&) = delete;
  udp_socket& operator=(const udp_socket&) = delete;
  ~udp_socket();

  result<void> bind(const endpoint& at);
  /// Sends if the system takes it at once; a datagram may be lost anyway.
  void send(const endpoint& to, std::string_view bytes);

 private:
  event_loop& loop_;
  uv_udp_t* handle_;
  receive_callback on_receive_;
};

} // namespace nutmegspur::http1
