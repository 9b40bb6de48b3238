/// \file watch_stream.h
/// One watch of the key-value service as a long HTTP stream on a connection of its own.
///
/// The stream must show progress. When it falls silent a second stream is opened beside it, from
/// the next revision on, and takes its place once it stands. Only if both are silent does the
/// watch end.
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

/// Silence after which a second stream is tried.
inline constexpr milliseconds watch_silence_limit{3'000};
/// How long a stream has to open.
inline constexpr milliseconds watch_open_limit{2'000};
/// Largest message of a stream, in bytes.
inline constexpr qsizetype max_watch_message = 64L * 1024 * 1024;

/// A watch. Its owner must not destroy it from within a callback.
class watch_stream {
 public:
  struct callbacks {
    /// Another HTTP stream was opened.
    std::function<void()> opened;
    /// The watch stands.
    std::function<void(revision store)> started;
    /// Changes in the order of revisions, or, with none, a sign of progress up to `store`.
    std::function<void(std::vector<kv_change> changes, revision store)> batch;
    /// It ended; nothing follows.
    std::function<void(bool compacted, const error& why)> ended;
  };

  watch_stream(QUrl url, watch_start request, callbacks calls);

  /// Opens the first stream.
  void open();
  /// Closes its streams; no callback follows.
  void close();

 private:
  // One HTTP stream with a manager of its own, so that it shares no connection.
  struct stream : QObject {
    QNetworkAccessManager manager;
    QNetworkReply* reply = nullptr;
    QByteArray buffer;
  };

  struct later {
    void operator()(stream* it) const;
  };

  using stream_ptr = std::unique_ptr<stream, later>;

  stream_ptr connect_stream();
  void read(stream* from);
  // False if `from` was given up.
  bool take(stream* from, const watch_message& message);
  void deliver(const watch_message& message);
  void finished(stream* from);
  void on_silence();
  void end(bool compacted, const std::string& message);

  QUrl url_;
  watch_start request_; ///< `since` moves on with what was delivered.
  callbacks calls_;
  stream_ptr current_;
  stream_ptr candidate_;
  QTimer silence_;
  bool started_ = false;
  bool ended_ = false;
};

} // namespace nutmegspur::etcd_http
