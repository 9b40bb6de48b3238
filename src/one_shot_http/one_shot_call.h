/// \file one_shot_call.h
/// One HTTP/1.1 call on one fresh connection, which is written at most once and arrives in time or
/// never.
///
/// Right before the write, in the thread that writes, the boot clock is compared with `not_after`.
/// After the write, the kernel gives the connection up once its bytes stay unacknowledged for
/// `bound`, and a call that is given up is reset, so that no byte left in a buffer is delivered
/// after a cut has healed. The HTTP library's own client sends a POST again by itself and closes
/// without a reset, so it is not used here.
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

/// What to send, where, and until when.
struct one_shot_request {
  std::string address; ///< IP number.
  std::uint16_t port = 0;
  QByteArray method = "POST";
  QByteArray path = "/";
  /// Whole header lines, each ended by CRLF, beside those for host, length and connection.
  QByteArray headers;
  QByteArray body;
  /// No byte is written after this.
  time_point not_after = time_point::max();
  /// Longest time to connect, and longest time from the write to the whole answer.
  milliseconds timeout{5000};
};

/// What came back.
struct one_shot_response {
  int status = 0;
  QByteArray body;
};

/// The call. Destroying it resets the connection, and nothing is called back.
class one_shot_call {
 public:
  /// Called once. An error is `not_run` if no byte was written, `unknown` otherwise.
  using callback = std::function<void(result<one_shot_response>)>;

  /// Largest answer that is read, in bytes.
  static constexpr qsizetype max_response_bytes = qsizetype{1024} * 1024;

  one_shot_call(one_shot_request request, step at, callback on_done);
  one_shot_call(const one_shot_call&) = delete;
  one_shot_call& operator=(const one_shot_call&) = delete;
  ~one_shot_call();

  void start();

 private:
  void on_connected();
  void on_ready_read();
  void on_disconnected();
  void finish(result<one_shot_response> response);
  void finish_with_error(error_code code, const std::string& why);
  [[nodiscard]] result<one_shot_response> parse(bool ended) const;
  [[nodiscard]] QByteArray bytes_to_send() const;

  one_shot_request request_;
  step at_;
  callback on_done_;
  // Both live on the thread that makes the call.
  QTcpSocket socket_;
  QTimer limit_;
  QByteArray received_;
  bool written_ = false; ///< From here on the outcome of a failure is unknown.
  bool finished_ = false;
};

} // namespace nutmegspur
