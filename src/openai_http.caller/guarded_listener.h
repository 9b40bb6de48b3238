/// \file guarded_listener.h
/// Accepts callers' connections and bounds what one may send or hold before its request is whole.
///
/// The HTTP library reads a request to its end however long it is; this stops an oversized or
/// endless one while it comes in.
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

/// Bounds on a connection.
struct connection_limits {
  std::uint64_t max_request_bytes = 0; ///< Head and body together.
  seconds request_limit{30};           ///< From the first byte of a request to its last.
  seconds idle_limit{120};             ///< Between two requests.
  std::size_t max_connections = 10'000;
};

/// A listener whose connections are watched.
class guarded_listener : public QTcpServer {
 public:
  using socket_call = std::function<void(QTcpSocket*)>;

  explicit guarded_listener(connection_limits limits);

  /// Called when a connection was closed by either side.
  void set_on_closed(socket_call call) { on_closed_ = std::move(call); }

  /// Gives each refused request the id that its caller sees.
  void set_id_source(std::function<std::string()> source) { next_id_ = std::move(source); }

  /// The request on this connection has been read whole; its answer is being worked on.
  void request_begun(QTcpSocket* socket);
  /// The answer was written.
  void request_done(QTcpSocket* socket);

 protected:
  // Named by the base class.
  void incomingConnection(qintptr handle) override; // NOLINT(readability-identifier-naming)

 private:
  struct connection {
    std::uint64_t unfinished_bytes = 0; ///< Of the request that is coming in.
    bool answering = false;
    time_point since; ///< When it became idle, or the request's first byte came.
  };

  void on_ready_read(QTcpSocket* socket);
  void on_disconnected(QTcpSocket* socket);
  void sweep();
  void refuse(QTcpSocket* socket, error_code code, int status, const char* message);

  connection_limits limits_;
  socket_call on_closed_;
  std::function<std::string()> next_id_;
  std::unordered_map<QTcpSocket*, connection> connections_;
  QTimer sweep_timer_;
};

} // namespace nutmegspur::openai_http
