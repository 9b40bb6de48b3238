// Guards against a reader that crashes, holds bytes without bound, or takes bytes for a complete
// response that a simple parser of whole texts does not: random bytes, and mutated responses with
// several heads in a row.
// labels: P09
#include "message_reader.h"
#include "testing/response_generator.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <array>
#include <charconv>

namespace nutmegspur::http1 {
namespace {

/// Removes the first line and its CR LF from `text`; nothing if it has no such line.
std::optional<std::string_view>
take_line(std::string_view& text) {
  const auto end = text.find_first_of("\r\n");
  if (end == std::string_view::npos || text.substr(end, 2) != "\r\n") {
    return std::nullopt;
  }
  const std::string_view line = text.substr(0, end);
  text.remove_prefix(end + 2);
  return line;
}

/// A size line without its extensions, whose own form is left out.
std::optional<std::size_t>
read_size(std::string_view line) {
  constexpr int hex = 16;
  std::size_t size = 0;
  const auto [end, ec] = std::from_chars(line.data(), line.data() + line.size(), size, hex);
  const bool valid = ec == std::errc{} && (end == line.data() + line.size() || *end == ';' ||
                                           *end == ' ' || *end == '\t');
  return valid ? std::optional{size} : std::nullopt;
}

/// The body of the chunks that `text` begins with; nothing if they are not valid or do not end.
std::optional<std::string>
read_chunks(std::string_view text) {
  std::string body;
  while (const auto line = take_line(text)) {
    const auto size = read_size(*line);
    if (!size || *size > text.size()) {
      return std::nullopt;
    }
    if (*size == 0) {
      auto field = take_line(text);
      while (field && !field->empty() && field->find(':') != std::string_view::npos) {
        field = take_line(text);
      }
      return field && field->empty() ? std::optional{body} : std::nullopt;
    }
    body.append(text.substr(0, *size));
    text.remove_prefix(*size);
    if (!text.starts_with("\r\n")) {
      return std::nullopt;
    }
    text.remove_prefix(2);
  }
  return std::nullopt;
}

/// The head of a response, as far as it tells its end.
struct simple_head {
  int status = 0;
  bool chunked = false;
  std::optional<std::size_t> length;
};

std::optional<simple_head>
read_head(std::string_view& text) {
  constexpr std::string_view version = "HTTP/1.";
  constexpr std::size_t status_at = 9;
  constexpr std::size_t status_digits = 3;
  const auto status_line = take_line(text);
  if (!status_line || !status_line->starts_with(version) ||
      status_line->size() < status_at + status_digits) {
    return std::nullopt;
  }
  simple_head head;
  const char* digits = status_line->data() + status_at;
  std::from_chars(digits, digits + status_digits, head.status);
  while (const auto line = take_line(text)) {
    if (line->empty()) {
      return head;
    }
    std::string field{*line};
    std::transform(field.begin(), field.end(), field.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    head.chunked = head.chunked || field.starts_with("transfer-encoding:");
    if (field.starts_with("content-length:")) {
      const char* number = field.data() + field.find_first_of("0123456789");
      std::size_t length = 0;
      std::from_chars(number, field.data() + field.size(), length);
      head.length = length;
    }
  }
  return std::nullopt;
}

/// The body of the final response that `text` begins with, after interim ones, whose connection is
/// closed after it; nothing if it is not valid or not complete.
std::optional<std::string>
read_simply(std::string_view text) {
  while (const auto head = read_head(text)) {
    constexpr int first_final_status = 200;
    constexpr int no_content = 204;
    constexpr int not_modified = 304;
    if (head->status < first_final_status) {
      continue;
    }
    if (head->status == no_content || head->status == not_modified) {
      return std::string{};
    }
    if (head->chunked) {
      return read_chunks(text);
    }
    if (!head->length) {
      return std::string{text};
    }
    return *head->length <= text.size() ? std::optional{std::string{text.substr(0, *head->length)}}
                                        : std::nullopt;
  }
  return std::nullopt;
}

/// The body that the reader takes for complete.
std::optional<std::string>
read_incrementally(std::string_view bytes, const std::vector<std::size_t>& reads) {
  bool complete = false;
  std::string body;
  message_reader* self = nullptr;
  message_reader reader{message_reader::kind::response,
                        {{},
                         [&](std::string_view piece) { body.append(piece); },
                         [&] { complete = self->response().status >= 200; }}};
  self = &reader;
  for (std::size_t n = 0; !bytes.empty() && !complete; ++n) {
    const auto piece = reads.empty() ? bytes : bytes.substr(0, reads[n % reads.size()]);
    const auto progress = reader.feed(piece);
    if (!progress.violation.empty()) {
      return std::nullopt;
    }
    EXPECT_GT(progress.consumed, 0U);
    EXPECT_LE(progress.consumed, piece.size());
    bytes.remove_prefix(std::max<std::size_t>(progress.consumed, 1));
  }
  if (!complete) {
    reader.feed_end();
  }
  return complete ? std::optional{body} : std::nullopt;
}

/// Whether the reader takes nothing for complete that the simple parser does not.
bool
agrees(std::string_view bytes, const std::vector<std::size_t>& reads) {
  const auto body = read_incrementally(bytes, reads);
  return !body || body == read_simply(bytes);
}

std::string
damaged_text(std::string text) {
  constexpr std::array<std::string_view, 14> pieces{"\r\n",
                                                    "\r\n\r\n",
                                                    "\n",
                                                    "0\r\n",
                                                    "0\r\n\r\n",
                                                    "HTTP/1.1 100 \r\n\r\n",
                                                    "HTTP/1.1 ",
                                                    "304",
                                                    "Content-Length: 3\r\n",
                                                    "Transfer-Encoding: chunked\r\n",
                                                    "1",
                                                    "ffffffff\r\n",
                                                    ";a=\"",
                                                    ": "};
  const auto edits = *rc::gen::inRange(0, 5);
  for (int n = 0; n < edits && !text.empty(); ++n) {
    const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
    if (*rc::gen::arbitrary<bool>()) {
      text.insert(at, *rc::gen::elementOf(pieces));
    } else {
      text.erase(at, *rc::gen::inRange<std::size_t>(0, 8));
    }
  }
  return text;
}

// Found on a reader that left these checks to http_parser.
TEST(reader_fuzz, shortest_inputs_that_were_complete) {
  const std::string head = "HTTP/1.1 200 OK\r\n";
  const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
  for (const auto& bytes : {head + "\n", head + "\ra", chunked + "0\r\n\n", chunked + "0\ra\ra",
                            chunked + "1\r\na010\r\n\r\n", chunked + "0\r\nA:\n\n"}) {
    EXPECT_FALSE(read_incrementally(bytes, {}).has_value()) << escaped(bytes);
  }
}

RC_GTEST_PROP(reader_fuzz, mutated_responses_are_complete_only_if_they_are_valid, ()) {
  for (int n = 0; n < 20; ++n) {
    const response_case it = *response_cases(0, 3);
    const std::string interim = *rc::gen::element<std::string>("", "HTTP/1.1 100 Continue\r\n\r\n");
    const std::string bytes = damaged_text(interim + send(it).bytes);
    if (!agrees(bytes, it.reads)) {
      RC_FAIL(escaped(bytes));
    }
  }
}

RC_GTEST_PROP(reader_fuzz, random_bytes_are_complete_only_if_they_are_valid, ()) {
  const auto start =
      *rc::gen::element<std::string>("", "HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\n\r\n",
                                     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
  for (int n = 0; n < 20; ++n) {
    const std::string bytes = start + *rc::gen::arbitrary<std::string>();
    if (!agrees(bytes, {})) {
      RC_FAIL(escaped(bytes));
    }
  }
}

} // namespace
} // namespace nutmegspur::http1
