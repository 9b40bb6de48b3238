/// \file request_rules.h
/// Authorization of requests, their expected cost and the headers sent to upstreams: pure functions
/// of a request and the configuration.
#pragma once

#include <nutmegspur/config.h>
#include <nutmegspur/request.h>

#include <string>
#include <vector>

namespace nutmegspur {

/// The result of a successful authorization.
struct access_grant {
  team_id team; ///< Empty for a request without a key.
  team_spec limits;
  std::string subject;    ///< Model or service name.
  bool repeatable = true; ///< False: it must run at most once.
  /// Longest time without progress of an upstream; empty: the instance's own limit.
  std::optional<milliseconds> timeout;
  /// Expected cost in weighted tokens (thousandths).
  std::uint64_t cost_milli = 0;
};

/// Authenticates `it` by the digest of its key and checks that its team is offered the requested
/// model or service. `config_age` is how long ago the configuration was last known to be current.
result<access_grant> authorize(const request_arrived& it, const config_snapshot& config,
                               const zone_id& zone, milliseconds config_age);

/// Whether the key with this digest is valid for callers.
result<void> check_key(const std::string& secret_sha256, const config_snapshot& config);

/// The salt of a team's prefix cache: the same on all instances that share `secret`.
std::string cache_salt(const team_id& team, const std::string& secret);

/// Values that go into the headers of an attempt.
struct attempt_header_values {
  attempt_id attempt;
  instance_id instance;
  std::string salt;
  std::uint64_t resume_from = 0;
};

/// The headers of an attempt: only those of the allow-list, so that no credential of the caller is
/// forwarded to an upstream.
std::vector<header_field> upstream_headers(const request_arrived& it,
                                           const attempt_header_values& values);

/// The response headers of a service that its caller may see.
std::vector<header_field> caller_headers(const std::vector<header_field>& from_upstream);

/// The lower-case hexadecimal SHA-256 of `text`.
std::string sha256_hex(const std::string& text);

/// A digest that differs for different calls under the same idempotency key.
std::string call_digest(const service_call& call, const shared_body& body);

/// Expected cost in weighted tokens (thousandths); flat for a service call.
std::uint64_t expected_cost_milli(const caller_call& call, const config_snapshot& config);

/// Cost of a plain service call, in weighted tokens (thousandths).
inline constexpr std::uint64_t service_cost_milli = 1000;

} // namespace nutmegspur
