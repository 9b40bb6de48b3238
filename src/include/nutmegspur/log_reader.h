/// \file log_reader.h
/// Log lines read back: the way of one request over all instances, and what else they tell of the
/// upstreams and the instances on that way.
#pragma once

#include <nutmegspur/clock.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace nutmegspur {

/// One line of the log of one instance.
struct log_record {
  std::int64_t time_ms = 0; ///< Unix time.
  std::string source;       ///< The instance, or the file that the line stands in.
  int number = 0;           ///< As docs/events.md lists it.
  std::string name;
  std::map<std::string, std::string> fields;

  /// The field's value; empty if the line has none of that name.
  [[nodiscard]] std::string field(std::string_view key) const;
};

/// Reads `[source] time_ms=N E<number> <name> key=value ...`. `file` is the source where the line
/// names none. Empty for a line that is none of ours.
std::optional<log_record> parse_log_line(std::string_view line, std::string_view file);

/// What the log tells of one request.
struct request_trace {
  std::vector<log_record> request_lines; ///< Its own lines, the oldest first.
  std::vector<log_record> related_lines; ///< Of its upstreams and instances, about that time.
  std::optional<log_record> end;         ///< The line that ended it; empty if there is none.
};

/// Lines about an upstream count from so long before the request to its end.
inline constexpr seconds trace_upstream_lookback{10};
/// The same for lines about an instance.
inline constexpr seconds trace_instance_lookback{30};

/// Looks for the request in lines of any order.
request_trace find_request_trace(std::string_view request, const std::vector<log_record>& records);

/// The story for people: the lines in order of time, and what the last one means and where to look
/// next.
std::string trace_text(std::string_view request, const request_trace& trace);

} // namespace nutmegspur
