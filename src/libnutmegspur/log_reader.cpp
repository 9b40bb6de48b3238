// Parses log lines and traces one request through them.
#include <nutmegspur/event_log.h>
#include <nutmegspur/log_reader.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <set>

namespace nutmegspur {

namespace {

constexpr std::string_view time_key = "time_ms=";

int
number_of(log_event it) {
  return static_cast<int>(it);
}

std::string_view
trimmed(std::string_view text) {
  // Includes the "|" that may separate the name of the source from its line.
  constexpr std::string_view whitespace = " \t\r\n|";
  const auto from = text.find_first_not_of(whitespace);
  if (from == std::string_view::npos) {
    return {};
  }
  return text.substr(from, text.find_last_not_of(whitespace) - from + 1);
}

std::string_view
last_word(std::string_view text) {
  text = trimmed(text);
  const auto space = text.find_last_of(" \t");
  return space == std::string_view::npos ? text : text.substr(space + 1);
}

template <class Number>
bool
read_number(std::string_view text, Number& to) {
  const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), to);
  return ec == std::errc{} && end == text.data() + text.size();
}

/// Removes the next word from `rest` and returns it.
std::string_view
take_word(std::string_view& rest) {
  rest = trimmed(rest);
  const std::string_view word = rest.substr(0, rest.find(' '));
  rest.remove_prefix(word.size());
  return word;
}

/// Returns the value at the start of `rest`; the inverse of the log's quoting. A quoted value is
/// removed up to its closing quote; an unquoted one stays in `rest` and is skipped by the caller.
std::string
take_value(std::string_view& rest) {
  if (!rest.starts_with('"')) {
    return std::string{rest.substr(0, rest.find(' '))};
  }
  std::string value;
  std::size_t n = 1;
  for (; n < rest.size() && rest[n] != '"'; ++n) {
    n += rest[n] == '\\' && n + 1 < rest.size() ? 1 : 0;
    value += rest[n];
  }
  rest.remove_prefix(std::min(n, rest.size()));
  return value;
}

std::map<std::string, std::string>
read_fields(std::string_view rest) {
  std::map<std::string, std::string> fields;
  while (true) {
    const auto equals = rest.find('=');
    if (equals == std::string_view::npos) {
      return fields;
    }
    const std::string key{last_word(rest.substr(0, equals))};
    rest.remove_prefix(equals + 1);
    fields[key] = take_value(rest);
    const auto space = rest.find(' ');
    rest.remove_prefix(space == std::string_view::npos ? rest.size() : space);
  }
}

/// Explains to an operator what the end of a request means.
struct advice {
  log_event number;
  std::string_view why; ///< Empty for all other reasons.
  std::string_view text;
};

