// The catalogue of log events, and writing them as lines.
#include <nutmegspur/event_log.h>

#include <glog/logging.h>

#include <algorithm>
#include <array>
#include <vector>

namespace nutmegspur {

namespace {

constexpr std::array<log_event_info, 62> catalogue{{
    {log_event::process_started, "process_started", severity::info,
     "The process has started; shows its identity and addresses."},
    {log_event::process_ready, "process_ready", severity::info,
     "A complete configuration is held; /readyz succeeds."},
    {log_event::process_stopping, "process_stopping", severity::info,
     "A graceful shutdown is in progress; live work is being finished."},
    {log_event::process_stopped, "process_stopped", severity::info,
     "The process ends; shows the work that is left then."},
    {log_event::settings_rejected, "settings_rejected", severity::error,
     "A setting is invalid; the process exits with status 2."},
    {log_event::ring_full, "ring_full", severity::warning,
     "A ring buffer between two threads was full; the work was refused."},
    {log_event::settings_reloaded, "settings_reloaded", severity::info,
     "The settings file was reloaded."},
    {log_event::log_dropped, "log_dropped", severity::warning,
     "Log lines were dropped because standard output did not accept them."},
    {log_event::config_applied, "config_applied", severity::info,
     "This instance applied a revision of the configuration."},
    {log_event::config_refused, "config_refused", severity::error,
     "A stored resource could not be parsed; the change was not applied."},
    {log_event::key_withdrawn, "key_withdrawn", severity::info,
     "A key was withdrawn; its live requests were ended."},
    {log_event::config_stale, "config_stale", severity::warning,
     "The configuration has not been confirmed for a while; the last one stays in force."},
    {log_event::lease_taken, "lease_taken", severity::info,
     "This instance acquired its zone's lease."},
    {log_event::lease_lost, "lease_lost", severity::warning,
     "This instance no longer holds its zone's lease."},
    {log_event::order_sent, "order_sent", severity::info, "An order was sent to an engine."},
    {log_event::order_resolved, "order_resolved", severity::info,
     "The outcome of an order is known."},
    {log_event::order_refused, "order_refused", severity::warning,
     "An order was held back or refused."},
    {log_event::fleet_ordered, "fleet_ordered", severity::info,
     "A number of upstreams was ordered for an availability zone."},
    {log_event::fleet_answered, "fleet_answered", severity::info,
     "The upstream interface's result of an order is known."},
    {log_event::usage_sealed, "usage_sealed", severity::info, "A usage window was sealed."},
    {log_event::usage_reported, "usage_reported", severity::info,
     "The usage interface accepted a window."},
    {log_event::usage_rejected, "usage_rejected", severity::error,
     "The usage interface refused a window."},
    {log_event::usage_seal_unconfirmed, "usage_seal_unconfirmed", severity::warning,
     "A write of a sealed usage window got no reply or found another record; the record is read."},
    {log_event::usage_record_read, "usage_record_read", severity::info,
     "The record of the last sealed usage window was read; shows what follows from it."},
    {log_event::request_refused, "request_refused", severity::info,
     "A request was refused before it ran."},
    {log_event::request_failed, "request_failed", severity::warning,
     "A request ended with an error after it may have run."},
    {log_event::request_resumed, "request_resumed", severity::info,
     "A stream goes on at another upstream, after an event that its caller has."},
    {log_event::claim_conflict, "claim_conflict", severity::info,
     "A call was not run because its idempotency key was already claimed."},
    {log_event::request_placed, "request_placed", severity::info,
     "A request was sent to an upstream; shows the inputs of the routing decision."},
    {log_event::request_answered, "request_answered", severity::info,
     "An upstream's response was forwarded completely."},
    {log_event::request_retried, "request_retried", severity::info,
     "An attempt ended without a response; the request is retried."},
    {log_event::caller_left, "caller_left", severity::info,
     "The caller closed its connection; its attempt was cancelled, or not sent if this was known "
     "before."},
    {log_event::part_quarantined, "part_quarantined", severity::warning,
     "Upstreams crashed on prompt parts, a session or a request; requests with all of them are "
     "refused for a while."},
    {log_event::part_released, "part_released", severity::info,
     "A response to a request with a quarantined part, session or request completed; such requests "
     "are accepted."},
    {log_event::stream_ended, "stream_ended", severity::info,
     "An upstream's stream of events ended, in whichever way; shows its framing, its events and "
     "their ids, what followed it, and what was done next."},
    {log_event::upstream_added, "upstream_added", severity::info,
     "An upstream was added to the list."},
    {log_event::upstream_leaving, "upstream_leaving", severity::info,
     "An upstream is leaving and takes no new work."},
    {log_event::upstream_gone, "upstream_gone", severity::info,
     "An upstream was removed from the list."},
    {log_event::upstream_failed, "upstream_failed", severity::warning,
     "An attempt failed at an upstream."},
    {log_event::upstream_restarted, "upstream_restarted", severity::info,
     "An upstream's id now belongs to another process; its state was reset."},
    {log_event::upstream_unreadable, "upstream_unreadable", severity::warning,
     "An upstream's entry could not be parsed; the upstream is not used."},
    {log_event::upstream_withheld, "upstream_withheld", severity::info,
     "An upstream gets no new requests for a while: its stage changes, or another process replaced "
     "it."},
    {log_event::upstream_paused, "upstream_paused", severity::info,
     "An upstream rejected a request and asked for a pause; this instance sends it nothing."},
    {log_event::upstream_crashed, "upstream_crashed", severity::warning,
     "An upstream's process ended while it worked; shows the prompt parts, sessions and requests "
     "of "
     "the attempts that broke there."},
    {log_event::upstream_limited, "upstream_limited", severity::info,
     "An upstream stated how many requests a second it takes from all instances together, or that "
     "it no longer has a limit."},
    {log_event::breaker_opened, "breaker_opened", severity::info,
     "An upstream's circuit breaker has opened: it gets no requests from this instance for a "
     "while."},
    {log_event::paths_lost, "paths_lost", severity::warning,
     "Paths from this instance to upstreams that others reach are cut; requests go there by way of "
     "peers."},
    {log_event::paths_regained, "paths_regained", severity::info,
     "This instance reaches upstreams again whose paths were cut."},
    {log_event::service_unserved, "service_unserved", severity::warning,
     "A service that had usable upstreams has none in this instance's list any more."},
    {log_event::upstream_overflow, "upstream_overflow", severity::warning,
     "An upstream sent more bytes than a response may have, or than there was room for; its "
     "attempt was "
     "ended."},
    {log_event::upstream_unlisted, "upstream_unlisted", severity::info,
     "A peer that the store serves saw that an upstream's entry was removed; it gets no new "
     "requests."},
    {log_event::peer_connected, "peer_connected", severity::info,
     "A peer connection was established."},
    {log_event::peer_lost, "peer_lost", severity::warning, "A peer connection ended."},
    {log_event::peer_rejected, "peer_rejected", severity::warning,
     "A peer sent a frame that is not authentic or is malformed, or a call to it failed: `how` it "
     "ended, after `span_ms`, with `bytes` of the answer received."},
    {log_event::relay_chosen, "relay_chosen", severity::info,
     "This instance gets its peers' notices from another relay, or became a relay itself."},
    {log_event::platform_unreachable, "platform_unreachable", severity::warning,
     "Calls to the platform fail."},
    {log_event::platform_reachable, "platform_reachable", severity::info,
     "Calls to the platform succeed again."},
    {log_event::history_lost, "history_lost", severity::warning,
     "The store compacted the history that a watch needs; all keys are read again."},
    {log_event::store_followed, "store_followed", severity::info,
     "This instance follows the store through its own watch or through a peer."},
    {log_event::store_restored, "store_restored", severity::warning,
     "The store was restored from an older copy: leases are taken anew and all keys are read "
     "again."},
    {log_event::content_differs, "content_differs", severity::warning,
     "A peer that follows the store up to the same revision holds other content: the store is read "
     "again."},
    {log_event::watch_cut, "watch_cut", severity::info,
     "The connection of a waiting watch was closed; the store answers other calls."},
}};

const log_event_info&
info_of(log_event number) {
  const auto* it = std::find_if(catalogue.begin(), catalogue.end(),
                                [&](const auto& row) { return row.number == number; });
  return it == catalogue.end() ? catalogue.front() : *it;
}

std::string
quoted(const std::string& value) {
  if (!value.empty() && value.find_first_of(" \"=\n\r\t") == std::string::npos) {
    return value;
  }
  std::string text = "\"";
  for (const char c : value) {
    if (c == '"' || c == '\\') {
      text += '\\';
    }
    text += (c == '\n' || c == '\r') ? ' ' : c;
  }
  return text + '"';
}

log_sink&
current_sink() {
  static log_sink sink;
  return sink;
}

void
write_line(log_event number, std::span<const log_field> fields) {
  const std::string line = format_log_line(number, fields);
  if (current_sink()) {
    current_sink()(info_of(number).level, line);
    return;
  }
  switch (info_of(number).level) {
  case severity::info:
    LOG(INFO) << line;
    break;
  case severity::warning:
    LOG(WARNING) << line;
    break;
  case severity::error:
    LOG(ERROR) << line;
    break;
  }
}

} // namespace

void
set_log_sink(log_sink sink) {
  current_sink() = std::move(sink);
}

std::span<const log_event_info>
log_catalogue() {
  return catalogue;
}

std::string
format_log_line(log_event number, std::span<const log_field> fields) {
  const log_event_info& info = info_of(number);
  std::string line = "E" + std::to_string(static_cast<int>(number)) + " ";
  line += info.name;
  for (const auto& it : fields) {
    line += ' ';
    line += it.key;
    line += '=';
    line += quoted(it.value);
  }
  return line;
}

void
log(log_event number, std::initializer_list<log_field> fields) {
  write_line(number, std::span{fields.begin(), fields.size()});
}

void
log(log_event number, std::span<const log_field> fields) {
  write_line(number, fields);
}

void
log(log_event number, const error& ec, std::initializer_list<log_field> fields) {
  std::vector<log_field> all{fields};
  all.push_back({"step", std::string{to_name(ec.at)}});
  all.push_back({"peer", ec.peer});
  all.push_back({"code", std::string{to_name(ec.code)}});
  all.push_back({"message", ec.message});
  write_line(number, all);
}

} // namespace nutmegspur
