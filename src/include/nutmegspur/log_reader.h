/// \file log_reader.h
/// Reads log lines and traces one request through the logs of all instances, together with the
/// lines about the upstreams and instances that it went through.
#pragma once

#include <nutmegspur/clock.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace nutmegspur {

/// A parsed log line.
struct log_record {
  std::int64_t time_ms = 0; ///< Unix time.
  std::string source;       ///< The instance, or the file that contains the line.
  int number = 0;           ///< Event number, see docs/events.md.
  std::string name;
  std::map<std::string, std::string> fields;

  /// The value of field `key`; empty if the line does not have it.
  [[nodiscard]] std::string field(std::string_view key) const;
};

/// Parses `[source] time_ms=N E<number> <name> key=value ...`. `file` is used as the source if the
/// line names none. Empty if the line has another format.
std::optional<log_record> parse_log_line(std::string_view line, std::string_view file);

/// The log lines that concern one request.
struct request_trace {
  std::vector<log_record> request_lines; ///< Lines that name the request, oldest first.
  std::vector<log_record> related_lines; ///< Lines about its upstreams and instances.
  std::optional<log_record> end;         ///< The line that reports its end, if there is one.
};

/// Lines about an upstream of the request are related if they were written between its last line
/// and this time before its first line.
inline constexpr seconds trace_upstream_lookback{10};
/// The same for lines about an instance.
inline constexpr seconds trace_instance_lookback{30};

/// Collects the lines of request `request`; `records` may be in any order.
request_trace find_request_trace(std::string_view request, const std::vector<log_record>& records);

/// What the lines of a request's streams (E510) say of the end that its caller got, for an
/// operator; empty if no stream was passed on to its end.
std::string stream_end_text(const request_trace& trace);

/// The trace as text for an operator: the lines in the order of their times, then what the final
/// line means and where to look next.
std::string trace_text(std::string_view request, const request_trace& trace);

} // namespace nutmegspur
