// Updates of the replica for a peer, as messages. Guards against updates that lose or change what
// they carry, and against damaged ones that are believed.
#include "store_copy.h"

#include <gtest/gtest.h>
#include <msgpack.hpp>

namespace nutmegspur::proxy {
namespace {

store_replica
example() {
  store_replica it;
  it.apply_page({{"u/old", "a", {}, revision{10}}, {"i/one", "c", {}, revision{5}}}, revision{20});
  it.finish_read(revision{20});
  it.apply_changes({{"u/gone", "x", {}, revision{25}},
                    {"u/gone", std::nullopt, {}, revision{30}},
                    {"u/new", "b", {}, revision{40}}},
                   revision{20}, revision{50});
  return it;
}

TEST(store_copy, a_peer_without_a_copy_gets_everything) {
  const auto update = example().update_since({});
  EXPECT_TRUE(update.whole());
  EXPECT_EQ(update.written.size(), 3U);
  EXPECT_EQ(update.store, revision{50});
}

TEST(store_copy, a_peer_gets_the_changes_and_the_removals) {
  const auto update = example().update_since(revision{20});
  EXPECT_FALSE(update.whole());
  ASSERT_EQ(update.written.size(), 1U);
  EXPECT_TRUE(update.written.contains("u/new"));
  EXPECT_EQ(update.removed, (std::map<std::string, revision>{{"u/gone", revision{30}}}));
  EXPECT_EQ(update.store, revision{50});
}

TEST(store_copy, an_update_survives_packing) {
  for (const auto base : {revision{}, revision{20}, revision{60}}) {
    const store_update sent{example().update_since(base), "{}", revision{45}};
    const auto read = unpack_store_update(pack_store_update(sent));
    ASSERT_TRUE(read);
    EXPECT_EQ(read->replica.base, sent.replica.base);
    EXPECT_EQ(read->replica.store, sent.replica.store);
    EXPECT_EQ(read->replica.written, sent.replica.written);
    EXPECT_EQ(read->replica.removed, sent.replica.removed);
    EXPECT_EQ(read->config, "{}");
    EXPECT_EQ(read->final_through, revision{45});
  }
}

TEST(store_copy, a_truncated_update_is_an_error) {
  const std::string bytes =
      pack_store_update({example().update_since(revision{20}), "{}", revision{45}});
  for (std::size_t n = 0; n < bytes.size(); ++n) {
    EXPECT_FALSE(unpack_store_update(bytes.substr(0, n))) << n;
  }
  EXPECT_FALSE(unpack_store_update(std::string_view{"\xdd\xff\xff\xff\xff", 5}));
}

// Instances of the release before must not lose sight of the store while a release is rolled out.
TEST(store_copy, an_earlier_release_gets_the_changes_and_all_keys) {
  const std::string bytes =
      pack_earlier_update(example(), revision{20}, "{}", "u/", "i/", "front-1");
  EXPECT_FALSE(unpack_store_update(bytes)) << "an instance of this release knows the difference";
  const msgpack::object_handle handle = msgpack::unpack(bytes.data(), bytes.size());
  const auto top = handle.get().as<std::vector<msgpack::object>>();
  ASSERT_EQ(top.size(), 8U);
  EXPECT_EQ(top[0].as<int>(), 1);
  EXPECT_EQ(top[1].as<std::int64_t>(), 50);
  EXPECT_EQ(top[2].as<std::string>(), "{}");
  const auto upstreams = top[3].as<std::vector<msgpack::object>>();
  ASSERT_EQ(upstreams.size(), 1U);
  EXPECT_EQ(upstreams[0].as<std::vector<msgpack::object>>()[0].as<std::string>(), "u/new");
  EXPECT_TRUE(top[4].as<std::vector<msgpack::object>>().empty());
  EXPECT_EQ(top[5].as<std::vector<std::string>>(), (std::vector<std::string>{"u/new", "u/old"}));
  EXPECT_EQ(top[6].as<std::vector<std::string>>(), std::vector<std::string>{"one"});
  EXPECT_EQ(top[7].as<std::string>(), "front-1");
}

TEST(store_copy, the_request_target_carries_the_position) {
  const auto position = parse_update_target(update_target({revision{20}, 7}));
  EXPECT_EQ(position.store, revision{20});
  EXPECT_EQ(position.config_version, 7);
  EXPECT_EQ(parse_update_target(update_path).store, revision{0});
  EXPECT_EQ(parse_update_target("/store-update?store=x").store, revision{0});
}

} // namespace
} // namespace nutmegspur::proxy
