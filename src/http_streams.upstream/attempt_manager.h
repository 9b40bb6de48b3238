/// \file attempt_manager.h
/// Runs attempts at upstreams as HTTP/1.1 requests through Qt's QNetworkAccessManager.
#pragma once

#include "one_shot_body.h"
#include "slot_pool.h"
#include "sse_reader.h"

#include <nutmegspur/kernel.h>

#include <QtCore/QTimer>
#include <QtNetwork/QNetworkAccessManager>
#include <QtNetwork/QNetworkReply>

#include <deque>
#include <memory>
#include <unordered_map>

namespace nutmegspur::http_streams {

/// Opens, reads and ends attempts. Every attempt that is opened and not cancelled ends with exactly
/// one `attempt_ended` event.
class attempt_manager {
 public:
  attempt_manager(const worker_context& context, event_sink sink);
  attempt_manager(const attempt_manager&) = delete;
  attempt_manager& operator=(const attempt_manager&) = delete;
  ~attempt_manager();

  void open(const open_attempt& what);
  void cancel(const cancel_attempt& what);

 private:
  struct active_attempt {
    open_attempt what;
    connection_slot slot;
    std::unique_ptr<one_shot_body> body; ///< Null if the request has no body and is not one-shot.
    QNetworkReply* reply = nullptr;
    std::unique_ptr<sse_reader> reader; ///< Null if the response is not a stream of events.
    std::uint64_t received_bytes = 0;   ///< Body bytes of a response without `reader`.
    /// The request headers may have been written to the connection.
    bool headers_written = false;
    bool opened = false;
    time_point last_progress;
  };

  void send(active_attempt& it);
  void connect_reply(const attempt_id& id, QNetworkReply* reply);
  void on_headers(active_attempt& it);
  void on_data(active_attempt& it);
  void on_finished(active_attempt& it);
  void check_timeouts();
  /// Removes an active attempt and aborts its reply; `retire` also retires its connection group.
  std::unique_ptr<active_attempt> remove(const attempt_id& id, bool retire);
  void end(const attempt_id& id, std::optional<error> failure, bool retire);
  [[nodiscard]] std::optional<error> failure_of(const active_attempt& it) const;
  [[nodiscard]] static outcome outcome_of(const active_attempt& it);
  [[nodiscard]] active_attempt* find(const attempt_id& id);
  void post_event(event&& ev);
  void post_held_events();

  const worker_context& context_;
  event_sink sink_;
  QNetworkAccessManager manager_;
  slot_pool slots_;
  QTimer timeout_timer_;
  QTimer retry_timer_;
  std::unordered_map<attempt_id, std::unique_ptr<active_attempt>> active_;
  /// Events that found the event ring full, in order. While there are any, replies are not read.
  std::deque<event> held_events_;
};

} // namespace nutmegspur::http_streams
