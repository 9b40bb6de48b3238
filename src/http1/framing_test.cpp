// Messages whose framing is not valid HTTP, read in pieces of several sizes. Guards against a body
// that ends at a place that its sender did not mean as the end.
// labels: P09
#include "message_reader.h"

#include <gtest/gtest.h>

#include <array>
#include <vector>

namespace nutmegspur::http1 {
namespace {

/// What a reader makes of the bytes of a connection that is then closed cleanly.
struct reading {
  bool complete = false; ///< A response with a final status is complete.
  std::string violation;
  std::string body; ///< Of the final response.
  int status = 0;
};

reading
read_response(std::string_view bytes, std::size_t piece) {
  reading it;
  message_reader* self = nullptr;
  message_reader reader{message_reader::kind::response,
                        {[&] { it.status = self->response().status; },
                         [&](std::string_view text) { it.body.append(text); },
                         [&] { it.complete = it.status >= 200; }}};
  self = &reader;
  while (!bytes.empty() && !it.complete) {
    const auto progress = reader.feed(bytes.substr(0, piece));
    if (!progress.violation.empty()) {
      it.violation = progress.violation;
      return it;
    }
    bytes.remove_prefix(progress.consumed);
  }
  if (!it.complete) {
    reader.feed_end();
  }
  return it;
}

struct framing_case {
  const char* name;
  std::string bytes;
  std::string body; ///< Of a response that is valid.
};

constexpr std::array<std::size_t, 4> piece_sizes{1, 2, 7, 1UL << 20};

void
expect_valid(const std::vector<framing_case>& all) {
  for (const auto& it : all) {
    for (const auto piece : piece_sizes) {
      const auto read = read_response(it.bytes, piece);
      EXPECT_TRUE(read.complete) << it.name << " in pieces of " << piece;
      EXPECT_EQ(read.violation, "") << it.name << " in pieces of " << piece;
      EXPECT_EQ(read.body, it.body) << it.name << " in pieces of " << piece;
    }
  }
}

void
expect_malformed(const std::vector<framing_case>& all) {
  for (const auto& it : all) {
    for (const auto piece : piece_sizes) {
      const auto read = read_response(it.bytes, piece);
      EXPECT_FALSE(read.complete) << it.name << " in pieces of " << piece;
      EXPECT_NE(read.violation, "") << it.name << " in pieces of " << piece;
    }
  }
}

const std::string ok = "HTTP/1.1 200 OK\r\n";
const std::string chunked = ok + "Transfer-Encoding: chunked\r\n\r\n";
const std::string chunked_text =
    ok + "Content-Type: text/plain\r\nTransfer-Encoding: chunked\r\n\r\n";
const std::string chunked_events =
    ok + "Content-Type: text/event-stream; charset=utf-8\r\nTransfer-Encoding: chunked\r\n\r\n";

TEST(chunked_framing, all_forms_of_the_grammar_are_accepted) {
  expect_valid({
      {"one chunk", chunked + "2\r\nhi\r\n0\r\n\r\n", "hi"},
      {"digits of both cases", chunked + "a\r\n0123456789\r\nB\r\n0123456789a\r\n0\r\n\r\n",
       "01234567890123456789a"},
      {"leading zeros", chunked + "0002\r\nhi\r\n000\r\n\r\n", "hi"},
      {"extensions", chunked + "2;a;b=c ; d = \"e;\\\"\"\r\nhi\r\n0;last\r\n\r\n", "hi"},
      {"empty body", chunked + "0\r\n\r\n", ""},
      {"line ends as data", chunked + "4\r\n\r\n0\r\r\n0\r\n\r\n", "\r\n0\r"},
      {"trailer of a plain body", chunked_text + "2\r\nhi\r\n0\r\nA: b\r\nC:\r\n\r\n", "hi"},
      {"announced trailer of an event stream",
       ok + "Trailer: Checksum, Server-Timing\r\nContent-Type: text/event-stream\r\n" +
           "Transfer-Encoding: chunked\r\n\r\n4\r\n:hi\n\r\n0\r\nserver-timing: x\r\n\r\n",
       ":hi\n"},
  });
}

// Regression: any bytes were taken for the line ends, so that a stream with a damaged chunk size
// ended as complete before its last event.
TEST(chunked_framing, lines_that_do_not_end_with_cr_lf_are_malformed) {
  expect_malformed({
      {"other bytes after data", chunked + "2\r\nhiXX0\r\n\r\n", ""},
      {"one byte after data", chunked + "2\r\nhi\r0\r\n\r\n", ""},
      {"line feed after data", chunked + "2\r\nhi\n0\r\n\r\n", ""},
      {"data longer than its size", chunked + "1\r\nhi\r\n0\r\n\r\n", ""},
      {"other byte after a size", chunked + "2\rXhi\r\n0\r\n\r\n", ""},
      {"bare line feed after a size", chunked + "2\nhi\r\n0\r\n\r\n", ""},
      {"other byte after the last size", chunked + "2\r\nhi\r\n0\rZ\r\n", ""},
      {"other byte at the end", chunked + "2\r\nhi\r\n0\r\n\rY", ""},
      {"bare line feed at the end", chunked + "2\r\nhi\r\n0\r\n\n", ""},
      {"events after a size of 0", chunked + "4\r\n:hi\n\r\n0\r\nid: 5\ndata: x\n\n\r\n0\r\n\r\n",
       ""},
  });
}

TEST(chunked_framing, size_lines_outside_the_grammar_are_malformed) {
  expect_malformed({
      {"no size", chunked + "\r\nhi\r\n0\r\n\r\n", ""},
      {"extension without a size", chunked + ";a\r\n\r\n", ""},
      {"prefix", chunked + "0x2\r\nhi\r\n0\r\n\r\n", ""},
      {"sign", chunked + "+2\r\nhi\r\n0\r\n\r\n", ""},
      {"two numbers", chunked + "0 2\r\nhi\r\n0\r\n\r\n", ""},
      {"spaces at the end", chunked + "0 \r\n\r\n", ""},
      {"extension without a name", chunked + "0;\r\n\r\n", ""},
      {"value without a name", chunked + "0;=b\r\n\r\n", ""},
      {"open quote", chunked + "0;a=\"b\r\n\r\n", ""},
      {"control character", chunked + "0;a\001\r\n\r\n", ""},
      {"more than 64 bits", chunked + "10000000000000002\r\nhi\r\n0\r\n\r\n", ""},
  });
}

// A damaged chunk size of 0 turns the lines of the next events into trailer fields.
TEST(chunked_framing, events_are_no_trailer) {
  const std::string first = "7\r\n:hi\r\n\r\n\r\n";
  expect_malformed({
      {"event", chunked_events + first + "0\r\nid: 5\r\ndata: x\r\n\r\n", ""},
      {"event of a response without a media type", chunked + first + "0\r\nid: 5\r\n\r\n", ""},
      {"other field of an event", chunked_events + first + "0\r\nversion: 5\r\n\r\n", ""},
      {"field that is not the announced one",
       ok + "Trailer: Checksum\r\nContent-Type: text/event-stream\r\n" +
           "Transfer-Encoding: chunked\r\n\r\n" + first + "0\r\nid: 5\r\n\r\n",
       ""},
  });
}

TEST(chunked_framing, trailers_outside_the_grammar_are_malformed) {
  expect_malformed({
      {"no colon", chunked_text + "0\r\nA\r\n\r\n", ""},
      {"no name", chunked_text + "0\r\n: b\r\n\r\n", ""},
      {"space before the colon", chunked_text + "0\r\nA : b\r\n\r\n", ""},
      {"folded", chunked_text + "0\r\nA: b\r\n c\r\n\r\n", ""},
      {"control character", chunked_text + "0\r\nA: \001\r\n\r\n", ""},
      {"length", chunked_text + "0\r\nContent-Length: 5\r\n\r\n", ""},
      {"coding", chunked_text + "0\r\ntransfer-encoding: chunked\r\n\r\n", ""},
      {"head of the next response", chunked_text + "0\r\nHTTP/1.1 200 OK\r\nA: b\r\n\r\n", ""},
  });
}

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

// An upstream that sends one of these without end does not fill the memory.
TEST(chunked_framing, endless_lines_are_malformed) {
  const std::string much(100UL * 1024, 'a');
  std::string fields;
  while (fields.size() < much.size()) {
    fields += "A: b\r\n";
  }
  expect_malformed({
      {"size", chunked + std::string(much.size(), '0'), ""},
      {"extension", chunked + "2;a=" + much, ""},
      {"trailer name", chunked_text + "0\r\n" + much, ""},
      {"trailer value", chunked_text + "0\r\nA: " + much, ""},
      {"trailer fields", chunked_text + "0\r\n" + fields, ""},
  });
}

const std::string sized = "Content-Length: 2\r\n";

TEST(response_head, usual_forms_are_accepted) {
  expect_valid({
      {"length", ok + sized + "\r\nhi", "hi"},
      {"no reason", "HTTP/1.1 200 \r\n" + sized + "\r\nhi", "hi"},
      {"no reason and no space", "HTTP/1.1 200\r\n" + sized + "\r\nhi", "hi"},
      {"other bytes in the reason", "HTTP/1.1 299 \xC3\xA9t\t\x01!\r\n" + sized + "\r\nhi", "hi"},
      {"HTTP/1.0", "HTTP/1.0 200 OK\r\n" + sized + "\r\nhi", "hi"},
      {"end of the connection", ok + "\r\nhi", "hi"},
      {"spaces around a value", ok + "Content-Length: \t2 \r\nA:\r\nB:b\r\n\r\nhi", "hi"},
      {"coding in capitals", ok + "transfer-encoding:Chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n", "hi"},
      {"after interim ones",
       "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n" + ok + sized +
           "\r\nhi",
       "hi"},
  });
}

// Regression: with these line ends the head, or a field in it, ended elsewhere for http_parser than
// for a strict reader.
TEST(response_head, lines_that_do_not_end_with_cr_lf_are_malformed) {
  expect_malformed({
      {"status line", "HTTP/1.1 200 OK\n" + sized + "\r\nhi", ""},
      {"other byte after the status line", "HTTP/1.1 200 OK\rX" + sized + "\r\nhi", ""},
      {"field", ok + "A: b\n" + sized + "\r\nhi", ""},
      {"carriage return in a field", ok + "A: b\rB: c\r\n" + sized + "\r\nhi", ""},
      {"empty line", ok + sized + "\nhi", ""},
      {"other byte after the empty line", ok + sized + "\r\rhi", ""},
      {"empty line before the head", "\r\n" + ok + sized + "\r\nhi", ""},
  });
}

// Regression: a folded line was a value of its own or a part of the one before, and a name with a
// space was none, so that the body had no length.
TEST(response_head, malformed_fields_are_rejected) {
  expect_malformed({
      {"folded length", ok + "Content-Length:\r\n 2\r\n\r\nhi", ""},
      {"folded coding", ok + "Transfer-Encoding:\r\n chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n", ""},
      {"length in a folded line", ok + "A: b\r\n " + sized + "\r\nhi", ""},
      {"space before the colon", ok + "Content-Length : 2\r\n\r\nhi", ""},
      {"space in a name", ok + "Content- Length: 2\r\n\r\nhi", ""},
      {"no name", ok + ": b\r\n" + sized + "\r\nhi", ""},
      {"no colon", ok + "Content-Length 2\r\n\r\nhi", ""},
      {"NUL", ok + std::string("A: \0\r\n", 6) + sized + "\r\nhi", ""},
  });
}

// Regression: a status of two digits counted as interim to one part and as final to another.
TEST(response_head, malformed_status_lines_are_rejected) {
  expect_malformed({
      {"two digits", "HTTP/1.1 20 OK\r\n" + sized + "\r\nhi", ""},
      {"four digits", "HTTP/1.1 0200 OK\r\n" + sized + "\r\nhi", ""},
      {"below 100", "HTTP/1.1 000 OK\r\n" + sized + "\r\nhi", ""},
      {"two spaces", "HTTP/1.1  200 OK\r\n" + sized + "\r\nhi", ""},
      {"no space", "HTTP/1.1 200OK\r\n" + sized + "\r\nhi", ""},
      {"other version", "HTTP/3.7 200 OK\r\n" + sized + "\r\nhi", ""},
      {"long version", "HTTP/1.11 200 OK\r\n" + sized + "\r\nhi", ""},
      {"NUL", std::string("HTTP/1.1 200 O\0\r\n", 17) + sized + "\r\nhi", ""},
  });
}

// Regression: with a coding that is not known, the framing of the chunks was passed on as the body,
// or the body of another coding as if it had none.
TEST(response_head, framing_that_is_ambiguous_is_malformed) {
  const std::string chunks = "\r\n2\r\nhi\r\n0\r\n\r\n";
  expect_malformed({
      {"identity", ok + "Transfer-Encoding: identity\r\n\r\nhi", ""},
      {"empty coding", ok + "Transfer-Encoding:\r\n\r\nhi", ""},
      {"coding before chunks", ok + "Transfer-Encoding: gzip, chunked\r\n" + chunks, ""},
      {"coding after chunks", ok + "Transfer-Encoding: chunked, gzip\r\n" + chunks, ""},
      {"chunks twice", ok + "Transfer-Encoding: chunked, chunked\r\n" + chunks, ""},
      {"chunks in two fields",
       ok + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n" + chunks, ""},
      {"two codings", ok + "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n" + chunks,
       ""},
      {"name that begins like the coding",
       ok + "Transfer-Encoding: chunked\r\nTransfer-Encodings: none\r\n" + chunks, ""},
      {"damaged coding", ok + "Transfer-Encoding: dhunked\r\n" + chunks, ""},
      {"parameter", ok + "Transfer-Encoding: chunked;q=1\r\n" + chunks, ""},
      {"HTTP/1.0", "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n" + chunks, ""},
      {"length and chunks", ok + sized + "Transfer-Encoding: chunked\r\n" + chunks, ""},
      {"chunks and length", ok + "Transfer-Encoding: chunked\r\n" + sized + chunks, ""},
      {"two lengths", ok + "Content-Length: 1\r\n" + sized + "\r\nhi", ""},
      {"list of lengths", ok + "Content-Length: 2, 2\r\n\r\nhi", ""},
      {"empty length", ok + "Content-Length:\r\n\r\nhi", ""},
      {"sign", ok + "Content-Length: +2\r\n\r\nhi", ""},
  });
}

// Regression: the reader waited for the body of a response that has none, until the deadline.
TEST(response_head, responses_that_have_no_body_end_with_their_head) {
  expect_valid({
      {"304 with a length", "HTTP/1.1 304 Not Modified\r\nContent-Length: 500\r\n\r\n", ""},
      {"304 with chunks", "HTTP/1.1 304 Not Modified\r\nTransfer-Encoding: chunked\r\n\r\n", ""},
      {"204", "HTTP/1.1 204 No Content\r\n\r\n", ""},
      {"204 with the length 0", "HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n", ""},
  });
}

// Regression: the head of the final response was read as the body of an interim one.
TEST(response_head, body_of_a_status_that_has_none_is_malformed) {
  const std::string final_response = ok + sized + "\r\nhi";
  const std::string chunks = "\r\n2\r\nhi\r\n0\r\n\r\n";
  expect_malformed({
      {"interim with a length", "HTTP/1.1 100 Continue\r\n" + sized + "\r\n" + final_response, ""},
      {"interim with chunks",
       "HTTP/1.1 103 Early Hints\r\nTransfer-Encoding: chunked\r\n" + chunks + final_response, ""},
      {"204 with a length", "HTTP/1.1 204 No Content\r\n" + sized + "\r\nhi", ""},
      {"204 with chunks", "HTTP/1.1 204 No Content\r\nTransfer-Encoding: chunked\r\n" + chunks, ""},
  });
}

// An upstream that sends one of these without end does not fill the memory.
TEST(response_head, endless_heads_are_malformed) {
  const std::string much(100UL * 1024, 'a');
  std::string fields;
  while (fields.size() < much.size()) {
    fields += "A: b\r\n";
  }
  expect_malformed({
      {"reason", "HTTP/1.1 200 " + much, ""},
      {"name", ok + much, ""},
      {"value", ok + "A: " + much, ""},
      {"fields", ok + fields, ""},
  });
}

} // namespace
} // namespace nutmegspur::http1
