/// \file attempt_rules.h
/// What becomes of a proxied request when an attempt at an upstream has ended: the answer is passed
/// on, the request is tried again, or the caller is told, and what may be told.
///
/// "Not run" may be said only while no attempt can have run. A request that is not idempotent is
/// never sent again once one of its bytes may have reached an upstream, unless the upstream itself
/// said that it did not run it.
#pragma once

#include <nutmegspur/names.h>
#include <nutmegspur/proxy_config.h>

#include <cstdint>

namespace nutmegspur {

/// How an attempt ended.
enum class attempt_end {
  answered,     ///< A whole answer of the upstream, other than a server error.
  server_error, ///< A whole answer with a status of 500 or more.
  rejected,     ///< The upstream said that it did not run the request.
  unreachable,  ///< No byte of the request was sent.
  broken,       ///< The connection failed after bytes were sent, before an answer was whole.
  malformed,    ///< What came is no answer.
  timed_out,    ///< Nothing, or too little, came in time.
};

template <> struct enum_names<attempt_end> {
  static constexpr std::array<enum_name<attempt_end>, 7> table{{
      {attempt_end::answered, "answered"},
      {attempt_end::server_error, "server_error"},
      {attempt_end::rejected, "rejected"},
      {attempt_end::unreachable, "unreachable"},
      {attempt_end::broken, "broken"},
      {attempt_end::malformed, "malformed"},
      {attempt_end::timed_out, "timed_out"},
  }};
};

/// What is known of a request so far.
struct attempt_history {
  route_kind kind = route_kind::once;
  bool resumable = false;
  std::uint32_t max_attempts = 1;
  std::uint32_t sent = 0;    ///< Attempts of which a byte may have reached an upstream.
  bool may_have_run = false; ///< Of an earlier attempt.
  bool response_started = false; ///< The caller has been sent the head of an answer.
  bool time_left = true;     ///< Enough for another attempt.
  bool budget_left = true;   ///< The shared retry budget has one.
  bool upstream_left = true; ///< Another upstream may take it.
};

/// What happens next.
enum class next_step {
  pass_on, ///< The upstream's answer, as it is.
  retry,   ///< Another attempt; for a stream that has begun, from its last event on.
  refuse,  ///< "Not run", with a time to come back.
  fail,    ///< An error that promises nothing.
  cut,     ///< The answer has begun and cannot be ended well: the connection is broken off.
};

template <> struct enum_names<next_step> {
  static constexpr std::array<enum_name<next_step>, 5> table{{
      {next_step::pass_on, "pass_on"},
      {next_step::retry, "retry"},
      {next_step::refuse, "refuse"},
      {next_step::fail, "fail"},
      {next_step::cut, "cut"},
  }};
};

/// Whether this attempt may have run, by how it ended.
bool may_have_run(attempt_end end);

/// Decides after a prompt could not be read apart, which runs nothing by itself. `history.sent`
/// counts the call if an upstream rejected it, `history.may_have_run` is of earlier attempts.
next_step after_failed_prefill(const attempt_history& history);

/// What a caller is told when no other attempt is to be made.
next_step after_last_attempt(const attempt_history& history);

/// Decides after an attempt; `history.sent` counts it, `history.may_have_run` does not.
next_step after_attempt(attempt_end end, const attempt_history& history);

} // namespace nutmegspur
