// Watch streams and their replacement when they fall silent.
#include "watch_stream.h"

#include <QtNetwork/QNetworkRequest>

#include <algorithm>

namespace nutmegspur::etcd_http {

void
watch_stream::deferred_delete::operator()(stream* it) const {
  if (it->reply != nullptr) {
    // Only our slots are disconnected: the library ends the transfer through the reply's signals.
    it->reply->disconnect(it);
    it->reply->abort();
  }
  it->deleteLater();
}

watch_stream::watch_stream(QUrl url, watch_start request, callbacks calls)
    : url_(std::move(url)), request_(std::move(request)), callbacks_(std::move(calls)) {
  silence_timer_.setSingleShot(true);
  QObject::connect(&silence_timer_, &QTimer::timeout, &silence_timer_, [this] { on_timeout(); });
}

void
watch_stream::open() {
  current_ = connect_stream();
  silence_timer_.start(watch_open_timeout);
}

watch_stream::stream_ptr
watch_stream::connect_stream() {
  stream_ptr it(new stream);
  QNetworkRequest request(url_);
  request.setHeader(QNetworkRequest::ContentTypeHeader, "application/json");
  stream* raw = it.get();
  raw->reply = raw->manager.post(request, encode_watch(request_));
  QObject::connect(raw->reply, &QNetworkReply::readyRead, raw, [this, raw] { read(raw); });
  QObject::connect(raw->reply, &QNetworkReply::finished, raw, [this, raw] { finished(raw); });
  callbacks_.opened();
  return it;
}

void
watch_stream::read(stream* from) {
  from->buffer += from->reply->readAll();
  if (from->buffer.size() > max_watch_message_bytes) {
    return end(false, "a message of the watch exceeds the size limit");
  }
  qsizetype newline = from->buffer.indexOf('\n');
  while (newline >= 0) {
    const QByteArray line = from->buffer.left(newline);
    from->buffer.remove(0, newline + 1);
    newline = from->buffer.indexOf('\n');
    if (line.trimmed().isEmpty()) {
      continue;
    }
    const auto message = decode_watch(line);
    if (!message) {
      return end(false, message.error().message);
    }
    if (!handle_message(from, *message)) {
      return;
    }
  }
}

bool
watch_stream::handle_message(stream* from, const watch_message& message) {
  if (ended_) {
    return false;
  }
  if (from == replacement_.get()) {
    current_ = std::move(replacement_);
  }
  replacement_.reset();
  silence_timer_.start(watch_silence_timeout);
  if (message.cancelled) {
    end(message.compacted,
        message.compacted ? "the start revision of the watch was compacted" : "cancelled");
    return false;
  }
  if (!started_) {
    started_ = true;
    callbacks_.started(message.store);
  }
  if (!message.created) {
    deliver(message);
  }
  return !ended_;
}

void
watch_stream::deliver(const watch_message& message) {
  if (message.changes.empty()) {
    // All changes up to this revision were sent before this message.
    request_.since = std::max(request_.since, revision{message.store.value + 1});
    return callbacks_.batch({}, message.store);
  }
  std::vector<kv_change> new_changes;
  for (const auto& it : message.changes) {
    // A second stream may repeat changes of the first.
    if (it.modified >= request_.since) {
      new_changes.push_back(it);
    }
  }
  if (new_changes.empty()) {
    return;
  }
  // The revision in the header may be newer than the changes sent so far; use the last change's.
  const revision last = new_changes.back().modified;
  request_.since = {last.value + 1};
  callbacks_.batch(std::move(new_changes), last);
}

void
watch_stream::finished(stream* from) {
  if (from == replacement_.get()) {
    replacement_.reset();
    return;
  }
  if (from != current_.get()) {
    return;
  }
  const std::string why = from->reply->errorString().toStdString();
  if (replacement_) {
    current_ = std::move(replacement_);
    return;
  }
  end(false, why);
}

void
watch_stream::on_timeout() {
  if (!started_ || replacement_) {
    return end(false, "no message within the time limit of the watch");
  }
  replacement_ = connect_stream();
  silence_timer_.start(watch_open_timeout);
}

void
watch_stream::close() {
  ended_ = true;
  silence_timer_.stop();
  replacement_.reset();
  current_.reset();
}

void
watch_stream::end(bool compacted, const std::string& message) {
  if (ended_) {
    return;
  }
  close();
  callbacks_.ended(compacted, {error_code::unavailable, step::platform_call, "platform", message,
                               outcome::not_run, seconds{1}});
}

} // namespace nutmegspur::etcd_http
