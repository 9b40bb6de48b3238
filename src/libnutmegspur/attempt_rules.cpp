// The next step after an attempt has ended: pass its response on, retry, or report an error.
#include <nutmegspur/attempt_rules.h>

#include <algorithm>

namespace nutmegspur {

attempt_end
end_of_response(const ended_response& response) {
  constexpr int first_redirect = 300;
  constexpr int first_server_error = 500;
  if (response.not_run) {
    return attempt_end::rejected;
  }
  if (response.status < first_redirect && !response.authentic) {
    return attempt_end::malformed;
  }
  if (response.status >= first_server_error) {
    return attempt_end::server_error;
  }
  const bool empty = response.close_delimited && !response.has_events && !response.resumed;
  if (response.event_stream && (response.inside_event || empty)) {
    return attempt_end::broken;
  }
  return attempt_end::answered;
}

bool
may_have_run(attempt_end end) {
  return end != attempt_end::rejected && end != attempt_end::unreachable;
}

namespace {

/// Predictions are based on load reports of other instances that are up to a second old, so a
/// response is given up well after its predicted time only.
constexpr double prefill_patience = 3;
constexpr double prefill_margin_millis = 200;

bool
may_repeat(attempt_end end, const attempt_history& history) {
  if (history.kind == route_kind::repeatable) {
    return true;
  }
  if (history.kind == route_kind::stream && history.resumable) {
    // A server error is the upstream's own response to this request; another attempt would send
    // the same request.
    return end != attempt_end::server_error;
  }
  return !history.may_have_run && !may_have_run(end);
}

} // namespace

next_step
after_last_attempt(const attempt_history& history) {
  if (history.response_started) {
    return next_step::cut;
  }
  return history.may_have_run ? next_step::fail : next_step::refuse;
}

milliseconds
prefill_time_limit(double expected_millis, milliseconds remaining) {
  const double patient = prefill_patience * expected_millis + prefill_margin_millis;
  const double latest = static_cast<double>(remaining.count()) / 2;
  return milliseconds{static_cast<std::int64_t>(std::max(std::min(patient, latest), 1.0))};
}

bool
prefill_is_attempt(attempt_end end) {
  return end != attempt_end::unreachable && end != attempt_end::broken &&
         end != attempt_end::timed_out;
}

next_step
after_failed_prefill(const attempt_history& history) {
  const bool can_retry = history.sent < history.max_attempts && history.time_left &&
                         history.upstream_left && history.budget_left;
  return can_retry ? next_step::retry : after_last_attempt(history);
}

next_step
after_attempt(attempt_end end, const attempt_history& history) {
  if (end == attempt_end::answered) {
    return next_step::pass_on;
  }
  const bool attempts_left = history.sent < history.max_attempts;
  const bool can_retry = attempts_left && history.time_left && history.upstream_left &&
                         (history.sent == 0 || history.budget_left);
  if (can_retry && may_repeat(end, history)) {
    return next_step::retry;
  }
  if (history.response_started) {
    return next_step::cut;
  }
  if (end == attempt_end::server_error) {
    return next_step::pass_on;
  }
  return history.may_have_run || may_have_run(end) ? next_step::fail : next_step::refuse;
}

} // namespace nutmegspur
