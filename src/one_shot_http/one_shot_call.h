/// \file one_shot_call.h
/// One HTTP/1.1 call on its own connection: sent at most once, and delivered in time or not at all.
///
/// Right before the write, on the thread that writes, the boot clock is compared with `not_after`.
/// After the write, the kernel drops the connection once its bytes stay unacknowledged for
/// `timeout`, and a failed call resets its connection, so that no buffered byte is delivered after
/// a network partition has healed. QNetworkAccessManager is not used because it resends a POST on
/// its own and closes without a reset.
///
/// A response counts only if all of it has come, by its length, its last chunk, or else a clean end
/// of the connection.
#pragma once

#include <nutmegspur/clock.h>
#include <nutmegspur/error.h>

#include <QtCore/QByteArray>
#include <QtCore/QTimer>
#include <QtNetwork/QTcpSocket>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace nutmegspur {

namespace http1 {
class message_reader;
}

/// A request, its destination and its time limits.
struct one_shot_request {
  std::string address; ///< IP address.
  std::uint16_t port = 0;
  QByteArray method = "POST";
  QByteArray path = "/";
  /// Complete header lines, each ended by CRLF, besides Host, Content-Length and Connection.
  QByteArray headers;
  QByteArray body;
  /// No byte is written after this time of the boot clock.
  time_point not_after = time_point::max();
  /// Longest time to connect, and then from the write to the complete response.
  milliseconds timeout{5000};
};

/// The response to a call.
struct one_shot_response {
  int status = 0;
  QByteArray body;
};

/// A call. Destroying it resets the connection without calling back.
class one_shot_call {
 public:
  /// Called once. The outcome of an error is `not_run` if no byte was written, otherwise `unknown`.
  using callback = std::function<void(result<one_shot_response>)>;

  /// Largest response that is read.
  static constexpr qsizetype max_response_bytes = qsizetype{1024} * 1024;

  one_shot_call(one_shot_request request, step at, callback on_done);
  one_shot_call(const one_shot_call&) = delete;
  one_shot_call& operator=(const one_shot_call&) = delete;
  ~one_shot_call();

  void start();

 private:
  void on_connected();
  /// Reads what has come, the last of it if the connection has `ended`, and finishes the call if it
  /// is complete or has failed with that.
  void read(bool ended);
  void on_response_end();
  /// Whether the peer has ended the connection after all that it sent.
  [[nodiscard]] bool closed_cleanly() const;
  /// Closes the socket; the connection ends with a reset.
  void drop_connection();
  void finish(result<one_shot_response> response);
  void finish_with_error(error_code code, const std::string& why);
  [[nodiscard]] QByteArray bytes_to_send() const;

  one_shot_request request_;
  step at_;
  callback on_done_;
  // Both belong to the thread that makes the call.
  QTcpSocket socket_;
  QTimer timer_;
  /// A second descriptor of the connection, or -1: Qt has closed its own when it tells of the end.
  int descriptor_ = -1;
  std::unique_ptr<http1::message_reader> reader_;
  one_shot_response response_;
  qsizetype received_bytes_ = 0;
  bool complete_ = false; ///< `response_` is.
  bool written_ = false;  ///< Once set, the outcome of a failed call is unknown.
  bool finished_ = false;
};

} // namespace nutmegspur
