/// \file engine_poller.h
/// Polls the report and the cache events of one engine, about once a second.
#pragma once

#include "one_shot_call.h"

#include <nutmegspur/decision.h>

#include <QtCore/QTimer>

#include <cstdint>
#include <functional>
#include <memory>

namespace nutmegspur::engine_http {

/// Polls one engine, one call at a time. Every call uses its own connection, so that a dead
/// connection costs only one poll.
class engine_poller {
 public:
  using event_callback = std::function<void(event&&)>;

  /// Average delay between two polls; the actual delay varies at random by up to half of it.
  static constexpr milliseconds poll_period{1000};
  /// Time limit of a call.
  static constexpr milliseconds call_timeout{1000};
  /// Number of consecutive refused connections after which the engine is reported as gone.
  static constexpr unsigned max_refusals = 3;

  engine_poller(set_polled_upstreams::target target, event_callback on_event);

  [[nodiscard]] const set_polled_upstreams::target& target() const { return target_; }

 private:
  using handler = std::function<void(const QByteArray& body)>;

  void poll_report();
  void poll_events();
  void get(const QByteArray& path, handler on_body);
  void on_report(const QByteArray& body, const moment& asked_at);
  void on_failed(const error& ec);
  void schedule();

  set_polled_upstreams::target target_;
  event_callback on_event_;
  QTimer poll_timer_;
  std::unique_ptr<one_shot_call> call_;
  std::uint64_t last_event_ = 0;
  unsigned refusals_ = 0;
  bool leaving_ = false; ///< `leaving` of the last report; a change to true is posted once.
};

} // namespace nutmegspur::engine_http
