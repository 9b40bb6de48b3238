// The stand-in's key-value store: conditions, reads at a revision, compaction and leases.
#include "kv_store.h"

#include <gtest/gtest.h>

namespace nutmegspur::standin {
namespace {

void
put(kv_store& store, const QByteArray& key, const QByteArray& value, std::int64_t lease = 0) {
  store.write({{key, {}, value, lease}});
}

TEST(kv_store, compares_and_swaps_on_the_modification_revision) {
  kv_store store;
  const kv_condition absent{"a", kv_condition::field::modified, '=', 0, {}};
  EXPECT_TRUE(store.holds({absent}));
  put(store, "a", "1");
  EXPECT_EQ(store.revision(), 2);
  EXPECT_FALSE(store.holds({absent}));
  EXPECT_TRUE(store.holds({{"a", kv_condition::field::modified, '=', 2, {}}}));
}

TEST(kv_store, reads_at_a_revision_and_watches_from_one) {
  kv_store store;
  put(store, "a", "1");
  put(store, "a", "2");
  store.write({{"a", {}, std::nullopt, 0}});
  ASSERT_EQ(store.range("a", {}, 2).size(), 1U);
  EXPECT_EQ(*store.range("a", {}, 2).front().value, "1");
  EXPECT_TRUE(store.range("a", {}).empty());
  const auto changes = store.changes(3);
  ASSERT_EQ(changes.size(), 2U);
  EXPECT_EQ(changes[0].modified, 3);
  EXPECT_FALSE(changes[1].value.has_value());
}

TEST(kv_store, compaction_discards_history_but_no_current_pair) {
  kv_store store;
  put(store, "a", "1");
  put(store, "a", "2");
  put(store, "b", "1");
  store.compact(3);
  EXPECT_EQ(store.check_read(2), kv_error::compacted);
  EXPECT_EQ(store.range("a", "c").size(), 2U);
  EXPECT_EQ(store.changes(4).size(), 1U);
}

TEST(kv_store, keys_of_an_expired_lease_are_deleted) {
  kv_store store;
  const auto lease = store.grant(0, 10, 0);
  put(store, "a", "1", lease);
  EXPECT_EQ(store.keep_alive(lease, 5'000), 10);
  store.expire(14'999);
  EXPECT_EQ(store.range("a", {}).size(), 1U);
  store.expire(15'000);
  EXPECT_TRUE(store.range("a", {}).empty());
  EXPECT_EQ(store.keep_alive(lease, 15'001), 0);
  EXPECT_EQ(store.check_write({{"a", {}, QByteArray("2"), lease}}), kv_error::lease_not_found);
}

TEST(kv_store, deleting_a_missing_key_makes_no_revision) {
  kv_store store;
  store.write({{"a", {}, std::nullopt, 0}});
  EXPECT_EQ(store.revision(), 1);
}

} // namespace
} // namespace nutmegspur::standin
