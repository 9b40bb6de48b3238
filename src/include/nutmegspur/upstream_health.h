/// \file upstream_health.h
/// Circuit breakers for upstreams (Nygard, "Release It!"), driven by the results of requests rather
/// than health checks. An upstream that fails gets no requests for a while, longer each time, and
/// is then probed with a single request.
#pragma once

#include <nutmegspur/clock.h>
#include <nutmegspur/ids.h>

#include <optional>
#include <unordered_map>

namespace nutmegspur {

/// Result of an attempt, as far as the upstream is responsible for it.
enum class attempt_result {
  answered,     ///< Complete and in time.
  server_error, ///< Counts only in the failure share: some requests fail at every upstream.
  failed,       ///< Connection reset, or a truncated or malformed response.
  unreachable,  ///< No connection could be made.
  timed_out,    ///< No response within the request's time limit.
};

/// One circuit breaker per upstream.
class upstream_health {
 public:
  /// Consecutive failures that open the breaker.
  static constexpr int failures_to_open = 3;
  /// Failure share that opens the breaker; a moving average over about ten attempts.
  static constexpr double failure_share_to_open = 0.45;
  /// How long the breaker stays open the first time; doubled each time, up to `max_open_time`.
  static constexpr milliseconds initial_open_time{1'000};
  static constexpr milliseconds max_open_time{8'000};

  /// Returns for how long the breaker opens, if this result opens it.
  std::optional<milliseconds> on_result(const moment& now, const upstream_id& id,
                                        attempt_result result);

  /// Forgets an upstream that is gone or has restarted.
  void forget(const upstream_id& id) { breakers_.erase(id); }

  /// Whether the upstream may get a new request; a half-open breaker admits one.
  [[nodiscard]] bool allows(const moment& now, const upstream_id& id) const;
  /// Must be called for each request sent to the upstream.
  void on_sent(const moment& now, const upstream_id& id);
  /// The caller of a request sent to the upstream left, so its result will not be known. If it was
  /// the probe of a half-open breaker, another request may be.
  void on_abandoned(const upstream_id& id);
  /// Moving average of the failure rate, from 0 to 1.
  [[nodiscard]] double failure_share(const upstream_id& id) const;

 private:
  struct breaker {
    int failures_in_row = 0;
    int times_opened = 0;
    double failure_share = 0;
    time_point open_until{};  ///< Zero while closed.
    time_point probe_until{}; ///< While half open: no second probe before this time.
  };

  /// Returns for how long it opens.
  static milliseconds open(const moment& now, breaker& it);

  std::unordered_map<upstream_id, breaker> breakers_;
};

} // namespace nutmegspur
