// msgpack encoding of peer messages: an array of the type number and an array of the fields.
//
// `message_fields` and `element_fields` list the fields of each aggregate once, in wire order;
// encoding and decoding both iterate over that list.
#include <nutmegspur/peer.h>

#include <msgpack.hpp>

#include <limits>
#include <tuple>
#include <type_traits>

namespace nutmegspur {

namespace {

// Bounds on array sizes and nesting, so that a short message cannot cause a large allocation.
constexpr std::size_t max_elements = 65'536;
constexpr std::size_t max_depth = 12;

// ---------------------------------------------------------------------------------------------
// Fields of the aggregates

template <class T>
auto
message_fields(T& it) {
  using type = std::remove_const_t<T>;
  if constexpr (std::is_same_v<type, peer_hello>) {
    return std::tie(it.sender, it.zone, it.config);
  } else if constexpr (std::is_same_v<type, config_pull>) {
    return std::tie(it.since);
  } else if constexpr (std::is_same_v<type, config_delta>) {
    return std::tie(it.from, it.to, it.changes, it.last_page, it.page);
  } else if constexpr (std::is_same_v<type, config_heartbeat>) {
    return std::tie(it.at, it.highest, it.age, it.known_since);
  } else if constexpr (std::is_same_v<type, load_digest>) {
    return std::tie(it.entries, it.states);
  } else if constexpr (std::is_same_v<type, fairness_digest>) {
    return std::tie(it.sequence, it.entries, it.upward);
  } else if constexpr (std::is_same_v<type, upstream_notice>) {
    return std::tie(it.upstream, it.leaving, it.acknowledges, it.number);
  } else if constexpr (std::is_same_v<type, usage_part>) {
    return std::tie(it.source, it.sequence, it.window_start, it.lines);
  } else if constexpr (std::is_same_v<type, usage_part_ack>) {
    return std::tie(it.source, it.sequence, it.sealed);
  } else if constexpr (std::is_same_v<type, member_digest>) {
    return std::tie(it.entries, it.list_hash, it.subscribes);
  } else if constexpr (std::is_same_v<type, instance_list_update>) {
    return std::tie(it.full, it.changed, it.removed);
  } else {
    static_assert(std::is_same_v<type, instance_list_pull>);
    return std::tie();
  }
}

template <class T>
auto
element_fields(T& it) {
  using type = std::remove_const_t<T>;
  if constexpr (std::is_same_v<type, kv_change>) {
    return std::tie(it.key, it.value, it.created, it.modified);
  } else if constexpr (std::is_same_v<type, load_digest_entry>) {
    return std::tie(it.upstream, it.load, it.role, it.age);
  } else if constexpr (std::is_same_v<type, engine_load>) {
    return std::tie(it.running, it.waiting, it.waiting_tokens, it.free_blocks, it.total_blocks);
  } else if constexpr (std::is_same_v<type, engine_state_entry>) {
    return std::tie(it.upstream, it.state, it.changing, it.age);
  } else if constexpr (std::is_same_v<type, engine_state>) {
    return std::tie(it.role, it.model, it.version, it.adapters);
  } else if constexpr (std::is_same_v<type, team_service_entry>) {
    return std::tie(it.team, it.weighted_tokens_milli, it.waiting);
  } else if constexpr (std::is_same_v<type, usage_line>) {
    return std::tie(it.team, it.subject, it.requests, it.prompt_tokens, it.output_tokens);
  } else if constexpr (std::is_same_v<type, member_entry>) {
    return std::tie(it.instance, it.zone, it.heartbeat, it.leaving, it.address, it.port,
                    it.presumed_dead);
  } else {
    static_assert(std::is_same_v<type, listed_instance>);
    return std::tie(it.name, it.kind, it.zone, it.region, it.address, it.port, it.service,
                    it.leaving);
  }
}

// A type that wraps one member called `value`, such as an identifier or a revision.
template <class T>
concept value_wrapper = requires(T it) {
  it.value;
}

&&!requires(T it) {
  it.key;
};

// ---------------------------------------------------------------------------------------------
// Packing

using packer = msgpack::packer<msgpack::sbuffer>;

template <class Tuple> void pack_fields(packer& to, const Tuple& fields);

template <class T>
void
pack_one(packer& to, const T& it) {
  if constexpr (std::is_enum_v<T>) {
    to.pack(static_cast<std::uint64_t>(it));
  } else if constexpr (std::is_arithmetic_v<T> || std::is_same_v<T, std::string>) {
    to.pack(it);
  } else if constexpr (requires { it.has_value(); }) {
    if (it) {
      pack_one(to, *it);
    } else {
      to.pack_nil();
    }
  } else if constexpr (requires { it.count(); }) {
    to.pack(static_cast<std::int64_t>(it.count()));
  } else if constexpr (requires { it.begin(); }) {
    to.pack_array(static_cast<std::uint32_t>(it.size()));
    for (const auto& element : it) {
      pack_one(to, element);
    }
  } else if constexpr (value_wrapper<T>) {
    to.pack(it.value);
  } else {
    pack_fields(to, element_fields(it));
  }
}

template <class Tuple>
void
pack_fields(packer& to, const Tuple& fields) {
  to.pack_array(static_cast<std::uint32_t>(std::tuple_size_v<Tuple>));
  std::apply([&to](const auto&... field) { (pack_one(to, field), ...); }, fields);
}

// ---------------------------------------------------------------------------------------------
// Reading

template <class Tuple> bool read_fields(const msgpack::object& from, Tuple fields);

template <class T>
bool
read_number(const msgpack::object& from, T& it) {
  if (from.type == msgpack::type::POSITIVE_INTEGER) {
    if (from.via.u64 > static_cast<std::uint64_t>(std::numeric_limits<T>::max())) {
      return false;
    }
    it = static_cast<T>(from.via.u64);
    return true;
  }
  if constexpr (std::is_signed_v<T>) {
    if (from.type == msgpack::type::NEGATIVE_INTEGER) {
      it = static_cast<T>(from.via.i64);
      return from.via.i64 >= static_cast<std::int64_t>(std::numeric_limits<T>::min());
    }
  }
  return false;
}

bool
read_text(const msgpack::object& from, std::string& it) {
  if (from.type != msgpack::type::STR) {
    return false;
  }
  it.assign(from.via.str.ptr, from.via.str.size);
  return true;
}

template <class E>
bool
read_enum(const msgpack::object& from, E& it) {
  std::uint32_t number = 0;
  if (!read_number(from, number) || number >= enum_names<E>::table.size()) {
    return false;
  }
  it = static_cast<E>(number);
  return true;
}

template <class T> bool read_one(const msgpack::object& from, T& it);

template <class T>
bool
read_list(const msgpack::object& from, std::vector<T>& it) {
  if (from.type != msgpack::type::ARRAY) {
    return false;
  }
  it.reserve(from.via.array.size);
  for (std::uint32_t n = 0; n < from.via.array.size; ++n) {
    if (!read_one(from.via.array.ptr[n], it.emplace_back())) {
      return false;
    }
  }
  return true;
}

template <class T>
bool
read_one(const msgpack::object& from, T& it) {
  if constexpr (std::is_same_v<T, bool>) {
    it = from.type == msgpack::type::BOOLEAN && from.via.boolean;
    return from.type == msgpack::type::BOOLEAN;
  } else if constexpr (std::is_enum_v<T>) {
    return read_enum(from, it);
  } else if constexpr (std::is_arithmetic_v<T>) {
    return read_number(from, it);
  } else if constexpr (std::is_same_v<T, std::string>) {
    return read_text(from, it);
  } else if constexpr (requires { it.has_value(); }) {
    return from.is_nil() || read_one(from, it.emplace());
  } else if constexpr (requires { it.count(); }) {
    std::int64_t n = 0;
    const bool read = read_number(from, n);
    it = T{n};
    return read;
  } else if constexpr (requires { it.emplace_back(); }) {
    return read_list(from, it);
  } else if constexpr (value_wrapper<T>) {
    return read_one(from, it.value);
  } else {
    return read_fields(from, element_fields(it));
  }
}

template <class Tuple>
bool
read_fields(const msgpack::object& from, Tuple fields) {
  if (from.type != msgpack::type::ARRAY || from.via.array.size != std::tuple_size_v<Tuple>) {
    return false;
  }
  const msgpack::object* next = from.via.array.ptr;
  return std::apply([&next](auto&... field) { return (read_one(*next++, field) && ...); }, fields);
}

// Decodes `from` as the alternative with index `wanted` of `message`.
template <std::size_t Index = 0>
bool
read_alternative(std::uint32_t wanted, const msgpack::object& from, peer_message& message) {
  if constexpr (Index < std::variant_size_v<peer_message>) {
    if (wanted == Index) {
      return read_fields(from, message_fields(message.emplace<Index>()));
    }
    return read_alternative<Index + 1>(wanted, from, message);
  }
  return false;
}

tl::unexpected<error>
malformed(const std::string& what) {
  return fail({error_code::invalid_argument, step::peer_call, "", "malformed message: " + what});
}

} // namespace

std::string
encode(const peer_message& message) {
  msgpack::sbuffer buf;
  packer to(buf);
  to.pack_array(2);
  to.pack(static_cast<std::uint64_t>(message.index()));
  std::visit([&to](const auto& it) { pack_fields(to, message_fields(it)); }, message);
  return {buf.data(), buf.size()};
}

result<peer_message>
decode_peer_message(std::string_view bytes) {
  if (bytes.size() > max_peer_frame) {
    return malformed("exceeds the maximum size");
  }
  try {
    const msgpack::unpack_limit limit(max_elements, 0, max_peer_frame, 0, 0, max_depth);
    std::size_t offset = 0;
    const msgpack::object_handle handle =
        msgpack::unpack(bytes.data(), bytes.size(), offset, nullptr, nullptr, limit);
    const msgpack::object& root = handle.get();
    std::uint32_t number = 0;
    if (offset != bytes.size()) {
      return malformed("trailing bytes");
    }
    if (root.type != msgpack::type::ARRAY || root.via.array.size != 2 ||
        !read_number(root.via.array.ptr[0], number)) {
      return malformed("missing message type");
    }
    peer_message message;
    if (!read_alternative(number, root.via.array.ptr[1], message)) {
      return malformed("unknown type or invalid fields: type " + std::to_string(number));
    }
    return message;
  } catch (const std::exception& ec) {
    return malformed(ec.what());
  }
}

} // namespace nutmegspur
