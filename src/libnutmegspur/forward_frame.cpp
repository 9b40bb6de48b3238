// Encodes and decodes messages of forwarded requests as msgpack arrays.
#include "msgpack_array.h"

#include <nutmegspur/forward_frame.h>

#include <stdexcept>

namespace nutmegspur {

namespace {

constexpr std::size_t request_elements = 9;
/// Elements of an event; the last one may be missing.
constexpr std::size_t event_elements = 5;
constexpr std::size_t head_elements = 5;

using texts = std::vector<std::pair<std::string, std::string>>;

template <class Packer>
void
pack_head(Packer& out, const http_response_head& head) {
  out.pack_array(head_elements);
  out.pack(head.status);
  out.pack(head.reason);
  out.pack(head.fields.all);
  out.pack(head.keep_alive);
  out.pack(head.close_delimited);
}

http_response_head
read_head(const msgpack::object& from) {
  const auto row = from.as<std::vector<msgpack::object>>();
  http_response_head head;
  if (row.empty()) {
    return head;
  }
  head.status = row.at(0).as<int>();
  head.reason = row.at(1).as<std::string>();
  head.fields.all = row.at(2).as<texts>();
  head.keep_alive = row.at(3).as<bool>();
  head.close_delimited = row.at(4).as<bool>();
  return head;
}

forward_event
read_event(const msgpack::object& from) {
  const auto row = from.as<std::vector<msgpack::object>>();
  if (row.size() != event_elements && row.size() + 1 != event_elements) {
    throw std::invalid_argument("wrong element count");
  }
  const auto step = from_name<forward_step>(row[0].as<std::string>());
  if (!step) {
    throw std::invalid_argument("unknown step");
  }
  auto tail = std::optional{response_tail::nothing};
  if (row.size() == event_elements) {
    tail = from_name<response_tail>(row[4].as<std::string>());
  }
  if (!tail) {
    throw std::invalid_argument("unknown tail");
  }
  return {*step, read_head(row[1]), row[2].as<std::string>(), row[3].as<bool>(), *tail};
}

tl::unexpected<error>
bad_message(const std::string& why) {
  return fail({error_code::invalid_argument, step::peer_call, "", "forwarded response: " + why});
}

} // namespace

std::string
pack_forward_request(const forward_request& it) {
  msgpack::sbuffer buf;
  msgpack::packer<msgpack::sbuffer> out{buf};
  out.pack_array(request_elements);
  out.pack(it.upstream.value);
  out.pack(it.started_ms);
  out.pack(it.not_after.time_since_epoch().count());
  out.pack(it.limit.count());
  out.pack(it.request_id);
  out.pack(it.no_body);
  out.pack(it.counts_as_run);
  out.pack_array(static_cast<std::uint32_t>(blame_kinds.size()));
  for (const auto kind : blame_kinds) {
    out.pack(it.suspects.of(kind));
  }
  out.pack(it.bytes);
  return {buf.data(), buf.size()};
}

result<forward_request>
unpack_forward_request(std::string_view bytes) {
  return pvt::unpack_array<forward_request>(bytes, request_elements, [](const auto& row) {
    forward_request it;
    it.upstream = upstream_id{row.at(0).template as<std::string>()};
    it.started_ms = row.at(1).template as<std::int64_t>();
    it.not_after = wall_time{microseconds{row.at(2).template as<std::int64_t>()}};
    it.limit = milliseconds{row.at(3).template as<std::int64_t>()};
    it.request_id = row.at(4).template as<std::string>();
    it.no_body = row.at(5).template as<bool>();
    it.counts_as_run = row.at(6).template as<bool>();
    const auto suspects = row.at(7).template as<std::vector<part_ids>>();
    for (std::size_t n = 0; n < blame_kinds.size(); ++n) {
      it.suspects.of(blame_kinds.at(n)) = suspects.at(n);
    }
    it.bytes = row.at(8).template as<std::string>();
    return it;
  });
}

std::string
pack_forward_event(const forward_event& it) {
  msgpack::sbuffer buf;
  msgpack::packer<msgpack::sbuffer> out{buf};
  // Instances of earlier builds know no tail; without one they can read the message.
  const bool has_tail = it.tail != response_tail::nothing;
  out.pack_array(event_elements - (has_tail ? 0 : 1));
  out.pack(std::string{to_name(it.step)});
  if (it.step == forward_step::head) {
    pack_head(out, it.head);
  } else {
    out.pack_array(0);
  }
  out.pack(it.bytes);
  out.pack(it.path_known);
  if (has_tail) {
    out.pack(std::string{to_name(it.tail)});
  }
  return {buf.data(), buf.size()};
}

struct forward_reader::buffer {
  msgpack::unpacker unpacker;
};

forward_reader::forward_reader() : buffer_(std::make_unique<buffer>()) {}

forward_reader::~forward_reader() = default;

void
forward_reader::add(std::string_view bytes) {
  auto& to = buffer_->unpacker;
  to.reserve_buffer(bytes.size());
  std::copy(bytes.begin(), bytes.end(), to.buffer());
  to.buffer_consumed(bytes.size());
}

result<std::optional<forward_event>>
forward_reader::next() {
  // The msgpack library throws on malformed input; convert that to an error.
  try {
    msgpack::object_handle handle;
    if (buffer_->unpacker.next(handle)) {
      return read_event(handle.get());
    }
    if (buffer_->unpacker.nonparsed_size() > max_message_bytes) {
      return bad_message("a message is too long");
    }
    return std::nullopt;
  } catch (const std::exception& ec) {
    return bad_message(ec.what());
  }
}

} // namespace nutmegspur
