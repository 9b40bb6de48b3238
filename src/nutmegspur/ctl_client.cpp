// HTTP calls of the operators' client over QNetworkAccessManager.
#include "ctl_client.h"

#include "one_shot_body.h"

#include <QtCore/QEventLoop>
#include <QtCore/QJsonDocument>
#include <QtCore/QUrl>
#include <QtNetwork/QNetworkReply>
#include <QtNetwork/QNetworkRequest>

#include <chrono>
#include <memory>

namespace nutmegspur {

namespace {

// Longer than the server may take to find out whether a change was made.
constexpr std::chrono::milliseconds call_timeout{15'000};
// The server sends a line at least every few seconds.
constexpr std::chrono::milliseconds stream_timeout{20'000};

using reply_owner = std::unique_ptr<QNetworkReply, void (*)(QNetworkReply*)>;

reply_owner
own_reply(QNetworkReply* reply) {
  return {reply, [](QNetworkReply* it) { it->deleteLater(); }};
}

void
wait_for(QNetworkReply& reply) {
  QEventLoop loop;
  QObject::connect(&reply, &QNetworkReply::finished, &loop, &QEventLoop::quit);
  if (!reply.isFinished()) {
    loop.exec();
  }
}

ctl_response
response_of(QNetworkReply& reply) {
  ctl_response out;
  out.status = reply.attribute(QNetworkRequest::HttpStatusCodeAttribute).toInt();
  const auto ec = reply.error();
  const bool truncated = out.status / 100 == 2 && ec != QNetworkReply::NoError;
  if (out.status == 0 || truncated) {
    out.failure = reply.errorString().toStdString();
    out.status = 0;
    return out;
  }
  out.body = reply.readAll();
  return out;
}

} // namespace

QJsonObject
ctl_response::json() const {
  return QJsonDocument::fromJson(body).object();
}

std::string
ctl_response::error_text() const {
  if (status == 0) {
    return "no answer: " + failure;
  }
  const QJsonObject error_object = json().value("error").toObject();
  if (error_object.isEmpty()) {
    return "status " + std::to_string(status);
  }
  std::string out = error_object.value("message").toString().toStdString() + " (" +
                    error_object.value("code").toString().toStdString() + ")";
  if (error_object.value("ran").toString() == QLatin1String("unknown")) {
    out += "; it may have taken effect";
  }
  return out;
}

ctl_client::ctl_client(ctl_target target) : target_(std::move(target)) {}

QNetworkRequest
ctl_client::request(const QString& path) const {
  QNetworkRequest out{QUrl{QString::fromStdString(target_.url) + path}};
  out.setRawHeader("Authorization", "Bearer " + QByteArray::fromStdString(target_.key));
  out.setHeader(QNetworkRequest::ContentTypeHeader, "application/json");
  out.setTransferTimeout(static_cast<int>(call_timeout.count()));
  return out;
}

ctl_response
ctl_client::get(const QString& path) {
  const auto reply = own_reply(manager_.get(request(path)));
  wait_for(*reply);
  return response_of(*reply);
}

ctl_response
ctl_client::send(const QByteArray& method, const QString& path, const QByteArray& body,
                 const QByteArray& condition) {
  QNetworkRequest out = request(path);
  if (const auto colon = condition.indexOf(':'); colon > 0) {
    out.setRawHeader(condition.left(colon), condition.mid(colon + 1).trimmed());
  }
  // Qt would resend the request on its own; a key could then be issued whose secret nobody saw.
  one_shot_body once{body};
  out.setHeader(QNetworkRequest::ContentLengthHeader, body.size());
  out.setAttribute(QNetworkRequest::DoNotBufferUploadDataAttribute, true);
  const auto reply = own_reply(manager_.sendCustomRequest(out, method, &once));
  wait_for(*reply);
  return response_of(*reply);
}

ctl_response
ctl_client::stream(const QString& path, const std::function<bool(const QByteArray&)>& on_line) {
  QNetworkRequest out = request(path);
  out.setTransferTimeout(static_cast<int>(stream_timeout.count()));
  const auto reply = own_reply(manager_.get(out));
  QNetworkReply* const it = reply.get();
  const auto status = [it] {
    return it->attribute(QNetworkRequest::HttpStatusCodeAttribute).toInt();
  };
  const auto read_lines = [&] {
    while (status() / 100 == 2 && it->canReadLine()) {
      if (!on_line(it->readLine().trimmed())) {
        it->abort();
        return;
      }
    }
  };
  QObject::connect(it, &QNetworkReply::readyRead, it, read_lines);
  wait_for(*it);
  return response_of(*it);
}

} // namespace nutmegspur
