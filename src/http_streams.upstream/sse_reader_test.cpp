// Event streams split at any byte, with and without offsets, and malformed.
// labels: P09
#include "sse_reader.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace nutmegspur::http_streams {
namespace {

const attempt_id attempt{request_id{1}, 1};

QByteArray
token(int offset, const char* text) {
  return "data: {\"x_offset\":" + QByteArray::number(offset) +
         ",\"x_tokens\":1,\"choices\":[{\"text\":\"" + text + "\",\"finish_reason\":null}]}\n\n";
}

TEST(sse_reader, parses_offsets_usage_and_done) {
  sse_reader reader{attempt, 3};
  const auto chunks =
      reader.feed(token(3, "a") + token(4, "b") +
                  "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":9,\"completion_tokens\":2,"
                  "\"prompt_tokens_details\":{\"cached_tokens\":4}}}\r\n\r\ndata: [DONE]\n\n");
  ASSERT_EQ(chunks.size(), 2U);
  EXPECT_EQ(chunks[1].offset, 4U);
  EXPECT_TRUE(reader.done());
  EXPECT_EQ(reader.usage(), (token_usage{9, 2, 4}));
  EXPECT_EQ(reader.end_offset(), 5U);
}

TEST(sse_reader, counts_one_token_per_chunk_without_offsets) {
  sse_reader reader{attempt, 7};
  const auto chunks = reader.feed("data: {\"choices\":[{\"delta\":{\"role\":\"assistant\"}}]}\n\n"
                                  "data: {\"choices\":[{\"delta\":{\"content\":\"x\"}}]}\n\n"
                                  "data: {\"choices\":[{\"delta\":{\"content\":\"y\"},"
                                  "\"finish_reason\":\"stop\"}]}\n\n");
  ASSERT_EQ(chunks.size(), 2U);
  EXPECT_EQ(chunks[0].offset, 7U);
  EXPECT_EQ(chunks[1].offset, 8U);
  EXPECT_EQ(reader.finish_reason(), "stop");
  EXPECT_FALSE(reader.done());
}

TEST(sse_reader, stops_at_malformed_events) {
  for (const char* text : {"data: {\n\n", "data: {\"error\":{\"message\":\"lost\"}}\n\n"}) {
    sse_reader reader{attempt, 0};
    reader.feed(text);
    EXPECT_FALSE(reader.stream_error().empty());
  }
  sse_reader endless{attempt, 0};
  endless.feed(QByteArray(sse_reader::max_event_bytes + 1, 'x'));
  EXPECT_FALSE(endless.stream_error().empty());
}

RC_GTEST_PROP(sse_reader, result_does_not_depend_on_how_input_is_split, ()) {
  const QByteArray text = token(0, "a") + token(1, "b") + ": ping\n\n" + token(2, "c");
  sse_reader reader{attempt, 0};
  std::string all;
  qsizetype at = 0;
  while (at < text.size()) {
    const int n = *rc::gen::inRange(1, 40);
    for (const auto& chunk : reader.feed(text.mid(at, n))) {
      all += chunk.text;
    }
    at += n;
  }
  RC_ASSERT(all == "abc");
}

} // namespace
} // namespace nutmegspur::http_streams
