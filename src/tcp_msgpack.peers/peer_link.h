/// \file peer_link.h
/// One TCP connection to a peer: challenge, hello, then frames in both directions.
///
/// Each end first sends a magic word and a random challenge; the frames of the other end are
/// authenticated together with that challenge. The first frame must be a `peer_hello`.
#pragma once

#include <nutmegspur/clock.h>
#include <nutmegspur/peer_frame.h>

#include <QtCore/QPointer>
#include <QtNetwork/QTcpSocket>

#include <functional>
#include <optional>

namespace nutmegspur::tcp_msgpack {

/// Limit of unsent bytes; a connection that exceeds it is closed.
inline constexpr qint64 max_unsent_bytes = 4L * 1024 * 1024;

/// A connection to a peer. Its owner destroys it after `closed` or `drop`.
class peer_link : public QObject {
 public:
  struct callbacks {
    /// The hello of the other end was received and authenticated.
    std::function<void(peer_link&)> ready;
    std::function<void(peer_link&, peer_message&&)> received;
    /// The connection was closed, for the given reason. Called at most once.
    std::function<void(peer_link&, const error&)> closed;
  };

  /// Takes over `socket`, which is connecting or connected.
  peer_link(QTcpSocket* socket, std::string secret, peer_hello own, callbacks handlers);

  /// Sends the encoded message, or closes the connection if its unsent bytes exceed the limit.
  void send(const std::string& payload);

  /// Sends an empty frame.
  void keep_alive() { send({}); }

  /// Closes without a callback.
  void drop();

  [[nodiscard]] bool is_ready() const { return peer_.has_value(); }

  /// The hello of the other end. Precondition: `is_ready`.
  [[nodiscard]] const peer_hello& peer() const { return *peer_; }

  /// When bytes were last received; initially when the link was created.
  [[nodiscard]] time_point last_received() const { return last_received_; }

  [[nodiscard]] time_point last_sent() const { return last_sent_; }

  [[nodiscard]] std::uint64_t bytes_received() const { return bytes_received_; }

 private:
  void send_challenge();
  void read();
  bool receive_challenge();
  bool handle_frame(const peer_frame& frame);
  void close(const error& why);

  QPointer<QTcpSocket> socket_;
  std::string secret_;
  peer_hello own_;
  callbacks callbacks_;
  QByteArray challenge_buffer_; ///< Bytes of magic word and challenge received so far.
  std::optional<peer_frame_writer> writer_;
  peer_frame_reader reader_;
  std::uint64_t challenge_;
  std::optional<peer_hello> peer_;
  time_point last_received_;
  time_point last_sent_;
  std::uint64_t bytes_received_ = 0;
  bool closed_ = false;
};

} // namespace nutmegspur::tcp_msgpack
