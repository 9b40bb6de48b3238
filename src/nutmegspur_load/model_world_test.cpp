/// \file model_world_test.cpp
/// Guards against a simulation that is not reproducible, loses the result of a request or changes
/// roles too often, and against wrong fair shares.

#include "model_world.h"

#include <gtest/gtest.h>

#include <fstream>
#include <sstream>

namespace nutmegspur::load {

namespace {

scenario
read_scenario(const std::string& name) {
  std::ifstream in(std::string(SCENARIO_DIR) + "/" + name + ".json");
  std::stringstream text;
  text << in.rdbuf();
  return parse_scenario(text.str()).value();
}

} // namespace

TEST(run_metrics, fair_shares_do_not_exceed_demand) {
  const auto shares = fair_shares(90, {10, 100, 100}, {1, 1, 1});
  EXPECT_NEAR(shares[0], 10, 1e-6);
  EXPECT_NEAR(shares[1], 40, 1e-6);
  EXPECT_NEAR(shares[2], 40, 1e-6);
  const auto weighted = fair_shares(90, {100, 100}, {1, 2});
  EXPECT_NEAR(weighted[0], 30, 1e-6);
  EXPECT_NEAR(weighted[1], 60, 1e-6);
}

TEST(simulation, gives_the_same_metrics_on_every_run) {
  auto in = read_scenario("tumen_steady");
  in.duration_s = 40;
  const auto one = run_simulation(in, policy_bundles().front());
  const auto two = run_simulation(in, policy_bundles().front());
  ASSERT_TRUE(one);
  ASSERT_TRUE(two);
  EXPECT_EQ(metrics_json(*one), metrics_json(*two));
  EXPECT_EQ(one->offered, one->completed + one->late + one->refused + one->failed);
  EXPECT_GT(one->completed, one->offered / 2);
}

TEST(simulation, a_steady_mix_changes_at_most_one_role_per_zone) {
  auto in = read_scenario("tumen_steady");
  const auto metrics = run_simulation(in, policy_bundles().front());
  ASSERT_TRUE(metrics);
  EXPECT_LE(metrics->role_changes, in.zones.size());
}

} // namespace nutmegspur::load
