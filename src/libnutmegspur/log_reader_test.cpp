// Tests of parsing log lines and of tracing a request through the logs of several instances.
#include <nutmegspur/event_log.h>
#include <nutmegspur/log_reader.h>

#include <gtest/gtest.h>

namespace nutmegspur {
namespace {

std::vector<log_record>
records(const std::vector<std::string>& lines) {
  std::vector<log_record> all;
  for (const auto& it : lines) {
    if (auto record = parse_log_line(it, "file")) {
      all.push_back(*record);
    }
  }
  return all;
}

TEST(log_reader, parses_the_lines_that_the_log_writes) {
  const std::string line =
      "time_ms=17 " + format_log_line(log_event::request_refused,
                                      std::vector<log_field>{{"request", "9c"},
                                                             {"why", "no \"such\" route=x"},
                                                             {"path", ""},
                                                             {"config", "41"}});
  const auto it = parse_log_line(line, "front-1");
  ASSERT_TRUE(it);
  EXPECT_EQ(it->time_ms, 17);
  EXPECT_EQ(it->source, "front-1");
  EXPECT_EQ(it->number, 500);
  EXPECT_EQ(it->name, "request_refused");
  EXPECT_EQ(it->field("why"), "no \"such\" route=x");
  EXPECT_EQ(it->field("path"), "");
  EXPECT_EQ(it->field("config"), "41");
}

TEST(log_reader, a_source_in_the_line_replaces_the_file_name) {
  EXPECT_EQ(parse_log_line("  0.1 front-2 time_ms=1 E505 request_answered", "f")->source,
            "front-2");
  EXPECT_EQ(parse_log_line("front-3 | time_ms=1 E505 request_answered", "f")->source, "front-3");
}

TEST(log_reader, lines_of_another_format_are_ignored) {
  for (const char* it : {"", "time_ms=", "time_ms=x E500 request_refused", "time_ms=1 500 x",
                         "time_ms=1 E5x0 y", "some other program's line"}) {
    EXPECT_FALSE(parse_log_line(it, "f")) << it;
  }
}

TEST(log_reader, a_trace_has_the_lines_of_all_instances_in_order_of_time) {
  const auto trace =
      find_request_trace("a", records({"two time_ms=30 E505 request_answered request=a upstream=u",
                                       "one time_ms=20 E504 request_placed request=a upstream=u",
                                       "one time_ms=25 E504 request_placed request=b upstream=u"}));
  ASSERT_EQ(trace.request_lines.size(), 2U);
  EXPECT_EQ(trace.request_lines[0].source, "one");
  ASSERT_TRUE(trace.end);
  EXPECT_EQ(trace.end->number, 505);
}

TEST(log_reader, lines_about_its_upstream_are_taken_from_any_instance) {
  const auto trace = find_request_trace(
      "a", records({"holder time_ms=9000 E302 order_sent upstream=u stage=prefill",
                    "holder time_ms=9000 E302 order_sent upstream=other stage=prefill",
                    "holder time_ms=11000 E602 upstream_gone upstream=u",
                    "one time_ms=10000 E504 request_placed request=a upstream=u",
                    "one time_ms=10100 E500 request_refused request=a why=rejected"}));
  ASSERT_EQ(trace.related_lines.size(), 1U);
  EXPECT_EQ(trace.related_lines[0].field("stage"), "prefill");
  EXPECT_NE(trace_text("a", trace).find("changing its stage"), std::string::npos);
}

TEST(log_reader, a_refusal_shows_the_configuration_of_its_instance) {
  const auto trace = find_request_trace(
      "a", records({"one time_ms=1000 E200 config_applied version=7 source=watch",
                    "two time_ms=1000 E200 config_applied version=8 source=watch",
                    "one time_ms=2000 E500 request_refused request=a why=\"no route\" config=7"}));
  ASSERT_EQ(trace.related_lines.size(), 1U);
  EXPECT_EQ(trace.related_lines[0].field("version"), "7");
}

TEST(log_reader, missing_lines_are_reported) {
  EXPECT_NE(trace_text("x", find_request_trace("x", {})).find("no line names request x"),
            std::string::npos);
  const auto trace =
      find_request_trace("a", records({"one time_ms=20 E504 request_placed request=a upstream=u"}));
  EXPECT_FALSE(trace.end);
  EXPECT_NE(trace_text("a", trace).find("no line reports its end"), std::string::npos);
}

// A stream that ended short could not be told from a whole one by its instance's log.
TEST(log_reader, the_end_of_a_stream_is_explained_by_what_its_attempt_saw) {
  const auto text = [](const std::string& fields) {
    return stream_end_text(find_request_trace(
        "a",
        records({"f time_ms=1 E510 stream_ended request=a upstream=u next=retry framing=chunks",
                 "f time_ms=2 E510 stream_ended request=a upstream=v last_id=4 " + fields})));
  };
  EXPECT_EQ(text("next=cut framing=chunks"), "");
  const auto has = [&](const std::string& fields, const std::string& part) {
    return text("next=pass_on " + fields).find(part) != std::string::npos;
  };
  EXPECT_TRUE(has("framing=chunks tail=nothing", "complete by its chunks; last event 4"));
  EXPECT_TRUE(has("framing=connection tail=closed", "its connection's end alone"));
  EXPECT_TRUE(
      has("framing=chunks tail=body", "contradicts the end, or belongs to no request: body"));
  EXPECT_TRUE(has("framing=chunks misplaced=6", "missing, wrong or out of order"));
  EXPECT_TRUE(has("framing=chunks resumed_after=4 events=0", "resumed after event 4, and nothing"));
  EXPECT_FALSE(has("framing=chunks resumed_after=4 events=2", "nothing was left"));
}

} // namespace
} // namespace nutmegspur
