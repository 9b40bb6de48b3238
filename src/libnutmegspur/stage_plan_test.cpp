// Guards against needless stage changes, zones left without a prefill or a decode engine, and an
// engine that is ordered back while its last order may still be executed.
// labels: P01
#include <nutmegspur/stage_plan.h>

#include <gtest/gtest.h>

namespace nutmegspur {
namespace {

std::vector<listed_upstream>
engines(std::size_t prefill_engines, std::size_t decode_engines) {
  std::vector<listed_upstream> all;
  all.reserve(prefill_engines + decode_engines);
  for (std::size_t n = 0; n < prefill_engines + decode_engines; ++n) {
    listed_upstream it;
    it.id = upstream_id{"e" + std::to_string(n)};
    it.stage = n < prefill_engines ? engine_stage::prefill : engine_stage::decode;
    all.push_back(it);
  }
  return all;
}

std::vector<const listed_upstream*>
pointers(const std::vector<listed_upstream>& all) {
  std::vector<const listed_upstream*> out;
  out.reserve(all.size());
  for (const auto& it : all) {
    out.push_back(&it);
  }
  return out;
}

TEST(stage_plan, reaches_the_share_with_the_fewest_changes) {
  manual_clock clock;
  stage_plan plan{0.5};
  const auto all = engines(1, 5);
  EXPECT_EQ(plan.step(clock.now(), pointers(all)).size(), 2U);
}

TEST(stage_plan, two_engines_get_one_stage_each) {
  EXPECT_EQ(stage_plan{0.9}.target_prefill_engines(2), 1U);
  EXPECT_EQ(stage_plan{0.1}.target_prefill_engines(2), 1U);
  EXPECT_EQ(stage_plan{0.9}.target_prefill_engines(1), 0U);
  EXPECT_EQ(stage_plan{0}.target_prefill_engines(9), 0U);
}

TEST(stage_plan, an_engine_gets_no_second_order_during_the_cooldown) {
  manual_clock clock;
  stage_plan plan{0.5};
  const auto before = engines(0, 4);
  const auto first = plan.step(clock.now(), pointers(before));
  ASSERT_EQ(first.size(), 2U);
  // The other engines leave; only the two that were ordered remain.
  std::vector<const listed_upstream*> remaining;
  for (const auto& it : before) {
    for (const auto& change : first) {
      if (it.id == change.upstream) {
        remaining.push_back(&it);
      }
    }
  }
  EXPECT_TRUE(plan.step(clock.now(), remaining).empty());
  clock.advance(stage_plan::order_cooldown);
  EXPECT_EQ(plan.step(clock.now(), remaining).size(), 1U);
}

} // namespace
} // namespace nutmegspur
