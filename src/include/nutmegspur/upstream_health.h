/// \file upstream_health.h
/// How upstreams answer, judged from requests rather than health checks: who fails is avoided for a
/// while, longer each time, then tried with one request (a circuit breaker; Nygard, "Release It!").
#pragma once

#include <nutmegspur/clock.h>
#include <nutmegspur/ids.h>

#include <unordered_map>

namespace nutmegspur {

/// How an attempt at an upstream ended, as far as the upstream is to blame.
enum class attempt_result {
  answered,     ///< Whole and in time.
  server_error, ///< A server error: some requests err at every upstream, so only the share counts.
  failed,       ///< Reset, cut short, or bytes that are no answer.
  unreachable,  ///< No connection.
  timed_out,    ///< Nothing came until the request's time was up.
};

/// One circuit breaker for each upstream.
class upstream_health {
 public:
  /// Failures in a row that open the breaker.
  static constexpr int failures_to_open = 3;
  /// Share of failures, in a moving average over about ten attempts, that opens it.
  static constexpr double failure_share_to_open = 0.45;
  /// First time for which an open breaker lets nothing through; doubled up to the most.
  static constexpr milliseconds initial_open_time{1'000};
  static constexpr milliseconds max_open_time{8'000};

  void on_result(const moment& now, const upstream_id& id, attempt_result result);

  /// Forgets an upstream that is gone or has restarted.
  void forget(const upstream_id& id) { breakers_.erase(id); }

  /// Whether new work may go there; a half-open breaker lets one request through.
  [[nodiscard]] bool allows(const moment& now, const upstream_id& id) const;
  /// Must be called when work is sent there.
  void on_sent(const moment& now, const upstream_id& id);
  /// Moving average of failures, from 0 to 1.
  [[nodiscard]] double failure_share(const upstream_id& id) const;

 private:
  struct breaker {
    int failures_in_row = 0;
    int times_opened = 0;
    double failure_share = 0;
    time_point open_until{};  ///< Zero while closed.
    time_point trial_until{}; ///< While half open: no second trial before this.
  };

  static void open(const moment& now, breaker& it);

  std::unordered_map<upstream_id, breaker> breakers_;
};

} // namespace nutmegspur
