// Guards against load that is counted after a request or a peer's report has ended, and against
// reporting a peer's own load back to it.
#include <nutmegspur/load_view.h>

#include <gtest/gtest.h>

namespace nutmegspur {
namespace {

const upstream_id engine{"e"};
const instance_id peer{"p"};

TEST(load_view, a_prompt_counts_as_backlog_until_its_first_token) {
  manual_clock clock;
  load_view view;
  const auto first_prompt = view.on_sent(clock.now(), engine, 100);
  view.on_sent(clock.now(), engine, 50);
  EXPECT_DOUBLE_EQ(view.total(clock.now(), engine).backlog_millis, 150);
  view.on_prefilled(clock.now(), first_prompt);
  EXPECT_DOUBLE_EQ(view.total(clock.now(), engine).backlog_millis, 50);
  EXPECT_EQ(view.total(clock.now(), engine).open, 2U);
  view.on_ended(clock.now(), first_prompt);
  view.on_ended(clock.now(), first_prompt);
  EXPECT_EQ(view.total(clock.now(), engine).open, 1U);
}

TEST(load_view, backlog_of_the_first_prompt_shrinks_over_time) {
  manual_clock clock;
  load_view view;
  view.on_sent(clock.now(), engine, 100);
  view.on_sent(clock.now(), engine, 50);
  clock.advance(milliseconds{30});
  EXPECT_DOUBLE_EQ(view.total(clock.now(), engine).backlog_millis, 120);
  clock.advance(seconds{1});
  EXPECT_DOUBLE_EQ(view.total(clock.now(), engine).backlog_millis, 50);
}

TEST(load_view, a_peer_report_replaces_the_last_one_and_expires) {
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

TEST(load_view, a_peer_report_expires_after_its_stated_lifetime) {
  manual_clock clock;
  load_view view;
  view.on_peer(clock.now(), peer, {{engine, {3, 200}}}, seconds{3});
  clock.advance(milliseconds{2'900});
  EXPECT_EQ(view.total(clock.now(), engine).open, 3U);
  clock.advance(milliseconds{200});
  EXPECT_EQ(view.total(clock.now(), engine).open, 0U);
}

TEST(load_view, a_relay_forwards_all_load_except_the_receivers_own) {
  manual_clock clock;
  load_view view;
  const instance_id receiver{"r"};
  view.on_sent(clock.now(), engine, 100);
  view.on_peer(clock.now(), peer, {{engine, {3, 200}}});
  view.on_peer(clock.now(), receiver, {{engine, {5, 400}}, {upstream_id{"f"}, {1, 0}}});
  const auto forwarded =
      view.own_and_peers(clock.now(), [&](const instance_id& id) { return id != receiver; });
  ASSERT_EQ(forwarded.size(), 1U);
  EXPECT_EQ(forwarded[0].load.open, 4U);
  EXPECT_DOUBLE_EQ(forwarded[0].load.backlog_millis, 300);
}

} // namespace
} // namespace nutmegspur
