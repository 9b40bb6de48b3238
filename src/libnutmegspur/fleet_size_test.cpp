// Orders of upstreams, kind by kind and zone by zone.
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

TEST(fleet_size, cheap_upstreams_fill_what_on_demand_ones_leave) {
  const auto wanted = wanted_fleet(limits(), {});
  EXPECT_EQ(wanted.on_demand, 3U);
  EXPECT_EQ(wanted.reclaimable, 9U);
  auto dear = limits();
  dear.reclaimable_price.reset();
  EXPECT_EQ(wanted_fleet(dear, {}).on_demand, 12U);
}

TEST(fleet_size, large_zones_keep_no_more_on_demand_ones_than_small_ones) {
  auto large = limits();
  large.max_upstreams = 20;
  EXPECT_EQ(wanted_fleet(large, {}).on_demand, 3U);
  EXPECT_EQ(wanted_fleet(large, {}).reclaimable, 17U);
  large.min_upstreams = 5;
  EXPECT_EQ(wanted_fleet(large, {}).on_demand, 5U);
}

TEST(fleet_size, cheap_ones_stand_before_dear_ones_leave) {
  manual_clock clock;
  fleet_orders orders{{}};
  auto out = orders.step(clock.now(), service, limits(), {{zone, {6, 0}}});
  ASSERT_EQ(out.size(), 1U);
  EXPECT_TRUE(out[0].reclaimable);
  EXPECT_EQ(out[0].wanted, 6U); // The room that is left.
  orders.on_result(clock.now(), out[0], order_result::accepted);
  out = orders.step(clock.now(), service, limits(), {{zone, {6, 6}}});
  ASSERT_EQ(out.size(), 1U);
  EXPECT_FALSE(out[0].reclaimable);
  EXPECT_EQ(out[0].wanted, 3U);
}

TEST(fleet_size, dear_ones_leave_in_steps_that_cheap_ones_fill) {
  manual_clock clock;
  fleet_policy policy;
  policy.on_demand_share = 0.1;
  fleet_orders orders{policy};
  zone_fleet has{6, 0};
  std::uint32_t least = 12;
  bool began = false;
  for (int n = 0; n < 40; ++n) {
    for (const auto& it : orders.step(clock.now(), service, limits(), {{zone, has}})) {
      (it.reclaimable ? has.reclaimable : has.on_demand) = it.wanted;
      orders.on_result(clock.now(), it, order_result::accepted);
      began = began || it.reclaimable;
      EXPECT_LE(has.on_demand + has.reclaimable, limits().max_upstreams);
      least = began ? std::min(least, has.on_demand + has.reclaimable) : least;
    }
    clock.advance(seconds{1});
  }
  EXPECT_EQ(has.on_demand, 1U);
  EXPECT_EQ(has.reclaimable, 11U);
  EXPECT_GE(least, 9U);
}

TEST(fleet_size, an_order_is_not_repeated_while_it_is_under_way) {
  manual_clock clock;
  fleet_orders orders{{}};
  ASSERT_EQ(orders.step(clock.now(), service, limits(), {{zone, {3, 0}}}).size(), 1U);
  clock.advance(seconds{60});
  EXPECT_TRUE(orders.step(clock.now(), service, limits(), {{zone, {3, 0}}}).empty());
}

TEST(fleet_size, unavailable_ones_are_asked_for_again) {
  manual_clock clock;
  fleet_orders orders{{}};
  const auto out = orders.step(clock.now(), service, limits(), {{zone, {3, 0}}});
  ASSERT_EQ(out.size(), 1U);
  orders.on_result(clock.now(), out[0], order_result::unavailable);
  EXPECT_TRUE(orders.step(clock.now(), service, limits(), {{zone, {3, 0}}}).empty());
  clock.advance(fleet_policy{}.retry_unavailable);
  EXPECT_EQ(orders.step(clock.now(), service, limits(), {{zone, {3, 0}}}).size(), 1U);
}

} // namespace
} // namespace nutmegspur