constexpr std::array<advice, 20> advice_table{{
    {log_event::request_answered, "",
     "An upstream's response was forwarded completely. If it was late, compare first_event_ms and "
     "longest_gap_ms with the route's objectives, and expected_ms of E504 with the actual time. "
     "status shows an error of the server itself."},
    {log_event::request_refused, "too_late",
     "No engine was expected to respond in time; expected_ms is the best estimate. If load is the "
     "cause, expected_ms rises at all upstreams; if the fleet shrank, E601 and E602 appear above. "
     "E305 and E306 show how many upstreams were ordered."},
    {log_event::request_refused, "no_upstream",
     "No upstream was usable: none is listed (E602), or all fail (E603) or are withheld (E606)."},
    {log_event::request_refused, "quarantined",
     "Upstreams crashed on this request, its session or a part of its prompt. E508 names it and "
     "the "
     "number of crashes, and E608 the upstreams that ended."},
    {log_event::request_refused, "limited",
     "All usable upstreams state a limit of requests a second, and it is used up. E609 names them; "
     "retry_after_ms is when a permit was promised to the caller."},
    {log_event::request_refused, "rejected",
     "The upstream reported that it did not run the request, and the route allows no other "
     "attempt. E302 and E606 show whether it was changing its stage, E602 whether another process "
     "took over its address."},
    {log_event::request_refused, "unreachable",
     "No connection to an upstream could be opened. E603 names the upstreams, and E602 shows "
     "whether "
     "they had been removed."},
    {log_event::request_refused, "deadline",
     "The deadline passed before the request was sent to an upstream."},
    {log_event::request_refused, "no configuration yet",
     "The process had just started; E100 shows when, and E800 whether it failed to reach the "
     "store."},
    {log_event::request_refused, "stopping",
     "The process was shutting down (E102); another instance would have accepted the request."},
    {log_event::request_refused, "no route",
     "No route of the current configuration matched the host and path. E200 shows since when the "
     "instance had this version; compare it with the version at other instances."},
    {log_event::request_refused, "unknown key",
     "The current configuration does not contain the key. E200 shows since when the instance had "
     "this version, and E202 whether the key was withdrawn."},
    {log_event::request_refused, "",
     "The request was refused before it ran; why gives the reason."},
    {log_event::request_failed, "deadline",
     "No complete response arrived within the route's or the caller's limit (limit_ms of E504). "
     "The "
     "upstream had the request for all this time; E603 lines of other requests at this upstream "
     "show whether it was slow for all of them."},
    {log_event::request_failed, "broken",
     "The connection to the upstream broke after bytes were sent, so the request may have run and "
     "was not retried. E602 or E604 above means that the upstream's process ended."},
    {log_event::request_failed, "timed_out",
     "The upstream sent too little data for too long; it may be unreachable or hung."},
    {log_event::request_failed, "malformed", "The upstream sent a malformed response."},
    {log_event::request_failed, "",
     "The request ended with an error after it may have run; why gives the reason."},
    {log_event::caller_left, "",
     "The caller closed its connection. Compare elapsed_ms with expected_ms of E504 to see whether "
     "it had waited longer than estimated."},
    {log_event::claim_conflict, "", "The idempotency key was already claimed by another request."},
}};

const advice*
advice_for(const log_record& it) {
  for (const auto& row : advice_table) {
    const bool matches = row.why.empty() || row.why == it.field("why");
    if (number_of(row.number) == it.number && matches) {
      return &row;
    }
  }
  return nullptr;
}

bool
ends_request(const log_record& it) {
  return advice_for(it) != nullptr;
}

bool
concerns_instance(int number) {
  // Process, configuration and platform events. Of the peer events only the choice of its relay,
  // because peers connect and disconnect often.
  constexpr int hundred = 100;
  const int group = number / hundred;
  return group == 1 || group == 2 || group == 8 || number == number_of(log_event::relay_chosen);
}

void
append_line(std::string& out, const log_record& it, std::int64_t start_ms) {
  out += "  " + std::to_string(it.time_ms - start_ms) + " ms  " + it.source + "  E" +
         std::to_string(it.number) + " " + it.name;
  for (const auto& [key, value] : it.fields) {
    out += " " + key + "=" + (value.empty() ? "\"\"" : value);
  }
  out += "\n";
}

} // namespace

std::string
log_record::field(std::string_view key) const {
  const auto it = fields.find(std::string{key});
  return it == fields.end() ? std::string{} : it->second;
}

std::optional<log_record>
parse_log_line(std::string_view line, std::string_view file) {
  const auto time_position = line.find(time_key);
  if (time_position == std::string_view::npos) {
    return std::nullopt;
  }
  log_record it;
  const std::string_view source = last_word(line.substr(0, time_position));
  it.source = source.empty() ? file : source;
  std::string_view rest = line.substr(time_position + time_key.size());
  const std::string_view time = take_word(rest);
  const std::string_view number = take_word(rest);
  if (!read_number(time, it.time_ms) || !number.starts_with('E') ||
      !read_number(number.substr(1), it.number)) {
    return std::nullopt;
  }
  it.name = take_word(rest);
  it.fields = read_fields(trimmed(rest));
  return it;
}

