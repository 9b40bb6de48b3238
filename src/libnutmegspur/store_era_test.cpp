// Guards against using what a store says after it was restored from an older copy as if it were the
// next part of the same history: reused revision numbers, late replies, and lost deletions.
// labels: P14
#include <nutmegspur/store_era.h>
#include <nutmegspur/upstream_list.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace nutmegspur {
namespace {

using verdict = store_era::verdict;

RC_GTEST_PROP(store_era, positions_sort_by_era_and_then_by_number, ()) {
  const auto era = [] { return *rc::gen::inRange<std::int64_t>(0, 1000); };
  const auto number = [] { return *rc::gen::inRange<std::int64_t>(1, 1LL << 39); };
  const std::pair a{era(), number()};
  const std::pair b{era(), number()};
  const revision at = store_position(a.first, a.second);
  RC_ASSERT(era_of(at) == a.first);
  RC_ASSERT(number_of(at) == a.second);
  RC_ASSERT((at < store_position(b.first, b.second)) == (a < b));
}

TEST(store_era, zero_keeps_its_meaning_in_every_era) {
  EXPECT_EQ(store_position(7, 0), revision{});
  EXPECT_EQ(number_of(revision{}), 0);
}

TEST(store_era, conditions_are_sent_with_the_stores_own_numbers) {
  platform_request request = kv_txn{{{"a", store_position(3, 17)}, {"b", {}}}, {}};
  remove_era(request);
  const auto& conditions = std::get<kv_txn>(request).conditions;
  EXPECT_EQ(conditions[0].modified, revision{17});
  EXPECT_EQ(conditions[1].modified, revision{0});
}

TEST(store_era, a_reply_of_a_new_era_to_an_older_call_is_not_used) {
  store_era era;
  EXPECT_EQ(era.on_reply(0, 1), verdict::usable);
  EXPECT_EQ(era.on_reply(1, 1), verdict::usable);
  EXPECT_EQ(era.on_reply(1, 2), verdict::restored);
  // Calls of before the restore that are answered after it, on this or on a slower connection.
  EXPECT_EQ(era.on_reply(1, 2), verdict::outdated);
  EXPECT_EQ(era.on_reply(1, 1), verdict::outdated);
  EXPECT_EQ(era.on_reply(2, 2), verdict::usable);
}

// Several calls are in progress at the start of a process, and peers that start with it have read
// nothing.
TEST(store_era, the_first_replies_are_all_used) {
  store_era era;
  EXPECT_FALSE(era.on_peer(0));
  EXPECT_EQ(era.known(), std::nullopt);
  EXPECT_EQ(era.on_reply(std::nullopt, 3), verdict::usable);
  EXPECT_EQ(era.on_reply(std::nullopt, 3), verdict::usable);
  EXPECT_FALSE(era.on_peer(0));
  EXPECT_EQ(era.known(), 3);
}

TEST(store_era, two_restores_in_a_row_are_two_eras) {
  store_era era;
  era.on_reply(0, 1);
  EXPECT_EQ(era.on_reply(1, 2), verdict::restored);
  EXPECT_EQ(era.on_reply(2, 4), verdict::restored);
  EXPECT_EQ(era.on_reply(4, 3), verdict::outdated);
  EXPECT_EQ(era.current(), 4);
}

TEST(store_era, a_store_that_states_no_era_stays_in_the_first_one) {
  store_era era;
  EXPECT_EQ(era.on_reply(0, std::nullopt), verdict::usable);
  EXPECT_EQ(era.on_reply(0, std::nullopt), verdict::usable);
  EXPECT_EQ(era.on_reply(0, 1), verdict::restored);
  EXPECT_EQ(era.on_reply(1, std::nullopt), verdict::usable);
}

TEST(store_era, a_peer_that_is_ahead_announces_the_restore) {
  store_era era;
  era.on_reply(0, 1);
  EXPECT_FALSE(era.on_peer(1));
  EXPECT_TRUE(era.on_peer(2));
  EXPECT_FALSE(era.on_peer(2));
  EXPECT_FALSE(era.on_peer(1));
  EXPECT_EQ(era.on_reply(1, 2), verdict::outdated);
}

listed_upstream
entry(std::int64_t started, bool leaving = false) {
  listed_upstream it;
  it.id = upstream_id{"a"};
  it.service = service_id{"s"};
  it.address = "10.0.0.1";
  it.port = 80;
  it.started_ms = started;
  it.leaving = leaving;
  return it;
}

TEST(store_era, a_leaving_upstream_does_not_serve_again_from_the_restored_copy) {
  upstream_list list;
  list.put(entry(5, true), store_position(1, 90));
  EXPECT_EQ(list.put(entry(5), store_position(2, 80)), upstream_change::none);
  EXPECT_EQ(list.usable(upstream_id{"a"}), nullptr);
  EXPECT_EQ(list.put(entry(6), store_position(2, 95)), upstream_change::restarted);
  EXPECT_NE(list.usable(upstream_id{"a"}), nullptr);
}

TEST(store_era, a_removed_upstream_returns_only_when_it_registers_after_the_restore) {
  manual_clock clock;
  upstream_list list;
  list.put(entry(5), store_position(1, 80));
  list.remove(clock.now(), upstream_id{"a"}, store_position(1, 90));
  EXPECT_EQ(list.put(entry(5), store_position(2, 80)), upstream_change::none);
  EXPECT_EQ(list.find(upstream_id{"a"}), nullptr);
  EXPECT_EQ(list.put(entry(5), store_position(2, 91)), upstream_change::added);
}

TEST(store_era, an_earlier_process_of_the_same_id_does_not_return) {
  upstream_list list;
  list.put(entry(6), store_position(1, 90));
  EXPECT_EQ(list.put(entry(5), store_position(2, 80)), upstream_change::none);
  EXPECT_EQ(list.find(upstream_id{"a"})->started_ms, 6);
}

TEST(store_era, upstreams_that_the_copy_lacks_have_time_to_register_again) {
  manual_clock clock;
  upstream_list list;
  list.put(entry(5), store_position(1, 90));
  list.on_store_restored(clock.now());
  EXPECT_EQ(list.remove(clock.now(), upstream_id{"a"}, store_position(2, 85)),
            upstream_change::none);
  EXPECT_NE(list.usable(upstream_id{"a"}), nullptr);
  clock.advance(upstream_list::reregistration_grace);
  EXPECT_EQ(list.expire(clock.now()).size(), 1U);
}

} // namespace
} // namespace nutmegspur
