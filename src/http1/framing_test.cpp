// Messages whose framing is not valid HTTP, read in pieces of several sizes. Guards against a body
// that ends at a place that its sender did not mean as the end.
// labels: P09
#include "message_reader.h"

#include <gtest/gtest.h>

#include <array>

namespace nutmegspur::http1 {
namespace {

constexpr std::array<std::size_t, 4> piece_sizes{1, 2, 7, 1UL << 20};

// Regression: the trailer fields of a request became header fields, past all checks of its head.
TEST(chunked_framing, trailer_fields_of_a_request_are_no_header_fields) {
  for (const auto piece : piece_sizes) {
    bool complete = false;
    message_reader reader{message_reader::kind::request, {{}, {}, [&] { complete = true; }}};
    std::string_view bytes = "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
                             "2\r\nhi\r\n0\r\nHost: i\r\nX-Team: b\r\n\r\n";
    while (!complete && !bytes.empty()) {
      const auto progress = reader.feed(bytes.substr(0, piece));
      ASSERT_EQ(progress.violation, "");
      bytes.remove_prefix(progress.consumed);
    }
    ASSERT_TRUE(complete);
    EXPECT_EQ(reader.request().fields.all.size(), 2U);
    EXPECT_EQ(reader.request().fields.count("Host"), 1U);
  }
}

} // namespace
} // namespace nutmegspur::http1
