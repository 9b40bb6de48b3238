// Sequential read-only device over a request body.
#include "one_shot_body.h"

#include <algorithm>
#include <cstring>

namespace nutmegspur {

one_shot_body::one_shot_body(shared_body body)
    : body_(body ? std::move(body) : std::make_shared<const std::string>()) {
  open(QIODevice::ReadOnly | QIODevice::Unbuffered);
}

one_shot_body::one_shot_body(const QByteArray& body)
    : one_shot_body(std::make_shared<const std::string>(body.toStdString())) {}

qint64
one_shot_body::size() const {
  return static_cast<qint64>(body_->size());
}

qint64
one_shot_body::bytesAvailable() const {
  return size() - position_ + QIODevice::bytesAvailable();
}

qint64
one_shot_body::readData(char* to, qint64 max_bytes) {
  const qint64 n = std::min(max_bytes, size() - position_);
  if (n <= 0) {
    return -1;
  }
  std::memcpy(to, body_->data() + position_, static_cast<std::size_t>(n));
  position_ += n;
  return n;
}

qint64
one_shot_body::writeData(const char* /*from*/, qint64 /*n*/) {
  return -1;
}

} // namespace nutmegspur
