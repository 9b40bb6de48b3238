// Handshake and framing of a connection to a peer.
#include "peer_link.h"

#include <QtCore/QRandomGenerator>
#include <QtCore/QtEndian>

namespace nutmegspur::tcp_msgpack {

namespace {

constexpr char magic[] = "nutmegp1";
constexpr qsizetype magic_bytes = 8;
constexpr qsizetype challenge_bytes = magic_bytes + 8;

error
link_error(const std::string& peer, const std::string& message,
           error_code code = error_code::unavailable) {
  return {code, step::peer_call, peer, message};
}

} // namespace

peer_link::peer_link(QTcpSocket* socket, std::string secret, peer_hello own, callbacks handlers)
    : socket_(socket), secret_(std::move(secret)), own_(std::move(own)),
      callbacks_(std::move(handlers)), reader_({}, 0),
      challenge_(QRandomGenerator::system()->generate64()), last_received_(boot_clock::now()),
      last_sent_(last_received_) {
  reader_ = peer_frame_reader(secret_, challenge_);
  socket->setParent(this);
  connect(socket, &QTcpSocket::readyRead, this, [this] { read(); });
  connect(socket, &QTcpSocket::disconnected, this,
          [this] { close(link_error(peer_ ? peer_->sender.value : "", "the connection closed")); });
  connect(socket, &QTcpSocket::errorOccurred, this, [this] {
    close(link_error(peer_ ? peer_->sender.value : "", socket_->errorString().toStdString()));
  });
  if (socket->state() == QAbstractSocket::ConnectedState) {
    send_challenge();
  } else {
    connect(socket, &QTcpSocket::connected, this, [this] { send_challenge(); });
  }
}

void
peer_link::send_challenge() {
  socket_->setSocketOption(QAbstractSocket::LowDelayOption, 1);
  QByteArray greeting(magic, magic_bytes);
  greeting.resize(challenge_bytes);
  qToBigEndian(challenge_, greeting.data() + magic_bytes);
  socket_->write(greeting);
}

void
peer_link::read() {
  if (closed_) {
    return;
  }
  const QByteArray bytes = socket_->readAll();
  bytes_received_ += static_cast<std::uint64_t>(bytes.size());
  last_received_ = boot_clock::now();
  if (writer_) {
    reader_.feed(bytes);
  } else {
    challenge_buffer_ += bytes;
    if (!receive_challenge()) {
      return;
    }
  }
  while (!closed_) {
    const auto frame = reader_.next();
    if (!frame) {
      return close(frame.error());
    }
    if (!*frame || !handle_frame(**frame)) {
      return;
    }
  }
}

// Returns true once the challenge of the other end is complete and the hello of this end was sent.
bool
peer_link::receive_challenge() {
  if (challenge_buffer_.size() < challenge_bytes) {
    return false;
  }
  if (!challenge_buffer_.startsWith(QByteArray(magic, magic_bytes))) {
    close(link_error("", "unexpected magic word: not a peer", error_code::unauthenticated));
    return false;
  }
  const auto peer_challenge =
      qFromBigEndian<std::uint64_t>(challenge_buffer_.constData() + magic_bytes);
  writer_.emplace(secret_, own_.sender, peer_challenge);
  reader_.feed(challenge_buffer_.mid(challenge_bytes));
  challenge_buffer_.clear();
  send(encode(own_));
  return !closed_;
}

bool
peer_link::handle_frame(const peer_frame& frame) {
  if (frame.payload.empty()) {
    return true;
  }
  auto message = decode_peer_message(frame.payload);
  if (!message) {
    close(message.error());
    return false;
  }
  if (peer_) {
    callbacks_.received(*this, std::move(*message));
    return !closed_;
  }
  const auto* hello = std::get_if<peer_hello>(&*message);
  if (hello == nullptr || hello->sender != frame.sender || hello->sender == own_.sender) {
    close(link_error(frame.sender.value, "the first frame is not a valid hello of another instance",
                     error_code::unauthenticated));
    return false;
  }
  peer_ = *hello;
  callbacks_.ready(*this);
  return !closed_;
}

void
peer_link::send(const std::string& payload) {
  if (closed_ || !writer_) {
    return;
  }
  if (socket_->bytesToWrite() > max_unsent_bytes) {
    return close(link_error(peer_ ? peer_->sender.value : "", "the send buffer is full",
                            error_code::overloaded));
  }
  const auto frame = writer_->write(payload);
  if (!frame) {
    return;
  }
  socket_->write(*frame);
  last_sent_ = boot_clock::now();
}

void
peer_link::drop() {
  closed_ = true;
  if (socket_) {
    socket_->disconnect(this);
    socket_->abort();
  }
}

void
peer_link::close(const error& why) {
  if (closed_) {
    return;
  }
  drop();
  callbacks_.closed(*this, why);
}

} // namespace nutmegspur::tcp_msgpack
