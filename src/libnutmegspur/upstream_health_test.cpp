// Circuit breakers of upstreams.
#include <nutmegspur/upstream_health.h>

#include <gtest/gtest.h>

namespace nutmegspur {
namespace {

const upstream_id one{"u"};

TEST(upstream_health, failures_in_a_row_open_the_breaker_for_a_while) {
  manual_clock clock;
  upstream_health health;
  for (int n = 0; n < upstream_health::failures_to_open; ++n) {
    EXPECT_TRUE(health.allows(clock.now(), one));
    health.on_result(clock.now(), one, attempt_result::failed);
  }
  EXPECT_FALSE(health.allows(clock.now(), one));
  clock.advance(upstream_health::initial_open_time);
  EXPECT_TRUE(health.allows(clock.now(), one));
  health.on_sent(clock.now(), one);
  EXPECT_FALSE(health.allows(clock.now(), one)); // One trial at a time.
  health.on_result(clock.now(), one, attempt_result::answered);
  EXPECT_TRUE(health.allows(clock.now(), one));
}

TEST(upstream_health, a_failed_trial_opens_it_for_longer) {
  manual_clock clock;
  upstream_health health;
  health.on_result(clock.now(), one, attempt_result::unreachable);
  clock.advance(upstream_health::initial_open_time);
  health.on_sent(clock.now(), one);
  health.on_result(clock.now(), one, attempt_result::failed);
  clock.advance(upstream_health::initial_open_time);
  EXPECT_FALSE(health.allows(clock.now(), one));
  clock.advance(upstream_health::initial_open_time);
  EXPECT_TRUE(health.allows(clock.now(), one));
}

TEST(upstream_health, server_errors_that_all_upstreams_give_do_not_open_it) {
  manual_clock clock;
  upstream_health health;
  for (int n = 0; n < 100; ++n) {
    health.on_result(clock.now(), one,
                     n % 7 == 0 ? attempt_result::server_error : attempt_result::answered);
    EXPECT_TRUE(health.allows(clock.now(), one));
  }
}

TEST(upstream_health, half_of_the_requests_failing_opens_it) {
  manual_clock clock;
  upstream_health health;
  bool opened = false;
  for (int n = 0; n < 60 && !opened; ++n) {
    health.on_result(clock.now(), one,
                     n % 2 == 0 ? attempt_result::server_error : attempt_result::answered);
    opened = !health.allows(clock.now(), one);
  }
  EXPECT_TRUE(opened);
}

} // namespace
} // namespace nutmegspur
