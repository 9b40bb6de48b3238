/// \file one_shot_body.h
/// A request body that can be read once.
///
/// QNetworkAccessManager sends a POST again on its own where the peer closes before it answers. A
/// sequential device cannot be rewound, so the call ends in an error instead.
#pragma once

#include <QtCore/QIODevice>

#include <algorithm>
#include <cstring>

namespace nutmegspur::etcd_http {

/// The body; it remembers whether any byte of it was taken.
class one_shot_body : public QIODevice {
 public:
  explicit one_shot_body(QByteArray bytes) : bytes_(std::move(bytes)) {
    open(QIODevice::ReadOnly | QIODevice::Unbuffered);
  }

  [[nodiscard]] bool isSequential() const override { return true; }

  [[nodiscard]] qint64 bytesAvailable() const override {
    return bytes_.size() - position_ + QIODevice::bytesAvailable();
  }

  /// Whether the HTTP library has begun to send: from then on the outcome is not known.
  [[nodiscard]] bool begun() const { return position_ > 0; }

 protected:
  qint64 readData(char* data, qint64 most) override {
    const qint64 n = std::min<qint64>(most, bytes_.size() - position_);
    if (n == 0) {
      return -1;
    }
    std::memcpy(data, bytes_.constData() + position_, static_cast<std::size_t>(n));
    position_ += n;
    return n;
  }

  qint64 writeData(const char* /*data*/, qint64 /*size*/) override { return -1; }

 private:
  QByteArray bytes_;
  qint64 position_ = 0;
};

} // namespace nutmegspur::etcd_http
