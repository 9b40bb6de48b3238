/// \file settings.h
/// Settings of the daemon, from command-line flags and environment variables. One table describes
/// both; all values are checked at startup.
///
/// The flag `--caller-port` corresponds to the environment variable `NUTMEGSPUR_CALLER_PORT`. The
/// flag takes precedence.
#pragma once

#include <nutmegspur/clock.h>
#include <nutmegspur/error.h>
#include <nutmegspur/ids.h>

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace nutmegspur {

/// All settings of an `entry` process. Addresses are IP addresses, not host names.
struct settings {
  instance_id instance;
  zone_id zone;
  std::string region;
  std::string bind_address = "127.0.0.1";
  std::uint16_t caller_port = 8080;
  std::uint16_t operator_port = 8081;
  std::uint16_t peer_port = 8082;
  std::string platform_address = "127.0.0.1";
  std::uint16_t platform_port = 9000;
  std::string platform_plugin = "etcd_http";
  std::string routing_policy = "predicted_latency";
  std::string admission_policy = "fair_deadline";
  std::string peer_secret;                   ///< Shared by all instances; at least 16 characters.
  std::string bootstrap_operator_key_sha256; ///< Accepted while the store holds no operator key.
  seconds lease_ttl{10};
  seconds usage_window{60};
  seconds drain_limit{30};
  milliseconds balancer_lag{2000};
  seconds idempotency_lifetime{86'400}; ///< Minimum retention of an Idempotency-Key.
  milliseconds default_deadline{30'000};
  std::uint32_t max_body_bytes = 1024U * 1024;
  std::uint32_t max_in_flight = 2000;
  std::string log_level = "info";
  std::string log_directory; ///< If empty, logs go to standard error only.
};

/// The type of a setting's value.
enum class setting_type {
  text,
  ip_address,
  port,
  integer,
  duration_seconds,
  duration_milliseconds,
  sha256,
  secret
};

/// A row of the settings table.
struct setting_info {
  std::string_view flag; ///< Without the leading dashes.
  setting_type type;
  std::string_view help;
  bool required = false;
  std::int64_t min_value = 0; ///< For numbers.
  std::int64_t max_value = 0; ///< For numbers.
};

/// The settings table, in the order of the help text.
std::span<const setting_info> settings_table();

/// The default value of a setting, as text; empty if there is none.
std::string default_value(std::string_view flag);

/// The name of the environment variable for a flag.
std::string environment_name(std::string_view flag);

/// A setting that was given, and where.
struct given_setting {
  std::string flag;
  std::string value;
  std::string source; ///< "flag" or the name of the environment variable.
};

/// Checks the values and assigns them. The error names the setting, its value (never a secret) and
/// the values that are accepted.
result<settings> parse_settings(std::span<const given_setting> given);

} // namespace nutmegspur
