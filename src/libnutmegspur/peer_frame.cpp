// Encodes, authenticates and verifies the frames of a peer connection.
#include <nutmegspur/peer_frame.h>

#include <QtCore/QMessageAuthenticationCode>
#include <QtCore/QtEndian>

namespace nutmegspur {

namespace {

constexpr qsizetype length_bytes = 4;
constexpr qsizetype mac_bytes = 32;
constexpr qsizetype counter_bytes = 8;
constexpr qsizetype sender_length_bytes = 2;
constexpr qsizetype max_sender_bytes = 256;
constexpr qsizetype header_bytes = mac_bytes + counter_bytes + sender_length_bytes;
constexpr qsizetype max_body_bytes =
    header_bytes + max_sender_bytes + static_cast<qsizetype>(max_peer_frame);

template <class N>
QByteArray
big_endian(N n) {
  QByteArray bytes(sizeof(N), '\0');
  qToBigEndian(n, bytes.data());
  return bytes;
}

QByteArray
compute_mac(const std::string& secret, std::uint64_t nonce, QByteArrayView authenticated) {
  QMessageAuthenticationCode mac(QCryptographicHash::Sha256, QByteArray::fromStdString(secret));
  mac.addData(big_endian(nonce));
  mac.addData(authenticated.data(), authenticated.size());
  return mac.result();
}

// Compares in constant time, so that the duration does not reveal the position of a difference.
bool
equal_constant_time(QByteArrayView one, QByteArrayView other) {
  int difference = one.size() == other.size() ? 0 : 1;
  for (qsizetype n = 0; n < std::min(one.size(), other.size()); ++n) {
    difference |= one[n] ^ other[n];
  }
  return difference == 0;
}

tl::unexpected<error>
bad_frame(const std::string& sender, const std::string& what) {
  return fail({error_code::unauthenticated, step::peer_call, sender, what});
}

} // namespace

peer_frame_writer::peer_frame_writer(std::string secret, instance_id sender, std::uint64_t nonce)
    : secret_(std::move(secret)), sender_(std::move(sender)), nonce_(nonce) {}

result<QByteArray>
peer_frame_writer::write(std::string_view payload) {
  if (payload.size() > max_peer_frame) {
    return fail(
        {error_code::too_large, step::peer_call, "", "message exceeds the maximum frame payload"});
  }
  counter_ += 1;
  QByteArray authenticated = big_endian(counter_);
  authenticated += big_endian(static_cast<std::uint16_t>(sender_.value.size()));
  authenticated += QByteArray::fromStdString(sender_.value);
  authenticated.append(payload.data(), static_cast<qsizetype>(payload.size()));
  const QByteArray mac = compute_mac(secret_, nonce_, authenticated);
  return big_endian(static_cast<std::uint32_t>(mac.size() + authenticated.size())) + mac +
         authenticated;
}

peer_frame_reader::peer_frame_reader(std::string secret, std::uint64_t nonce)
    : secret_(std::move(secret)), nonce_(nonce) {}

void
peer_frame_reader::feed(const QByteArray& bytes) {
  buffer_ += bytes;
}

result<std::optional<peer_frame>>
peer_frame_reader::next() {
  if (buffer_.size() < length_bytes) {
    return std::optional<peer_frame>{};
  }
  const auto size = static_cast<qsizetype>(qFromBigEndian<std::uint32_t>(buffer_.constData()));
  if (size < header_bytes || size > max_body_bytes) {
    return bad_frame(sender_.value, "invalid frame size: " + std::to_string(size) + " bytes");
  }
  if (buffer_.size() < length_bytes + size) {
    return std::optional<peer_frame>{};
  }
  const QByteArray body = buffer_.mid(length_bytes, size);
  buffer_.remove(0, length_bytes + size);
  auto checked = check(body);
  if (!checked) {
    return tl::unexpected<error>(std::move(checked.error()));
  }
  return std::optional<peer_frame>{std::move(*checked)};
}

result<peer_frame>
peer_frame_reader::check(const QByteArray& body) {
  const QByteArrayView authenticated = QByteArrayView(body).sliced(mac_bytes);
  if (!equal_constant_time(QByteArrayView(body).first(mac_bytes),
                           compute_mac(secret_, nonce_, authenticated))) {
    return bad_frame(sender_.value, "frame authentication failed: HMAC mismatch");
  }
  counter_ += 1;
  if (qFromBigEndian<std::uint64_t>(authenticated.data()) != counter_) {
    return bad_frame(sender_.value, "unexpected frame counter");
  }
  const auto sender_size =
      static_cast<qsizetype>(qFromBigEndian<std::uint16_t>(authenticated.data() + counter_bytes));
  const QByteArrayView rest = authenticated.sliced(counter_bytes + sender_length_bytes);
  if (sender_size == 0 || sender_size > std::min(max_sender_bytes, rest.size())) {
    return bad_frame(sender_.value, "missing or invalid sender name in frame");
  }
  const instance_id sender{rest.first(sender_size).toByteArray().toStdString()};
  if (!sender_.empty() && sender != sender_) {
    return bad_frame(sender_.value, "frame sender changed within the connection");
  }
  sender_ = sender;
  return peer_frame{sender, rest.sliced(sender_size).toByteArray().toStdString()};
}

} // namespace nutmegspur
