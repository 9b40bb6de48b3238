// Tests of the messages of forwarded requests: every field survives, replies are read from any
// pieces, and malformed or endless bytes are errors.
#include <nutmegspur/forward_frame.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace nutmegspur {
namespace {

TEST(forward_request, every_field_survives_encoding_and_decoding) {
  forward_request it;
  it.upstream = upstream_id{"i-1"};
  it.started_ms = 1'773'255'867'046;
  it.not_after = wall_time{seconds{77}};
  it.limit = milliseconds{1'500};
  it.request_id = "9c41";
  it.no_body = true;
  it.counts_as_run = false;
  it.suspects.of(blame_kind::part) = {1, 2};
  it.suspects.of(blame_kind::request) = {~0ULL};
  it.bytes = "POST / HTTP/1.1\r\n\r\n" + std::string(1, '\0') + "x";
  const auto read = unpack_forward_request(pack_forward_request(it));
  ASSERT_TRUE(read);
  EXPECT_EQ(read->upstream, it.upstream);
  EXPECT_EQ(read->started_ms, it.started_ms);
  EXPECT_EQ(read->not_after, it.not_after);
  EXPECT_EQ(read->limit, it.limit);
  EXPECT_EQ(read->request_id, it.request_id);
  EXPECT_TRUE(read->no_body);
  EXPECT_FALSE(read->counts_as_run);
  EXPECT_EQ(read->suspects, it.suspects);
  EXPECT_EQ(read->bytes, it.bytes);
}

RC_GTEST_PROP(forward_request, random_bytes_are_an_error, (const std::string& bytes)) {
  RC_ASSERT(!unpack_forward_request(bytes).has_value());
}

// Guards against a message that is lost or read twice where the network divides it.
RC_GTEST_PROP(forward_reader, a_reply_is_read_from_any_pieces, ()) {
  http_response_head head;
  head.status = 200;
  head.reason = "OK";
  head.fields.add("X-Name", "value");
  head.close_delimited = true;
  const auto body = *rc::gen::arbitrary<std::string>();
  const auto tail = *rc::gen::element(response_tail::nothing, response_tail::body);
  const std::string bytes = pack_forward_event({forward_step::sent, {}, {}, false}) +
                            pack_forward_event({forward_step::head, head, {}, false}) +
                            pack_forward_event({forward_step::body, {}, body, false}) +
                            pack_forward_event({forward_step::end, {}, "broken", true, tail});
  forward_reader reader;
  std::vector<forward_event> events;
  for (std::size_t at = 0; at < bytes.size();) {
    const auto n = std::min(*rc::gen::inRange<std::size_t>(1, 40), bytes.size() - at);
    reader.add(std::string_view{bytes}.substr(at, n));
    at += n;
    for (auto event = reader.next(); event && event->has_value(); event = reader.next()) {
      events.push_back(**event);
    }
  }
  RC_ASSERT(events.size() == 4U);
  RC_ASSERT(events[0].step == forward_step::sent);
  RC_ASSERT(events[1].head.status == 200);
  RC_ASSERT(events[1].head.fields.get("x-name") == "value");
  RC_ASSERT(events[1].head.close_delimited);
  RC_ASSERT(events[2].bytes == body);
  RC_ASSERT(events[3].bytes == "broken");
  RC_ASSERT(events[3].path_known);
  RC_ASSERT(events[3].tail == tail);
}

TEST(forward_reader, malformed_or_endless_bytes_are_an_error) {
  forward_reader malformed;
  malformed.add("no message");
  EXPECT_FALSE(malformed.next());
  forward_reader unknown;
  std::string bytes = pack_forward_event({forward_step::end, {}, "broken", true});
  bytes.replace(bytes.find("end"), 3, "odd");
  unknown.add(bytes);
  EXPECT_FALSE(unknown.next());
  // The head of a text of 256 MB, and bytes that never end it.
  forward_reader endless;
  endless.add("\x94\xa4"
              "body"
              "\x90\xdb\x10" +
              std::string(3, '\0'));
  bool failed = false;
  for (std::size_t n = 0; n < 3 * forward_reader::max_message_bytes && !failed; n += 65'536) {
    endless.add(std::string(65'536, 'x'));
    failed = !endless.next();
  }
  EXPECT_TRUE(failed);
}

} // namespace
} // namespace nutmegspur
