/// \file error.h
/// Errors: the kind of failure, the step and the peer, and whether the request was run.
///
/// Functions return `result<T>`; no exception crosses a module boundary.
#pragma once

#include <nutmegspur/clock.h>
#include <nutmegspur/names.h>

#include <tl/expected.hpp>

#include <optional>
#include <string>

namespace nutmegspur {

/// The kind of a failure. Callers see its name in the `code` field of an error response.
enum class error_code {
  invalid_argument,
  unauthenticated,
  permission_denied,
  not_found,
  conflict,
  too_large,
  overloaded,
  deadline_exceeded,
  unavailable,
  cancelled,
  key_withdrawn,
  lease_lost,
  upstream_failed,
  internal,
};

template <> struct enum_names<error_code> {
  static constexpr std::array<enum_name<error_code>, 14> table{{
      {error_code::invalid_argument, "invalid_argument"},
      {error_code::unauthenticated, "unauthenticated"},
      {error_code::permission_denied, "permission_denied"},
      {error_code::not_found, "not_found"},
      {error_code::conflict, "conflict"},
      {error_code::too_large, "too_large"},
      {error_code::overloaded, "overloaded"},
      {error_code::deadline_exceeded, "deadline_exceeded"},
      {error_code::unavailable, "unavailable"},
      {error_code::cancelled, "cancelled"},
      {error_code::key_withdrawn, "key_withdrawn"},
      {error_code::lease_lost, "lease_lost"},
      {error_code::upstream_failed, "upstream_failed"},
      {error_code::internal, "internal"},
  }};
};

/// Whether an upstream ran a request.
enum class outcome {
  not_run, ///< No byte of any attempt can have reached an upstream.
  unknown, ///< A byte may have reached an upstream; whether it ran is not known.
  ran,     ///< An upstream reported that it ran.
};

template <> struct enum_names<outcome> {
  static constexpr std::array<enum_name<outcome>, 3> table{{
      {outcome::not_run, "not_run"},
      {outcome::unknown, "unknown"},
      {outcome::ran, "ran"},
  }};
};

/// A step in handling a request or in one of the protocols, at which an error can occur.
enum class step {
  settings_parse,
  caller_read,
  authenticate,
  admit,
  route,
  attempt_open,
  attempt_stream,
  attempt_resume,
  attempt_done,
  claim_write,
  claim_send,
  claim_record,
  lease_take,
  lease_renew,
  lease_release,
  intent_write,
  intent_send,
  intent_answer,
  intent_resolve,
  usage_count,
  usage_seal,
  usage_send,
  usage_confirm,
  config_read,
  config_apply,
  config_relay,
  config_write,
  drain_begin,
  drain_wait,
  drain_end,
  platform_call,
  peer_call,
};

template <> struct enum_names<step> {
  static constexpr std::array<enum_name<step>, 32> table{{
      {step::settings_parse, "settings_parse"},
      {step::caller_read, "caller_read"},
      {step::authenticate, "authenticate"},
      {step::admit, "admit"},
      {step::route, "route"},
      {step::attempt_open, "attempt_open"},
      {step::attempt_stream, "attempt_stream"},
      {step::attempt_resume, "attempt_resume"},
      {step::attempt_done, "attempt_done"},
      {step::claim_write, "claim_write"},
      {step::claim_send, "claim_send"},
      {step::claim_record, "claim_record"},
      {step::lease_take, "lease_take"},
      {step::lease_renew, "lease_renew"},
      {step::lease_release, "lease_release"},
      {step::intent_write, "intent_write"},
      {step::intent_send, "intent_send"},
      {step::intent_answer, "intent_answer"},
      {step::intent_resolve, "intent_resolve"},
      {step::usage_count, "usage_count"},
      {step::usage_seal, "usage_seal"},
      {step::usage_send, "usage_send"},
      {step::usage_confirm, "usage_confirm"},
      {step::config_read, "config_read"},
      {step::config_apply, "config_apply"},
      {step::config_relay, "config_relay"},
      {step::config_write, "config_write"},
      {step::drain_begin, "drain_begin"},
      {step::drain_wait, "drain_wait"},
      {step::drain_end, "drain_end"},
      {step::platform_call, "platform_call"},
      {step::peer_call, "peer_call"},
  }};
};

/// A failure. `peer` is the remote end (an upstream, an instance, "platform"); empty if there was
/// none. Never contains a caller's key.
struct error {
  error_code code = error_code::internal;
  step at = step::caller_read;
  std::string peer;
  std::string message;
  outcome ran = outcome::not_run;
  /// Delay before a retry is worthwhile; empty if a retry would fail in the same way.
  std::optional<milliseconds> retry_after = std::nullopt;
};

/// "step peer: message (code)", for logs and the operators' command-line client.
std::string to_text(const error& ec);

/// The HTTP status code for `code` (RFC 9110, which does not define 429 and 499).
int http_status(error_code code);

/// A value or an error.
template <class T> using result = tl::expected<T, error>;

/// Wraps an error for return from a function whose return type is `result<T>`.
inline tl::unexpected<error>
fail(error ec) {
  return tl::unexpected<error>(std::move(ec));
}

} // namespace nutmegspur
