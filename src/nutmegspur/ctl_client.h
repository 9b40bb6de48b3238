/// \file ctl_client.h
/// Calls of the operators' API, one after the other.
#pragma once

#include <QtCore/QByteArray>
#include <QtCore/QJsonObject>
#include <QtCore/QString>
#include <QtNetwork/QNetworkAccessManager>

#include <functional>
#include <string>

namespace nutmegspur {

/// Where the API is, and the operator's key.
struct ctl_target {
  std::string url;
  std::string key;
};

/// What came back.
struct ctl_response {
  int status = 0; ///< HTTP status; 0 if there was no answer.
  QByteArray body;
  std::string failure; ///< Why there was no answer.

  [[nodiscard]] bool ok() const { return status / 100 == 2; }

  [[nodiscard]] QJsonObject json() const;
  /// The server's error as one line, or why there was none.
  [[nodiscard]] std::string error_text() const;
};

/// The client. Each call is sent at most once.
class ctl_client {
 public:
  explicit ctl_client(ctl_target target);

  ctl_response get(const QString& path);
  /// `condition` is a whole header line such as "If-Match: \"3\"", or empty.
  ctl_response send(const QByteArray& method, const QString& path, const QByteArray& body,
                    const QByteArray& condition = {});
  /// Hands over each line of a stream until it ends or `on_line` returns false.
  ctl_response stream(const QString& path, const std::function<bool(const QByteArray&)>& on_line);

 private:
  [[nodiscard]] QNetworkRequest request(const QString& path) const;

  ctl_target target_;
  QNetworkAccessManager manager_;
};

} // namespace nutmegspur
