// Guards against sending requests to a failing upstream, and against excluding an upstream for
// errors that occur at all upstreams.
#include <nutmegspur/upstream_health.h>

#include <gtest/gtest.h>

namespace nutmegspur {
namespace {

const upstream_id upstream{"u"};

TEST(upstream_health, consecutive_failures_open_the_breaker_temporarily) {
  manual_clock clock;
  upstream_health health;
  for (int n = 0; n < upstream_health::failures_to_open; ++n) {
    EXPECT_TRUE(health.allows(clock.now(), upstream));
    health.on_result(clock.now(), upstream, attempt_result::failed);
  }
  EXPECT_FALSE(health.allows(clock.now(), upstream));
  clock.advance(upstream_health::initial_open_time);
  EXPECT_TRUE(health.allows(clock.now(), upstream));
  health.on_sent(clock.now(), upstream);
  EXPECT_FALSE(health.allows(clock.now(), upstream)); // One probe at a time.
  health.on_result(clock.now(), upstream, attempt_result::answered);
  EXPECT_TRUE(health.allows(clock.now(), upstream));
}

// Regression: callers that left after their first events had been probes of all engines' breakers,
// and the next requests were refused for up to a second, although the engines served.
TEST(upstream_health, a_probe_whose_caller_left_is_followed_by_another_at_once) {
  manual_clock clock;
  upstream_health health;
  health.on_result(clock.now(), upstream, attempt_result::unreachable);
  clock.advance(upstream_health::initial_open_time);
  health.on_sent(clock.now(), upstream);
  EXPECT_FALSE(health.allows(clock.now(), upstream));
  health.on_abandoned(upstream);
  EXPECT_TRUE(health.allows(clock.now(), upstream));
  health.on_sent(clock.now(), upstream);
  EXPECT_FALSE(health.allows(clock.now(), upstream)); // Still half open.
  health.on_abandoned(upstream_id{"unknown"});
}

TEST(upstream_health, a_failed_probe_opens_the_breaker_for_longer) {
  manual_clock clock;
  upstream_health health;
  health.on_result(clock.now(), upstream, attempt_result::unreachable);
  clock.advance(upstream_health::initial_open_time);
  health.on_sent(clock.now(), upstream);
  health.on_result(clock.now(), upstream, attempt_result::failed);
  clock.advance(upstream_health::initial_open_time);
  EXPECT_FALSE(health.allows(clock.now(), upstream));
  clock.advance(upstream_health::initial_open_time);
  EXPECT_TRUE(health.allows(clock.now(), upstream));
}

TEST(upstream_health, a_moderate_share_of_server_errors_does_not_open_the_breaker) {
  manual_clock clock;
  upstream_health health;
  for (int n = 0; n < 100; ++n) {
    health.on_result(clock.now(), upstream,
                     n % 7 == 0 ? attempt_result::server_error : attempt_result::answered);
    EXPECT_TRUE(health.allows(clock.now(), upstream));
  }
}

TEST(upstream_health, failures_of_half_of_the_requests_open_the_breaker) {
  manual_clock clock;
  upstream_health health;
  bool opened = false;
  for (int n = 0; n < 60 && !opened; ++n) {
    health.on_result(clock.now(), upstream,
                     n % 2 == 0 ? attempt_result::server_error : attempt_result::answered);
    opened = !health.allows(clock.now(), upstream);
  }
  EXPECT_TRUE(opened);
}

} // namespace
} // namespace nutmegspur
