/// \file peer_frame.h
/// Authenticated frames of a peer connection.
///
/// A frame is a 4-byte big-endian length of the rest, a 32-byte HMAC-SHA-256 under the shared peer
/// secret, an 8-byte counter, the sender's length (2 bytes) and name, and the payload. The HMAC
/// covers the connection's 8-byte nonce, which is not sent, and everything that follows the HMAC.
/// The counter starts at 1 on each connection and increases by one, so that replayed frames and
/// frames of another connection are rejected.
#pragma once

#include <nutmegspur/peer.h>

#include <QtCore/QByteArray>

#include <cstdint>
#include <optional>
#include <string>

namespace nutmegspur {

/// Writes the frames of one direction of a connection.
class peer_frame_writer {
 public:
  /// `nonce` is the receiver's challenge; both ends must use the same one.
  peer_frame_writer(std::string secret, instance_id sender, std::uint64_t nonce);

  /// Returns the next frame, or an error if the payload exceeds `max_peer_frame`.
  result<QByteArray> write(std::string_view payload);

 private:
  std::string secret_;
  instance_id sender_;
  std::uint64_t nonce_;
  std::uint64_t counter_ = 0;
};

/// The contents of a verified frame.
struct peer_frame {
  instance_id sender;
  std::string payload;
};

/// Reads the frames of one direction of a connection from a byte stream.
class peer_frame_reader {
 public:
  peer_frame_reader(std::string secret, std::uint64_t nonce);

  /// Appends received bytes.
  void feed(const QByteArray& bytes);
  /// Returns the next complete frame, or empty if more bytes are needed. An invalid size, an HMAC
  /// mismatch, a wrong counter, a missing sender or a change of sender is an error, after which the
  /// connection must be closed.
  result<std::optional<peer_frame>> next();

 private:
  [[nodiscard]] result<peer_frame> check(const QByteArray& body);

  std::string secret_;
  std::uint64_t nonce_;
  std::uint64_t counter_ = 0;
  instance_id sender_; ///< Empty until the first frame.
  QByteArray buffer_;
};

} // namespace nutmegspur
