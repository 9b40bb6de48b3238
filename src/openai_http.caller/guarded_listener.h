/// \file guarded_listener.h
/// Accepts callers' connections and enforces limits on request size, request time and idle time.
///
/// The HTTP library reads a request of any length to its end; this listener rejects oversized and
/// slow requests while they are being received.
#pragma once

#include <nutmegspur/clock.h>
#include <nutmegspur/error.h>

#include <QtCore/QTimer>
#include <QtNetwork/QTcpServer>
#include <QtNetwork/QTcpSocket>

#include <cstdint>
#include <functional>
#include <string>
#include <unordered_map>

namespace nutmegspur::openai_http {

/// Limits on connections.
struct connection_limits {
  std::uint64_t max_request_bytes = 0; ///< Headers and body together.
  seconds request_timeout{30};         ///< From the first byte of a request to its last.
  seconds idle_timeout{120};           ///< Between two requests.
  std::size_t max_connections = 10'000;
};

/// A TCP server that enforces `connection_limits`.
class guarded_listener : public QTcpServer {
 public:
  using socket_callback = std::function<void(QTcpSocket*)>;

  explicit guarded_listener(connection_limits limits);

  /// Sets the callback for connections closed by either side.
  void set_on_closed(socket_callback call) { on_closed_ = std::move(call); }

  /// Sets the source of request ids for the error responses that this class writes.
  void set_id_source(std::function<std::string()> source) { next_request_id_ = std::move(source); }

  /// Call when a complete request was received; its response is now pending.
  void request_received(QTcpSocket* socket);
  /// Call when the response was written.
  void response_written(QTcpSocket* socket);

 protected:
  // Named by the base class.
  void incomingConnection(qintptr handle) override; // NOLINT(readability-identifier-naming)

 private:
  struct connection {
    std::uint64_t request_bytes = 0; ///< Received so far of an incomplete request.
    bool response_pending = false;
    time_point since; ///< Start of the idle time, or of the incomplete request.
  };

  void on_ready_read(QTcpSocket* socket);
  void on_disconnected(QTcpSocket* socket);
  void check_timeouts();
  void reject(QTcpSocket* socket, error_code code, int status, const char* message);

  connection_limits limits_;
  socket_callback on_closed_;
  std::function<std::string()> next_request_id_;
  std::unordered_map<QTcpSocket*, connection> connections_;
  QTimer timeout_timer_;
};

} // namespace nutmegspur::openai_http
