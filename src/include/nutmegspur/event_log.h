/// \file event_log.h
/// The numbered events of the log. Each is one line, "E<number> <name> key=value ...", written
/// through glog or through a sink that the process sets.
///
/// A test checks that docs/events.md lists the same events as the catalogue. A number is never
/// reused.
#pragma once

#include <nutmegspur/error.h>

#include <cstdint>
#include <functional>
#include <span>
#include <string>
#include <string_view>

namespace nutmegspur {

/// The severity of an event for an operator.
enum class severity { info, warning, error };

template <> struct enum_names<severity> {
  static constexpr std::array<enum_name<severity>, 3> table{{
      {severity::info, "info"},
      {severity::warning, "warning"},
      {severity::error, "error"},
  }};
};

/// The numbers of the events. Ranges: 1xx process, 2xx configuration and keys, 3xx leases and
/// orders, 4xx usage, 5xx requests, 6xx upstreams, 7xx peers and membership, 8xx platform.
enum class log_event : std::uint16_t {
  process_started = 100,
  process_ready = 101,
  process_stopping = 102,
  process_stopped = 103,
  settings_rejected = 104,
  ring_full = 105,
  settings_reloaded = 106,
  log_dropped = 107,
  config_applied = 200,
  config_refused = 201,
  key_withdrawn = 202,
  config_stale = 203,
  lease_taken = 300,
  lease_lost = 301,
  order_sent = 302,
  order_resolved = 303,
  order_refused = 304,
  fleet_ordered = 305,
  fleet_answered = 306,
  usage_sealed = 400,
  usage_reported = 401,
  usage_rejected = 402,
  usage_seal_unconfirmed = 403,
  usage_record_read = 404,
  request_refused = 500,
  request_failed = 501,
  request_resumed = 502,
  claim_conflict = 503,
  request_placed = 504,
  request_answered = 505,
  request_retried = 506,
  caller_left = 507,
  part_quarantined = 508,
  part_released = 509,
  stream_ended = 510,
  upstream_added = 600,
  upstream_leaving = 601,
  upstream_gone = 602,
  upstream_failed = 603,
  upstream_restarted = 604,
  upstream_unreadable = 605,
  upstream_withheld = 606,
  upstream_paused = 607,
  upstream_crashed = 608,
  upstream_limited = 609,
  breaker_opened = 610,
  paths_lost = 611,
  paths_regained = 612,
  service_unserved = 613,
  upstream_overflow = 614,
  upstream_unlisted = 615,
  peer_connected = 700,
  peer_lost = 701,
  peer_rejected = 702,
  relay_chosen = 703,
  platform_unreachable = 800,
  platform_reachable = 801,
  history_lost = 802,
  store_followed = 803,
  store_restored = 804,
  content_differs = 805,
  watch_cut = 806,
};

/// An entry of the catalogue of events.
struct log_event_info {
  log_event number;
  std::string_view name;
  severity level;
  std::string_view meaning;
};

/// All events, in the order of their numbers.
std::span<const log_event_info> log_catalogue();

/// A key and value of a log line.
struct log_field {
  std::string_view key;
  std::string value;
};

/// Writes one line. Empty values and values that contain white space, `"` or `=` are quoted. A
/// caller's key must not be passed.
void log(log_event number, std::initializer_list<log_field> fields = {});
void log(log_event number, std::span<const log_field> fields);

/// Writes one line with the step, peer, code and message of `ec` after `fields`.
void log(log_event number, const error& ec, std::initializer_list<log_field> fields = {});

/// Receives each line in place of glog, for a process that must never block on its log. Must be set
/// before any other thread starts. An empty sink restores glog.
using log_sink = std::function<void(severity, const std::string& line)>;
void set_log_sink(log_sink sink);

/// The text of a line without the time and source position that glog adds.
std::string format_log_line(log_event number, std::span<const log_field> fields);

} // namespace nutmegspur
