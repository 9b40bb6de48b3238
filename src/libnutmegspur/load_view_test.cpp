// Open work, own and told by peers.
#include <nutmegspur/load_view.h>

#include <gtest/gtest.h>

namespace nutmegspur {
namespace {

const upstream_id engine{"e"};
const instance_id peer{"p"};

TEST(load_view, a_prompt_counts_until_its_first_token) {
  manual_clock clock;
  load_view view;
  const auto one = view.on_sent(clock.now(), engine, 100);
  view.on_sent(clock.now(), engine, 50);
  EXPECT_DOUBLE_EQ(view.total(clock.now(), engine).backlog_millis, 150);
  view.on_prefilled(clock.now(), one);
  EXPECT_DOUBLE_EQ(view.total(clock.now(), engine).backlog_millis, 50);
  EXPECT_EQ(view.total(clock.now(), engine).open, 2U);
  view.on_ended(clock.now(), one);
  view.on_ended(clock.now(), one);
  EXPECT_EQ(view.total(clock.now(), engine).open, 1U);
}

TEST(load_view, the_prompt_in_front_is_read_on_as_time_passes) {
  manual_clock clock;
  load_view view;
  view.on_sent(clock.now(), engine, 100);
  view.on_sent(clock.now(), engine, 50);
  clock.advance(milliseconds{30});
  EXPECT_DOUBLE_EQ(view.total(clock.now(), engine).backlog_millis, 120);
  clock.advance(seconds{1});
  EXPECT_DOUBLE_EQ(view.total(clock.now(), engine).backlog_millis, 50);
}

TEST(load_view, a_peers_word_counts_for_a_while) {
  manual_clock clock;
  load_view view;
  view.on_peer(clock.now(), peer, {{engine, {3, 200}}});
  EXPECT_EQ(view.total(clock.now(), engine).open, 3U);
  view.on_peer(clock.now(), peer, {});
  EXPECT_EQ(view.total(clock.now(), engine).open, 0U);
  view.on_peer(clock.now(), peer, {{engine, {3, 200}}});
  clock.advance(load_view::peer_lifetime + milliseconds{1});
  EXPECT_EQ(view.total(clock.now(), engine).open, 0U);
}

TEST(load_view, what_a_peer_tells_counts_as_long_as_it_says) {
  manual_clock clock;
  load_view view;
  view.on_peer(clock.now(), peer, {{engine, {3, 200}}}, seconds{3});
  clock.advance(milliseconds{2'900});
  EXPECT_EQ(view.total(clock.now(), engine).open, 3U);
  clock.advance(milliseconds{200});
  EXPECT_EQ(view.total(clock.now(), engine).open, 0U);
}

TEST(load_view, a_relay_passes_on_all_but_the_receivers_own_work) {
  manual_clock clock;
  load_view view;
  const instance_id receiver{"r"};
  view.on_sent(clock.now(), engine, 100);
  view.on_peer(clock.now(), peer, {{engine, {3, 200}}});
  view.on_peer(clock.now(), receiver, {{engine, {5, 400}}, {upstream_id{"f"}, {1, 0}}});
  const auto told =
      view.own_and_peers(clock.now(), [&](const instance_id& id) { return id != receiver; });
  ASSERT_EQ(told.size(), 1U);
  EXPECT_EQ(told[0].load.open, 4U);
  EXPECT_DOUBLE_EQ(told[0].load.backlog_millis, 300);
}

} // namespace
} // namespace nutmegspur
