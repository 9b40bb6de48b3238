// Guards against clock jumps that change the agreed wall-clock time, calibration that does not
// match the samples, and instances that together exceed the shared retry budget.
#include <nutmegspur/engine_calibration.h>
#include <nutmegspur/retry_budget.h>
#include <nutmegspur/wall_clock_vote.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace nutmegspur {
namespace {

TEST(wall_clock_vote, a_jump_of_the_local_clock_is_outvoted) {
  manual_clock clock;
  wall_clock_vote vote;
  const moment before = clock.now();
  vote.on_peer(before, instance_id{"a"}, before.wall);
  vote.on_peer(before, instance_id{"b"}, before.wall + milliseconds{3});
  moment jumped = before.after(seconds{1});
  const wall_time expected = jumped.wall;
  jumped.wall += seconds{2};
  EXPECT_LE(vote.agreed(jumped).wall - expected, milliseconds{3});
  EXPECT_GE(vote.agreed(jumped).wall, expected);
}

TEST(wall_clock_vote, a_peer_with_a_wrong_clock_is_outvoted) {
  manual_clock clock;
  wall_clock_vote vote;
  const moment now = clock.now();
  vote.on_peer(now, instance_id{"a"}, now.wall - seconds{2});
  vote.on_peer(now, instance_id{"b"}, now.wall);
  EXPECT_EQ(vote.agreed(now).wall, now.wall);
}

TEST(engine_calibration, fits_the_line_of_the_samples) {
  engine_calibration line{{0.04, 60}};
  for (int n = 0; n < 60; ++n) {
    const std::uint32_t tokens = 500U * static_cast<std::uint32_t>(n % 8);
    line.add_sample(tokens, 45 + 0.02 * tokens);
  }
  EXPECT_NEAR(line.prefill_millis(1'000), 20, 0.5);
  EXPECT_NEAR(line.fixed_millis(), 45, 1);
}

TEST(engine_calibration, keeps_the_initial_line_until_there_are_enough_samples) {
  engine_calibration line{{0.04, 60}};
  line.add_sample(1'000, 5'000);
  EXPECT_DOUBLE_EQ(line.prefill_millis(1'000), 40);
}

// Regression: questions for the rest of streams that were whole used up the retries of requests
// that had failed.
TEST(retry_budget, what_a_request_can_do_without_leaves_half_to_the_others) {
  manual_clock clock;
  constexpr std::int64_t most = 8'000;
  retry_budget it{{0, 0, most}};
  int spare = 0;
  while (it.take_spare(clock.now())) {
    ++spare;
  }
  EXPECT_EQ(spare, 4);
  int others = 0;
  while (it.take(clock.now())) {
    ++others;
  }
  EXPECT_EQ(others, 4);
}

RC_GTEST_PROP(retry_budget, all_instances_together_stay_within_the_limit, ()) {
  const shared_retry_bound bound{0.2, 54, milliseconds{10'000}};
  const auto instances = *rc::gen::inRange<std::size_t>(1, 12);
  std::vector<retry_budget> budgets(instances, retry_budget{instance_allowance(bound, instances)});
  manual_clock clock;
  clock.advance(seconds{100});
  const auto new_requests = *rc::gen::inRange<std::size_t>(0, 300);
  std::size_t taken = 0;
  for (int tenth = 0; tenth < 100; ++tenth) {
    for (auto& it : budgets) {
      while (it.take(clock.now())) {
        ++taken;
      }
    }
    for (std::size_t n = 0; n < new_requests / 100; ++n) {
      budgets[n % instances].on_new_request();
    }
    clock.advance(milliseconds{100});
  }
  RC_ASSERT(static_cast<double>(taken) <=
            bound.ratio * static_cast<double>(new_requests) + bound.floor);
}

TEST(wall_clock_vote, a_vote_of_several_instances_outvotes_the_local_clock) {
  manual_clock clock;
  wall_clock_vote vote;
  const moment now = clock.now();
  vote.on_peer(now, instance_id{"relay"}, now.wall + seconds{2}, 3);
  EXPECT_EQ(vote.agreed(now).wall, now.wall + seconds{2});
}

} // namespace
} // namespace nutmegspur
