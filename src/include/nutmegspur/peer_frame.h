/// \file peer_frame.h
/// Frames of a peer connection: length, code, sender, counter and payload.
///
/// A frame is a 4-byte big-endian length of what follows, a 32-byte HMAC-SHA-256 under the shared
/// peer secret, then what the code covers: an 8-byte connection nonce, an 8-byte counter, the
/// sender's length and bytes, and the payload. The counter starts at 1 on each connection and
/// grows by one, so that a frame taken from elsewhere or sent twice is refused.
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
  /// `nonce` is the receiver's challenge; both ends must use the same.
  peer_frame_writer(std::string secret, instance_id sender, std::uint64_t nonce);

  /// The next frame, or an error if the payload is too large.
  result<QByteArray> write(std::string_view payload);

 private:
  std::string secret_;
  instance_id sender_;
  std::uint64_t nonce_;
  std::uint64_t counter_ = 0;
};

/// A frame that was read and checked.
struct peer_frame {
  instance_id sender;
  std::string payload;
};

/// Reads the frames of one direction of a connection from a byte stream.
class peer_frame_reader {
 public:
  peer_frame_reader(std::string secret, std::uint64_t nonce);

  /// Adds bytes that arrived.
  void feed(const QByteArray& bytes);
  /// The next whole frame, empty if more bytes are needed. After an error the connection must end:
  /// too large, a wrong code, a wrong counter, or another sender than before.
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
