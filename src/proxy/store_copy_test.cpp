// Updates of the store copy for a peer: the changes since its position, and the keys that exist.
#include "store_copy.h"

#include <gtest/gtest.h>

namespace nutmegspur::proxy {
namespace {

store_copy
example() {
  store_copy copy;
  copy.store = revision{50};
  copy.config_version = 7;
  copy.config = "{}";
  copy.upstreams = {{"u/old", {"a", revision{10}}}, {"u/new", {"b", revision{40}}}};
  copy.instances = {{"one", {"c", revision{5}}}};
  copy.duties_holder = instance_id{"one"};
  return copy;
}

TEST(store_copy, a_peer_without_a_copy_gets_everything) {
  const auto update = update_since(example(), {});
  EXPECT_EQ(update.config, "{}");
  EXPECT_EQ(update.upstreams.size(), 2U);
  EXPECT_EQ(update.instances.size(), 1U);
  EXPECT_EQ(update.store, revision{50});
}

TEST(store_copy, a_peer_gets_the_changes_and_all_keys) {
  const auto update = update_since(example(), {revision{20}, 7});
  EXPECT_TRUE(update.config.empty());
  ASSERT_EQ(update.upstreams.size(), 1U);
  EXPECT_TRUE(update.upstreams.contains("u/new"));
  EXPECT_TRUE(update.instances.empty());
  EXPECT_EQ(update.upstream_keys, (std::vector<std::string>{"u/new", "u/old"}));
  EXPECT_EQ(update.instance_names, std::vector<std::string>{"one"});
}

TEST(store_copy, an_update_survives_packing) {
  const auto sent = update_since(example(), {});
  const auto read = unpack_store_update(pack_store_update(sent));
  ASSERT_TRUE(read);
  EXPECT_EQ(read->store, sent.store);
  EXPECT_EQ(read->config, sent.config);
  EXPECT_EQ(read->upstreams.at("u/new").value, "b");
  EXPECT_EQ(read->upstreams.at("u/new").modified, revision{40});
  EXPECT_EQ(read->upstream_keys, sent.upstream_keys);
  EXPECT_EQ(read->instance_names, sent.instance_names);
  EXPECT_EQ(read->duties_holder, sent.duties_holder);
}

TEST(store_copy, a_truncated_update_is_an_error) {
  const std::string bytes = pack_store_update(update_since(example(), {}));
  for (std::size_t n = 0; n < bytes.size(); ++n) {
    EXPECT_FALSE(unpack_store_update(bytes.substr(0, n))) << n;
  }
}

TEST(store_copy, the_request_target_carries_the_position) {
  const auto position = parse_update_target(update_target({revision{20}, 7}));
  EXPECT_EQ(position.store, revision{20});
  EXPECT_EQ(position.config_version, 7);
  EXPECT_EQ(parse_update_target(update_path).store, revision{0});
  EXPECT_EQ(parse_update_target("/store-news?store=x").store, revision{0});
}

} // namespace
} // namespace nutmegspur::proxy
