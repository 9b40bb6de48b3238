/// \file watch_stream.h
/// One watch of the key-value service, as a long-lived HTTP stream on its own connection.
///
/// If no message arrives for `watch_silence_timeout`, a second stream is opened from the next
/// revision on and replaces the first at its first message. If it stays silent too, the watch
/// ends.
#pragma once

#include "etcd_codec.h"

#include <QtCore/QTimer>
#include <QtCore/QUrl>
#include <QtNetwork/QNetworkAccessManager>
#include <QtNetwork/QNetworkReply>

#include <functional>
#include <memory>
#include <vector>

namespace nutmegspur::etcd_http {

/// Silence after which a second stream is opened.
inline constexpr milliseconds watch_silence_timeout{3'000};
/// Time limit for the first message of a stream.
inline constexpr milliseconds watch_open_timeout{2'000};
/// Largest message of a stream, in bytes.
inline constexpr qsizetype max_watch_message_bytes = 64L * 1024 * 1024;

/// A watch. Its owner must not destroy it from within a callback.
class watch_stream {
 public:
  struct callbacks {
    /// An HTTP stream was opened.
    std::function<void()> opened;
    /// The first message of the watch was received.
    std::function<void(revision store)> started;
    /// Changes in the order of revisions. An empty list reports progress up to `store`.
    std::function<void(std::vector<kv_change> changes, revision store)> batch;
    /// The watch ended. No callback follows.
    std::function<void(bool compacted, const error& why)> ended;
  };

  watch_stream(QUrl url, watch_start request, callbacks calls);

  /// Opens the first stream.
  void open();
  /// Closes the streams. No callback follows.
  void close();

 private:
  // One HTTP stream. Has its own manager, so that it shares no connection.
  struct stream : QObject {
    QNetworkAccessManager manager;
    QNetworkReply* reply = nullptr;
    QByteArray buffer;
  };

  struct deferred_delete {
    void operator()(stream* it) const;
  };

  using stream_ptr = std::unique_ptr<stream, deferred_delete>;

  stream_ptr connect_stream();
  void read(stream* from);
  // Returns false if `from` was closed.
  bool handle_message(stream* from, const watch_message& message);
  void deliver(const watch_message& message);
  void finished(stream* from);
  void on_timeout();
  void end(bool compacted, const std::string& message);

  QUrl url_;
  watch_start request_; ///< `since` is the first revision that is not delivered yet.
  callbacks callbacks_;
  stream_ptr current_;
  stream_ptr replacement_;
  QTimer silence_timer_;
  bool started_ = false;
  bool ended_ = false;
};

} // namespace nutmegspur::etcd_http
