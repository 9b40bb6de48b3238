/// \file caller_server.h
/// The HTTP server for callers. It keeps a pending response for each request that the decision
/// thread handles; a connection has at most one.
#pragma once

#include "answer_format.h"
#include "caller_parse.h"
#include "guarded_listener.h"

#include <nutmegspur/kernel.h>

#include <QtCore/QTimer>
#include <QtHttpServer/QAbstractHttpServer>

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace nutmegspur::openai_http {

/// Turns HTTP requests into events for the decision thread, and its actions into HTTP responses.
class caller_server : public QAbstractHttpServer {
 public:
  caller_server(const worker_context& context, event_sink sink);

  /// Listens on the caller port.
  result<void> listen_for_callers();
  void close_all();

  /// The port that the server listens on.
  [[nodiscard]] std::uint16_t port() const { return listener_.serverPort(); }

  void on_ready(const set_ready& what) { ready_ = what; }

  void on_start(const start_response& what);
  void on_chunk(const send_chunk& what);
  void on_end(const end_response& what);
  void on_failure(const fail_request& what);

 protected:
  bool handleRequest(const QHttpServerRequest& request, QTcpSocket* socket) override;
  void missingHandler(const QHttpServerRequest& request, QTcpSocket* socket) override;

 private:
  /// A response that has not ended. Invariant: `socket` is open; closing it ends the response.
  struct pending_response {
    QTcpSocket* socket = nullptr;
    response_identity identity;
    bool inference = false;
    bool stream = false;
    bool include_usage = false;
    bool has_body = true;
    bool close_after = false;
    bool started = false;
    bool first_text = true;
    std::string text; ///< Text collected so far for a non-streamed response.
    request_class priority = request_class::standard;
    time_point arrived;
  };

  using pending_map = std::unordered_map<request_id, pending_response>;

  bool handle_local(const raw_request& raw, QTcpSocket* socket);
  void handle_call(const raw_request& raw, QTcpSocket* socket);
  void on_closed(QTcpSocket* socket);
  void write(pending_response& it, const QByteArray& bytes);
  void write_document(QTcpSocket* socket, int status, const QByteArray& body,
                      std::vector<header_field> headers, bool close_after);
  void write_error(QTcpSocket* socket, const error& why, const std::string& id, bool close_after);
  void end(request_id request);
  void post_event(nutmegspur::event&& ev);
  void post_held_events();
  [[nodiscard]] std::string public_id(request_id request) const;
  void count(const pending_response& it, std::string_view code);

  const worker_context& context_;
  event_sink sink_;
  guarded_listener listener_;
  QTimer retry_timer_;
  set_ready ready_{false, "starting"};
  std::uint64_t last_request_id_ = 0;
  pending_map pending_;
  // Invariant: one entry for each pending response.
  std::unordered_map<QTcpSocket*, request_id> by_socket_;
  /// Events that found the event ring full; posted again, because they must not be lost.
  std::vector<nutmegspur::event> held_events_;
};

} // namespace nutmegspur::openai_http
