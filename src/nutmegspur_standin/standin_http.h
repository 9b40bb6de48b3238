/// \file standin_http.h
/// HTTP server shared by the stand-ins: records the requests it receives and injects faults on
/// demand.
///
/// It handles `GET /standin/record`, `POST /standin/fault` and `GET /standin/healthz` itself; all
/// other requests go to the stand-in's handler.
#pragma once

#include <QtCore/QJsonArray>
#include <QtCore/QJsonObject>
#include <QtCore/QPointer>
#include <QtCore/QUrlQuery>
#include <QtHttpServer/QAbstractHttpServer>
#include <QtNetwork/QTcpSocket>

#include <cstdint>
#include <functional>
#include <memory>

class QHttpServerResponder;

namespace nutmegspur::standin {

/// A received request. Header names are lower case.
struct standin_request {
  std::uint64_t number = 0; ///< From 1, in the order of arrival.
  QByteArray method;
  QString path; ///< Without the query.
  QUrlQuery query;
  QJsonObject headers;
  QByteArray body;
  bool stale = false; ///< Set by the fault `stale_reads`: respond from an older state.

  /// The body as a JSON object; empty if it is not one.
  [[nodiscard]] QJsonObject json() const;

  [[nodiscard]] QString header(const QString& name) const { return headers[name].toString(); }
};

/// Sends the response to a request. Copies share one connection. Calls have no effect once the peer
/// has disconnected.
class response_channel {
 public:
  response_channel() = default;
  response_channel(QTcpSocket* socket, QHttpServerResponder* responder, bool lose_response);

  /// Sends a complete response. If called within the handler, the connection stays open for the
  /// next request.
  void send(int status, const QByteArray& body, const QByteArray& type = "application/json");
  void send(int status, const QJsonObject& body);
  /// Starts a chunked response; `end_stream` closes the connection.
  void begin_stream(const QByteArray& type);
  void write_chunk(const QByteArray& bytes);
  void end_stream();
  /// Closes the connection at once; unsent bytes are discarded.
  void reset();
  /// Calls `run` when the connection is closed, or at once if it already is.
  void on_closed(std::function<void()> run);
  [[nodiscard]] bool open() const;

 private:
  friend class standin_server;

  struct shared_state {
    QPointer<QTcpSocket> socket;
    QHttpServerResponder* responder = nullptr; ///< Set only while the handler runs.
    bool lose_response = false;
  };

  std::shared_ptr<shared_state> state_;
};

/// Faults that the stand-in can inject.
enum class fault_mode { normal, down, slow, silent, lose_answers, stale_reads, crash };

/// The fault that is currently injected.
struct injected_fault {
  fault_mode mode = fault_mode::normal;
  QString match;       ///< Only requests whose path starts with this are affected.
  int count = 0;       ///< Requests still to be affected; 0 means no limit.
  int delay_ms = 1000; ///< For `slow`.
};

/// The server. Not thread-safe; runs on the event loop's thread.
class standin_server : public QAbstractHttpServer {
 public:
  using handler = std::function<void(const standin_request&, response_channel)>;

  explicit standin_server(handler serve) : handler_(std::move(serve)) {}

  /// Listens on 127.0.0.1 and prints "LISTENING <port>"; port 0 picks a free one. False on failure.
  bool start(std::uint16_t port);
  /// Adds an entry to the record.
  void record(const QString& what, QJsonObject fields = {});

 protected:
  bool handleRequest(const QHttpServerRequest& request, QTcpSocket* socket) override;
  void missingHandler(const QHttpServerRequest& request, QTcpSocket* socket) override;

 private:
  void serve_control(const standin_request& request, response_channel response);
  void set_fault(const standin_request& request, response_channel response);
  fault_mode next_fault(const QString& path);
  void serve_with_fault(fault_mode mode, standin_request request, response_channel response);

  handler handler_;
  injected_fault fault_;
  QJsonArray record_;
  std::uint64_t requests_ = 0;
};

} // namespace nutmegspur::standin
