// Limits on callers' connections.
#include "guarded_listener.h"

#include "answer_format.h"

#include <vector>

namespace nutmegspur::openai_http {
namespace {

constexpr milliseconds timeout_check_period{1000};

} // namespace

guarded_listener::guarded_listener(connection_limits limits) : limits_(limits) {
  QObject::connect(&timeout_timer_, &QTimer::timeout, this, [this] { check_timeouts(); });
  timeout_timer_.start(timeout_check_period);
}

void
guarded_listener::incomingConnection(qintptr handle) {
  auto* socket = new QTcpSocket(this); // Owned by the server; the HTTP library deletes it.
  if (!socket->setSocketDescriptor(handle) || connections_.size() >= limits_.max_connections) {
    socket->abort();
    socket->deleteLater();
    return;
  }
  socket->setSocketOption(QAbstractSocket::LowDelayOption, 1);
  connections_[socket].since = boot_clock::now();
  // Connected before the HTTP library connects its own slot, and so called first.
  QObject::connect(socket, &QTcpSocket::readyRead, this, [this, socket] { on_ready_read(socket); });
  QObject::connect(socket, &QTcpSocket::disconnected, this,
                   [this, socket] { on_disconnected(socket); });
  addPendingConnection(socket);
}

void
guarded_listener::request_received(QTcpSocket* socket) {
  connection& it = connections_[socket];
  it.request_bytes = 0;
  it.response_pending = true;
}

void
guarded_listener::response_written(QTcpSocket* socket) {
  const auto found = connections_.find(socket);
  if (found != connections_.end()) {
    found->second.response_pending = false;
    found->second.since = boot_clock::now();
  }
}

void
guarded_listener::on_ready_read(QTcpSocket* socket) {
  const auto found = connections_.find(socket);
  if (found == connections_.end()) {
    return;
  }
  connection& it = found->second;
  if (it.request_bytes == 0) {
    it.since = boot_clock::now();
  }
  it.request_bytes += static_cast<std::uint64_t>(socket->bytesAvailable());
  if (it.request_bytes > limits_.max_request_bytes) {
    reject(socket, error_code::too_large, 413, "the request exceeds the size limit");
  }
}

void
guarded_listener::on_disconnected(QTcpSocket* socket) {
  connections_.erase(socket);
  if (on_closed_) {
    on_closed_(socket);
  }
}

// Sends an error response and closes. Further input is read and discarded, so that the response can
// reach the caller.
void
guarded_listener::reject(QTcpSocket* socket, error_code code, int status, const char* message) {
  QObject::disconnect(socket, &QTcpSocket::readyRead, nullptr, nullptr);
  QObject::connect(socket, &QTcpSocket::readyRead, socket, [socket] { socket->readAll(); });
  if (socket->isTransactionStarted()) {
    socket->rollbackTransaction();
  }
  socket->readAll();
  const error why{code, step::caller_read, "", message};
  const QByteArray body = error_document(why, next_request_id_ ? next_request_id_() : "");
  socket->write(response_head(status, {{"content-type", "application/json"},
                                       {"connection", "close"},
                                       {"content-length", std::to_string(body.size())}}) +
                body);
  socket->disconnectFromHost();
}

void
guarded_listener::check_timeouts() {
  const time_point now = boot_clock::now();
  std::vector<QTcpSocket*> timed_out;
  std::vector<QTcpSocket*> idle;
  for (const auto& [socket, it] : connections_) {
    const bool waiting = !it.response_pending && it.request_bytes == 0;
    if (waiting && now >= it.since + limits_.idle_timeout) {
      idle.push_back(socket);
    } else if (!it.response_pending && !waiting && now >= it.since + limits_.request_timeout) {
      timed_out.push_back(socket);
    }
  }
  for (QTcpSocket* socket : timed_out) {
    reject(socket, error_code::deadline_exceeded, 408,
           "the request was not received completely in time");
  }
  for (QTcpSocket* socket : idle) {
    socket->disconnectFromHost();
  }
}

} // namespace nutmegspur::openai_http
