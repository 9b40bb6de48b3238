/// \file tcp_stream.h
/// TCP connections, listening sockets and UDP sockets on the event loop.
///
/// A connection reports whether the peer closed it cleanly or it was reset: a response that ends
/// with the connection is complete only after a clean close.
#pragma once

#include "event_loop.h"

#include <nutmegspur/stream_evidence.h>
#include <nutmegspur/wire_binding.h>

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace nutmegspur::http1 {

/// How a connection ended.
enum class stream_end {
  closed, ///< The peer sent all its data and closed (FIN).
  reset,  ///< Reset, timed out, or never established.
};

/// Callbacks of a connection. Each of them may destroy the stream.
struct stream_events {
  std::function<void()> on_connected;
  std::function<void(std::string_view)> on_data;
  std::function<void(stream_end)> on_end;
};

class tcp_stream {
 public:
  /// Time that sent bytes may stay unacknowledged before the kernel drops the connection
  /// (TCP_USER_TIMEOUT, RFC 5482): an unreachable peer is detected in seconds, not minutes.
  static constexpr milliseconds user_timeout{3'000};

  explicit tcp_stream(event_loop& loop);
  tcp_stream(const tcp_stream&) = delete;
  tcp_stream& operator=(const tcp_stream&) = delete;
  /// Closes the connection after sending what was written before.
  ~tcp_stream();

  void set_events(stream_events events) { events_ = std::move(events); }

  /// Starts connecting; `on_connected` or `on_end` follows.
  void connect(const endpoint& to);
  /// Accepts a pending connection of a listening handle; false on failure.
  bool accept(uv_stream_t* listener);
  void start_reading();
  void stop_reading();
  void write(std::string_view bytes);
  /// Closes with a reset, so that the peer does not mistake what it received for a complete
  /// message.
  void abort();
  /// Whether the connection ends with a reset if this process ends before it closes the connection.
  void set_reset_at_exit(bool reset);

  /// What has arrived and is not read yet, or how the connection has ended. Reads nothing.
  [[nodiscard]] response_tail peek() const;

  /// Bytes that were written but not yet accepted by the kernel.
  [[nodiscard]] std::size_t unsent() const;

 private:
  struct handle;

  static void close_handle(handle* it);
  static void on_read(uv_stream_t* stream, ssize_t n, const uv_buf_t* buf);
  void end(stream_end how);
  void set_options();

  event_loop& loop_;
  handle* handle_; ///< Null after `abort`.
  stream_events events_;
  bool ended_ = false;
};

/// A listening socket; closed by the destructor if not before.
class tcp_listener {
 public:
  using accept_callback = std::function<void(std::unique_ptr<tcp_stream>)>;

  tcp_listener(event_loop& loop, accept_callback on_accept);
  tcp_listener(const tcp_listener&) = delete;
  tcp_listener& operator=(const tcp_listener&) = delete;
  ~tcp_listener();

  result<void> listen(const endpoint& at);
  /// Closes the socket. Connections that wait to be accepted are reset.
  void close();

 private:
  /// Connections that the kernel queues until they are accepted.
  static constexpr int backlog = 512;

  event_loop& loop_;
  uv_tcp_t* handle_; ///< Null after `close`.
  accept_callback on_accept_;
};

/// A UDP socket.
class udp_socket {
 public:
  using receive_callback = std::function<void(std::string_view, const endpoint&)>;

  udp_socket(event_loop& loop, receive_callback on_receive);
  udp_socket(const udp_socket&) = delete;
  udp_socket& operator=(const udp_socket&) = delete;
  ~udp_socket();

  result<void> bind(const endpoint& at);
  /// Sends the datagram if the kernel accepts it at once and drops it otherwise: UDP may lose
  /// datagrams in any case.
  void send(const endpoint& to, std::string_view bytes);

 private:
  event_loop& loop_;
  uv_udp_t* handle_;
  receive_callback on_receive_;
};

} // namespace nutmegspur::http1
