// Shapes of responses, their bytes, and damage.
#include "response_generator.h"

#include <algorithm>
#include <array>
#include <cstdio>

namespace nutmegspur::http1 {

namespace {

void
append(sent_response& to, std::string_view bytes, byte_part part) {
  to.bytes.append(bytes);
  to.parts.insert(to.parts.end(), bytes.size(), part);
}

void
append_chunk(sent_response& to, std::string_view data, bool extension) {
  constexpr std::size_t size_digits = 20;
  std::array<char, size_digits> size{};
  std::snprintf(size.data(), size.size(), "%zx", data.size());
  append(to, size.data(), byte_part::framing);
  append(to, extension ? ";a=b\r\n" : "\r\n", byte_part::framing);
  append(to, data, byte_part::data);
  append(to, "\r\n", byte_part::framing);
}

void
append_chunks(sent_response& to, const response_shape& shape) {
  std::vector<std::size_t> sizes = shape.chunks;
  if (sizes.empty()) {
    std::transform(to.events.begin(), to.events.end(), std::back_inserter(sizes),
                   [](const std::string& it) { return it.size(); });
  }
  const std::string_view body = to.body;
  for (std::size_t at = 0, n = 0; at < body.size(); ++n) {
    const std::string_view data =
        body.substr(at, sizes.empty() ? body.size() : sizes[n % sizes.size()]);
    append_chunk(to, data, shape.extensions);
    at += data.size();
  }
  append(to, "0\r\n\r\n", byte_part::framing);
}

/// The offset of the byte that a damage begins at; nothing if there is no such byte.
std::optional<std::size_t>
offset_of(const damage& it, const sent_response& in) {
  if (!it.target) {
    return in.bytes.empty() ? std::nullopt : std::optional{it.at % in.bytes.size()};
  }
  const auto count =
      static_cast<std::size_t>(std::count(in.parts.begin(), in.parts.end(), *it.target));
  if (count == 0) {
    return std::nullopt;
  }
  std::size_t before = it.at % count;
  for (std::size_t n = 0; n < in.parts.size(); ++n) {
    if (in.parts[n] == *it.target && before-- == 0) {
      return n;
    }
  }
  return std::nullopt;
}

/// The bytes that a damage cuts out, repeats or moves.
struct byte_range {
  std::size_t from = 0;
  std::size_t to = 0;
};

byte_range
range_of(const damage& it, std::size_t from, const sent_response& in) {
  byte_range range{from, std::min(from + std::max<std::size_t>(it.length, 1), in.bytes.size())};
  while (it.whole_runs && range.to < in.bytes.size() &&
         in.parts[range.to] == in.parts[range.to - 1]) {
    ++range.to;
  }
  return range;
}

void
touch(sent_response& in, byte_range range) {
  for (std::size_t n = range.from; n < range.to; ++n) {
    in.touched.add(in.parts[n]);
  }
}

void
remove(sent_response& from, byte_range range) {
  const auto begin = from.parts.begin();
  from.bytes.erase(range.from, range.to - range.from);
  from.parts.erase(begin + static_cast<std::ptrdiff_t>(range.from),
                   begin + static_cast<std::ptrdiff_t>(range.to));
}

void
insert(sent_response& into, std::size_t at, const std::string& bytes,
       const std::vector<byte_part>& parts) {
  if (at > 0 && at < into.parts.size() && into.parts[at - 1] == into.parts[at]) {
    into.touched.add(into.parts[at]);
  }
  into.bytes.insert(at, bytes);
  into.parts.insert(into.parts.begin() + static_cast<std::ptrdiff_t>(at), parts.begin(),
                    parts.end());
}

rc::Gen<std::vector<std::size_t>>
sizes() {
  constexpr std::size_t most = 60;
  return rc::gen::container<std::vector<std::size_t>>(rc::gen::inRange<std::size_t>(1, most));
}

rc::Gen<response_shape>
shapes() {
  constexpr unsigned most_events = 13;
  return rc::gen::build<response_shape>(
      rc::gen::set(&response_shape::framing,
                   rc::gen::weightedElement<sent_framing>({{4, sent_framing::chunks},
                                                           {2, sent_framing::length},
                                                           {1, sent_framing::connection}})),
      rc::gen::set(&response_shape::event_stream,
                   rc::gen::weightedElement<bool>({{4, true}, {1, false}})),
      rc::gen::set(&response_shape::crlf), rc::gen::set(&response_shape::extensions),
      rc::gen::set(&response_shape::close),
      rc::gen::set(&response_shape::events, rc::gen::inRange<unsigned>(0, most_events)),
      rc::gen::set(&response_shape::first_id, rc::gen::inRange<unsigned>(1, most_events)),
      rc::gen::set(&response_shape::chunks,
                   rc::gen::oneOf(rc::gen::just(std::vector<std::size_t>{}), sizes())));
}

rc::Gen<damage>
damages() {
  constexpr std::size_t many = 1'000'000;
  constexpr std::size_t most_bytes = 40;
  // A chunk size that becomes 0 does the most harm.
  const auto values =
      rc::gen::oneOf(rc::gen::arbitrary<char>(), rc::gen::just('0'),
                     rc::gen::element('1', '5', '9', 'a', 'f', '\r', '\n', ':', ';', ',', ' '));
  return rc::gen::build<damage>(
      rc::gen::set(&damage::kind, rc::gen::weightedElement<damage_kind>({{3, damage_kind::flip},
                                                                         {2, damage_kind::cut},
                                                                         {2, damage_kind::repeat},
                                                                         {2, damage_kind::move},
                                                                         {1, damage_kind::end}})),
      rc::gen::set(&damage::target,
                   rc::gen::weightedElement<std::optional<byte_part>>(
                       {{2, std::nullopt}, {3, byte_part::framing}, {1, byte_part::data}})),
      rc::gen::set(&damage::at, rc::gen::inRange<std::size_t>(0, many)),
      rc::gen::set(&damage::length, rc::gen::oneOf(rc::gen::inRange<std::size_t>(1, 6),
                                                   rc::gen::inRange<std::size_t>(1, most_bytes))),
      rc::gen::set(&damage::whole_runs),
      rc::gen::set(&damage::to, rc::gen::inRange<std::size_t>(0, many)),
      rc::gen::set(&damage::value, values));
}

} // namespace

void
touched_parts::add(byte_part part) {
  (part == byte_part::head ? head : part == byte_part::framing ? framing : data) = true;
}

sent_response
make_response(const response_shape& shape) {
  sent_response it;
  const std::string line_end = shape.crlf ? "\r\n" : "\n";
  for (unsigned n = 0; n < shape.events; ++n) {
    const std::string number = std::to_string(shape.first_id + n);
    std::string text = shape.event_stream ? "id: " : "line ";
    text.append(number).append(line_end);
    if (shape.event_stream) {
      text.append("data: token ").append(number).append(line_end).append(line_end);
      it.events.push_back(text);
    }
    it.body += text;
  }
  append(it, "HTTP/1.1 200 OK\r\nId: 7\r\nContent-Type: ", byte_part::head);
  append(it, shape.event_stream ? "text/event-stream\r\n" : "text/plain\r\n", byte_part::head);
  append(it, shape.close ? "Connection: close\r\n" : "", byte_part::head);
  switch (shape.framing) {
  case sent_framing::chunks:
    append(it, "Transfer-Encoding: chunked\r\n\r\n", byte_part::framing);
    append_chunks(it, shape);
    break;
  case sent_framing::length:
    append(it, "Content-Length: " + std::to_string(it.body.size()) + "\r\n\r\n",
           byte_part::framing);
    append(it, it.body, byte_part::data);
    break;
  case sent_framing::connection:
    append(it, "\r\n", byte_part::framing);
    append(it, it.body, byte_part::data);
    break;
  }
  return it;
}

void
apply(const damage& it, sent_response& to) {
  const auto from = offset_of(it, to);
  if (!from) {
    return;
  }
  const byte_range range =
      it.kind == damage_kind::end ? byte_range{*from, to.bytes.size()} : range_of(it, *from, to);
  const std::string bytes = to.bytes.substr(range.from, range.to - range.from);
  const std::vector<byte_part> parts(to.parts.begin() + static_cast<std::ptrdiff_t>(range.from),
                                     to.parts.begin() + static_cast<std::ptrdiff_t>(range.to));
  switch (it.kind) {
  case damage_kind::flip: {
    char& byte = to.bytes[*from];
    byte = byte == it.value ? static_cast<char>(byte ^ 1) : it.value;
    to.touched.add(to.parts[*from]);
    break;
  }
  case damage_kind::cut:
  case damage_kind::end:
    touch(to, range);
    remove(to, range);
    break;
  case damage_kind::repeat:
    touch(to, range);
    insert(to, range.to, bytes, parts);
    break;
  case damage_kind::move:
    touch(to, range);
    remove(to, range);
    insert(to, it.to % (to.bytes.size() + 1), bytes, parts);
    break;
  }
}

sent_response
send(const response_case& it) {
  sent_response response = make_response(it.shape);
  for (const auto& damage : it.damages) {
    apply(damage, response);
  }
  return response;
}

rc::Gen<response_case>
response_cases(std::size_t least, std::size_t most) {
  return rc::gen::build<response_case>(
      rc::gen::set(&response_case::shape, shapes()),
      rc::gen::set(&response_case::damages,
                   rc::gen::mapcat(rc::gen::inRange(least, most + 1),
                                   [](std::size_t n) {
                                     return rc::gen::container<std::vector<damage>>(n, damages());
                                   })),
      rc::gen::set(&response_case::reads,
                   rc::gen::oneOf(rc::gen::just(std::vector<std::size_t>{}), sizes())));
}

std::string
escaped(std::string_view bytes) {
  std::string text;
  for (const char c : bytes) {
    constexpr unsigned char first_printable = 0x20;
    constexpr unsigned char last_printable = 0x7E;
    const auto it = static_cast<unsigned char>(c);
    if (c == '\r') {
      text += "\\r";
    } else if (c == '\n') {
      text += "\\n";
    } else if (it >= first_printable && it <= last_printable) {
      text.push_back(c);
    } else {
      std::array<char, 5> hex{};
      std::snprintf(hex.data(), hex.size(), "\\x%02x", it);
      text += hex.data();
    }
  }
  return text;
}

std::string
to_text(const response_case& it) {
  std::string text{to_name(it.shape.framing)};
  for (const auto& damage : it.damages) {
    text.append(", ").append(to_name(damage.kind));
  }
  return text + ": " + escaped(send(it).bytes);
}

} // namespace nutmegspur::http1
