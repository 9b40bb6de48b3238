// Fleet sizes and the orders for them. Guards against a zone that has too few upstreams while
// reclaimable ones replace on-demand ones, exceeds its limit, or is sent the same order repeatedly.
#include <nutmegspur/fleet_size.h>

#include <gtest/gtest.h>

namespace nutmegspur {
namespace {

const service_id service{"s"};
const zone_id zone{"z"};

scaling_limits
limits() {
  scaling_limits it;
  it.min_upstreams = 1;
  it.max_upstreams = 12;
  it.reclaimable_price = 0.2;
  return it;
}

TEST(fleet_size, reclaimable_upstreams_fill_the_rest_of_the_limit) {
  const auto wanted = wanted_fleet(limits(), {});
  EXPECT_EQ(wanted.on_demand, 3U);
  EXPECT_EQ(wanted.reclaimable, 9U);
  auto without_reclaimable = limits();
  without_reclaimable.reclaimable_price.reset();
  EXPECT_EQ(wanted_fleet(without_reclaimable, {}).on_demand, 12U);
}

TEST(fleet_size, on_demand_upstreams_are_capped_in_large_zones) {
  auto large = limits();
  large.max_upstreams = 20;
  EXPECT_EQ(wanted_fleet(large, {}).on_demand, 3U);
  EXPECT_EQ(wanted_fleet(large, {}).reclaimable, 17U);
  large.min_upstreams = 5;
  EXPECT_EQ(wanted_fleet(large, {}).on_demand, 5U);
}

TEST(fleet_size, reclaimable_upstreams_start_before_on_demand_ones_are_given_up) {
  manual_clock clock;
  fleet_orders orders{{}};
  auto out = orders.step(clock.now(), service, limits(), {{zone, {6, 0}}});
  ASSERT_EQ(out.size(), 1U);
  EXPECT_TRUE(out[0].reclaimable);
  EXPECT_EQ(out[0].wanted, 6U); // The room left by the on-demand upstreams.
  orders.on_result(clock.now(), out[0], order_result::accepted);
  out = orders.step(clock.now(), service, limits(), {{zone, {6, 6}}});
  ASSERT_EQ(out.size(), 1U);
  EXPECT_FALSE(out[0].reclaimable);
  EXPECT_EQ(out[0].wanted, 3U);
}

TEST(fleet_size, on_demand_upstreams_are_replaced_in_steps) {
  manual_clock clock;
  fleet_policy policy;
  policy.on_demand_share = 0.1;
  fleet_orders orders{policy};
  zone_fleet current{6, 0};
  std::uint32_t min_total = 12;
  bool reclaimable_started = false;
  for (int n = 0; n < 40; ++n) {
    for (const auto& it : orders.step(clock.now(), service, limits(), {{zone, current}})) {
      (it.reclaimable ? current.reclaimable : current.on_demand) = it.wanted;
      orders.on_result(clock.now(), it, order_result::accepted);
      reclaimable_started = reclaimable_started || it.reclaimable;
      EXPECT_LE(current.on_demand + current.reclaimable, limits().max_upstreams);
      min_total = reclaimable_started ? std::min(min_total, current.on_demand + current.reclaimable)
                                      : min_total;
    }
    clock.advance(seconds{1});
  }
  EXPECT_EQ(current.on_demand, 1U);
  EXPECT_EQ(current.reclaimable, 11U);
  EXPECT_GE(min_total, 9U);
}

TEST(fleet_size, an_order_is_not_repeated_while_it_is_in_progress) {
  manual_clock clock;
  fleet_orders orders{{}};
  ASSERT_EQ(orders.step(clock.now(), service, limits(), {{zone, {3, 0}}}).size(), 1U);
  clock.advance(seconds{60});
  EXPECT_TRUE(orders.step(clock.now(), service, limits(), {{zone, {3, 0}}}).empty());
}

TEST(fleet_size, an_unavailable_order_is_repeated_after_a_delay) {
  manual_clock clock;
  fleet_orders orders{{}};
  const auto out = orders.step(clock.now(), service, limits(), {{zone, {3, 0}}});
  ASSERT_EQ(out.size(), 1U);
  orders.on_result(clock.now(), out[0], order_result::unavailable);
  EXPECT_TRUE(orders.step(clock.now(), service, limits(), {{zone, {3, 0}}}).empty());
  clock.advance(fleet_policy{}.unavailable_retry_delay);
  EXPECT_EQ(orders.step(clock.now(), service, limits(), {{zone, {3, 0}}}).size(), 1U);
}

} // namespace
} // namespace nutmegspur
