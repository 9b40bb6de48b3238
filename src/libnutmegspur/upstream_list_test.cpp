// The list of upstreams through restarts, stale news and outages of the store.
// labels: P12
#include <nutmegspur/upstream_list.h>

#include <gtest/gtest.h>

namespace nutmegspur {
namespace {

listed_upstream
entry(const std::string& id, std::int64_t started = 1) {
  listed_upstream it;
  it.id = upstream_id{id};
  it.service = service_id{"s"};
  it.address = "10.0.0.1";
  it.port = 80;
  it.started_ms = started;
  return it;
}

TEST(upstream_list, a_leaving_upstream_takes_no_new_work) {
  upstream_list list;
  EXPECT_EQ(list.put(entry("a"), revision{1}), upstream_change::added);
  auto leaving = entry("a");
  leaving.leaving = true;
  EXPECT_EQ(list.put(leaving, revision{2}), upstream_change::leaving);
  EXPECT_EQ(list.usable(upstream_id{"a"}), nullptr);
  EXPECT_TRUE(list.usable_of(service_id{"s"}).empty());
  ASSERT_NE(list.find(upstream_id{"a"}), nullptr);
}

TEST(upstream_list, older_news_changes_nothing) {
  manual_clock clock;
  upstream_list list;
  auto leaving = entry("a");
  leaving.leaving = true;
  list.put(leaving, revision{5});
  EXPECT_EQ(list.put(entry("a"), revision{4}), upstream_change::none);
  EXPECT_EQ(list.usable(upstream_id{"a"}), nullptr);
  EXPECT_EQ(list.remove(clock.now(), upstream_id{"a"}, revision{6}), upstream_change::removed);
  EXPECT_EQ(list.put(entry("a"), revision{5}), upstream_change::none);
  EXPECT_EQ(list.find(upstream_id{"a"}), nullptr);
}

TEST(upstream_list, a_restart_under_the_same_id_is_seen) {
  upstream_list list;
  list.put(entry("a", 1), revision{1});
  EXPECT_EQ(list.put(entry("a", 2), revision{2}), upstream_change::restarted);
}

TEST(upstream_list, entries_that_vanish_with_an_outage_have_time_to_come_back) {
  manual_clock clock;
  upstream_list list;
  list.put(entry("a"), revision{1});
  list.put(entry("b"), revision{1});
  list.set_store_reachable(clock.now(), false);
  clock.advance(seconds{10});
  list.set_store_reachable(clock.now(), true);
  list.remove(clock.now(), upstream_id{"a"}, revision{2});
  list.remove(clock.now(), upstream_id{"b"}, revision{3});
  EXPECT_NE(list.usable(upstream_id{"a"}), nullptr);
  clock.advance(seconds{1});
  list.put(entry("b"), revision{4});
  clock.advance(upstream_list::reregistration_grace);
  const auto gone = list.expire(clock.now());
  ASSERT_EQ(gone.size(), 1U);
  EXPECT_EQ(gone.front(), upstream_id{"a"});
  EXPECT_NE(list.usable(upstream_id{"b"}), nullptr);
}

TEST(upstream_list, a_leaving_entry_that_vanishes_in_an_outage_is_gone_at_once) {
  manual_clock clock;
  upstream_list list;
  auto leaving = entry("a");
  leaving.leaving = true;
  list.put(leaving, revision{1});
  list.set_store_reachable(clock.now(), false);
  EXPECT_EQ(list.remove(clock.now(), upstream_id{"a"}, revision{2}), upstream_change::removed);
}

TEST(upstream_list, a_whole_read_removes_what_it_lacks_and_keeps_what_is_newer) {
  manual_clock clock;
  upstream_list list;
  list.put(entry("a"), revision{1});
  list.put(entry("b"), revision{9});
  const auto gone = list.apply_full_read(clock.now(), {}, revision{5});
  ASSERT_EQ(gone.size(), 1U);
  EXPECT_EQ(gone.front(), upstream_id{"a"});
}

TEST(upstream_list, a_peers_removal_holds_without_the_own_store) {
  manual_clock clock;
  upstream_list list;
  list.put(entry("a"), revision{1});
  list.set_store_reachable(clock.now(), false);
  EXPECT_EQ(list.apply_peer_read({}, revision{5}).size(), 1U);
  EXPECT_EQ(list.find(upstream_id{"a"}), nullptr);
}

TEST(upstream_list, equal_lists_have_equal_hashes_whatever_their_revisions) {
  upstream_list one;
  upstream_list other;
  one.put(entry("a"), revision{1});
  one.put(entry("b"), revision{2});
  other.put(entry("b"), revision{7});
  other.put(entry("a"), revision{8});
  EXPECT_EQ(one.content_hash(), other.content_hash());
  auto leaving = entry("a");
  leaving.leaving = true;
  other.put(leaving, revision{9});
  EXPECT_NE(one.content_hash(), other.content_hash());
}

} // namespace
} // namespace nutmegspur
