// Tests of the timer service.
#include <nutmegspur/timer_service.h>

#include <gtest/gtest.h>

namespace nutmegspur {
namespace {

TEST(timer_service, runs_in_due_order) {
  manual_clock clock;
  timer_service timers;
  std::string order;
  timers.once(clock.now().boot + seconds{2}, [&](const moment&) { order += "b"; });
  timers.once(clock.now().boot + seconds{1}, [&](const moment&) { order += "a"; });
  EXPECT_EQ(timers.run_due(clock.now()), 0U);
  clock.advance(seconds{3});
  EXPECT_EQ(timers.run_due(clock.now()), 2U);
  EXPECT_EQ(order, "ab");
  EXPECT_FALSE(timers.next_due().has_value());
}

TEST(timer_service, skips_missed_periods) {
  manual_clock clock;
  timer_service timers;
  int calls = 0;
  const timer_id id = timers.every(clock.now().boot, seconds{1}, [&](const moment&) { ++calls; });
  clock.advance(seconds{10});
  timers.run_due(clock.now());
  EXPECT_EQ(calls, 1);
  clock.advance(seconds{1});
  timers.run_due(clock.now());
  EXPECT_EQ(calls, 2);
  timers.cancel(id);
  clock.advance(seconds{5});
  timers.run_due(clock.now());
  EXPECT_EQ(calls, 2);
}

TEST(timer_service, a_callback_may_cancel_another_timer_that_is_due) {
  manual_clock clock;
  timer_service timers;
  bool ran = false;
  timer_id second{};
  timers.once(clock.now().boot, [&](const moment&) { timers.cancel(second); });
  second = timers.once(clock.now().boot, [&](const moment&) { ran = true; });
  timers.run_due(clock.now());
  EXPECT_FALSE(ran);
}

} // namespace
} // namespace nutmegspur
