/// \file response_generator.h
/// Random HTTP/1.1 responses for tests: streams of numbered events and plain bodies, in every
/// framing, with damage to their bytes.
///
/// A `response_case` is drawn and shrunk by rapidcheck; `send` makes its bytes without chance.
#pragma once

#include <nutmegspur/names.h>

#include <rapidcheck.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace nutmegspur::http1 {

/// What ends the body as its sender means it.
enum class sent_framing { chunks, length, connection };

/// What a byte of a response belongs to.
enum class byte_part {
  head,    ///< The status line, and fields that do not frame the body.
  framing, ///< Fields that frame the body, the empty line, and all of the chunked coding but data.
  data,
};

enum class damage_kind {
  flip,   ///< A byte is replaced by another.
  cut,    ///< Bytes are missing.
  repeat, ///< Bytes come twice.
  move,   ///< Bytes come at another place.
  end,    ///< The response ends early.
};

} // namespace nutmegspur::http1

template <> struct nutmegspur::enum_names<nutmegspur::http1::sent_framing> {
  static constexpr std::array<enum_name<http1::sent_framing>, 3> table{{
      {http1::sent_framing::chunks, "chunks"},
      {http1::sent_framing::length, "length"},
      {http1::sent_framing::connection, "connection"},
  }};
};

template <> struct nutmegspur::enum_names<nutmegspur::http1::damage_kind> {
  static constexpr std::array<enum_name<http1::damage_kind>, 5> table{{
      {http1::damage_kind::flip, "flip"},
      {http1::damage_kind::cut, "cut"},
      {http1::damage_kind::repeat, "repeat"},
      {http1::damage_kind::move, "move"},
      {http1::damage_kind::end, "end"},
  }};
};

namespace nutmegspur::http1 {

/// What an upstream means to send.
struct response_shape {
  sent_framing framing = sent_framing::chunks;
  bool event_stream = true; ///< Else a plain body of as many lines.
  bool crlf = false;        ///< Lines of the body end with CR LF rather than LF.
  bool extensions = false;  ///< Chunks have extensions.
  bool close = false;       ///< The head announces the end of the connection.
  unsigned events = 0;
  unsigned first_id = 1;
  /// Sizes of the chunks in turn, from the first one again after the last; a chunk for each event
  /// if empty.
  std::vector<std::size_t> chunks;
};

/// Damage to the bytes of a response. Numbers are used modulo what there is.
struct damage {
  damage_kind kind = damage_kind::flip;
  std::optional<byte_part> target; ///< Of the first byte; any if empty.
  std::size_t at = 0;              ///< Among the bytes of the target.
  std::size_t length = 1;          ///< Bytes that are cut, repeated or moved.
  bool whole_runs = false; ///< Also the rest of the run of bytes of one part that they end in.
  std::size_t to = 0;      ///< Where moved bytes go.
  char value = 0;          ///< What a flipped byte becomes; its lowest bit changes if it is equal.
};

struct response_case {
  response_shape shape;
  std::vector<damage> damages;
  std::vector<std::size_t> reads; ///< Sizes of the reads in turn, as in `response_shape::chunks`.
};

/// Which parts of a response were damaged. Bytes that are inserted touch the part that they are of
/// and, inside of a run of data or of a head, that part.
struct touched_parts {
  bool head = false;
  bool framing = false;
  bool data = false;

  void add(byte_part part);
};

struct sent_response {
  std::vector<std::string> events; ///< As meant; empty for a plain body.
  std::string body;                ///< As meant.
  std::string bytes;               ///< As sent.
  std::vector<byte_part> parts;    ///< Of each of the bytes.
  touched_parts touched;
};

/// The bytes of an undamaged response.
sent_response make_response(const response_shape& shape);

void apply(const damage& it, sent_response& to);

/// The bytes of a response with its damage.
sent_response send(const response_case& it);

/// Cases with `least` to `most` damages.
rc::Gen<response_case> response_cases(std::size_t least, std::size_t most);

/// Bytes as text, for messages of failed tests.
std::string escaped(std::string_view bytes);

/// For messages of failed tests: the shape, the damages and the bytes.
std::string to_text(const response_case& it);

} // namespace nutmegspur::http1
