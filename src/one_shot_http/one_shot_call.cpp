// One-shot HTTP call over a TCP socket.
#include "one_shot_call.h"

#include <nutmegspur/mechanisms.h>

#include <QtNetwork/QHostAddress>
#include <QtNetwork/QNetworkProxy>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace nutmegspur {

namespace {

/// Sets the socket options that bound delivery: the kernel drops the connection once bytes stay
/// unacknowledged for `timeout`, and closing it resets it and discards unsent bytes.
bool
limit_delivery_time(qintptr descriptor, milliseconds timeout) {
  const auto fd = static_cast<int>(descriptor);
  const auto timeout_ms = static_cast<unsigned>(timeout.count());
  const linger reset{1, 0};
  const int no_delay = 1;
  return ::setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout_ms, sizeof timeout_ms) == 0 &&
         ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset) == 0 &&
         ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &no_delay, sizeof no_delay) == 0;
}

/// The value of a header field in a response head converted to lower case; empty if absent.
QByteArray
header_value(const QByteArray& head, const QByteArray& name) {
  const auto at = head.indexOf("\r\n" + name + ":");
  if (at < 0) {
    return {};
  }
  const auto from = at + 2 + name.size() + 1;
  return head.mid(from, head.indexOf("\r\n", from) - from).trimmed();
}

} // namespace

one_shot_call::one_shot_call(one_shot_request request, step at, callback on_done)
    : request_(std::move(request)), at_(at), on_done_(std::move(on_done)) {}

one_shot_call::~one_shot_call() {
  finished_ = true;
  socket_.disconnect();
  socket_.abort();
}

void
one_shot_call::start() {
  QObject::connect(&socket_, &QTcpSocket::connected, &socket_, [this] { on_connected(); });
  QObject::connect(&socket_, &QTcpSocket::readyRead, &socket_, [this] { on_ready_read(); });
  QObject::connect(&socket_, &QTcpSocket::errorOccurred, &socket_, [this] { on_disconnected(); });
  QObject::connect(&timer_, &QTimer::timeout, &socket_, [this] {
    finish_with_error(error_code::deadline_exceeded, "no complete response in time");
  });
  timer_.setSingleShot(true);
  timer_.start(request_.timeout);
  socket_.setProxy(QNetworkProxy::NoProxy);
  socket_.connectToHost(QHostAddress(QString::fromStdString(request_.address)), request_.port);
}

QByteArray
one_shot_call::bytes_to_send() const {
  QByteArray bytes = request_.method + " " + request_.path + " HTTP/1.1\r\n";
  bytes += "Host: " + QByteArray::fromStdString(request_.address) + ":" +
           QByteArray::number(request_.port) + "\r\n";
  bytes += "Connection: close\r\n";
  bytes += "Content-Length: " + QByteArray::number(request_.body.size()) + "\r\n";
  bytes += request_.headers + "\r\n";
  return bytes + request_.body;
}

void
one_shot_call::on_connected() {
  if (!limit_delivery_time(socket_.socketDescriptor(), request_.timeout)) {
    finish_with_error(error_code::internal, "cannot set the socket options that bound delivery");
    return;
  }
  const QByteArray bytes = bytes_to_send();
  timer_.start(request_.timeout);
  // Nothing may delay the write after this check.
  if (enabled(mechanism::lease_deadline_check) && boot_clock::now() > request_.not_after) {
    finish_with_error(error_code::lease_lost, "not sent: its deadline (not_after) has passed");
    return;
  }
  written_ = true;
  socket_.write(bytes);
  socket_.flush();
}

void
one_shot_call::on_ready_read() {
  received_ += socket_.readAll();
  if (received_.size() > max_response_bytes) {
    finish_with_error(error_code::too_large, "the response exceeds the size limit");
    return;
  }
  if (auto response = parse(false)) {
    finish(std::move(response));
  }
}

void
one_shot_call::on_disconnected() {
  received_ += socket_.readAll();
  auto response = parse(true);
  if (!response) {
    response.error().message = socket_.errorString().toStdString();
  }
  finish(std::move(response));
}

void
one_shot_call::finish_with_error(error_code code, const std::string& why) {
  const outcome ran = written_ ? outcome::unknown : outcome::not_run;
  finish(fail({code, at_, request_.address, why, ran}));
}

void
one_shot_call::finish(result<one_shot_response> response) {
  if (finished_) {
    return;
  }
  finished_ = true;
  timer_.stop();
  socket_.abort();
  on_done_(std::move(response));
}

result<one_shot_response>
one_shot_call::parse(bool ended) const {
  const outcome ran = written_ ? outcome::unknown : outcome::not_run;
  const auto incomplete =
      fail({error_code::unavailable, at_, request_.address, "the response is incomplete", ran});
  const auto head_end = received_.indexOf("\r\n\r\n");
  if (!received_.startsWith("HTTP/1.1 ") || head_end < 0) {
    return incomplete;
  }
  constexpr qsizetype status_at = 9;
  constexpr qsizetype status_digits = 3;
  one_shot_response response;
  response.status = received_.mid(status_at, status_digits).toInt();
  response.body = received_.mid(head_end + 4);
  const QByteArray length = header_value(received_.left(head_end + 2).toLower(), "content-length");
  const bool complete = length.isEmpty() ? ended : response.body.size() >= length.toLongLong();
  if (!complete || response.status == 0) {
    return incomplete;
  }
  return response;
}

} // namespace nutmegspur
