/// \file attempt_rules.h
/// Decides what happens to a proxied request after an attempt at an upstream has ended: pass the
/// response on, retry, or fail the request, and which error the caller may be given.
///
/// "Not run" is reported only if no attempt may have run. A request that is neither repeatable nor
/// a resumable stream is never sent again once one of its bytes may have reached an upstream,
/// unless the upstream itself reported that it did not run it.
///
/// A stream of events is complete on evidence. Where that is missing, a stream that may be resumed
/// is asked for its rest elsewhere: events that come were missing, and an empty run that is framed
/// proves the end. Evidence against an end is a failed attempt.
#pragma once

#include <nutmegspur/clock.h>
#include <nutmegspur/names.h>
#include <nutmegspur/proxy_config.h>
#include <nutmegspur/stream_evidence.h>

#include <cstdint>
#include <string_view>

namespace nutmegspur {

/// How an attempt ended.
enum class attempt_end {
  answered,     ///< A complete response, other than a server error.
  unproven,     ///< A stream that ended between two events; nothing proves that it is whole.
  server_error, ///< A complete response with a status of 500 or more.
  rejected,     ///< The upstream reported that it did not run the request.
  unreachable,  ///< No byte of the request was sent.
  broken,       ///< The connection failed after bytes were sent, before the response was complete.
  malformed,    ///< The bytes received are not a valid response.
  timed_out,    ///< The upstream sent nothing, or too little, in time.
};

template <> struct enum_names<attempt_end> {
  static constexpr std::array<enum_name<attempt_end>, 8> table{{
      {attempt_end::answered, "answered"},
      {attempt_end::unproven, "unproven"},
      {attempt_end::server_error, "server_error"},
      {attempt_end::rejected, "rejected"},
      {attempt_end::unreachable, "unreachable"},
      {attempt_end::broken, "broken"},
      {attempt_end::malformed, "malformed"},
      {attempt_end::timed_out, "timed_out"},
  }};
};

/// A response whose end was received, as input to the rules.
struct ended_response {
  int status = 0;
  bool not_run = false;   ///< The upstream reported that it did not run the request.
  bool authentic = false; ///< It bears the upstream's mark; prefill calls need none.
  /// Its body ended with the connection: that alone does not show that it is whole.
  bool close_delimited = false;
  bool event_stream = false; ///< The body is a stream of events.
  /// The caller has got a head and events of an earlier attempt: only the rest of that stream may
  /// follow.
  bool response_started = false;
  bool has_events = false;   ///< At least one event is complete; comments are none.
  bool inside_event = false; ///< The body ends inside an event.
  bool behind = false;       ///< The run began anew and ends before the caller's last event.
  response_tail tail = response_tail::nothing;
  /// The upstream has spoiled or broken off other answers lately.
  bool doubtful_upstream = false;
  bool asked_for_proof = false; ///< An earlier attempt has ended the stream without proof.
  bool service_frames = true;   ///< The service's streams usually have a length or chunks.
};

/// The state of a request, as input to the rules.
struct attempt_history {
  route_kind kind = route_kind::once;
  bool resumable = false;
  std::uint32_t max_attempts = 1;
  std::uint32_t sent = 0;        ///< Attempts of which a byte may have reached an upstream.
  bool may_have_run = false;     ///< True if an earlier attempt may have run.
  bool response_started = false; ///< The response head was sent to the caller.
  bool time_left = true;         ///< Enough time is left for another attempt.
  bool budget_left = true;       ///< The shared retry budget allows a retry.
  bool upstream_left = true;     ///< Another upstream can take the request.
  /// An attempt has ended the stream without proof, and no event has come since.
  bool end_unproven = false;
  /// The stream has broken off, in this response or in the one that its caller resumes: only a
  /// proved end completes it.
  bool broken_off = false;
};

/// What to do with the request next.
enum class next_step {
  pass_on,  ///< Forward the upstream's response unchanged.
  retry,    ///< Another attempt; a started stream resumes after its last event.
  refuse,   ///< Report "not run", with a Retry-After time.
  fail,     ///< Report an error that does not say whether the request ran.
  cut,      ///< The response has started and cannot be completed: close the connection.
  complete, ///< End the started response: an attempt has ended it, and no proof is to be had.
};

template <> struct enum_names<next_step> {
  static constexpr std::array<enum_name<next_step>, 6> table{{
      {next_step::pass_on, "pass_on"},
      {next_step::retry, "retry"},
      {next_step::refuse, "refuse"},
      {next_step::fail, "fail"},
      {next_step::cut, "cut"},
      {next_step::complete, "complete"},
  }};
};

/// Whether a response can be passed on event by event: an authentic success on a streaming route
/// whose media type is that of events, or which names none.
bool carries_events(int status, bool not_run, bool authentic, std::string_view media_type);

/// How an attempt ended whose response was received up to its end. A stream is whole only if it
/// ends between two events; one that ends with its connection also needs an event. It may have none
/// if it is framed: nothing was left to resume. After `response_started` only an event stream is an
/// answer; whatever else the upstream sent is a failed attempt. More of a body behind its last
/// chunk shows that the end is wrong, that of a plain response too.
///
/// An end is unproven if it is only that of the connection though the service frames its streams,
/// if anything else follows it, or if the upstream is doubtful. A framed run without events that
/// was asked for proof proves it.
attempt_end end_of_response(const ended_response& response);

/// Whether the work of an attempt with this end may have run.
bool may_have_run(attempt_end end);

/// Time limit of a separate prefill call whose response is expected after `expected_millis`. A call
/// without a response by then is given up while there is time to prefill the prompt elsewhere.
milliseconds prefill_time_limit(double expected_millis, milliseconds remaining);

/// Whether a separate prefill call that ended this way is one of the route's attempts. The first
/// call that an engine accepts is not; without a response it counts as accepted.
bool prefill_is_attempt(attempt_end end);

/// Next step after a separate prefill stage failed. Prefill alone does not run the request.
/// `history.sent` counts the prefill call if `prefill_is_attempt()`; `history.may_have_run` covers
/// earlier attempts only.
next_step after_failed_prefill(const attempt_history& history);

/// Next step when no further attempt is made.
next_step after_last_attempt(const attempt_history& history);

/// Next step after an attempt; `history.sent` includes it, `history.may_have_run` does not.
next_step after_attempt(attempt_end end, const attempt_history& history);

} // namespace nutmegspur
