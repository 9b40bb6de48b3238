/// \file standin_http.h
/// What every stand-in shares: an HTTP server that records what reached it and misbehaves on
/// demand.
///
/// `GET /standin/record`, `POST /standin/fault` and `GET /standin/healthz` are answered here; all
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

/// A request as it was read. Header names are lower case.
struct standin_request {
  std::uint64_t number = 0; ///< Counts from 1 in the order of arrival.
  QByteArray method;
  QString path; ///< Without the query.
  QUrlQuery query;
  QJsonObject headers;
  QByteArray body;
  bool stale = false; ///< The fault asks for an answer from an older state.

  /// The body as a JSON object, empty if it is none.
  [[nodiscard]] QJsonObject json() const;

  [[nodiscard]] QString header(const QString& name) const { return headers[name].toString(); }
};

/// Where the answer goes. Copies share one connection. Calls after the peer has gone do nothing.
class response_channel {
 public:
  response_channel() = default;
  response_channel(QTcpSocket* socket, QHttpServerResponder* direct, bool lose_response);

  /// Sends a whole answer. Within the handler the connection stays open for the next request.
  void send(int status, const QByteArray& body, const QByteArray& type = "application/json");
  void send(int status, const QJsonObject& body);
  /// Begins a chunked answer; the connection closes after `end_stream`.
  void begin_stream(const QByteArray& type);
  void write_chunk(const QByteArray& bytes);
  void end_stream();
  /// Resets the connection without an answer.
  void reset();
  /// Calls `run` once when the peer has closed.
  void on_closed(std::function<void()> run);
  [[nodiscard]] bool open() const;

 private:
  friend class standin_server;

  struct shared_state {
    QPointer<QTcpSocket> socket;
    QHttpServerResponder* direct = nullptr; ///< Set only while the handler runs.
    bool lose_response = false;
  };

  std::shared_ptr<shared_state> state_;
};

/// How the stand-in misbehaves.
enum class fault_mode { normal, down, slow, silent, lose_answers, stale_reads, crash };

/// The fault in force.
struct fault_setting {
  fault_mode mode = fault_mode::normal;
  QString match;       ///< Only requests whose path starts with this.
  int count = 0;       ///< How many requests are still hit; 0 means without end.
  int delay_ms = 1000; ///< For `slow`.
};

/// The server. Not thread-safe; runs on the thread of the event loop.
class standin_server : public QAbstractHttpServer {
 public:
  using handler = std::function<void(const standin_request&, response_channel)>;

  explicit standin_server(handler serve) : serve_(std::move(serve)) {}

  /// Listens on 127.0.0.1 and prints "LISTENING <port>"; 0 picks a free port. False if it cannot.
  bool start(std::uint16_t port);
  /// Adds an entry of the stand-in's own to the record.
  void record(const QString& what, QJsonObject fields = {});

 protected:
  bool handleRequest(const QHttpServerRequest& request, QTcpSocket* socket) override;
  void missingHandler(const QHttpServerRequest& request, QTcpSocket* socket) override;

 private:
  void serve_control(const standin_request& request, response_channel response);
  void set_fault(const standin_request& request, response_channel response);
  fault_mode next_fault(const QString& path);
  void serve_with_fault(fault_mode mode, standin_request request, response_channel response);

  handler serve_;
  fault_setting fault_;
  QJsonArray record_;
  std::uint64_t requests_ = 0;
};

} // namespace nutmegspur::standin
