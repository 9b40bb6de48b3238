// Tests of the msgpack encoding of peer messages: messages survive encoding and decoding, and
// random or damaged input is decoded or rejected without a crash or a large allocation.
#include <nutmegspur/peer.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace nutmegspur {
namespace {

std::string
small_text() {
  return *rc::gen::string<std::string>();
}

kv_change
any_change() {
  kv_change it{small_text(), std::nullopt, {*rc::gen::arbitrary<std::int64_t>()}, {}};
  it.modified.value = *rc::gen::arbitrary<std::int64_t>();
  if (*rc::gen::arbitrary<bool>()) {
    it.value = small_text();
  }
  return it;
}

listed_instance
any_listed() {
  listed_instance it;
  it.name = small_text();
  it.kind = *rc::gen::element(instance_kind::entry, instance_kind::engine, instance_kind::service);
  it.zone = zone_id{small_text()};
  it.port = *rc::gen::arbitrary<std::uint16_t>();
  it.leaving = *rc::gen::arbitrary<bool>();
  return it;
}

load_digest_entry
any_load() {
  load_digest_entry it;
  it.upstream = upstream_id{small_text()};
  it.load.waiting_tokens = *rc::gen::arbitrary<std::uint32_t>();
  it.role = *rc::gen::element(engine_role::mixed, engine_role::prefill, engine_role::decode);
  it.age = milliseconds{*rc::gen::arbitrary<std::int32_t>()};
  return it;
}

template <class T>
std::vector<T>
some(T (*make)()) {
  std::vector<T> all(*rc::gen::inRange<std::size_t>(0, 5));
  std::generate(all.begin(), all.end(), make);
  return all;
}

peer_message
any_message() {
  const auto number = *rc::gen::arbitrary<std::uint64_t>();
  switch (*rc::gen::inRange(0, 8)) {
  case 0:
    return peer_hello{instance_id{small_text()}, zone_id{small_text()}, {7}};
  case 1:
    return config_delta{{1},
                        {2},
                        some(any_change),
                        *rc::gen::arbitrary<bool>(),
                        *rc::gen::arbitrary<std::uint32_t>()};
  case 2:
    return config_heartbeat{{3}, {4}, milliseconds{*rc::gen::arbitrary<std::int32_t>()}, {2}};
  case 3:
    return load_digest{
        some(any_load),
        {{upstream_id{small_text()},
          {engine_role::decode, model_id{small_text()}, "v", {small_text(), "adapter"}},
          true,
          milliseconds{9}}}};
  case 4:
    return usage_part{
        instance_id{small_text()}, number, -5, {{team_id{small_text()}, "m", 1, number, 3}}};
  case 5:
    return member_digest{
        {{instance_id{small_text()}, zone_id{"z"}, number, true, "a", 9, false}}, number, true};
  case 6:
    return instance_list_update{true, some(any_listed), {small_text()}};
  default:
    return instance_list_pull{};
  }
}

RC_GTEST_PROP(peer, a_decoded_message_encodes_to_the_same_bytes, ()) {
  const std::string bytes = encode(any_message());
  const auto read = decode_peer_message(bytes);
  RC_ASSERT(read.has_value());
  RC_ASSERT(encode(*read) == bytes);
}

RC_GTEST_PROP(peer, random_bytes_are_decoded_or_rejected, ()) {
  const auto bytes = *rc::gen::container<std::string>(rc::gen::arbitrary<char>());
  const auto read = decode_peer_message(bytes);
  if (read) {
    RC_ASSERT(decode_peer_message(encode(*read)).has_value());
  }
}

RC_GTEST_PROP(peer, a_damaged_message_is_decoded_or_rejected, ()) {
  std::string bytes = encode(any_message());
  const auto changes = *rc::gen::inRange(1, 4);
  for (int n = 0; n < changes; ++n) {
    bytes[*rc::gen::inRange<std::size_t>(0, bytes.size())] = *rc::gen::arbitrary<char>();
  }
  bytes.resize(*rc::gen::inRange<std::size_t>(0, bytes.size() + 1));
  const auto read = decode_peer_message(bytes);
  if (read) {
    RC_ASSERT(decode_peer_message(encode(*read)).has_value());
  }
}

TEST(peer, trailing_bytes_and_unknown_types_are_rejected) {
  const std::string bytes = encode(peer_message{instance_list_pull{}});
  EXPECT_FALSE(decode_peer_message(bytes + "x").has_value());
  EXPECT_FALSE(decode_peer_message(std::string("\x92\x63\x90", 3)).has_value());
  EXPECT_FALSE(decode_peer_message("").has_value());
}

TEST(peer, an_array_header_with_a_huge_size_is_rejected) {
  // An array of two elements: type 1, then the header of an array of 2^32-1 elements that are
  // missing.
  EXPECT_FALSE(decode_peer_message(std::string("\x92\x01\xdd\xff\xff\xff\xff", 7)).has_value());
}

} // namespace
} // namespace nutmegspur
