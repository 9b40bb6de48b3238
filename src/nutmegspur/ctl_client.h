/// \file ctl_client.h
/// Blocking HTTP client of the operators' API.
#pragma once

#include <QtCore/QByteArray>
#include <QtCore/QJsonObject>
#include <QtCore/QString>
#include <QtNetwork/QNetworkAccessManager>

#include <functional>
#include <string>

namespace nutmegspur {

/// Base URL of the API and the operator's key.
struct ctl_target {
  std::string url;
  std::string key;
};

/// The response to a call, or why there was none.
struct ctl_response {
  int status = 0; ///< HTTP status; 0 if there was no complete response.
  QByteArray body;
  std::string failure; ///< Why there was no response.

  [[nodiscard]] bool ok() const { return status / 100 == 2; }

  [[nodiscard]] QJsonObject json() const;
  /// The server's error, or why there was no response, on one line.
  [[nodiscard]] std::string error_text() const;
};

/// Runs one call at a time. Calls that change something are sent at most once.
class ctl_client {
 public:
  explicit ctl_client(ctl_target target);

  ctl_response get(const QString& path);
  /// `condition` is a complete header line such as "If-Match: \"3\"", or empty.
  ctl_response send(const QByteArray& method, const QString& path, const QByteArray& body,
                    const QByteArray& condition = {});
  /// Calls `on_line` with each line of a stream until the stream ends or `on_line` returns false.
  ctl_response stream(const QString& path, const std::function<bool(const QByteArray&)>& on_line);

 private:
  [[nodiscard]] QNetworkRequest request(const QString& path) const;

  ctl_target target_;
  QNetworkAccessManager manager_;
};

} // namespace nutmegspur
