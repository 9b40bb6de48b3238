// One-shot HTTP call over a TCP socket.
#include "one_shot_call.h"

#include "message_reader.h"

#include <nutmegspur/mechanisms.h>

#include <QtNetwork/QHostAddress>
#include <QtNetwork/QNetworkProxy>

#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

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

} // namespace

one_shot_call::one_shot_call(one_shot_request request, step at, callback on_done)
    : request_(std::move(request)), at_(at), on_done_(std::move(on_done)),
      reader_(std::make_unique<http1::message_reader>(
          http1::message_reader::kind::response,
          http1::reader_events{{},
                               [this](std::string_view bytes) {
                                 response_.body.append(bytes.data(),
                                                       static_cast<qsizetype>(bytes.size()));
                               },
                               [this] { on_response_end(); }})) {}

one_shot_call::~one_shot_call() {
  finished_ = true;
  socket_.disconnect();
  drop_connection();
}

void
one_shot_call::drop_connection() {
  if (descriptor_ >= 0) {
    ::close(std::exchange(descriptor_, -1));
  }
  socket_.abort();
}

void
one_shot_call::start() {
  QObject::connect(&socket_, &QTcpSocket::connected, &socket_, [this] { on_connected(); });
  QObject::connect(&socket_, &QTcpSocket::readyRead, &socket_, [this] { read(false); });
  QObject::connect(&socket_, &QTcpSocket::errorOccurred, &socket_, [this] { read(true); });
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
  descriptor_ = ::fcntl(static_cast<int>(socket_.socketDescriptor()), F_DUPFD_CLOEXEC, 0);
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
one_shot_call::read(bool ended) {
  const QByteArray bytes = socket_.readAll();
  received_bytes_ += bytes.size();
  if (received_bytes_ > max_response_bytes) {
    finish_with_error(error_code::too_large, "the response exceeds the size limit");
    return;
  }
  std::string_view rest{bytes.constData(), static_cast<std::size_t>(bytes.size())};
  while (!rest.empty() && !complete_) {
    const auto progress = reader_->feed(rest);
    if (!progress.violation.empty()) {
      finish_with_error(error_code::unavailable, "not a valid response: " + progress.violation);
      return;
    }
    rest.remove_prefix(progress.consumed);
  }
  if (!complete_ && ended && closed_cleanly()) {
    reader_->feed_end();
  }
  if (complete_) {
    finish(std::move(response_));
  } else if (ended) {
    finish_with_error(error_code::unavailable, socket_.errorString().toStdString());
  }
}

void
one_shot_call::on_response_end() {
  constexpr int first_final_status = 200;
  response_.status = reader_->response().status;
  complete_ = response_.status >= first_final_status;
}

bool
one_shot_call::closed_cleanly() const {
  // Qt tells of a reset as of a clean close. The state of the connection tells them apart, as this
  // side has not closed yet.
  tcp_info info{};
  socklen_t n = sizeof info;
  return ::getsockopt(descriptor_, IPPROTO_TCP, TCP_INFO, &info, &n) == 0 &&
         info.tcpi_state == TCP_CLOSE_WAIT;
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
  drop_connection();
  on_done_(std::move(response));
}

} // namespace nutmegspur
