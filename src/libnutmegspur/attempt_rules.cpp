// The next step after an attempt has ended: pass its response on, retry, or report an error.
#include <nutmegspur/attempt_rules.h>
#include <nutmegspur/mechanisms.h>

#include <algorithm>
#include <cctype>

namespace nutmegspur {

namespace {

constexpr int status_ok = 200;
constexpr int first_redirect = 300;
constexpr int first_server_error = 500;

} // namespace

bool
carries_events(int status, bool not_run, bool authentic, std::string_view media_type) {
  constexpr std::string_view events = "text/event-stream";
  const std::string_view name = media_type.substr(0, events.size());
  const bool same_name =
      std::equal(name.begin(), name.end(), events.begin(), events.end(),
                 [](char a, char b) { return std::tolower(static_cast<unsigned char>(a)) == b; });
  const std::string_view rest = media_type.substr(name.size());
  const bool names_events = same_name && (rest.empty() || rest.find_first_of("; \t") == 0);
  return status == status_ok && !not_run && authentic && (media_type.empty() || names_events);
}

attempt_end
end_of_response(const ended_response& response) {
  if (response.not_run) {
    return attempt_end::rejected;
  }
  if (response.status < first_redirect && !response.authentic) {
    return attempt_end::malformed;
  }
  if (response.status >= first_server_error) {
    return attempt_end::server_error;
  }
  if (response.response_started && !response.event_stream) {
    return attempt_end::malformed;
  }
  if (response.tail == response_tail::body) {
    return attempt_end::broken;
  }
  const bool empty = response.close_delimited && !response.has_events && !response.asked_for_proof;
  if (!response.event_stream || !enabled(mechanism::stream_evidence)) {
    return attempt_end::answered;
  }
  if (response.inside_event || empty || response.behind) {
    return attempt_end::broken;
  }
  const bool followed =
      response.tail != response_tail::nothing && response.tail != response_tail::closed;
  // Two upstreams that end it in the same way prove the end, also if both are doubtful.
  if (response.asked_for_proof && !response.has_events && !response.close_delimited && !followed) {
    return attempt_end::answered;
  }
  const bool unframed =
      response.close_delimited && (response.service_frames || !response.has_events);
  return unframed || followed || response.doubtful_upstream ? attempt_end::unproven
                                                            : attempt_end::answered;
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
    // the same request. It is none to a stream that has begun elsewhere.
    return end != attempt_end::server_error || history.response_started;
  }
  return !history.may_have_run && !may_have_run(end);
}

} // namespace

next_step
after_last_attempt(const attempt_history& history) {
  if (history.response_started) {
    return history.end_unproven && !history.broken_off ? next_step::complete : next_step::cut;
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
  if (end == attempt_end::unproven && !history.broken_off) {
    return next_step::pass_on;
  }
  if (history.response_started) {
    return after_last_attempt(history);
  }
  if (end == attempt_end::server_error) {
    return next_step::pass_on;
  }
  return history.may_have_run || may_have_run(end) ? next_step::fail : next_step::refuse;
}

} // namespace nutmegspur
