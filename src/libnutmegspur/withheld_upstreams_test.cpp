// Guards against new requests to an engine that is changing its stage or to an address that another
// process has taken over, and against notices that never expire because peers keep forwarding them.
// labels: P12
#include <nutmegspur/withheld_upstreams.h>

#include <gtest/gtest.h>

namespace nutmegspur {
namespace {

const upstream_id engine{"e"};

listed_upstream
listed(engine_stage stage) {
  listed_upstream it;
  it.id = engine;
  it.stage = stage;
  return it;
}

wall_time
at(int n) {
  return wall_time{seconds{n}};
}

TEST(withheld_upstreams, an_ordered_engine_is_withheld_until_listed_with_its_new_stage) {
  withheld_upstreams all;
  EXPECT_TRUE(all.add({engine, engine_stage::prefill, at(10)}));
  EXPECT_TRUE(all.withheld(at(5), listed(engine_stage::decode)));
  EXPECT_FALSE(all.withheld(at(5), listed(engine_stage::prefill)));
}

TEST(withheld_upstreams, a_notice_for_an_unexecuted_order_expires) {
  withheld_upstreams all;
  all.add({engine, engine_stage::prefill, at(10)});
  EXPECT_TRUE(all.withheld(at(9), listed(engine_stage::decode)));
  EXPECT_FALSE(all.withheld(at(10), listed(engine_stage::decode)));
  EXPECT_TRUE(all.current(at(10)).empty());
}

// Callers were told the same half a second whatever the upstream waited for.
TEST(withheld_upstreams, each_tells_what_is_known_of_its_return) {
  withheld_upstreams all;
  const auto decoding = listed(engine_stage::decode);
  const auto prefilling = listed(engine_stage::prefill);
  EXPECT_EQ(all.expected_return(at(0), prefilling),
            (upstream_return{engine_stage::prefill, milliseconds{0}}));
  // An order takes 5 s, and then up to `listing_lag` until all instances see it.
  all.add({engine, engine_stage::decode, at(5) + withheld_upstreams::listing_lag});
  EXPECT_EQ(all.expected_return(at(0), prefilling),
            (upstream_return{engine_stage::decode, milliseconds{5'000}}));
  EXPECT_EQ(all.expected_return(at(4), prefilling),
            (upstream_return{engine_stage::decode, milliseconds{1'000}}));
  EXPECT_EQ(all.expected_return(at(5), prefilling),
            (upstream_return{engine_stage::decode, std::nullopt}));
  EXPECT_EQ(all.expected_return(at(5), decoding),
            (upstream_return{engine_stage::decode, milliseconds{0}}));
  EXPECT_EQ(all.expected_return(at(8), prefilling),
            (upstream_return{engine_stage::prefill, milliseconds{0}}));
}

TEST(withheld_upstreams,
     a_notice_without_a_stage_tells_no_time_and_a_leaving_process_never_returns) {
  withheld_upstreams all;
  auto it = listed(engine_stage::decode);
  all.add({engine, engine_stage::none, at(4)});
  EXPECT_EQ(all.expected_return(at(1), it), (upstream_return{engine_stage::decode, std::nullopt}));
  it.started_ms = 7;
  all.add_leaving(at(1), it);
  EXPECT_EQ(all.expected_return(at(2), it), std::nullopt);
  it.started_ms = 8;
  EXPECT_EQ(all.expected_return(at(2), it),
            (upstream_return{engine_stage::decode, milliseconds{0}}));
}

TEST(withheld_upstreams, forwarding_a_notice_back_and_forth_does_not_extend_it) {
  withheld_upstreams one;
  withheld_upstreams other;
  one.add({engine, engine_stage::none, at(10)});
  for (int n = 0; n < 12; ++n) {
    for (const auto& it : one.current(at(n))) {
      other.add(it);
    }
    for (const auto& it : other.current(at(n))) {
      EXPECT_FALSE(one.add(it));
    }
  }
  EXPECT_FALSE(one.withheld(at(10), listed(engine_stage::decode)));
  EXPECT_FALSE(other.withheld(at(10), listed(engine_stage::decode)));
}

TEST(withheld_upstreams, the_notice_that_ends_later_applies) {
  withheld_upstreams all;
  all.add({engine, engine_stage::prefill, at(10)});
  EXPECT_TRUE(all.add({engine, engine_stage::decode, at(20)}));
  EXPECT_FALSE(all.add({engine, engine_stage::prefill, at(10)}));
  EXPECT_TRUE(all.withheld(at(5), listed(engine_stage::prefill)));
  EXPECT_FALSE(all.withheld(at(5), listed(engine_stage::decode)));
}

TEST(withheld_upstreams, a_restarted_process_is_not_withheld) {
  withheld_upstreams all;
  all.add({engine, engine_stage::none, at(10)});
  all.forget(engine);
  EXPECT_FALSE(all.withheld(at(5), listed(engine_stage::decode)));
}

listed_upstream
process(std::int64_t started) {
  listed_upstream it = listed(engine_stage::decode);
  it.started_ms = started;
  return it;
}

TEST(withheld_upstreams, a_process_that_says_it_is_leaving_gets_nothing_whatever_the_list_says) {
  withheld_upstreams all;
  EXPECT_TRUE(all.add_leaving(at(0), process(5)));
  EXPECT_FALSE(all.add_leaving(at(1), process(5)));
  EXPECT_TRUE(all.withheld(at(100), process(5)));
  // It is removed from the list, and an outdated entry lists it again.
  all.on_removed(engine);
  EXPECT_TRUE(all.withheld(at(101), process(5)));
  EXPECT_TRUE(all.leaving(at(101), process(5)));
  EXPECT_FALSE(all.withheld(at(101), process(6)));
}

TEST(withheld_upstreams, peers_are_told_of_a_leaving_process_for_a_while_only) {
  withheld_upstreams all;
  all.add_leaving(at(0), process(5));
  ASSERT_EQ(all.current(at(1)).size(), 1U);
  withheld_upstreams peer;
  EXPECT_TRUE(peer.add(all.current(at(1)).front()));
  EXPECT_TRUE(peer.withheld(at(2), process(5)));
  EXPECT_TRUE(all.current(at(6)).empty());
  EXPECT_TRUE(peer.current(at(6)).empty());
  EXPECT_TRUE(peer.withheld(at(60), process(5)));
}

// Members of a large fleet sent requests to a leaving upstream until their lists showed it, later
// than the platform allows.
TEST(withheld_upstreams, a_leaving_that_the_list_shows_is_told_to_peers) {
  withheld_upstreams relay;
  EXPECT_TRUE(relay.add_listed_leaving(at(0), listed(engine_stage::decode)));
  const auto told = relay.current(at(0));
  ASSERT_EQ(told.size(), 1U);
  withheld_upstreams member;
  member.add(told.front());
  EXPECT_TRUE(member.withheld(at(1), listed(engine_stage::decode)));
  EXPECT_TRUE(member.withheld(at(1), listed(engine_stage::prefill)));
  // The list decides afterwards: the upstream may serve again.
  EXPECT_FALSE(member.withheld(at(5), listed(engine_stage::decode)));
}

// Each relay's own notice extended those of the others.
TEST(withheld_upstreams, a_leaving_that_peers_have_told_is_not_told_again) {
  withheld_upstreams relay;
  relay.add_listed_leaving(at(0), listed(engine_stage::decode));
  withheld_upstreams other;
  other.add(relay.current(at(0)).front());
  EXPECT_FALSE(other.add_listed_leaving(at(2), listed(engine_stage::decode)));
  EXPECT_TRUE(other.add_listed_leaving(at(4), listed(engine_stage::decode)));
}

// The notice of an ordered change of stage hid that the engine was leaving.
TEST(withheld_upstreams, an_ordered_engine_that_leaves_is_withheld_with_any_stage) {
  withheld_upstreams all;
  all.add({engine, engine_stage::prefill, at(3)});
  EXPECT_TRUE(all.add_listed_leaving(at(0), listed(engine_stage::decode)));
  EXPECT_TRUE(all.withheld(at(1), listed(engine_stage::prefill)));
}

} // namespace
} // namespace nutmegspur
