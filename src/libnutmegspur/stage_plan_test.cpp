// The split between reading engines and those that make tokens.
// labels: P01
#include <nutmegspur/stage_plan.h>

#include <gtest/gtest.h>

namespace nutmegspur {
namespace {

std::vector<listed_upstream>
engines(std::size_t readers, std::size_t runners) {
  std::vector<listed_upstream> all;
  all.reserve(readers + runners);
  for (std::size_t n = 0; n < readers + runners; ++n) {
    listed_upstream it;
    it.id = upstream_id{"e" + std::to_string(n)};
    it.stage = n < readers ? engine_stage::prefill : engine_stage::decode;
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

TEST(stage_plan, few_changes_bring_the_share_about) {
  manual_clock clock;
  stage_plan plan{0.5};
  const auto all = engines(1, 5);
  EXPECT_EQ(plan.step(clock.now(), pointers(all)).size(), 2U);
}

TEST(stage_plan, there_is_one_of_each_with_two_engines) {
  EXPECT_EQ(stage_plan{0.9}.target_prefill_engines(2), 1U);
  EXPECT_EQ(stage_plan{0.1}.target_prefill_engines(2), 1U);
  EXPECT_EQ(stage_plan{0.9}.target_prefill_engines(1), 0U);
  EXPECT_EQ(stage_plan{0}.target_prefill_engines(9), 0U);
}

TEST(stage_plan, an_engine_is_never_ordered_back_while_an_order_may_be_under_way) {
  manual_clock clock;
  stage_plan plan{0.5};
  const auto before = engines(0, 4);
  const auto first = plan.step(clock.now(), pointers(before));
  ASSERT_EQ(first.size(), 2U);
  // The others leave; the two that were ordered are all that is left.
  std::vector<const listed_upstream*> left;
  for (const auto& it : before) {
    for (const auto& change : first) {
      if (it.id == change.upstream) {
        left.push_back(&it);
      }
    }
  }
  EXPECT_TRUE(plan.step(clock.now(), left).empty());
  clock.advance(stage_plan::order_cooldown);
  EXPECT_EQ(plan.step(clock.now(), left).size(), 1U);
}

} // namespace
} // namespace nutmegspur
