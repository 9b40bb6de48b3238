// Circuit breakers for upstreams.
#include <nutmegspur/upstream_health.h>

#include <algorithm>

namespace nutmegspur {

namespace {

/// Weight of the newest attempt in the moving average.
constexpr double newest_weight = 0.1;
/// After this time a half-open breaker admits another probe if the last one has no result.
constexpr milliseconds probe_timeout{1'000};
constexpr int max_doublings = 3;

} // namespace

milliseconds
upstream_health::open(const moment& now, breaker& it) {
  const auto open_time = std::min<milliseconds>(
      initial_open_time * (1 << std::min(it.times_opened, max_doublings)), max_open_time);
  it.open_until = now.boot + open_time;
  it.probe_until = {};
  it.times_opened++;
  it.failures_in_row = 0;
  return open_time;
}

std::optional<milliseconds>
upstream_health::on_result(const moment& now, const upstream_id& id, attempt_result result) {
  breaker& it = breakers_[id];
  const bool failed = result != attempt_result::answered;
  it.failure_share += newest_weight * ((failed ? 1.0 : 0.0) - it.failure_share);
  if (!failed) {
    if (it.open_until != time_point{} && now.boot >= it.open_until) {
      it.open_until = {};
      it.failure_share = std::min(it.failure_share, failure_share_to_open / 2);
    }
    it.failures_in_row = 0;
    if (it.failure_share < newest_weight / 2) {
      it.times_opened = 0;
    }
    return std::nullopt;
  }
  it.failures_in_row += result == attempt_result::server_error ? 0 : 1;
  const bool probe_failed = it.open_until != time_point{} && now.boot >= it.open_until;
  if (probe_failed || result == attempt_result::unreachable ||
      it.failures_in_row >= failures_to_open || it.failure_share >= failure_share_to_open) {
    return open(now, it);
  }
  return std::nullopt;
}

bool
upstream_health::allows(const moment& now, const upstream_id& id) const {
  const auto it = breakers_.find(id);
  if (it == breakers_.end() || it->second.open_until == time_point{}) {
    return true;
  }
  return now.boot >= it->second.open_until && now.boot >= it->second.probe_until;
}

void
upstream_health::on_sent(const moment& now, const upstream_id& id) {
  const auto it = breakers_.find(id);
  if (it != breakers_.end() && it->second.open_until != time_point{}) {
    it->second.probe_until = now.boot + probe_timeout;
  }
}

void
upstream_health::on_abandoned(const upstream_id& id) {
  const auto it = breakers_.find(id);
  if (it != breakers_.end()) {
    it->second.probe_until = {};
  }
}

double
upstream_health::failure_share(const upstream_id& id) const {
  const auto it = breakers_.find(id);
  return it == breakers_.end() ? 0 : it->second.failure_share;
}

} // namespace nutmegspur
