/// \file standin_http.cpp
/// HTTP server of the stand-ins, with its request record and fault injection.

#include "standin_http.h"

#include <nutmegspur/names.h>

#include <QtCore/QDateTime>
#include <QtCore/QJsonDocument>
#include <QtCore/QMetaEnum>
#include <QtCore/QTimer>
#include <QtHttpServer/QHttpServerRequest>
#include <QtHttpServer/QHttpServerResponder>
#include <QtNetwork/QHostAddress>

#include <cstdio>
#include <cstdlib>

namespace nutmegspur {

template <> struct enum_names<standin::fault_mode> {
  static constexpr std::array<enum_name<standin::fault_mode>, 7> table{{
      {standin::fault_mode::normal, "normal"},
      {standin::fault_mode::down, "down"},
      {standin::fault_mode::slow, "slow"},
      {standin::fault_mode::silent, "silent"},
      {standin::fault_mode::lose_answers, "lose_answers"},
      {standin::fault_mode::stale_reads, "stale_reads"},
      {standin::fault_mode::crash, "crash"},
  }};
};

} // namespace nutmegspur

namespace nutmegspur::standin {

namespace {

constexpr int exit_crashed = 137;

QByteArray
method_name(QHttpServerRequest::Method method) {
  const auto table = QMetaEnum::fromType<QHttpServerRequest::Method>();
  return QByteArray(table.valueToKey(static_cast<int>(method))).toUpper();
}

standin_request
read_request(const QHttpServerRequest& from, std::uint64_t number) {
  standin_request it;
  it.number = number;
  it.method = method_name(from.method());
  it.path = from.url().path();
  it.query = from.query();
  for (const auto& [name, value] : from.headers()) {
    it.headers[QString::fromLatin1(name).toLower()] = QString::fromUtf8(value);
  }
  it.body = from.body();
  return it;
}

QJsonObject
request_fields(const standin_request& it) {
  return {{"method", QString::fromLatin1(it.method)},
          {"path", it.path},
          {"query", it.query.toString()},
          {"headers", it.headers},
          {"body", QString::fromUtf8(it.body)},
          {"call_number", static_cast<qint64>(it.number)}};
}

} // namespace

QJsonObject
standin_request::json() const {
  return QJsonDocument::fromJson(body).object();
}

// ---------------------------------------------------------------------------------------------
// response_channel

response_channel::response_channel(QTcpSocket* socket, QHttpServerResponder* responder,
                                   bool lose_response)
    : state_(std::make_shared<shared_state>(shared_state{socket, responder, lose_response})) {}

bool
response_channel::open() const {
  return state_ && state_->socket && state_->socket->state() == QAbstractSocket::ConnectedState;
}

void
response_channel::send(int status, const QByteArray& body, const QByteArray& type) {
  if (!open()) {
    return;
  }
  if (state_->lose_response) {
    reset();
    return;
  }
  if (state_->responder != nullptr) {
    state_->responder->write(body, type, static_cast<QHttpServerResponder::StatusCode>(status));
    state_->responder = nullptr;
    return;
  }
  QByteArray head = "HTTP/1.1 " + QByteArray::number(status) + " -\r\ncontent-type: " + type;
  head += "\r\nconnection: close\r\ncontent-length: " + QByteArray::number(body.size());
  state_->socket->write(head + "\r\n\r\n" + body);
  state_->socket->disconnectFromHost();
}

void
response_channel::send(int status, const QJsonObject& body) {
  send(status, QJsonDocument(body).toJson(QJsonDocument::Compact));
}

void
response_channel::begin_stream(const QByteArray& type) {
  if (!open()) {
    return;
  }
  if (state_->lose_response) {
    reset();
    return;
  }
  state_->socket->setSocketOption(QAbstractSocket::LowDelayOption, 1);
  state_->socket->write("HTTP/1.1 200 OK\r\ncontent-type: " + type +
                        "\r\nconnection: close\r\ntransfer-encoding: chunked\r\n\r\n");
}

void
response_channel::write_chunk(const QByteArray& bytes) {
  if (open()) {
    state_->socket->write(QByteArray::number(bytes.size(), 16) + "\r\n" + bytes + "\r\n");
  }
}

void
response_channel::end_stream() {
  if (open()) {
    state_->socket->write("0\r\n\r\n");
    state_->socket->disconnectFromHost();
  }
}

void
response_channel::reset() {
  if (open()) {
    state_->socket->abort();
  }
}

void
response_channel::on_closed(std::function<void()> run) {
  if (!open()) {
    run();
    return;
  }
  QObject::connect(state_->socket, &QTcpSocket::disconnected, std::move(run));
}

// ---------------------------------------------------------------------------------------------
// standin_server

bool
standin_server::start(std::uint16_t port) {
  const auto bound = listen(QHostAddress::LocalHost, port);
  if (bound == 0) {
    std::fprintf(stderr, "cannot listen on 127.0.0.1:%u\n", unsigned{port});
    return false;
  }
  std::printf("LISTENING %u\n", unsigned{bound});
  std::fflush(stdout);
  return true;
}

void
standin_server::record(const QString& what, QJsonObject fields) {
  fields["what"] = what;
  fields["at_ms"] = QDateTime::currentMSecsSinceEpoch();
  record_.append(fields);
}

bool
standin_server::handleRequest(const QHttpServerRequest& from, QTcpSocket* socket) {
  auto request = read_request(from, requests_ + 1);
  if (request.path.startsWith("/standin/") && request.path != "/standin/instances") {
    auto responder = makeResponder(from, socket);
    serve_control(request, response_channel(socket, &responder, false));
    return true;
  }
  requests_ += 1;
  const auto mode = next_fault(request.path);
  if (mode == fault_mode::down) {
    socket->abort();
    return true;
  }
  record("request", request_fields(request));
  if (mode == fault_mode::silent) {
    return true;
  }
  if (mode == fault_mode::slow) {
    const response_channel response(socket, nullptr, false);
    QTimer::singleShot(fault_.delay_ms, this,
                       [this, request, response] { handler_(request, response); });
    return true;
  }
  auto responder = makeResponder(from, socket);
  response_channel response(socket, &responder, mode == fault_mode::lose_answers);
  serve_with_fault(mode, std::move(request), response);
  response.state_->responder = nullptr;
  return true;
}

void
standin_server::serve_with_fault(fault_mode mode, standin_request request,
                                 response_channel response) {
  request.stale = mode == fault_mode::stale_reads;
  handler_(request, std::move(response));
  if (mode == fault_mode::crash) {
    std::_Exit(exit_crashed);
  }
}

void
standin_server::missingHandler(const QHttpServerRequest& /*request*/, QTcpSocket* socket) {
  socket->abort();
}

void
standin_server::serve_control(const standin_request& request, response_channel response) {
  if (request.path == "/standin/healthz") {
    response.send(200, QJsonObject{{"ok", true}});
  } else if (request.path == "/standin/record") {
    response.send(200, QJsonObject{{"record", record_}});
  } else if (request.path == "/standin/fault") {
    set_fault(request, std::move(response));
  } else {
    response.send(404, QJsonObject{{"error", "no such path"}});
  }
}

void
standin_server::set_fault(const standin_request& request, response_channel response) {
  const auto body = request.json();
  const auto mode = from_name<fault_mode>(body["mode"].toString().toStdString());
  if (!mode) {
    response.send(400, QJsonObject{{"error", "unknown fault mode"}});
    return;
  }
  fault_ = {*mode, body["match"].toString(), body["count"].toInt(),
            body["delay_ms"].toInt(injected_fault{}.delay_ms)};
  response.send(200, QJsonObject{{"mode", body["mode"]}});
}

fault_mode
standin_server::next_fault(const QString& path) {
  if (fault_.mode == fault_mode::normal || !path.startsWith(fault_.match)) {
    return fault_mode::normal;
  }
  const auto mode = fault_.mode;
  if (fault_.count > 0) {
    fault_.count -= 1;
    if (fault_.count == 0) {
      fault_.mode = fault_mode::normal;
    }
  }
  return mode;
}

} // namespace nutmegspur::standin
