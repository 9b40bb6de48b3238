/// \file engine_poller.h
/// Reads one engine's report and cache events, one call at a time, about once a second.
#pragma once

#include "one_shot_call.h"

#include <nutmegspur/decision.h>

#include <QtCore/QTimer>

#include <cstdint>
#include <functional>
#include <memory>

namespace nutmegspur::engine_http {

/// Polls one engine. Every call has its own connection, so a silent one costs one poll.
class engine_poller {
 public:
  using emit_event = std::function<void(event&&)>;

  /// Between two polls, half of it more or less at random.
  static constexpr milliseconds period{1000};
  /// Longest time for a call.
  static constexpr milliseconds call_limit{1000};
  /// Refused connections in a row after which the engine counts as gone.
  static constexpr unsigned refusals_when_gone = 3;

  engine_poller(set_polled_upstreams::target target, emit_event emit_it);

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
  emit_event emit_;
  QTimer next_;
  std::unique_ptr<one_shot_call> call_;
  std::uint64_t last_event_ = 0;
  unsigned refusals_ = 0;
  bool leaving_ = false; ///< Was already told.
};

} // namespace nutmegspur::engine_http
