// Guards against requests to an upstream within the pause that it asked for, and against a pause
// that never ends because its stated time is absurd.
// labels: P12
#include <nutmegspur/upstream_pauses.h>

#include <gtest/gtest.h>

namespace nutmegspur {
namespace {

const upstream_id a{"a"};
const upstream_id b{"b"};

TEST(upstream_pauses, an_upstream_gets_nothing_until_its_pause_ends) {
  manual_clock clock;
  upstream_pauses pauses;
  EXPECT_TRUE(pauses.add(clock.now(), a, milliseconds{1'500}));
  EXPECT_TRUE(pauses.paused(clock.now(), a));
  EXPECT_FALSE(pauses.paused(clock.now(), b));
  clock.advance(milliseconds{1'499});
  EXPECT_TRUE(pauses.paused(clock.now(), a));
  clock.advance(milliseconds{1});
  EXPECT_FALSE(pauses.paused(clock.now(), a));
}

TEST(upstream_pauses, a_later_rejection_extends_a_pause_and_never_shortens_it) {
  manual_clock clock;
  upstream_pauses pauses;
  pauses.add(clock.now(), a, milliseconds{3'000});
  EXPECT_FALSE(pauses.add(clock.now(), a, milliseconds{1'000}));
  clock.advance(milliseconds{2'000});
  EXPECT_TRUE(pauses.paused(clock.now(), a));
  EXPECT_TRUE(pauses.add(clock.now(), a, milliseconds{3'000}));
  clock.advance(milliseconds{2'999});
  EXPECT_TRUE(pauses.paused(clock.now(), a));
}

TEST(upstream_pauses, absurd_times_are_bounded) {
  manual_clock clock;
  upstream_pauses pauses;
  EXPECT_FALSE(pauses.add(clock.now(), a, milliseconds{0}));
  EXPECT_FALSE(pauses.add(clock.now(), a, milliseconds{-5}));
  EXPECT_FALSE(pauses.paused(clock.now(), a));
  pauses.add(clock.now(), a, milliseconds::max());
  clock.advance(upstream_pauses::max_pause);
  EXPECT_FALSE(pauses.paused(clock.now(), a));
}

// Callers are told when the first of several pauses ends; upstream_availability_test has the rest.
TEST(upstream_pauses, each_tells_how_long_its_pause_lasts) {
  manual_clock clock;
  upstream_pauses pauses;
  EXPECT_EQ(pauses.time_left(clock.now(), a), milliseconds{0});
  pauses.add(clock.now(), a, milliseconds{3'000});
  pauses.add(clock.now(), b, milliseconds{1'000});
  EXPECT_EQ(pauses.time_left(clock.now(), a), milliseconds{3'000});
  EXPECT_EQ(pauses.time_left(clock.now(), b), milliseconds{1'000});
  clock.advance(milliseconds{1'000});
  EXPECT_EQ(pauses.time_left(clock.now(), a), milliseconds{2'000});
  EXPECT_EQ(pauses.time_left(clock.now(), b), milliseconds{0});
}

TEST(upstream_pauses, another_process_is_not_paused) {
  manual_clock clock;
  upstream_pauses pauses;
  pauses.add(clock.now(), a, milliseconds{3'000});
  pauses.forget(a);
  EXPECT_FALSE(pauses.paused(clock.now(), a));
}

} // namespace
} // namespace nutmegspur
