// Log lines read back, and one request's way told.
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

/// The next word of `rest`, and `rest` without it.
std::string_view
take_word(std::string_view& rest) {
  rest = trimmed(rest);
  const std::string_view word = rest.substr(0, rest.find(' '));
  rest.remove_prefix(word.size());
  return word;
}

/// A value that may be quoted; the inverse of what the log writes.
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

/// What the end of a request means for who looks into it.
struct advice {
  log_event number;
  std::string_view why; ///< Empty for all others.
  std::string_view text;
};

constexpr std::array<advice, 18> advice_table{{
    {log_event::request_answered, "",
     "An upstream's answer was passed on whole. Late: compare first_event_ms and longest_gap_ms "
     "with the route's objectives, and expected_ms of E504 with what came. A server's own error "
     "stands in status."},
    {log_event::request_refused, "too_late",
     "No engine was expected to answer in time: expected_ms is the best of them. Load shows as "
     "expected_ms rising at all upstreams, a smaller fleet as E601 and E602 above, and E305/E306 "
     "say what was ordered."},
    {log_event::request_refused, "no_upstream",
     "No upstream could take it: none is listed (E602), all fail (E603) or are withheld (E606)."},
    {log_event::request_refused, "rejected",
     "The upstream said that it did not run the request, and the route allows no other attempt. "
     "E302 and E606 show whether it was changing its stage, E602 whether another took its "
     "address."},
    {log_event::request_refused, "unreachable",
     "No connection to an upstream could be opened; E603 names them, E602 whether they were gone."},
    {log_event::request_refused, "deadline",
     "The time was up before any upstream had been sent the request."},
    {log_event::request_refused, "no configuration yet",
     "The process had just started: E100 says when. E800 shows whether it reached the store."},
    {log_event::request_refused, "stopping",
     "The process was about to end (E102): another instance would have taken it."},
    {log_event::request_refused, "no route",
     "No route of the configuration in force matched host and path. E200 says since when the "
     "instance had that version; compare it with the version at other instances."},
    {log_event::request_refused, "unknown key",
     "The configuration in force has no such key. E200 says since when the instance had that "
     "version, E202 whether the key was withdrawn."},
    {log_event::request_refused, "", "Refused before it ran; the reason stands in why."},
    {log_event::request_failed, "deadline",
     "No whole answer came in the route's or the caller's time (limit_ms of E504). The upstream "
     "had it all the while: E603 of others there shows whether it was slow for all."},
    {log_event::request_failed, "broken",
     "The upstream's connection broke after bytes were sent, so the request may have run and was "
     "not sent again. E602 or E604 above: the process there ended."},
    {log_event::request_failed, "timed_out",
     "The upstream sent too little for too long; it may be cut off or frozen."},
    {log_event::request_failed, "malformed", "What the upstream sent is no answer."},
    {log_event::request_failed, "",
     "It ended with an error after it may have run; the reason stands in why."},
    {log_event::caller_left, "",
     "The caller closed its connection. elapsed_ms against expected_ms of E504 shows whether it "
     "had waited longer than foreseen."},
    {log_event::claim_conflict, "", "Its idempotency key was already claimed."},
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
  // Process, configuration and platform; of its peers only whom it follows, since they come and go.
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
  const auto mark = line.find(time_key);
  if (mark == std::string_view::npos) {
    return std::nullopt;
  }
  log_record it;
  const std::string_view source = last_word(line.substr(0, mark));
  it.source = source.empty() ? file : source;
  std::string_view rest = line.substr(mark + time_key.size());
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
    out += "its upstreams and instances before that:\n";
    for (const auto& it : trace.related_lines) {
      append_line(out, it, start_ms);
    }
  }
  if (!trace.end) {
    return out + "no line tells how it ended: it may still run, its instance may have ended, or "
                 "lines were dropped (E107)\n";
  }
  out += "ended by E" + std::to_string(trace.end->number) + " " + trace.end->name + " at " +
         trace.end->source + "\n";
  return out + std::string{advice_for(*trace.end)->text} + "\n";
}

} // namespace nutmegspur
