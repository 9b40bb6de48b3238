/// \file etcd_http.h
/// The worker "platform/etcd_http": executes `call_platform` actions over HTTP.
///
/// Every call gets exactly one `platform_reply`. A call that changes state is sent at most once. If
/// its response does not arrive, the outcome is `unknown` once a byte of its body was read for
/// sending, and `not_run` before that.
#pragma once

#include "etcd_codec.h"
#include "one_shot_body.h"
#include "one_shot_call.h"
#include "watch_stream.h"

#include <nutmegspur/event_outbox.h>
#include <nutmegspur/kernel.h>

#include <QtCore/QObject>

#include <map>
#include <memory>

namespace nutmegspur::etcd_http {

/// Time limit of a call, including its connection.
inline constexpr milliseconds call_timeout{2'000};
/// Limit of calls in progress; more are rejected at once.
inline constexpr std::size_t max_calls = 512;
/// Limit of events held while the event ring of the decision thread is full; a watch that would
/// exceed it is ended.
inline constexpr std::size_t max_held_events = 4096;

/// The worker. Lives on one thread with a Qt event loop.
class platform_worker final : public duty_worker {
 public:
  explicit platform_worker(const worker_context& context);
  ~platform_worker() override;
  platform_worker(const platform_worker&) = delete;
  platform_worker& operator=(const platform_worker&) = delete;

  result<void> start(event_sink sink) override;
  void carry_out(const action& what) override;
  void stop() override;

 private:
  struct pending_call {
    call_platform what;
    std::string_view kind;
    time_point asked_at;
    std::shared_ptr<QNetworkAccessManager> manager; ///< Outlives the reply.
    std::unique_ptr<one_shot_body> body;            ///< Null for calls that may be sent again.
    QNetworkReply* reply = nullptr;
    QTimer timeout_timer;
    bool timed_out = false;
  };

  void start_call(const call_platform& what);
  /// Starts a call that requires authority: it is sent by `not_after` and delivered in time, or not
  /// at all (one_shot_call.h).
  void start_call_with_deadline(const call_platform& what, const http_call& call,
                                time_point not_after);
  void send(pending_call& it, const http_call& call);
  void finish(const std::shared_ptr<pending_call>& it);
  [[nodiscard]] result<platform_answer> result_of(const pending_call& it) const;
  void open_watch(const call_platform& what, const watch_start& request);
  void end_watch(const call_id& watch);
  void reply(const call_id& call, std::string_view kind, time_point asked_at,
             result<platform_answer> answer);
  void count(std::string_view kind, std::string_view outcome_name);
  void update_reachability(const result<platform_answer>& answer);
  /// Makes later calls use new connections.
  void replace_manager();
  void post(event ev);
  void flush();

  const worker_context context_;
  event_outbox outbox_;
  QUrl base_;
  // Parent of all timers and connections; null before `start`.
  std::unique_ptr<QObject> scope_;
  std::shared_ptr<QNetworkAccessManager> manager_;
  std::map<call_id, std::shared_ptr<pending_call>> calls_;
  std::map<call_id, std::unique_ptr<one_shot_call>> deadline_calls_;
  std::map<call_id, std::unique_ptr<watch_stream>> watches_;
  bool flush_scheduled_ = false; ///< A flush of the outbox is scheduled.
  bool reachable_ = true;
};

} // namespace nutmegspur::etcd_http
