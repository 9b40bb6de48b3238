/// \file one_shot_body.h
/// Request body for Qt's HTTP client that can be read only once, which prevents automatic retries.
///
/// QNetworkAccessManager resends a request on its own when a connection closes early, for which it
/// rewinds the body. A sequential device cannot be rewound, so the call fails instead.
#pragma once

#include <nutmegspur/request.h>

#include <QtCore/QByteArray>
#include <QtCore/QIODevice>

namespace nutmegspur {

/// Sequential read-only device over a shared body.
class one_shot_body : public QIODevice {
 public:
  explicit one_shot_body(shared_body body);
  explicit one_shot_body(const QByteArray& body);

  [[nodiscard]] bool isSequential() const override { return true; }

  [[nodiscard]] qint64 bytesAvailable() const override;

  [[nodiscard]] qint64 size() const override;

  /// Whether any byte was read, and so may have been sent.
  [[nodiscard]] bool begun() const { return position_ > 0; }

 protected:
  qint64 readData(char* to, qint64 max_bytes) override;
  qint64 writeData(const char* from, qint64 n) override;

 private:
  shared_body body_;
  qint64 position_ = 0;
};

} // namespace nutmegspur