request_trace
find_request_trace(std::string_view request, const std::vector<log_record>& records) {
  request_trace trace;
  std::set<std::string> upstreams;
  std::set<std::string> sources;
  for (const auto& it : records) {
    if (it.field("request") != request) {
      continue;
    }
    trace.request_lines.push_back(it);
    sources.insert(it.source);
    upstreams.insert({it.field("upstream"), it.field("reader")});
  }
  upstreams.erase("");
  const auto earlier = [](const auto& one, const auto& other) {
    return one.time_ms < other.time_ms;
  };
  std::stable_sort(trace.request_lines.begin(), trace.request_lines.end(), earlier);
  if (trace.request_lines.empty()) {
    return trace;
  }
  const auto last =
      std::find_if(trace.request_lines.rbegin(), trace.request_lines.rend(), ends_request);
  if (last != trace.request_lines.rend()) {
    trace.end = *last;
  }
  const std::int64_t first_ms = trace.request_lines.front().time_ms;
  const std::int64_t last_ms = trace.request_lines.back().time_ms;
  for (const auto& it : records) {
    const bool concerns_upstream =
        upstreams.contains(it.field("upstream")) &&
        it.time_ms >= first_ms - milliseconds{trace_upstream_lookback}.count();
    const bool concerns_source =
        sources.contains(it.source) && concerns_instance(it.number) &&
        it.time_ms >= first_ms - milliseconds{trace_instance_lookback}.count();
    if (it.time_ms <= last_ms && it.field("request").empty() &&
        (concerns_upstream || concerns_source)) {
      trace.related_lines.push_back(it);
    }
  }
  std::stable_sort(trace.related_lines.begin(), trace.related_lines.end(), earlier);
  return trace;
}

std::string
stream_end_text(const request_trace& trace) {
  const auto last =
      std::find_if(trace.request_lines.rbegin(), trace.request_lines.rend(),
                   [](const auto& it) { return it.number == number_of(log_event::stream_ended); });
  if (last == trace.request_lines.rend() || last->field("next") != "pass_on") {
    return {};
  }
  const auto counted = [&](std::string_view key) {
    const std::string n = last->field(key);
    return !n.empty() && n != "0";
  };
  const std::string tail = last->field("tail");
  std::string out = "the stream was complete by its ";
  out += last->field("framing") == "connection" ? "connection's end alone" : last->field("framing");
  if (counted("misplaced") || counted("ahead") || counted("unnumbered")) {
    out += "; ids of its events are missing, wrong or out of order";
  }
  if (tail == "body" || tail == "other" || tail == "response" || tail == "reset") {
    out += "; what followed contradicts the end, or belongs to no request: " + tail;
  }
  if (const std::string after = last->field("resumed_after"); !after.empty()) {
    out += "; it was resumed after event " + after;
    out += counted("events") ? "" : ", and nothing was left of it";
  }
  return out + "; last event " + last->field("last_id") + "\n";
}

std::string
trace_text(std::string_view request, const request_trace& trace) {
  if (trace.request_lines.empty()) {
    return "no line names request " + std::string{request} + "\n";
  }
  const std::int64_t start_ms = trace.request_lines.front().time_ms;
  std::string out = "request " + std::string{request} +
                    ", first seen at time_ms=" + std::to_string(start_ms) + "\n";
  for (const auto& it : trace.request_lines) {
    append_line(out, it, start_ms);
  }
  if (!trace.related_lines.empty()) {
    out += "related lines of its upstreams and instances:\n";
    for (const auto& it : trace.related_lines) {
      append_line(out, it, start_ms);
    }
  }
  if (!trace.end) {
    return out +
           "no line reports its end: it may still be running, its instance may have ended, or "
           "lines were dropped (E107)\n";
  }
  out += stream_end_text(trace);
  out += "ended by E" + std::to_string(trace.end->number) + " " + trace.end->name + " at " +
         trace.end->source + "\n";
  return out + std::string{advice_for(*trace.end)->text} + "\n";
}

} // namespace nutmegspur
